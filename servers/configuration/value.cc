// Conversions of typed values to and from JSON and text.
#include "servers/configuration/value.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <cmath>

namespace cassiausher {
namespace {

// Longer durations don't fit into 64-bit microseconds.
constexpr double kMaxDurationMilliseconds = 9e15;

std::optional<Value> StringListFromJson(const nlohmann::json& json) {
  if (!json.is_array()) return std::nullopt;
  std::vector<std::string> items;
  for (const auto& item : json) {
    if (!item.is_string()) return std::nullopt;
    items.push_back(item.get<std::string>());
  }
  return Value(std::move(items));
}

std::optional<Value> IntegerFromJson(const nlohmann::json& json) {
  if (!json.is_number_integer()) return std::nullopt;
  if (json.is_number_unsigned() && json.get<std::uint64_t>() > INT64_MAX) {
    return std::nullopt;
  }
  return Value(json.get<std::int64_t>());
}

std::optional<Value> DurationFromJson(const nlohmann::json& json) {
  if (!json.is_number()) return std::nullopt;
  const double milliseconds = json.get<double>();
  if (std::abs(milliseconds) > kMaxDurationMilliseconds) return std::nullopt;
  return Value(Duration(std::llround(milliseconds * 1e3)));
}

}  // namespace

ValueKind KindOf(const Value& value) {
  return static_cast<ValueKind>(value.index());
}

std::string_view DescribeKind(ValueKind kind) {
  switch (kind) {
    case ValueKind::kBoolean:
      return "true or false";
    case ValueKind::kInteger:
      return "an integer";
    case ValueKind::kNumber:
      return "a number";
    case ValueKind::kDuration:
      return "a duration such as 200ms";
    case ValueKind::kString:
      return "a string in quotes";
    case ValueKind::kStringList:
      return "a list of strings such as [\"a\", \"b\"]";
  }
  return "a value";
}

std::optional<Value> ConvertValue(const Value& value, ValueKind kind) {
  if (KindOf(value) == kind) return value;
  const auto* integer = std::get_if<std::int64_t>(&value);
  if (integer != nullptr && kind == ValueKind::kNumber) {
    return Value(static_cast<double>(*integer));
  }
  return std::nullopt;
}

std::string JsonName(std::string_view name, ValueKind kind) {
  if (kind != ValueKind::kDuration) return std::string(name);
  return std::string(name) + "_ms";
}

nlohmann::json ValueToJson(const Value& value) {
  return std::visit(
      [](const auto& held) -> nlohmann::json {
        if constexpr (std::is_same_v<std::decay_t<decltype(held)>, Duration>) {
          return ToMilliseconds(held);
        } else {
          return held;
        }
      },
      value);
}

std::optional<Value> ValueFromJson(const nlohmann::json& json, ValueKind kind) {
  switch (kind) {
    case ValueKind::kBoolean:
      if (!json.is_boolean()) return std::nullopt;
      return Value(json.get<bool>());
    case ValueKind::kInteger:
      return IntegerFromJson(json);
    case ValueKind::kNumber:
      if (!json.is_number()) return std::nullopt;
      return Value(json.get<double>());
    case ValueKind::kDuration:
      return DurationFromJson(json);
    case ValueKind::kString:
      if (!json.is_string()) return std::nullopt;
      return Value(json.get<std::string>());
    case ValueKind::kStringList:
      return StringListFromJson(json);
  }
  return std::nullopt;
}

std::string FormatValue(const Value& value) {
  return std::visit(
      [](const auto& held) -> std::string {
        using Held = std::decay_t<decltype(held)>;
        if constexpr (std::is_same_v<Held, Duration>) {
          return fmt::format("{}ms", ToMilliseconds(held));
        } else if constexpr (std::is_same_v<Held, std::vector<std::string>>) {
          return fmt::format("{}", fmt::join(held, ","));
        } else {
          return fmt::format("{}", held);
        }
      },
      value);
}

}  // namespace cassiausher
