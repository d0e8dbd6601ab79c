#include "core/host_name.h"

#include <algorithm>

namespace cassiausher {

std::string CanonicalHost(std::string_view host) {
  std::string canonical(host);
  std::ranges::transform(canonical, canonical.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return canonical;
}

std::string_view HostOf(std::string_view authority) {
  const std::size_t colon = authority.rfind(':');
  const bool in_literal = colon != std::string_view::npos &&
                          authority.find(']', colon) != std::string_view::npos;
  return in_literal ? authority : authority.substr(0, colon);
}

}  // namespace cassiausher
