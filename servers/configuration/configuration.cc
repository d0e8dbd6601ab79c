// JSON form and validation of the configuration.
#include "servers/configuration/configuration.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>

#include "core/json_reader.h"
#include "servers/configuration/field_table.h"

namespace cassiausher {
namespace {

using Json = nlohmann::json;

std::string Pointer(std::string_view section, std::string_view name) {
  return ExtendPointer(ExtendPointer("", section), name);
}

template <typename Object>
Json ObjectToJson(const Object& object) {
  Json json = Json::object();
  for (const Field<Object>& field : FieldsOf<Object>()) {
    json[JsonName(field.name, field.kind)] = ValueToJson(field.read(object));
  }
  return json;
}

template <typename Id, typename Object>
Json MapToJson(const std::map<Id, Object>& objects) {
  Json json = Json::object();
  for (const auto& [id, object] : objects) {
    json[id.value()] = ObjectToJson(object);
  }
  return json;
}

template <typename Id>
Json SetToJson(const std::set<Id>& ids) {
  Json json = Json::array();
  for (const Id& id : ids) json.push_back(id.value());
  return json;
}

/// Reads JSON into a configuration and collects the findings.
class Reader {
 public:
  explicit Reader(Findings* findings) : findings_(findings) {}

  template <typename Object>
  void ReadObject(const Json& json, const std::string& pointer,
                  Object* object) {
    if (!json.is_object()) {
      findings_->Add(pointer, "expected an object");
      return;
    }
    for (const auto& [key, item] : json.items()) {
      ReadField(key, item, ExtendPointer(pointer, key), object);
    }
  }

  template <typename Id, typename Object>
  void ReadMap(const Json& json, std::string_view section,
               std::map<Id, Object>* objects) {
    if (!json.is_object()) {
      findings_->Add(fmt::format("/{}", section), "expected an object");
      return;
    }
    for (const auto& [name, item] : json.items()) {
      const std::string pointer = Pointer(section, name);
      if (name.empty()) findings_->Add(pointer, "expected a name");
      ReadObject(item, pointer, &(*objects)[Id(name)]);
    }
  }

  template <typename Id>
  void ReadSet(const Json& json, std::string_view section, std::set<Id>* ids) {
    const auto value = ValueFromJson(json, ValueKind::kStringList);
    if (!value) {
      findings_->Add(fmt::format("/{}", section), "expected a list of names");
      return;
    }
    for (const auto& name : std::get<std::vector<std::string>>(*value)) {
      ids->insert(Id(name));
    }
  }

  void ReadRevision(const Json& json, Revision* revision) {
    if (!json.is_number_unsigned()) {
      findings_->Add("/revision", "expected an integer that is not negative");
      return;
    }
    *revision = Revision(json.get<std::uint64_t>());
  }

 private:
  template <typename Object>
  void ReadField(const std::string& key, const Json& json,
                 const std::string& pointer, Object* object) {
    for (const Field<Object>& field : FieldsOf<Object>()) {
      if (key != JsonName(field.name, field.kind)) continue;
      const auto value = ValueFromJson(json, field.kind);
      const std::string message =
          value ? WriteField(field, *value, object) : ExpectedJson(field.kind);
      if (!message.empty()) findings_->Add(pointer, message);
      return;
    }
    findings_->Add(pointer, "unknown key");
  }

  static std::string ExpectedJson(ValueKind kind) {
    if (kind == ValueKind::kDuration) return "expected milliseconds, a number";
    return fmt::format("expected {}", DescribeKind(kind));
  }

