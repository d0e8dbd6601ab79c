#include "main/daemon/call_sink.h"

#include <utility>
#include <vector>

#include "main/daemon/active_request.h"

namespace cassiausher {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
constexpr int kStatusServerError = 500;
constexpr int kStatusUnavailable = 503;

// Answers to prefill calls are small; a plain service's may be large.
constexpr std::size_t kMaxPrefillAnswerBytes = 1 << 20;
constexpr std::size_t kMaxPlainAnswerBytes = 64 << 20;

}  // namespace

CallOutcome OutcomeOf(int status, bool sent) {
  if (!sent) return CallOutcome::kNotSent;
  if (status == kStatusNotFound || status == kStatusConflict) {
    return CallOutcome::kNotFound;
  }
  // 500 and 502 may be sent after the work has started, 503 and 4xx only
  // before.
  if (status == kStatusUnavailable ||
      (status >= 400 && status < kStatusServerError)) {
    return CallOutcome::kRefused;
  }
  return CallOutcome::kBroken;
}

void CallSink::OnHeaders(int status, SoupMessageHeaders* headers) {
  status_ = status;
  const char* type = soup_message_headers_get_one(headers, "Content-Type");
  if (type != nullptr) content_type_ = type;
}

void PrefillSink::OnBody(std::string_view bytes) {
  if (body_.size() + bytes.size() > kMaxPrefillAnswerBytes) return;
  body_.append(bytes);
}

void PrefillSink::OnDone(std::string_view error, bool sent) {
  owner_.OnPrefillAnswer(call_, status_, body_, error, sent);
}

void DecodeSink::OnBody(std::string_view bytes) {
  if (status_ != kStatusOk) return;
  std::vector<StreamChunk> chunks;
  const bool well_formed = parser_->Feed(bytes, &chunks);
  owner_.OnChunks(call_, std::move(chunks));
  if (!well_formed) owner_.OnDecodeEnd(call_, CallOutcome::kBroken);
}

void DecodeSink::OnDone(std::string_view, bool sent) {
  // After a complete answer the flow no longer tracks the call and ignores
  // this.
  owner_.OnDecodeEnd(call_, OutcomeOf(status_, sent));
}

void PlainSink::OnBody(std::string_view bytes) {
  if (body_.size() + bytes.size() > kMaxPlainAnswerBytes) {
    owner_.OnDecodeEnd(call_, CallOutcome::kBroken);
    return;
  }
  body_.append(bytes);
}

void PlainSink::OnDone(std::string_view error, bool sent) {
  if (!error.empty()) {
    owner_.OnDecodeEnd(call_,
                       sent ? CallOutcome::kBroken : CallOutcome::kNotSent);
    return;
  }
  owner_.OnPlainAnswer(call_, status_, content_type_, std::move(body_));
}

}  // namespace cassiausher
