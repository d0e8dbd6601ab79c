// One table for each kind of object: its fields, their kinds and their ranges.
// JSON, `set` operations, `show` rows, help and completion all use it, so that
// a field has the same name and validation everywhere.
#ifndef SERVERS_CONFIGURATION_FIELD_TABLE_H_
#define SERVERS_CONFIGURATION_FIELD_TABLE_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "servers/configuration/configuration.h"
#include "servers/configuration/value.h"

namespace cassiausher {

template <typename Object>
struct Field {
  std::string_view name;
  ValueKind kind;
  /// Accepted values, for error messages and help.
  std::string range;
  std::function<Value(const Object&)> read;
  /// Returns false, and leaves the object unchanged, if the value is out of
  /// range. The value must be of `kind`.
  std::function<bool(Object&, const Value&)> write;
};

/// Defined for ServiceSettings, ClassTargets, ClientAccount,
/// DataCentreSettings, LinkSettings and LimitSettings.
template <typename Object>
const std::vector<Field<Object>>& FieldsOf();

template <typename Object>
const Field<Object>* FindField(std::string_view name) {
  for (const Field<Object>& field : FieldsOf<Object>()) {
    if (field.name == name) return &field;
  }
  return nullptr;
}

/// Returns an error message if the value has the wrong kind or is out of
/// range, and an empty string on success.
template <typename Object>
std::string WriteField(const Field<Object>& field, const Value& value,
                       Object* object) {
  const auto converted = ConvertValue(value, field.kind);
  const std::string expected = std::string(field.name) + " expects " +
                               std::string(DescribeKind(field.kind));
  if (!converted) return expected;
  if (field.write(*object, *converted)) return "";
  return expected + ", " + field.range;
}

}  // namespace cassiausher

#endif  // SERVERS_CONFIGURATION_FIELD_TABLE_H_
