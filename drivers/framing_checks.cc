#include "drivers/framing_checks.h"

#include <algorithm>
#include <charconv>

namespace cassiausher {

bool HasFoldedLine(std::string_view fields) {
  constexpr std::string_view kLineEnd = "\r\n";
  for (std::size_t at = fields.find(kLineEnd); at != std::string_view::npos;
       at = fields.find(kLineEnd, at + kLineEnd.size())) {
    const std::string_view next = fields.substr(at + kLineEnd.size(), 1);
    if (next == " " || next == "\t") return true;
  }
  return false;
}

bool HasControls(std::string_view extensions) {
  constexpr unsigned char kDelete = 0x7f;
  return std::any_of(extensions.begin(), extensions.end(), [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return (byte < ' ' && c != '\t') || byte == kDelete;
  });
}

std::optional<std::int64_t> ParseContentLength(std::string_view value) {
  // from_chars() would take a minus sign.
  if (value.empty() || value.front() == '-') return std::nullopt;
  std::int64_t length = 0;
  const char* end = value.data() + value.size();
  const auto [rest, error] = std::from_chars(value.data(), end, length);
  if (error != std::errc() || rest != end) return std::nullopt;
  return length;
}

}  // namespace cassiausher