  Findings* findings_;
};

void FindServiceConflicts(const ServiceId& id, const ServiceSettings& service,
                          const Configuration& configuration,
                          std::vector<Conflict>* conflicts) {
  const std::string pointer = Pointer("services", id.value());
  for (const ClassId& class_id : service.classes) {
    if (configuration.classes.contains(class_id)) continue;
    conflicts->push_back(
        {pointer + "/classes", Pointer("classes", class_id.value()),
         fmt::format("class \"{}\" does not exist", class_id.value())});
  }
  const auto& classes = service.classes;
  if (std::find(classes.begin(), classes.end(), service.default_class) ==
      classes.end()) {
    conflicts->push_back(
        {pointer + "/default_class", pointer + "/classes",
         fmt::format("default class \"{}\" is not among the classes of "
                     "service \"{}\"",
                     service.default_class.value(), id.value())});
  }
}

void FindAccountConflicts(const AccountId& id, const ClientAccount& account,
                          const Configuration& configuration,
                          std::vector<Conflict>* conflicts) {
  const std::string pointer = Pointer("accounts", id.value());
  for (const ServiceId& service : account.team) {
    if (configuration.services.contains(service)) continue;
    conflicts->push_back(
        {pointer + "/team", Pointer("services", service.value()),
         fmt::format("service \"{}\" does not exist", service.value())});
  }
  if (account.token_hash.empty()) {
    conflicts->push_back(
        {pointer + "/token_hash", "",
         fmt::format("account \"{}\" has no token_hash", id.value())});
  }
}

void FindTokenConflicts(const Configuration& configuration,
                        std::vector<Conflict>* conflicts) {
  std::map<std::string, AccountId> owners;
  for (const auto& [id, account] : configuration.accounts) {
    if (account.token_hash.empty()) continue;
    const auto [owner, is_new] = owners.emplace(account.token_hash, id);
    if (is_new) continue;
    conflicts->push_back(
        {Pointer("accounts", id.value()) + "/token_hash",
         Pointer("accounts", owner->second.value()),
         fmt::format("accounts \"{}\" and \"{}\" have the same token_hash",
                     owner->second.value(), id.value())});
  }
}

void FindDataCentreConflicts(const Configuration& configuration,
                             std::vector<Conflict>* conflicts) {
  const auto& known = configuration.data_centres;
  for (const auto& [id, link] : configuration.links) {
    if (known.contains(id)) continue;
    conflicts->push_back(
        {Pointer("links", id.value()), Pointer("data_centres", id.value()),
         fmt::format("data centre \"{}\" does not exist", id.value())});
  }
  for (const DataCentreId& id : configuration.excluded_data_centres) {
    if (known.contains(id)) continue;
    conflicts->push_back(
        {"/excluded_data_centres", Pointer("data_centres", id.value()),
         fmt::format("data centre \"{}\" does not exist", id.value())});
  }
  if (known.empty()) return;
  const auto excluded = configuration.excluded_data_centres.size();
  if (excluded < known.size()) return;
  conflicts->push_back({"/excluded_data_centres", "",
                        "at least one data centre must not be excluded"});
}

}  // namespace

std::string_view NameOf(ServiceKind kind) {
  return kind == ServiceKind::kRunner ? "runner" : "plain";
}

std::string_view NameOf(AdminRole role) {
  switch (role) {
    case AdminRole::kNone:
      return "none";
    case AdminRole::kViewer:
      return "viewer";
    case AdminRole::kOperator:
      return "operator";
    case AdminRole::kAdministrator:
      return "administrator";
  }
  return "none";
}

std::vector<Conflict> FindConflicts(const Configuration& configuration) {
  std::vector<Conflict> conflicts;
  for (const auto& [id, service] : configuration.services) {
    FindServiceConflicts(id, service, configuration, &conflicts);
  }
  for (const auto& [id, account] : configuration.accounts) {
    FindAccountConflicts(id, account, configuration, &conflicts);
  }
  FindTokenConflicts(configuration, &conflicts);
  FindDataCentreConflicts(configuration, &conflicts);
  return conflicts;
}

Json ToJson(const Configuration& configuration) {
  return {
      {"revision", configuration.revision.value()},
      {"services", MapToJson(configuration.services)},
      {"classes", MapToJson(configuration.classes)},
      {"accounts", MapToJson(configuration.accounts)},
      {"data_centres", MapToJson(configuration.data_centres)},
      {"links", MapToJson(configuration.links)},
      {"drained_endpoints", SetToJson(configuration.drained_endpoints)},
      {"excluded_data_centres", SetToJson(configuration.excluded_data_centres)},
      {"voters", SetToJson(configuration.voters)},
      {"limits", ObjectToJson(configuration.limits)},
  };
}

std::variant<Configuration, Findings> ConfigurationFromJson(const Json& json) {
  Findings findings;
  if (!json.is_object()) {
    findings.Add("", "expected an object");
    return findings;
  }
  Configuration read;
  Reader reader(&findings);
  const std::map<std::string, std::function<void(const Json&)>> sections = {
      {"revision",
       [&](const Json& item) { reader.ReadRevision(item, &read.revision); }},
      {"services",
       [&](const Json& item) {
         reader.ReadMap(item, "services", &read.services);
       }},
      {"classes",
       [&](const Json& item) {
         reader.ReadMap(item, "classes", &read.classes);
       }},
      {"accounts",
       [&](const Json& item) {
         reader.ReadMap(item, "accounts", &read.accounts);
       }},
      {"data_centres",
       [&](const Json& item) {
         reader.ReadMap(item, "data_centres", &read.data_centres);
       }},
      {"links",
       [&](const Json& item) { reader.ReadMap(item, "links", &read.links); }},
      {"drained_endpoints",
       [&](const Json& item) {
         reader.ReadSet(item, "drained_endpoints", &read.drained_endpoints);
       }},
      {"excluded_data_centres",
       [&](const Json& item) {
         reader.ReadSet(item, "excluded_data_centres",
                        &read.excluded_data_centres);
       }},
      {"voters",
       [&](const Json& item) { reader.ReadSet(item, "voters", &read.voters); }},
      {"limits",
       [&](const Json& item) {
         reader.ReadObject(item, "/limits", &read.limits);
       }},
  };
  for (const auto& [key, item] : json.items()) {
    const auto section = sections.find(key);
    if (section == sections.end()) {
      findings.Add(ExtendPointer("", key), "unknown key");
      continue;
    }
    section->second(item);
  }
  for (auto& [id, targets] : read.classes) targets.id = id;
  for (const Conflict& conflict : FindConflicts(read)) {
    findings.Add(conflict.pointer, conflict.message);
  }
  if (!findings.empty()) return findings;
  return read;
}

}  // namespace cassiausher
