#include "drivers/lingering_closer.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <utility>

#include "core/log.h"
#include "drivers/clock.h"
#include "drivers/task.h"

namespace cassiausher {
namespace {

constexpr Duration kPollPeriod = Milliseconds(20);
// A caller that has everything may need this long to close its side.
constexpr Duration kSilentCallerTimeout = Seconds(1);
// A caller that acknowledges nothing for so long doesn't read any more.
constexpr Duration kStalledCallerTimeout = Seconds(10);
// Limits what is read from one connection at each poll; a caller that sends
// more is slowed down by its own window.
constexpr int kMaxReadsPerPoll = 8;

enum class Input { kOpen, kClosed, kBroken };

Input DiscardInput(int descriptor) {
  std::array<char, 8 << 10> buffer;
  for (int i = 0; i < kMaxReadsPerPoll; ++i) {
    const ssize_t size =
        recv(descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (size > 0) continue;
    if (size == 0) return Input::kClosed;
    const bool waits =
        errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    return waits ? Input::kOpen : Input::kBroken;
  }
  return Input::kOpen;
}

// Over TLS, closing the output stream sends the close_notify alert first.
void ShutDownSending(const EndedConnection& connection) {
  GIOStream* transport = connection.transport.get();
  if (!G_IS_TLS_CONNECTION(transport)) {
    shutdown(g_socket_get_fd(connection.socket.get()), SHUT_WR);
    return;
  }
  GSocket* socket = connection.socket.get();
  g_output_stream_close_async(
      g_io_stream_get_output_stream(transport), G_PRIORITY_DEFAULT, nullptr,
      [](GObject* source, GAsyncResult* result, gpointer data) {
        const GObjectPtr<GSocket> ended(static_cast<GSocket*>(data));
        g_output_stream_close_finish(G_OUTPUT_STREAM(source), result, nullptr);
        const int descriptor = g_socket_get_fd(ended.get());
        if (descriptor >= 0) shutdown(descriptor, SHUT_WR);
      },
      g_object_ref(socket));
}

}  // namespace

void LingeringCloser::Close(EndedConnection connection, Time now) {
  ShutDownSending(connection);
  const std::int64_t bytes = UnacknowledgedBytes(connection.socket.get());
  connections_.push_back({.connection = std::move(connection),
                          .unacknowledged = bytes,
                          .progress_at = now});
  if (timer_) return;
  timer_ = AddTimer(context_, kPollPeriod, [this] { Poll(BootTimeNow()); });
}

bool LingeringCloser::IsOver(Lingering& lingering, Time now) {
  GSocket* socket = lingering.connection.socket.get();
  const Input input = DiscardInput(g_socket_get_fd(socket));
  if (input == Input::kBroken) return true;
  const std::int64_t bytes = UnacknowledgedBytes(socket);
  if (bytes != lingering.unacknowledged) lingering.progress_at = now;
  lingering.unacknowledged = bytes;
  if (bytes == 0 && input == Input::kClosed) return true;
  const Duration timeout =
      bytes == 0 ? kSilentCallerTimeout : kStalledCallerTimeout;
  return now - lingering.progress_at >= timeout;
}

void LingeringCloser::Poll(Time now) {
  for (auto it = connections_.begin(); it != connections_.end();) {
    if (!IsOver(*it, now)) {
      ++it;
      continue;
    }
    if (it->unacknowledged > 0) {
      Log(LogLevel::kInfo, "answer_not_taken",
          {{"request", it->connection.label},
           {"kernel_bytes", it->unacknowledged}});
    }
    // The streams are released after their socket is closed, so that they
    // don't write to it.
    g_socket_close(it->connection.socket.get(), nullptr);
    it = connections_.erase(it);
  }
  if (connections_.empty()) timer_.reset();
}

std::vector<UnsentAnswer> LingeringCloser::Unsent() const {
  std::vector<UnsentAnswer> unsent;
  for (const Lingering& lingering : connections_) {
    const EndedConnection& connection = lingering.connection;
    const std::int64_t bytes = UnacknowledgedBytes(connection.socket.get());
    if (bytes == 0) continue;
    unsent.push_back({.label = connection.label,
                      .handed_over = true,
                      .kernel_bytes = bytes});
  }
  return unsent;
}

}  // namespace cassiausher
