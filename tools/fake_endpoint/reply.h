// Answer to one HTTP request, sent asynchronously after the request handler has
// returned.
#ifndef TOOLS_FAKE_ENDPOINT_REPLY_H_
#define TOOLS_FAKE_ENDPOINT_REPLY_H_

#include <libsoup/soup.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace cassiausher {

/// Pauses the libsoup message until the answer is available, and reports when
/// the client closes the connection before that. It owns itself until the
/// message is finished.
class Reply : public std::enable_shared_from_this<Reply> {
 public:
  static std::shared_ptr<Reply> Create(SoupServerMessage* message);
  ~Reply();
  Reply(const Reply&) = delete;
  Reply& operator=(const Reply&) = delete;

  /// Called at most once, when the client closes the connection before the
  /// answer is complete.
  void set_on_closed(std::function<void()> on_closed) {
    on_closed_ = std::move(on_closed);
  }

  /// Sends a complete JSON answer.
  void Send(unsigned status, const std::string& json);
  /// Sends the `{"error":{…}}` object of the endpoint protocol.
  void SendError(unsigned status, const std::string& code,
                 const std::string& message);

  /// Starts a chunked text/event-stream answer.
  void BeginStream();
  void Write(std::string data);
  /// Completes the body of a stream.
  void End();

  /// Bytes passed to libsoup but not yet written to the socket.
  std::int64_t unwritten_bytes() const { return unwritten_bytes_; }
  bool ended() const { return ended_; }
  /// True when a silence fault suppresses all output on the connection.
  bool silent() const;
  /// Permanently suppresses output on every open connection of this process.
  static void SilenceOpenConnections();

 private:
  explicit Reply(SoupServerMessage* message);
  void Attach();
  void OnFinished();
  void OnPeerClosed();
  void StopWatching();
  void ReportClosed();
  void Unpause();

  SoupServerMessage* message_;
  GSocket* socket_ = nullptr;
  /// -1 when the connection is not watched.
  int watched_fd_ = -1;
  std::function<void()> on_closed_;
  std::int64_t unwritten_bytes_ = 0;
  /// The answer is complete, though possibly not yet written to the socket.
  bool ended_ = false;
  /// libsoup has finished the message; it must not be modified any more.
  bool finished_ = false;
  /// Keeps the object alive until the message is finished.
  std::shared_ptr<Reply> self_;
};

}  // namespace cassiausher

#endif  // TOOLS_FAKE_ENDPOINT_REPLY_H_
