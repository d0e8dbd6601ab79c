// Applies changes and checks the permission to make them.
#include "servers/configuration/change.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

#include "servers/configuration/field_table.h"

namespace cassiausher {
namespace {

std::string_view SectionOf(ObjectKind kind) {
  switch (kind) {
    case ObjectKind::kService:
      return "services";
    case ObjectKind::kClass:
      return "classes";
    case ObjectKind::kAccount:
      return "accounts";
    case ObjectKind::kLimit:
      return "limits";
    case ObjectKind::kDataCentre:
      return "data_centres";
    case ObjectKind::kLink:
      return "links";
    case ObjectKind::kEndpoint:
      return "drained_endpoints";
    case ObjectKind::kVoter:
      return "voters";
  }
  return "";
}

/// Applies operations one by one to a copy of the configuration.
class Applier {
 public:
  explicit Applier(const Configuration& base) : result_(base) {}

  void Apply(const Operation& operation) {
    const std::string message = Perform(operation);
    if (!message.empty()) {
      findings_.Add(FormatPlace(operation.place), message);
    }
    RecordPlace(operation);
  }

  std::variant<Configuration, Findings> Finish(const Change& change) {
    for (const Conflict& conflict : FindConflicts(result_)) {
      findings_.Add(PlaceOf(conflict, change), conflict.message);
    }
    if (!findings_.empty()) return findings_;
    result_.revision += Revision(1);
    return result_;
  }

 private:
  std::string Perform(const Operation& operation) {
    if (operation.name.empty()) return "the name is empty";
    switch (operation.kind) {
      case OperationKind::kSet:
        return Set(operation);
      case OperationKind::kCreate:
        return Create(operation);
      case OperationKind::kRemove:
        return Remove(operation);
      case OperationKind::kDrain:
        return Insert(&result_.drained_endpoints, operation, "already drained");
      case OperationKind::kUndrain:
        return Erase(&result_.drained_endpoints, operation, "not drained");
      case OperationKind::kExclude:
        return Insert(&result_.excluded_data_centres, operation,
                      "already excluded");
      case OperationKind::kInclude:
        return Erase(&result_.excluded_data_centres, operation, "not excluded");
      case OperationKind::kAddVoter:
      case OperationKind::kRemoveVoter:
        return ChangeVoter(operation);
    }
    return "unknown operation";
  }

  template <typename Id>
  static std::string Insert(std::set<Id>* ids, const Operation& operation,
                            std::string_view message) {
    if (ids->insert(Id(operation.name)).second) return "";
    return fmt::format("{} \"{}\" is {}", NameOf(operation.object),
                       operation.name, message);
  }

  template <typename Id>
  static std::string Erase(std::set<Id>* ids, const Operation& operation,
                           std::string_view message) {
    if (ids->erase(Id(operation.name)) > 0) return "";
    return fmt::format("{} \"{}\" is {}", NameOf(operation.object),
                       operation.name, message);
  }

  std::string ChangeVoter(const Operation& operation) {
    if (voter_changed_) return "a change adds or removes one voter at most";
    voter_changed_ = true;
    if (operation.kind == OperationKind::kAddVoter) {
      return Insert(&result_.voters, operation, "already a voter");
    }
    std::string message = Erase(&result_.voters, operation, "not a voter");
    if (!message.empty()) return message;
    return result_.voters.empty() ? "the last voter can't be removed" : "";
  }

  std::string Set(const Operation& operation) {
    switch (operation.object) {
      case ObjectKind::kService:
        return SetService(operation);
      case ObjectKind::kClass:
        return SetIn(&result_.classes, operation);
      case ObjectKind::kAccount:
        return SetIn(&result_.accounts, operation);
      case ObjectKind::kDataCentre:
        return SetIn(&result_.data_centres, operation);
      case ObjectKind::kLink:
        // A link exists with its data centre; FindConflicts checks that.
        return SetField(operation, operation.field,
                        &result_.links[DataCentreId(operation.name)]);
      case ObjectKind::kLimit:
        return SetField(operation, operation.name, &result_.limits);
      case ObjectKind::kEndpoint:
      case ObjectKind::kVoter:
        break;
    }
    return fmt::format("{} has no fields", NameOf(operation.object));
  }

