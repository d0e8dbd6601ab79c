// A call that asks an endpoint for the requests it holds memory for.
#ifndef MAIN_DAEMON_SESSIONS_CALL_H_
#define MAIN_DAEMON_SESSIONS_CALL_H_

#include <string>
#include <string_view>

#include "drivers/http_client.h"
#include "main/daemon/serving_context.h"

namespace cassiausher {

/// Posts SessionsListed when the endpoint answers. Cancels the call if
/// destroyed before.
class SessionsCall : public HttpCallSink {
 public:
  SessionsCall(ServingContext& context, SessionsRequested request,
               bool new_connection);
  ~SessionsCall() override;

  bool done() const { return call_ == 0; }

  void OnHeaders(int status, SoupMessageHeaders* headers) override;
  void OnBody(std::string_view bytes) override;
  void OnDone(std::string_view error, bool sent) override;

 private:
  ServingContext& context_;
  SessionsRequested request_;
  HttpClient::CallId call_ = 0;
  int status_ = 0;
  std::string body_;
};

}  // namespace cassiausher

#endif  // MAIN_DAEMON_SESSIONS_CALL_H_
