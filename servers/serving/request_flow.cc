#include "servers/serving/request_flow.h"

#include <algorithm>
#include <utility>

namespace cassiausher {
namespace {

// Maximum number of chunks that wait for an earlier one. With more, the stream
// counts as broken.
constexpr std::size_t kMaxOutOfOrderChunks = 1024;

}  // namespace

RequestFlow::RequestFlow(RouteRequest request, RequestFlowOptions options,
                         Time now)
    : request_(std::move(request)),
      options_(options),
      started_(now),
      delivered_(
          static_cast<std::uint64_t>(request_.delivered_tokens.value())) {}

void RequestFlow::Start(Time now) { SendPlacementRequest(now); }

void RequestFlow::SendPlacementRequest(Time now) {
  state_ = State::kPlacing;
  deadline_ = now + options_.place_retry;
  Emit(RequestPlacement{request_});
}

void RequestFlow::OnGrant(const Grant& grant, Time now) {
  if (state_ != State::kPlacing) return;
  grant_ = grant;
  resumes_ = 0;
  prefill_held_ = false;
  first_token_reported_ = false;
  if (grant.prefill.empty()) {
    BeginDecode({}, now);
    return;
  }
  state_ = State::kPrefill;
  call_ = next_call_++;
  deadline_ = now + grant.prefill_timeout;
  prefill_held_ = true;
  Emit(StartPrefill{call_, grant.prefill, grant.prefill_url});
}

void RequestFlow::OnRefusal(const RouteRefusal& refusal, Time) {
  if (state_ != State::kPlacing) return;
  switch (refusal.reason) {
    case RefusalReason::kOverloaded:
      return Fail(FailureKind::kOverloaded, refusal.retry_after,
                  "the latency target can't be met now");
    case RefusalReason::kUnknownService:
      return Fail(FailureKind::kUnknownService, refusal.retry_after,
                  "no endpoint serves this model");
    case RefusalReason::kPromptTooLong:
      return Fail(FailureKind::kPromptTooLong, Duration(0),
                  "the prompt is longer than any endpoint can hold");
    case RefusalReason::kRetriesSpent:
      return Fail(FailureKind::kUnavailable, refusal.retry_after,
                  "the retry budget is spent");
    case RefusalReason::kAccountLimit:
      return Fail(FailureKind::kAccountLimit, refusal.retry_after,
                  "the account's limit is reached");
  }
}

void RequestFlow::OnOwnerChanged(Time now) {
  if (state_ == State::kPlacing) SendPlacementRequest(now);
}

void RequestFlow::OnPrefillDone(FlowCallId call, const PrefillResult& result,
                                Time now) {
  if (state_ != State::kPrefill || call != call_) return;
  Emit(ReportProgress{FlowProgress::kPrefillFinished, grant_.prefill, {}});
  BeginDecode(result.transfer_parameters, now);
}

void RequestFlow::OnPrefillFailed(FlowCallId call, CallOutcome, Time now) {
  if (state_ != State::kPrefill || call != call_) return;
  RetryPlacement(grant_.prefill, now);
}

void RequestFlow::BeginDecode(const std::string& transfer_parameters,
                              Time now) {
  state_ = State::kDecode;
  call_ = next_call_++;
  deadline_ = now + DecodeTimeout(grant_.first_token_timeout);
  decode_sent_before_ = decode_sent_;
  decode_sent_ = true;
  Emit(StartDecode{.call = call_,
                   .endpoint = grant_.decode,
                   .url = grant_.decode_url,
                   .transfer_parameters = transfer_parameters,
                   .resume = false});
}

Duration RequestFlow::DecodeTimeout(Duration expected) const {
  if (request_.idempotent) return expected;
  return std::max(expected, options_.tolerated_silence);
}

void RequestFlow::OnChunk(FlowCallId call, StreamChunk chunk, Time now) {
  if (state_ != State::kDecode || call != call_) return;
  if (chunk.sequence <= delivered_) return;  // Duplicate.
  resumes_ = 0;
  deadline_ = now + DecodeTimeout(grant_.between_tokens_timeout);
  out_of_order_.emplace(chunk.sequence, std::move(chunk));
  if (out_of_order_.size() > kMaxOutOfOrderChunks) {
    Resume(now);
    return;
  }
  DeliverInOrder(now);
}

void RequestFlow::DeliverInOrder(Time) {
  while (!out_of_order_.empty() &&
         out_of_order_.begin()->first == delivered_ + 1) {
    StreamChunk chunk = std::move(out_of_order_.begin()->second);
    out_of_order_.erase(out_of_order_.begin());
    ++delivered_;
    if (!first_token_reported_) {
      first_token_reported_ = true;
      // The KV cache has been transferred from the prefill engine.
      prefill_held_ = false;
      Emit(ReportProgress{FlowProgress::kFirstToken, grant_.decode, {}});
    }
    const std::string finish_reason = chunk.finish_reason;
    Emit(DeliverChunk{std::move(chunk)});
    if (!finish_reason.empty()) {
      Complete(finish_reason);
      return;
    }
  }
}

void RequestFlow::Complete(const std::string& finish_reason) {
  state_ = State::kDone;
  deadline_ = Time::max();
  Emit(CompleteAnswer{finish_reason, delivered_});
  Emit(ReportProgress{FlowProgress::kFinished, grant_.decode,
                      Tokens(static_cast<std::int64_t>(delivered_))});
}

void RequestFlow::OnDecodeFailed(FlowCallId call, CallOutcome outcome,
                                 Time now) {
  if (state_ != State::kDecode || call != call_) return;
  if (outcome == CallOutcome::kBroken) {
    Resume(now);
    return;
  }
  // The engine didn't start the request in this call, so the previous value
  // holds, unless the call resumed an earlier one.
  if (resumes_ == 0 && delivered_ == 0) decode_sent_ = decode_sent_before_;
  RetryPlacement(grant_.decode, now);
}

void RequestFlow::Resume(Time now) {
  StopCurrentCall();
  if (resumes_ >= options_.max_resumes) {
    RetryPlacement(grant_.decode, now);
    return;
  }
  ++resumes_;
  out_of_order_.clear();
  call_ = next_call_++;
  deadline_ = now + DecodeTimeout(grant_.first_token_timeout);
  Emit(StartDecode{.call = call_,
                   .endpoint = grant_.decode,
                   .url = grant_.decode_url,
                   .transfer_parameters = {},
                   .resume = true});
}

void RequestFlow::RetryPlacement(const EndpointId& failed, Time now) {
  StopCurrentCall();
  CancelAtHolders();
  Emit(ReportProgress{FlowProgress::kFailed, failed, {}});
  out_of_order_.clear();
  if (!request_.idempotent && decode_sent_) {
    Fail(FailureKind::kOutcomeUnknown, Duration(0),
         "the engine failed after the request was sent to it");
    return;
  }
  if (request_.attempt + 1 >= options_.max_attempts) {
    Fail(FailureKind::kUnavailable, options_.unavailable_retry_after,
         "no endpoint completed the request");
    return;
  }
  ++request_.attempt;
  request_.delivered_tokens = Tokens(static_cast<std::int64_t>(delivered_));
  request_.avoid.push_back(failed);
  SendPlacementRequest(now);
}

void RequestFlow::Fail(FailureKind kind, Duration retry_after,
                       std::string message) {
  state_ = State::kDone;
  deadline_ = Time::max();
  Emit(FailAnswer{.kind = kind,
                  .not_run = !decode_sent_,
                  .retry_after = retry_after,
                  .message = std::move(message)});
}

void RequestFlow::OnCallerGone(Time) {
  if (state_ == State::kDone) return;
  const bool was_placed = placed();
  StopCurrentCall();
  if (was_placed) CancelAtHolders();
  Emit(ReportProgress{FlowProgress::kCancelled, {}, {}});
  state_ = State::kDone;
  deadline_ = Time::max();
}

void RequestFlow::StopCurrentCall() {
  if (call_ == 0) return;
  Emit(StopCall{call_});
  call_ = 0;
}

void RequestFlow::CancelAtHolders() {
  if (prefill_held_) {
    Emit(CancelAtEndpoint{grant_.prefill, grant_.prefill_url});
    prefill_held_ = false;
  }
  if (state_ == State::kDecode) {
    Emit(CancelAtEndpoint{grant_.decode, grant_.decode_url});
  }
}

void RequestFlow::Tick(Time now) {
  if (now < deadline_) return;
  switch (state_) {
    case State::kPlacing:
      if (now - started_ >= options_.place_timeout) {
        Emit(ReportProgress{FlowProgress::kCancelled, {}, {}});
        Fail(FailureKind::kUnavailable, options_.unavailable_retry_after,
             "no pool owner answered");
        return;
      }
      SendPlacementRequest(now);
      return;
    case State::kPrefill:
      RetryPlacement(grant_.prefill, now);
      return;
    case State::kDecode:
      Resume(now);
      return;
    case State::kIdle:
    case State::kDone:
      deadline_ = Time::max();
      return;
  }
}

AdoptedRequest RequestFlow::ToAdopted() const {
  AdoptedRequest adopted;
  adopted.request = request_;
  adopted.stage = state_ == State::kPrefill ? RequestStage::kPrefill
                                            : RequestStage::kDecode;
  adopted.prefill = grant_.prefill;
  adopted.decode = grant_.decode;
  return adopted;
}

std::vector<FlowOutput> RequestFlow::TakeOutputs() {
  return std::exchange(outputs_, {});
}

}  // namespace cassiausher
