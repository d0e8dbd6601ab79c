// HTTP sinks for the answers to one request's calls: prefill, decode stream and
// plain call.
#ifndef MAIN_DAEMON_CALL_SINK_H_
#define MAIN_DAEMON_CALL_SINK_H_

#include <memory>
#include <string>
#include <string_view>

#include "drivers/http_client.h"
#include "servers/serving/endpoint_driver.h"
#include "servers/serving/request_flow.h"

namespace cassiausher {

class ActiveRequest;

class CallSink : public HttpCallSink {
 public:
  CallSink(ActiveRequest& owner, FlowCallId call)
      : owner_(owner), call_(call) {}

  void OnHeaders(int status, SoupMessageHeaders* headers) override;

 protected:
  ActiveRequest& owner_;
  FlowCallId call_;
  int status_ = 0;
  std::string content_type_;
};

class PrefillSink : public CallSink {
 public:
  using CallSink::CallSink;
  void OnBody(std::string_view bytes) override;
  void OnDone(std::string_view error, bool sent) override;

 private:
  std::string body_;
};

class DecodeSink : public CallSink {
 public:
  DecodeSink(ActiveRequest& owner, FlowCallId call,
             std::unique_ptr<ChunkParser> parser)
      : CallSink(owner, call), parser_(std::move(parser)) {}
  void OnBody(std::string_view bytes) override;
  void OnDone(std::string_view error, bool sent) override;

 private:
  std::unique_ptr<ChunkParser> parser_;
};

class PlainSink : public CallSink {
 public:
  using CallSink::CallSink;
  void OnBody(std::string_view bytes) override;
  void OnDone(std::string_view error, bool sent) override;

 private:
  std::string body_;
};

/// Outcome of a call that brought no usable answer. `sent`: whether the request
/// was sent.
CallOutcome OutcomeOf(int status, bool sent);

}  // namespace cassiausher

#endif  // MAIN_DAEMON_CALL_SINK_H_
