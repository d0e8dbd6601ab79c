// HTTP client of one task for calls to endpoints, based on libcurl. The
// response body is passed on in pieces as they arrive.
//
// libsoup's client isn't used: it treats a chunked body as complete when the
// connection closes between two chunks, and resends a call that is answered
// 421.
#ifndef DRIVERS_HTTP_CLIENT_H_
#define DRIVERS_HTTP_CLIENT_H_

#include <libsoup/soup.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/time.h"
#include "drivers/gobject_ptr.h"

namespace cassiausher {

struct HttpCall {
  std::string method = "POST";
  std::string url;
  std::vector<std::pair<std::string, std::string>> headers;
  /// Empty: Content-Type is in `headers`, or isn't sent.
  std::string content_type = "application/json";
  std::string body;
  /// Always opens a connection, so that the call can't be lost on a pooled one
  /// whose remote end no longer responds. The connection isn't reused.
  bool new_connection = false;
  /// A longer body ends the call; 0 for no limit.
  std::int64_t max_body_bytes = 0;
  /// The call fails after this time; 0 for no limit.
  Duration timeout{};
  /// Only opens a connection and closes it; nothing is sent.
  bool connect_only = false;
  /// libcurl may resend the call when a pooled connection turns out to be
  /// closed. If false, every call but GET opens a new connection.
  bool repeatable = false;
};

/// Receives the response to one call, on the client's task. The calls come in
/// this order: OnHeaders at most once, with the status of a final answer (200
/// to 599); only after it OnBody; OnDone. A call that is answered by bytes
/// without a sound head, or by 101, ends with an error and without OnHeaders.
class HttpCallSink {
 public:
  virtual ~HttpCallSink() = default;
  virtual void OnHeaders(int status, SoupMessageHeaders* headers) = 0;
  virtual void OnBody(std::string_view bytes) = 0;
  /// The remote end sent more headers, body, chunk framing or trailers than the
  /// answer may have. OnDone follows with an error; the call isn't cancelled in
  /// between.
  virtual void OnExcess(std::string_view /*what*/) {}
  /// Called last. `error` is empty only if the head and the body are complete,
  /// or for a `connect_only` call if it connected. `sent` is false if
  /// no connection could be established, so that the remote end got nothing.
  virtual void OnDone(std::string_view error, bool sent) = 0;
};

class HttpClient {
 public:
  HttpClient();
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  using CallId = std::uint64_t;

  /// The sink must outlive the call: until OnDone or Cancel.
  CallId Start(const HttpCall& call, HttpCallSink* sink);
  /// Aborts the call and closes its connection; the sink isn't called again.
  void Cancel(CallId id);
  /// Stops reading from the connection of an open call, so that its remote end
  /// is slowed down by its own window. The end of the connection isn't noticed
  /// either. What was read before may still be delivered.
  void Pause(CallId id);
  void Resume(CallId id);
  /// Whether the remote end may have received any part of an open call.
  bool WasSent(CallId id) const;

 private:
  struct Pending;
  struct Loop;

  void Prepare(const HttpCall& call, Pending* pending);
  static void WatchLimits(Pending* pending);
  void Deliver();
  void DeliverOne(CallId id);

  std::unique_ptr<Loop> loop_;
  std::unordered_map<CallId, std::unique_ptr<Pending>> pending_;
  CallId next_id_ = 1;
};

}  // namespace cassiausher

#endif  // DRIVERS_HTTP_CLIENT_H_
