#include "drivers/request_target.h"

#include <glib.h>

#include <algorithm>
#include <array>
#include <cstdlib>

namespace cassiausher {
namespace {

// RFC 3986, 2.2 and 2.3, besides letters and digits.
constexpr std::string_view kUnreservedAndSubDelimiters = "-._~!$&'()*+,;=";
constexpr std::string_view kPathAndQuery = ":@/?";
constexpr std::array<std::string_view, 2> kSchemes = {"http://", "https://"};

// Whether each character is a letter, a digit, of `others`, of those that any
// part of a URI may have, or begins an escape of two hexadecimal digits.
bool HasOnly(std::string_view text, std::string_view others) {
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (c == '%') {
      const bool is_escape = i + 2 < text.size() &&
                             g_ascii_isxdigit(text[i + 1]) &&
                             g_ascii_isxdigit(text[i + 2]);
      if (!is_escape) return false;
      i += 2;
      continue;
    }
    const bool allowed =
        g_ascii_isalnum(c) ||
        kUnreservedAndSubDelimiters.find(c) != std::string_view::npos ||
        others.find(c) != std::string_view::npos;
    if (!allowed) return false;
  }
  return true;
}

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

// May be empty (RFC 3986, 3.2.3).
bool IsPort(std::string_view text) {
  constexpr std::size_t kMaxDigits = 5;
  constexpr int kMaxPort = 65535;
  if (text.size() > kMaxDigits) return false;
  if (!std::all_of(text.begin(), text.end(), IsDigit)) return false;
  return std::atoi(std::string(text).c_str()) <= kMaxPort;
}

// Length of the scheme with its two slashes; 0 if the target has none.
std::size_t SchemeLength(std::string_view text) {
  for (const std::string_view scheme : kSchemes) {
    if (text.size() >= scheme.size() &&
        g_ascii_strncasecmp(text.data(), scheme.data(), scheme.size()) == 0) {
      return scheme.size();
    }
  }
  return 0;
}

}  // namespace

std::optional<RequestTarget> RequestTarget::Parse(std::string_view method,
                                                  std::string_view text) {
  RequestTarget target;
  if (method == "CONNECT") return std::nullopt;
  if (method == "OPTIONS" && text == "*") {
    target.text_ = text;
    return target;
  }
  if (const std::size_t scheme = SchemeLength(text); scheme > 0) {
    text.remove_prefix(scheme);
    target.authority_ = text.substr(0, text.find_first_of("/?"));
    if (!IsHostAndPort(target.authority_)) return std::nullopt;
    text.remove_prefix(target.authority_.size());
    target.text_ = text.substr(0, 1) == "/" ? "" : "/";
  } else {
    if (text.substr(0, 1) != "/") return std::nullopt;
    target.text_.clear();
  }
  if (!HasOnly(text, kPathAndQuery)) return std::nullopt;
  target.text_ += text;
  target.query_at_ = target.text_.find('?');
  return target;
}

std::string_view RequestTarget::query() const {
  if (query_at_ == std::string::npos) return {};
  return std::string_view(text_).substr(query_at_ + 1);
}

bool IsHostAndPort(std::string_view text) {
  std::string_view host = text;
  const std::size_t colon = text.rfind(':');
  const bool is_literal = text.substr(0, 1) == "[";
  const bool has_port = colon != std::string_view::npos &&
                        (!is_literal || (colon > 0 && text[colon - 1] == ']'));
  if (has_port) {
    const std::string_view port = text.substr(colon + 1);
    if (!IsPort(port)) return false;
    host = text.substr(0, colon);
  }
  if (host.empty()) return false;
  if (!is_literal) return HasOnly(host, {});
  if (host.size() < 3 || host.back() != ']') return false;
  const std::string address(host.substr(1, host.size() - 2));
  return g_hostname_is_ip_address(address.c_str()) != FALSE;
}

}  // namespace cassiausher