  std::string SetService(const Operation& operation) {
    const auto found = result_.services.find(ServiceId(operation.name));
    if (found == result_.services.end()) return Missing(operation);
    if (FindField<ClassTargets>(operation.field) == nullptr) {
      return SetField(operation, operation.field, &found->second);
    }
    const ClassId& class_id = found->second.default_class;
    const auto targets = result_.classes.find(class_id);
    if (targets == result_.classes.end()) {
      return fmt::format("service \"{}\" has no default class", operation.name);
    }
    return SetField(operation, operation.field, &targets->second);
  }

  template <typename Id, typename Object>
  static std::string SetIn(std::map<Id, Object>* objects,
                           const Operation& operation) {
    const auto found = objects->find(Id(operation.name));
    if (found == objects->end()) return Missing(operation);
    return SetField(operation, operation.field, &found->second);
  }

  template <typename Object>
  static std::string SetField(const Operation& operation,
                              const std::string& name, Object* object) {
    const Field<Object>* field = FindField<Object>(name);
    if (field != nullptr) return WriteField(*field, operation.value, object);
    std::string names;
    for (const auto& known : FieldsOf<Object>()) {
      names += (names.empty() ? "" : ", ") + std::string(known.name);
    }
    return fmt::format(
        "unknown {} \"{}\", expected one of {}",
        operation.object == ObjectKind::kLimit ? "limit" : "field", name,
        names);
  }

  std::string Create(const Operation& operation) {
    switch (operation.object) {
      case ObjectKind::kService:
        return CreateIn(&result_.services, operation);
      case ObjectKind::kAccount:
        return CreateIn(&result_.accounts, operation);
      case ObjectKind::kDataCentre:
        return CreateIn(&result_.data_centres, operation);
      case ObjectKind::kClass: {
        const ClassId id(operation.name);
        const std::string message = CreateIn(&result_.classes, operation);
        if (message.empty()) result_.classes[id].id = id;
        return message;
      }
      default:
        return fmt::format("{} can't be created", NameOf(operation.object));
    }
  }

  std::string Remove(const Operation& operation) {
    switch (operation.object) {
      case ObjectKind::kService:
        return RemoveFrom(&result_.services, operation);
      case ObjectKind::kClass:
        return RemoveFrom(&result_.classes, operation);
      case ObjectKind::kAccount:
        return RemoveFrom(&result_.accounts, operation);
      case ObjectKind::kDataCentre:
        result_.links.erase(DataCentreId(operation.name));
        result_.excluded_data_centres.erase(DataCentreId(operation.name));
        return RemoveFrom(&result_.data_centres, operation);
      default:
        return fmt::format("{} can't be removed", NameOf(operation.object));
    }
  }

  template <typename Id, typename Object>
  static std::string CreateIn(std::map<Id, Object>* objects,
                              const Operation& operation) {
    if (objects->emplace(Id(operation.name), Object()).second) return "";
    return fmt::format("{} \"{}\" exists already", NameOf(operation.object),
                       operation.name);
  }

  template <typename Id, typename Object>
  static std::string RemoveFrom(std::map<Id, Object>* objects,
                                const Operation& operation) {
    if (objects->erase(Id(operation.name)) > 0) return "";
    return Missing(operation);
  }

  static std::string Missing(const Operation& operation) {
    return fmt::format("{} \"{}\" does not exist", NameOf(operation.object),
                       operation.name);
  }

  static std::string PointerOf(const Operation& operation) {
    const std::string object =
        fmt::format("/{}/{}", SectionOf(operation.object), operation.name);
    return operation.field.empty() ? object : object + "/" + operation.field;
  }

  void RecordPlace(const Operation& operation) {
    places_[PointerOf(operation)] = operation.place;
    const bool excludes = operation.kind == OperationKind::kExclude;
    if (excludes) places_["/excluded_data_centres"] = operation.place;
  }

