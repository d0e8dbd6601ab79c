// Parses and prints JSON without exceptions, and validates a JSON document:
// every error, unknown keys included, is collected with the JSON pointer of its
// location.
#ifndef CORE_JSON_READER_H_
#define CORE_JSON_READER_H_

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>

#include "core/findings.h"

namespace cassiausher {

/// JSON pointer of the member `name` below `pointer`, escaped as in RFC 6901.
std::string ExtendPointer(std::string_view pointer, std::string_view name);

/// A view of one JSON object. Fields are read by name; Finish() reports the
/// keys that were never read. The document must outlive the reader.
class JsonReader {
 public:
  /// `place` precedes the pointer in the location of findings, e.g. a file
  /// name.
  JsonReader(const nlohmann::json& object, std::string place,
             std::string pointer, Findings* findings);

  bool Has(const char* key) const;

  /// These leave `value` unchanged when the field is absent, and add a finding
  /// when it has the wrong type or is out of range.
  void Read(const char* key, std::string* value);
  void Read(const char* key, bool* value);
  void Read(const char* key, std::int64_t* value, std::int64_t lowest,
            std::int64_t highest);
  void Read(const char* key, double* value, double lowest, double highest);
  /// Reads any unsigned 64-bit integer, such as a hash.
  void Read(const char* key, std::uint64_t* value);

  /// Adds a finding when the field is absent.
  void Require(const char* key);

  /// Calls `read` with a reader for the object at `key`, if present.
  void ReadObject(const char* key,
                  const std::function<void(JsonReader&)>& read);
  /// Calls `read` with a reader for each object of the array at `key`.
  void ReadArray(const char* key, const std::function<void(JsonReader&)>& read);
  /// Calls `read` with each string of the array at `key`.
  void ReadStrings(const char* key,
                   const std::function<void(const std::string&)>& read);

  /// Adds a finding for each unknown key. Call once, after all reads.
  void Finish();

  /// Adds a finding at `key`, or at the object itself when `key` is empty.
  void Report(std::string_view key, std::string message);

 private:
  const nlohmann::json* Find(const char* key);
  std::string PlaceOf(std::string_view key) const;

  const nlohmann::json& object_;
  std::string place_;
  std::string pointer_;
  Findings* findings_;
  std::set<std::string, std::less<>> read_keys_;
};

/// Arrays and objects may stand in each other this deep.
constexpr int kMaxJsonDepth = 100;

/// Parses a JSON text. If it isn't valid, is nested too deep or has a number
/// out of range, adds a finding and returns a discarded value. Doesn't throw.
nlohmann::json ParseJson(std::string_view text, const std::string& place,
                         Findings* findings);
/// The same without findings.
nlohmann::json ParseJson(std::string_view text);

/// The value as text. Bytes that aren't UTF-8, such as those of a name that a
/// peer sent, are replaced; the library's own default throws.
template <typename Json>
std::string DumpJson(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace cassiausher

#endif  // CORE_JSON_READER_H_
