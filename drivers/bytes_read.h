// Number of bytes that were read from a TCP connection.
#ifndef DRIVERS_BYTES_READ_H_
#define DRIVERS_BYTES_READ_H_

#include <cstdint>
#include <optional>

namespace cassiausher {

/// Since the connection was opened. Null if the system doesn't tell.
std::optional<std::int64_t> BytesRead(int descriptor);

}  // namespace cassiausher

#endif  // DRIVERS_BYTES_READ_H_
