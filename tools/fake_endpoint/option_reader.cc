#include "tools/fake_endpoint/option_reader.h"

#include <fmt/format.h>
#include <sys/resource.h>

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace cassiausher {

std::string OptionReader::Text(const std::string& name) const {
  const auto found = values_.find(name);
  if (found == values_.end() || !found->second.isString()) return {};
  return found->second.asString();
}

bool OptionReader::Flag(const std::string& name) const {
  const auto found = values_.find(name);
  return found != values_.end() && found->second.isBool() &&
         found->second.asBool();
}

std::int64_t OptionReader::Integer(const std::string& name, std::int64_t min,
                                   std::int64_t max) {
  const std::string text = Text(name);
  std::int64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error == std::errc() && end == text.data() + text.size() &&
      value >= min && value <= max) {
    return value;
  }
  AddFinding(name, fmt::format("'{}' is not an integer from {} to {}", text,
                               min, max));
  return min;
}

double OptionReader::Number(const std::string& name, double min, double max) {
  const std::string text = Text(name);
  double value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error == std::errc() && end == text.data() + text.size() &&
      value >= min && value <= max) {
    return value;
  }
  AddFinding(name,
             fmt::format("'{}' is not a number from {} to {}", text, min, max));
  return min;
}

std::string OptionReader::Required(const std::string& name) {
  std::string text = Text(name);
  if (text.empty()) AddFinding(name, "is required");
  return text;
}

std::string OptionReader::Choice(const std::string& name,
                                 const std::vector<std::string>& choices) {
  std::string text = Text(name);
  if (std::find(choices.begin(), choices.end(), text) == choices.end()) {
    AddFinding(name, fmt::format("'{}' is not one of {}", text,
                                 fmt::join(choices, ", ")));
  }
  return text;
}

void OptionReader::PrintFindings() const {
  for (const Finding& finding : findings_.items()) {
    fmt::print(stderr, "{}: {}\n", finding.place, finding.message);
  }
}

std::vector<std::string> Split(std::string_view text, char separator) {
  std::vector<std::string> parts;
  while (!text.empty()) {
    const std::size_t end = text.find(separator);
    parts.emplace_back(text.substr(0, end));
    if (end == std::string_view::npos) break;
    text.remove_prefix(end + 1);
  }
  return parts;
}

void RaiseOpenFilesLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

}  // namespace cassiausher