  /// A conflict is reported at the last operation on the invalid value, else on
  /// the object that it refers to, else at the first operation of the change.
  std::string PlaceOf(const Conflict& conflict, const Change& change) const {
    const auto is_within = [](const std::string& pointer,
                              const std::string& object) {
      return pointer == object || pointer.starts_with(object + "/");
    };
    for (const std::string& pointer : {conflict.pointer, conflict.related}) {
      for (const auto& [object, place] : places_) {
        if (is_within(pointer, object)) return FormatPlace(place);
      }
    }
    return FormatPlace(change.operations.empty()
                           ? SourcePlace()
                           : change.operations.front().place);
  }

  Configuration result_;
  Findings findings_;
  bool voter_changed_ = false;
  /// Last operation on each object, by JSON pointer.
  std::map<std::string, SourcePlace> places_;
};

bool InTeam(const ClientAccount& account, const ServiceId& service) {
  return std::find(account.team.begin(), account.team.end(), service) !=
         account.team.end();
}

bool IsUsedOnlyByTeam(const ClientAccount& account, const ClassId& class_id,
                      const Configuration& configuration) {
  bool used = false;
  for (const auto& [id, service] : configuration.services) {
    const auto& classes = service.classes;
    if (std::find(classes.begin(), classes.end(), class_id) == classes.end()) {
      continue;
    }
    if (!InTeam(account, id)) return false;
    used = true;
  }
  return used;
}

bool MayPerform(const Operation& operation, const ClientAccount& account,
                const Configuration& configuration,
                const ServiceOfEndpoint& service_of) {
  if (account.role == AdminRole::kAdministrator) return true;
  if (account.role != AdminRole::kOperator) return false;
  if (operation.object == ObjectKind::kEndpoint) {
    const ServiceId service = service_of(EndpointId(operation.name));
    return !service.empty() && InTeam(account, service);
  }
  if (operation.kind != OperationKind::kSet) return false;
  if (operation.object == ObjectKind::kClass) {
    return IsUsedOnlyByTeam(account, ClassId(operation.name), configuration);
  }
  if (operation.object != ObjectKind::kService) return false;
  const ServiceId service(operation.name);
  if (!InTeam(account, service)) return false;
  if (FindField<ClassTargets>(operation.field) == nullptr) return true;
  const auto found = configuration.services.find(service);
  return found != configuration.services.end() &&
         IsUsedOnlyByTeam(account, found->second.default_class, configuration);
}

}  // namespace

std::string FormatPlace(SourcePlace place) {
  return fmt::format("line {} column {}", place.line, place.column);
}

std::string_view NameOf(ObjectKind kind) {
  switch (kind) {
    case ObjectKind::kService:
      return "service";
    case ObjectKind::kClass:
      return "class";
    case ObjectKind::kAccount:
      return "account";
    case ObjectKind::kLimit:
      return "limit";
    case ObjectKind::kDataCentre:
      return "data centre";
    case ObjectKind::kLink:
      return "link";
    case ObjectKind::kEndpoint:
      return "endpoint";
    case ObjectKind::kVoter:
      return "instance";
  }
  return "object";
}

std::variant<Configuration, Findings> ApplyChange(const Change& change,
                                                  const Configuration& base) {
  Applier applier(base);
  for (const Operation& operation : change.operations) {
    applier.Apply(operation);
  }
  return applier.Finish(change);
}

Findings CheckPermission(const Change& change, const ClientAccount& account,
                         const Configuration& configuration,
                         const ServiceOfEndpoint& service_of) {
  Findings findings;
  for (const Operation& operation : change.operations) {
    if (MayPerform(operation, account, configuration, service_of)) continue;
    findings.Add(FormatPlace(operation.place),
                 fmt::format("the account's role \"{}\" doesn't allow this on "
                             "{} \"{}\"",
                             NameOf(account.role), NameOf(operation.object),
                             operation.name));
  }
  return findings;
}

}  // namespace cassiausher
