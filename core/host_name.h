// Names of hosts, which have no case (RFC 9110, section 4.2.3).
#ifndef CORE_HOST_NAME_H_
#define CORE_HOST_NAME_H_

#include <string>
#include <string_view>

namespace cassiausher {

/// The form by which hosts are compared: ASCII letters in lower case, whatever
/// the locale is.
std::string CanonicalHost(std::string_view host);

/// The host of an authority such as `example:80` or `[::1]:80`, as written.
std::string_view HostOf(std::string_view authority);

}  // namespace cassiausher

#endif  // CORE_HOST_NAME_H_
