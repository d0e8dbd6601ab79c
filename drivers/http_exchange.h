// One HTTP request and its response, which may be sent later, at once or as a
// stream.
#ifndef DRIVERS_HTTP_EXCHANGE_H_
#define DRIVERS_HTTP_EXCHANGE_H_

#include <libsoup/soup.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/metrics.h"
#include "drivers/answer_tracker.h"
#include "drivers/close_watcher.h"
#include "drivers/gobject_ptr.h"
#include "drivers/memory_budget.h"
#include "drivers/request_target.h"

namespace cassiausher {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// What a server shares with its exchanges, which may outlive it.
struct HttpServerState {
  AnswerTracker answers;
  /// Set by HttpServer::Listen().
  std::unique_ptr<CloseWatcher> watcher;
  /// Each answer ends its connection.
  bool draining = false;
  /// The server was destroyed, and its connections with it.
  bool stopped = false;
  std::int64_t max_unsent_bytes = 0;
  Metrics* metrics = nullptr;
  /// Null for no limit.
  std::shared_ptr<MemoryBudget> memory;
};

/// Tells whether the caller has the whole of an answer that was handed over.
/// Can outlive the exchange and the server.
class AnswerReceipt {
 public:
  AnswerReceipt(SoupServerMessage* message,
                std::shared_ptr<HttpServerState> server);

  /// Whether the caller has acknowledged all bytes, sent another request on the
  /// connection, or disconnected.
  bool IsTaken() const;

 private:
  /// Only compared: the message may be gone.
  SoupServerMessage* message_;
  GObjectPtr<GSocket> socket_;
  std::shared_ptr<HttpServerState> server_;
};

/// One request and its response. Belongs to the server's task. Responds with
/// status 500 when its last shared_ptr is released without a response.
class HttpExchange {
 public:
  HttpExchange(SoupServerMessage* message,
               std::shared_ptr<HttpServerState> server);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  std::string_view method() const;
  const RequestTarget& target() const;
  std::string_view path() const { return target().path(); }
  std::string_view query() const { return target().query(); }
  std::string_view body() const;
  /// Value of a header, or empty.
  std::string_view header(const char* name) const;
  /// All request headers, in order.
  HttpHeaders headers() const;

  /// Names the answer in the log if it can't be sent in full.
  void SetLabel(std::string_view label);

  /// Adds a header to the answer, whatever it will be, or replaces it.
  void SetAnswerHeader(const char* name, const std::string& value);

  /// Calls `on_closed` once if the caller closes the connection before the
  /// response is complete. Calling it again replaces the callback.
  void WatchClose(std::function<void()> on_closed);

  void Respond(int status, std::string_view content_type, std::string_view body,
               const HttpHeaders& headers = {});
  /// Takes the body over in pieces, which are released as they are sent. Its
  /// type is in `headers`.
  void RespondPieces(int status, std::vector<std::string> pieces,
                     const HttpHeaders& headers);
  void StartStream(int status, std::string_view content_type,
                   const HttpHeaders& headers = {});
  void Write(std::string_view bytes);
  void EndStream();
  /// Closes the connection at once, so that an unfinished stream doesn't look
  /// complete.
  void Abort();

  /// True once the response is complete or the caller has disconnected.
  bool finished() const { return finished_; }
  bool streaming() const { return streaming_; }
  /// For the answer that was just handed over.
  AnswerReceipt receipt() const { return {message_.get(), server_}; }
  /// Bytes written to the stream and not yet accepted by the socket.
  std::int64_t unsent_bytes() const { return unsent_bytes_; }
  /// The same over all answers of the server.
  std::int64_t unsent_bytes_of_server() const {
    return server_->answers.process_bytes();
  }
  /// Calls `on_sent` each time the socket has accepted bytes of the stream.
  void WatchSent(std::function<void()> on_sent);

 private:
  void Finish();
  void OnTransportFinished();
  void OnCallerClosed();
  /// Takes the connection over from libsoup and closes it. libsoup doesn't see
  /// that a connection was closed while a message on it is paused.
  void DropConnection();
  void SetHeaders(const HttpHeaders& headers);
  void LimitUnsent();

  GObjectPtr<SoupServerMessage> message_;
  std::shared_ptr<HttpServerState> server_;
  std::function<void()> on_closed_;
  std::function<void()> on_sent_;
  gulong finished_handler_ = 0;
  gulong wrote_handler_ = 0;
  int watched_descriptor_ = -1;
  bool streaming_ = false;
  bool finished_ = false;
  std::int64_t unsent_bytes_ = 0;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

}  // namespace cassiausher

#endif  // DRIVERS_HTTP_EXCHANGE_H_
