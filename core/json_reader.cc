#include "core/json_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace cassiausher {

using nlohmann::json;

std::string ExtendPointer(std::string_view pointer, std::string_view name) {
  std::string escaped;
  for (const char c : name) {
    if (c == '~') {
      escaped += "~0";
    } else if (c == '/') {
      escaped += "~1";
    } else {
      escaped += c;
    }
  }
  return fmt::format("{}/{}", pointer, escaped);
}

JsonReader::JsonReader(const json& object, std::string place,
                       std::string pointer, Findings* findings)
    : object_(object),
      place_(std::move(place)),
      pointer_(std::move(pointer)),
      findings_(findings) {
  if (!object_.is_object()) Report("", "must be an object");
}

bool JsonReader::Has(const char* key) const {
  return object_.is_object() && object_.contains(key);
}

std::string JsonReader::PlaceOf(std::string_view key) const {
  if (key.empty()) return fmt::format("{}#{}", place_, pointer_);
  return fmt::format("{}#{}", place_, ExtendPointer(pointer_, key));
}

void JsonReader::Report(std::string_view key, std::string message) {
  findings_->Add(PlaceOf(key), std::move(message));
}

const json* JsonReader::Find(const char* key) {
  read_keys_.insert(key);
  if (!object_.is_object()) return nullptr;
  const auto found = object_.find(key);
  return found == object_.end() ? nullptr : &*found;
}

void JsonReader::Read(const char* key, std::string* value) {
  const json* field = Find(key);
  if (field == nullptr) return;
  if (!field->is_string()) return Report(key, "must be a string");
  *value = field->get<std::string>();
}

void JsonReader::Read(const char* key, bool* value) {
  const json* field = Find(key);
  if (field == nullptr) return;
  if (!field->is_boolean()) return Report(key, "must be true or false");
  *value = field->get<bool>();
}

void JsonReader::Read(const char* key, std::int64_t* value, std::int64_t lowest,
                      std::int64_t highest) {
  const json* field = Find(key);
  if (field == nullptr) return;
  if (!field->is_number_integer()) return Report(key, "must be an integer");
  const bool too_large =
      field->is_number_unsigned() &&
      field->get<std::uint64_t>() > static_cast<std::uint64_t>(highest);
  const auto number = field->get<std::int64_t>();
  if (too_large || number < lowest || number > highest) {
    return Report(key, fmt::format("must be from {} to {}", lowest, highest));
  }
  *value = number;
}

void JsonReader::Read(const char* key, double* value, double lowest,
                      double highest) {
  const json* field = Find(key);
  if (field == nullptr) return;
  if (!field->is_number()) return Report(key, "must be a number");
  const auto number = field->get<double>();
  if (number < lowest || number > highest) {
    return Report(key, fmt::format("must be from {} to {}", lowest, highest));
  }
  *value = number;
}

void JsonReader::Read(const char* key, std::uint64_t* value) {
  const json* field = Find(key);
  if (field == nullptr) return;
  if (!field->is_number_unsigned()) {
    return Report(key, "must be an integer of at least 0");
  }
  *value = field->get<std::uint64_t>();
}

void JsonReader::Require(const char* key) {
  if (object_.is_object() && !object_.contains(key)) {
    Report(key, "is missing");
  }
}

void JsonReader::ReadObject(const char* key,
                            const std::function<void(JsonReader&)>& read) {
  const json* field = Find(key);
  if (field == nullptr) return;
  JsonReader reader(*field, place_, fmt::format("{}/{}", pointer_, key),
                    findings_);
  if (!field->is_object()) return;
  read(reader);
  reader.Finish();
}

void JsonReader::ReadArray(const char* key,
                           const std::function<void(JsonReader&)>& read) {
  const json* field = Find(key);
  if (field == nullptr) return;
  if (!field->is_array()) return Report(key, "must be an array");
  for (std::size_t i = 0; i < field->size(); ++i) {
    JsonReader reader((*field)[i], place_,
                      fmt::format("{}/{}/{}", pointer_, key, i), findings_);
    if (!(*field)[i].is_object()) continue;
    read(reader);
    reader.Finish();
  }
}

void JsonReader::ReadStrings(
    const char* key, const std::function<void(const std::string&)>& read) {
  const json* field = Find(key);
  if (field == nullptr) return;
  if (!field->is_array()) return Report(key, "must be an array");
  for (std::size_t i = 0; i < field->size(); ++i) {
    const json& item = (*field)[i];
    if (!item.is_string()) {
      Report(fmt::format("{}/{}", key, i), "must be a string");
      continue;
    }
    read(item.get<std::string>());
  }
}

void JsonReader::Finish() {
  if (!object_.is_object()) return;
  for (const auto& [key, value] : object_.items()) {
    if (!read_keys_.contains(key)) Report(key, "unknown key");
  }
}

namespace {

// Line and column of a byte, as editors count them.
std::string Position(std::string_view text, std::size_t byte) {
  const std::size_t end = std::min(byte, text.size());
  const std::string_view before = text.substr(0, end);
  const auto line = std::count(before.begin(), before.end(), '\n') + 1;
  const std::size_t start = before.rfind('\n');
  const std::size_t column =
      start == std::string_view::npos ? end : end - start - 1;
  return fmt::format("{}:{}", line, column);
}

// Whether arrays and objects stand in each other more than kMaxJsonDepth deep.
// The library copies, prints and compares values by recursion.
bool IsTooDeep(std::string_view text) {
  int depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\') ++i;
      in_string = c != '"';
    } else if (c == '"') {
      in_string = true;
    } else if (c == '[' || c == '{') {
      if (++depth > kMaxJsonDepth) return true;
    } else if (c == ']' || c == '}') {
      --depth;
    }
  }
  return false;
}

}  // namespace

json ParseJson(std::string_view text, const std::string& place,
               Findings* findings) {
  if (IsTooDeep(text)) {
    findings->Add(place, "is nested too deep");
    return json(json::value_t::discarded);
  }
  try {
    return json::parse(text);
  } catch (const json::parse_error& error) {
    findings->Add(fmt::format("{}:{}", place, Position(text, error.byte)),
                  "not valid JSON");
  } catch (const json::exception&) {
    // Of the library's other exceptions parsing throws this one only.
    findings->Add(place, "a number is out of range");
  }
  return json(json::value_t::discarded);
}

json ParseJson(std::string_view text) {
  if (IsTooDeep(text)) return json(json::value_t::discarded);
  return json::parse(text, nullptr, false);
}

}  // namespace cassiausher
