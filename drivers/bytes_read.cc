#include "drivers/bytes_read.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cstddef>

namespace cassiausher {

std::optional<std::int64_t> BytesRead(int descriptor) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return std::nullopt;
  }
  constexpr std::size_t kNeeded = offsetof(tcp_info, tcpi_bytes_received) +
                                  sizeof(info.tcpi_bytes_received);
  if (size < kNeeded) return std::nullopt;
  int unread = 0;
  if (ioctl(descriptor, FIONREAD, &unread) != 0) return std::nullopt;
  return static_cast<std::int64_t>(info.tcpi_bytes_received) - unread;
}

}  // namespace cassiausher
