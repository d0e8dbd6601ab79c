// The fields of every kind of object with their ranges.
#include "servers/configuration/field_table.h"

#include <fmt/format.h>

#include <algorithm>

namespace cassiausher {
namespace {

constexpr Duration kMinDuration = Milliseconds(1);
constexpr Duration kHour = Seconds(3600);
constexpr std::int64_t kMaxTokens = 10'000'000;
constexpr std::int64_t kMaxBytes = std::int64_t{1} << 30;
constexpr std::size_t kTokenHashDigits = 64;

template <typename Object>
Field<Object> BooleanField(std::string_view name, bool Object::*member) {
  return {name, ValueKind::kBoolean, "",
          [member](const Object& object) { return Value(object.*member); },
          [member](Object& object, const Value& value) {
            object.*member = std::get<bool>(value);
            return true;
          }};
}

template <typename Object>
Field<Object> NumberField(std::string_view name, double Object::*member,
                          double lowest, double highest) {
  return {name, ValueKind::kNumber,
          fmt::format("from {} to {}", lowest, highest),
          [member](const Object& object) { return Value(object.*member); },
          [=](Object& object, const Value& value) {
            const double number = std::get<double>(value);
            // Negated so that a NaN is out of range.
            if (!(number >= lowest && number <= highest)) return false;
            object.*member = number;
            return true;
          }};
}

std::int64_t ToInteger(int value) { return value; }
template <typename Tag>
std::int64_t ToInteger(StrongNumber<Tag, std::int64_t> value) {
  return value.value();
}

template <typename Object, typename Number>
Field<Object> IntegerField(std::string_view name, Number Object::*member,
                           std::int64_t lowest, std::int64_t highest) {
  return {name, ValueKind::kInteger,
          fmt::format("from {} to {}", lowest, highest),
          [member](const Object& object) {
            return Value(ToInteger(object.*member));
          },
          [=](Object& object, const Value& value) {
            const std::int64_t number = std::get<std::int64_t>(value);
            if (number < lowest || number > highest) return false;
            object.*member = Number(number);
            return true;
          }};
}

template <typename Object>
Field<Object> DurationField(std::string_view name, Duration Object::*member,
                            Duration lowest, Duration highest) {
  return {
      name, ValueKind::kDuration,
      fmt::format("from {} to {}", FormatValue(lowest), FormatValue(highest)),
      [member](const Object& object) { return Value(object.*member); },
      [=](Object& object, const Value& value) {
        const Duration duration = std::get<Duration>(value);
        if (duration < lowest || duration > highest) return false;
        object.*member = duration;
        return true;
      }};
}

template <typename Object, typename Enum>
Field<Object> EnumField(std::string_view name, Enum Object::*member,
                        std::vector<Enum> values) {
  std::string range = "one of";
  for (const Enum value : values) {
    range += fmt::format(" \"{}\"", NameOf(value));
  }
  return {name, ValueKind::kString, range,
          [member](const Object& object) {
            return Value(std::string(NameOf(object.*member)));
          },
          [member, values](Object& object, const Value& value) {
            const auto found =
                std::find_if(values.begin(), values.end(), [&](Enum candidate) {
                  return NameOf(candidate) == std::get<std::string>(value);
                });
            if (found == values.end()) return false;
            object.*member = *found;
            return true;
          }};
}

template <typename Object, typename Id>
Field<Object> IdListField(std::string_view name,
                          std::vector<Id> Object::*member) {
  return {name, ValueKind::kStringList, "without empty or repeated names",
          [member](const Object& object) {
            std::vector<std::string> names;
            for (const Id& id : object.*member) names.push_back(id.value());
            return Value(names);
          },
          [member](Object& object, const Value& value) {
            std::vector<Id> ids;
            for (const auto& name : std::get<std::vector<std::string>>(value)) {
              const Id id(name);
              if (id.empty()) return false;
              if (std::find(ids.begin(), ids.end(), id) != ids.end()) {
                return false;
              }
              ids.push_back(id);
            }
            object.*member = std::move(ids);
            return true;
          }};
}

bool IsTokenHash(const std::string& text) {
  return text.size() == kTokenHashDigits &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

Field<ClientAccount> TokenHashField() {
  return {
      "token_hash", ValueKind::kString,
      "64 lower-case hexadecimal digits (SHA-256 of the token)",
      [](const ClientAccount& account) { return Value(account.token_hash); },
      [](ClientAccount& account, const Value& value) {
        const auto& text = std::get<std::string>(value);
        if (!IsTokenHash(text)) return false;
        account.token_hash = text;
        return true;
      }};
}

Field<ServiceSettings> DefaultClassField() {
  return {"default_class", ValueKind::kString, "the name of a class",
          [](const ServiceSettings& service) {
            return Value(service.default_class.value());
          },
          [](ServiceSettings& service, const Value& value) {
            const auto& text = std::get<std::string>(value);
            if (text.empty()) return false;
            service.default_class = ClassId(text);
            return true;
          }};
}

}  // namespace

template <>
const std::vector<Field<ServiceSettings>>& FieldsOf<ServiceSettings>() {
  using S = ServiceSettings;
  static const std::vector<Field<S>> fields = {
      EnumField("kind", &S::kind,
                std::vector{ServiceKind::kRunner, ServiceKind::kPlain}),
      IdListField("classes", &S::classes),
      DefaultClassField(),
      BooleanField("idempotent", &S::idempotent),
      NumberField("link_share", &S::link_share, 0.001, 1000),
      DurationField("admission_deadline", &S::admission_deadline, kMinDuration,
                    kHour),
      IntegerField("local_prefill_limit", &S::local_prefill_limit, 0,
                   kMaxTokens),
      DurationField("kv_retention", &S::kv_retention, kMinDuration, kHour),
      NumberField("prefill_thrift", &S::prefill_thrift, 0, 1),
      BooleanField("honours_fencing", &S::honours_fencing),
      IntegerField("max_prompt_tokens", &S::max_prompt_tokens, 1, kMaxTokens),
  };
  return fields;
}

template <>
const std::vector<Field<ClassTargets>>& FieldsOf<ClassTargets>() {
  using C = ClassTargets;
  static const std::vector<Field<C>> fields = {
      IntegerField("priority", &C::priority, 0, 1000),
      DurationField("first_token", &C::first_token, kMinDuration, kHour),
      DurationField("between_tokens", &C::between_tokens, kMinDuration, kHour),
  };
  return fields;
}

template <>
const std::vector<Field<ClientAccount>>& FieldsOf<ClientAccount>() {
  using A = ClientAccount;
  static const std::vector<Field<A>> fields = {
      TokenHashField(),
      EnumField("role", &A::role,
                std::vector{AdminRole::kNone, AdminRole::kViewer,
                            AdminRole::kOperator, AdminRole::kAdministrator}),
      IdListField("team", &A::team),
      NumberField("request_rate", &A::request_rate, 0, 1e6),
      IntegerField("concurrency", &A::concurrency, 0, 1'000'000),
      NumberField("weight", &A::weight, 0.001, 1000),
  };
  return fields;
}

template <>
const std::vector<Field<DataCentreSettings>>& FieldsOf<DataCentreSettings>() {
  using D = DataCentreSettings;
  static const std::vector<Field<D>> fields = {
      BooleanField("accepts_forwarded", &D::accepts_forwarded),
      DurationField("one_way_delay", &D::one_way_delay, Duration(0),
                    Seconds(10)),
  };
  return fields;
}

template <>
const std::vector<Field<LinkSettings>>& FieldsOf<LinkSettings>() {
  static const std::vector<Field<LinkSettings>> fields = {
      NumberField("bytes_per_second", &LinkSettings::bytes_per_second, 1e3,
                  1e15),
  };
  return fields;
}

template <>
const std::vector<Field<LimitSettings>>& FieldsOf<LimitSettings>() {
  using L = LimitSettings;
  static const std::vector<Field<L>> fields = {
      IntegerField("body_bytes", &L::body_bytes, 1024, kMaxBytes),
      IntegerField("header_bytes", &L::header_bytes, 1024, 1 << 20),
      IntegerField("header_count", &L::header_count, 10, 1000),
      IntegerField("open_requests", &L::open_requests, 1, 1'000'000),
      DurationField("ledger_retention", &L::ledger_retention, Seconds(1),
                    30 * 24 * kHour),
      IntegerField("ledger_answer_bytes", &L::ledger_answer_bytes, 0, 1 << 24),
      IntegerField("ledger_records", &L::ledger_records, 1, 10'000'000),
      IntegerField("ledger_bytes", &L::ledger_bytes, 0, kMaxBytes),
      DurationField("change_timeout", &L::change_timeout, Milliseconds(100),
                    Seconds(60)),
  };
  return fields;
}

}  // namespace cassiausher
