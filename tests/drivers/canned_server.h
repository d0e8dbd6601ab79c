// An HTTP server for tests that answers with arbitrary bytes.
#ifndef TESTS_DRIVERS_CANNED_SERVER_H_
#define TESTS_DRIVERS_CANNED_SERVER_H_

#include <gio/gio.h>
#include <sys/socket.h>

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

#include "drivers/gobject_ptr.h"

namespace cassiausher {

/// Sends the same bytes on each connection and closes it, or with `resets`
/// resets it a moment later.
class CannedServer {
 public:
  explicit CannedServer(std::string response, bool resets = false)
      : response_(std::move(response)),
        resets_(resets),
        listener_(g_socket_listener_new()) {
    port_ =
        g_socket_listener_add_any_inet_port(listener_.get(), nullptr, nullptr);
    thread_ = std::thread([this] { Serve(); });
  }
  ~CannedServer() {
    g_cancellable_cancel(stop_.get());
    thread_.join();
  }

  guint16 port() const { return port_; }
  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(port_) + "/a/../b?q=%20";
  }
  int connections() const { return connections_; }
  /// Sends these bytes on later connections.
  void AnswerWith(std::string response) {
    const std::lock_guard<std::mutex> lock(mutex_);
    response_ = std::move(response);
  }
  /// First line of the last request.
  std::string request_line() const { return request_line_; }

 private:
  void Serve() {
    for (;;) {
      const GObjectPtr<GSocketConnection> connection(g_socket_listener_accept(
          listener_.get(), nullptr, stop_.get(), nullptr));
      if (!connection) return;
      ++connections_;
      char buffer[4096];
      GInputStream* input =
          g_io_stream_get_input_stream(G_IO_STREAM(connection.get()));
      const gssize size = g_input_stream_read(input, buffer, sizeof(buffer),
                                              stop_.get(), nullptr);
      if (size > 0) {
        const std::string request(buffer, static_cast<std::size_t>(size));
        request_line_ = request.substr(0, request.find('\r'));
      }
      GOutputStream* output =
          g_io_stream_get_output_stream(G_IO_STREAM(connection.get()));
      const std::string response = Response();
      g_output_stream_write_all(output, response.data(), response.size(),
                                nullptr, stop_.get(), nullptr);
      if (resets_) Reset(connection.get());
    }
  }

  std::string Response() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return response_;
  }

  // Leaves the receiver time to read the bytes, which a reset discards.
  static void Reset(GSocketConnection* connection) {
    constexpr gulong kReadTimeUs = 50000;
    g_usleep(kReadTimeUs);
    const linger now{.l_onoff = 1, .l_linger = 0};
    const int descriptor =
        g_socket_get_fd(g_socket_connection_get_socket(connection));
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  }

  std::mutex mutex_;
  /// Guarded by `mutex_`.
  std::string response_;
  bool resets_ = false;
  GObjectPtr<GSocketListener> listener_;
  GObjectPtr<GCancellable> stop_{g_cancellable_new()};
  guint16 port_ = 0;
  std::atomic<int> connections_ = 0;
  std::string request_line_;
  std::thread thread_;
};

}  // namespace cassiausher

#endif  // TESTS_DRIVERS_CANNED_SERVER_H_
