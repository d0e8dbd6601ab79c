// Typed values of statements, object settings and rows.
#ifndef SERVERS_CONFIGURATION_VALUE_H_
#define SERVERS_CONFIGURATION_VALUE_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/time.h"

namespace cassiausher {

/// In the order of the alternatives of `Value`.
enum class ValueKind {
  kBoolean,
  kInteger,
  kNumber,
  kDuration,
  kString,
  kStringList,
};

using Value = std::variant<bool, std::int64_t, double, Duration, std::string,
                           std::vector<std::string>>;

ValueKind KindOf(const Value& value);

/// For error messages and help: "a duration such as 200ms".
std::string_view DescribeKind(ValueKind kind);

/// Returns the value as `kind`, or nothing if it is of another kind. An integer
/// is also a number.
std::optional<Value> ConvertValue(const Value& value, ValueKind kind);

/// JSON key of a field: `NAME_ms` for a duration, else `NAME`.
std::string JsonName(std::string_view name, ValueKind kind);
/// A duration becomes a number of milliseconds.
nlohmann::json ValueToJson(const Value& value);
/// Returns nothing if `json` isn't of this kind.
std::optional<Value> ValueFromJson(const nlohmann::json& json, ValueKind kind);

/// For human-readable tables: durations as "12.5ms", lists with commas.
std::string FormatValue(const Value& value);

}  // namespace cassiausher

#endif  // SERVERS_CONFIGURATION_VALUE_H_
