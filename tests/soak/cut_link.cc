// Stands for the network between one instance and the endpoints: preloaded into
// the instance by cut_soak.py, it decides what becomes of new connections to
// endpoints. The instance's own code knows nothing of it.
//
// CUT_LINK_STATE names a file whose first byte is the state of the link:
// 'h': connections hang, 'r': they are refused, anything else: they pass.
// CUT_LINK_PORT is the port of all endpoints, CUT_LINK_SOURCE the address that
// connections come from, and CUT_LINK_HOLE the address of a listener that
// accepts nothing.
#include <arpa/inet.h>
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <cstdlib>
#include <cstring>

namespace {

using ConnectFunction = int (*)(int, const sockaddr*, socklen_t);

constexpr char kHang = 'h';
constexpr char kRefuse = 'r';
// Nothing listens there.
constexpr std::uint16_t kClosedPort = 1;

const char* Environment(const char* name) {
  const char* value = std::getenv(name);  // NOLINT(concurrency-mt-unsafe)
  return value == nullptr ? "" : value;
}

std::uint16_t EndpointPort() {
  return static_cast<std::uint16_t>(std::atoi(Environment("CUT_LINK_PORT")));
}

char LinkState() {
  const int file = open(Environment("CUT_LINK_STATE"), O_RDONLY | O_CLOEXEC);
  if (file < 0) return 0;
  char state = 0;
  if (read(file, &state, 1) != 1) state = 0;
  close(file);
  return state;
}

// Lets the endpoint see which instance a connection comes from.
void BindToSource(int socket) {
  sockaddr_in source{};
  source.sin_family = AF_INET;
  inet_pton(AF_INET, Environment("CUT_LINK_SOURCE"), &source.sin_addr);
  bind(socket, reinterpret_cast<const sockaddr*>(&source), sizeof source);
}

}  // namespace

extern "C" int connect(int socket, const sockaddr* address, socklen_t length) {
  static const auto real_connect =
      reinterpret_cast<ConnectFunction>(dlsym(RTLD_NEXT, "connect"));
  sockaddr_in target{};
  if (address->sa_family != AF_INET || length < sizeof target) {
    return real_connect(socket, address, length);
  }
  std::memcpy(&target, address, sizeof target);
  if (ntohs(target.sin_port) != EndpointPort()) {
    return real_connect(socket, address, length);
  }
  BindToSource(socket);
  const char state = LinkState();
  if (state == kHang) {
    inet_pton(AF_INET, Environment("CUT_LINK_HOLE"), &target.sin_addr);
  } else if (state == kRefuse) {
    target.sin_port = htons(kClosedPort);
  }
  return real_connect(socket, reinterpret_cast<const sockaddr*>(&target),
                      sizeof target);
}
