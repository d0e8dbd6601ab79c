// What Boost.Beast lets through of a message's framing, and RFC 9112 doesn't.
#ifndef DRIVERS_FRAMING_CHECKS_H_
#define DRIVERS_FRAMING_CHECKS_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace cassiausher {

/// Whether a field of these lines continues on the next line (5.2).
bool HasFoldedLine(std::string_view fields);

/// Whether the extensions of a chunk (7.1.1) hold a character that isn't text,
/// which Beast lets through in quoted strings.
bool HasControls(std::string_view extensions);

/// The value of a Content-Length field (6.2): digits alone. Null if it is
/// anything else or doesn't fit.
std::optional<std::int64_t> ParseContentLength(std::string_view value);

}  // namespace cassiausher

#endif  // DRIVERS_FRAMING_CHECKS_H_
