#include "main/daemon/sessions_call.h"

#include <utility>

namespace cassiausher {
namespace {

constexpr int kStatusOk = 200;
// Fits 100,000 sessions of 80 bytes each; an engine holds some tens.
constexpr std::int64_t kMaxAnswerBytes = 8 << 20;

}  // namespace

SessionsCall::SessionsCall(ServingContext& context, SessionsRequested request,
                           bool new_connection)
    : context_(context), request_(std::move(request)) {
  const EndpointCall built = context_.driver.BuildSessions(request_.url);
  call_ = context_.http.Start({.method = built.method,
                               .url = built.url,
                               .headers = built.headers,
                               .new_connection = new_connection,
                               .max_body_bytes = kMaxAnswerBytes},
                              this);
}

SessionsCall::~SessionsCall() {
  if (call_ != 0) context_.http.Cancel(call_);
}

void SessionsCall::OnHeaders(int status, SoupMessageHeaders*) {
  status_ = status;
}

void SessionsCall::OnBody(std::string_view bytes) { body_.append(bytes); }

void SessionsCall::OnDone(std::string_view error, bool) {
  call_ = 0;
  SessionsListed listed{request_.endpoint, request_.service, {}};
  const bool succeeded = error.empty() && status_ == kStatusOk;
  if (!succeeded || !context_.driver.ParseSessions(body_, &listed.requests))
    return;
  context_.to_control(std::move(listed));
}

}  // namespace cassiausher
