// What tests of the HTTP server share: running its main loop, requests that
// stay open until the test answers them, and callers on plain sockets.
#ifndef TESTS_DRIVERS_HTTP_SERVER_FIXTURE_H_
#define TESTS_DRIVERS_HTTP_SERVER_FIXTURE_H_

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/time.h"
#include "drivers/http_server.h"

namespace cassiausher {

/// Iterates `context` until `done` returns true; false after the timeout.
template <typename Done>
bool RunUntil(GMainContext* context, Done done, Duration timeout = Seconds(5)) {
  const gint64 deadline = g_get_monotonic_time() + timeout.count();
  while (!done()) {
    if (g_get_monotonic_time() > deadline) return false;
    if (!g_main_context_iteration(context, FALSE)) g_usleep(200);
  }
  return true;
}

inline int OpenDescriptors() {
  int count = 0;
  for ([[maybe_unused]] const auto& entry :
       std::filesystem::directory_iterator("/proc/self/fd")) {
    ++count;
  }
  return count;
}

/// Makes the kernel accept little for a caller that doesn't read. Must be
/// called before the socket is connected.
inline void SetSmallWindow(int descriptor) {
  constexpr int kReceiveBufferBytes = 4096;
  constexpr int kSegmentBytes = 536;
  setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
             sizeof(kReceiveBufferBytes));
  setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &kSegmentBytes,
             sizeof(kSegmentBytes));
}

enum class ReceiveWindow { kDefault, kSmall };

/// A connection to 127.0.0.1 that reads only when told to.
class RawCaller {
 public:
  explicit RawCaller(std::uint16_t port,
                     ReceiveWindow window = ReceiveWindow::kDefault)
      : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    if (window == ReceiveWindow::kSmall) SetSmallWindow(socket_);
    sockaddr_in address{.sin_family = AF_INET, .sin_port = htons(port)};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    connect(socket_, reinterpret_cast<const sockaddr*>(&address),
            sizeof(address));
  }
  ~RawCaller() { close(socket_); }
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;

  /// Sends all bytes; fails the test otherwise.
  void Send(std::string_view bytes) const {
    LONGS_EQUAL(bytes.size(),
                send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL));
  }
  /// Sends what the socket takes without blocking.
  void SendWhatFits(std::string_view bytes) {
    const ssize_t size =
        send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (size > 0) sent += static_cast<std::size_t>(size);
    if (size < 0 && errno != EAGAIN) reset = true;
  }
  /// Reads what has arrived.
  void Read() {
    std::array<char, 64 << 10> buffer;
    for (;;) {
      const ssize_t size =
          recv(socket_, buffer.data(), buffer.size(), MSG_DONTWAIT);
      if (size > 0) {
        received.append(buffer.data(), static_cast<std::size_t>(size));
        continue;
      }
      if (size == 0) closed = true;
      if (size < 0 && errno != EAGAIN) reset = true;
      return;
    }
  }

  bool ended() const { return closed || reset; }
  /// Of this side.
  std::uint16_t port() const {
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
  }

  /// Bytes that SendWhatFits() has sent.
  std::size_t sent = 0;
  std::string received;
  /// The server has closed the connection in order.
  bool closed = false;
  /// The connection has failed.
  bool reset = false;

 private:
  int socket_;
};

/// Base of test groups with a server whose requests the test answers.
struct HttpServerFixture : Utest {
  void setup() override {
    context = g_main_context_new();
    g_main_context_push_thread_default(context);
  }
  void teardown() override {
    held.clear();
    server.reset();
    g_main_context_pop_thread_default(context);
    g_main_context_unref(context);
  }

  /// Replaces the server.
  void Listen(HttpServerOptions options) {
    options.address = "127.0.0.1";
    server = std::make_unique<HttpServer>(
        std::move(options),
        [this](HttpExchangePtr exchange) {
          held.push_back(std::move(exchange));
        },
        [](int, std::string_view message) { return std::string(message); });
    STRCMP_EQUAL("", server->Listen(context).c_str());
  }

  GMainContext* context = nullptr;
  std::unique_ptr<HttpServer> server;
  /// The requests in the order of their arrival.
  std::vector<HttpExchangePtr> held;
};

}  // namespace cassiausher

#endif  // TESTS_DRIVERS_HTTP_SERVER_FIXTURE_H_
