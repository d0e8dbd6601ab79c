// HTTP calls of one task to endpoints, on libcurl. The answer's body arrives in
// pieces as the network delivers them.
//
// libsoup's client takes a chunked body whose connection ends between two
// chunks for complete, and sends a call again that is answered 421.
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

#include "drivers/gobject_ptr.h"

namespace cassiausher {

struct HttpCall {
  std::string method = "POST";
  std::string url;
  std::vector<std::pair<std::string, std::string>> headers;
  /// Empty: the header is among `headers`, or there is none.
  std::string content_type = "application/json";
  std::string body;
  /// Never sent on a connection that was used before, so that a silent one
  /// can't take the call.
  bool new_connection = false;
  /// May be sent again by the library when a pooled connection turns out to be
  /// closed. Without it every call but GET opens a new connection.
  bool repeatable = false;
};

/// Receives the answer to one call, on the client's task.
class HttpCallSink {
 public:
  virtual ~HttpCallSink() = default;
  virtual void OnHeaders(int status, SoupMessageHeaders* headers) = 0;
  virtual void OnBody(std::string_view bytes) = 0;
  /// The last call. `error` is empty when the body is whole. `sent` is false
  /// when no connection could be made, so that the far end saw nothing.
  virtual void OnDone(std::string_view error, bool sent) = 0;
};

class HttpClient {
 public:
  HttpClient();
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  using CallId = std::uint64_t;

  /// The sink must live until OnDone or Cancel.
  CallId Start(const HttpCall& call, HttpCallSink* sink);
  /// Drops the call and its connection; the sink hears no more.
  void Cancel(CallId id);
  /// Whether the far end may have seen anything of the call.
  bool WasSent(CallId id) const;

 private:
  struct Pending;
  struct Loop;

  void Prepare(const HttpCall& call, Pending* pending);
  void Deliver();
  void DeliverOne(CallId id);

  std::unique_ptr<Loop> loop_;
  std::unordered_map<CallId, std::unique_ptr<Pending>> pending_;
  CallId next_id_ = 1;
};

}  // namespace cassiausher

#endif  // DRIVERS_HTTP_CLIENT_H_
