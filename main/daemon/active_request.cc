#include "main/daemon/active_request.h"

#include <fmt/format.h>

#include <utility>

#include "drivers/clock.h"
#include "main/daemon/call_sink.h"
#include "main/daemon/cancel_queue.h"
#include "main/error_body.h"

namespace cassiausher {
namespace {

constexpr int kStatusOk = 200;
constexpr Duration kOfferPeriod = Seconds(2);
constexpr int kStatusUnavailable = 503;

RouteRequest ToRouteRequest(const CallerRequest& request,
                            const InstanceId& entry, Time now) {
  RouteRequest route;
  route.id = request.id;
  route.entry = entry;
  route.service = request.service;
  route.class_id = request.class_id;
  route.account = request.account;
  route.arrived = now;
  route.prompt_tokens = request.prompt_tokens;
  route.max_output_tokens = request.max_output_tokens;
  route.prefix_hashes = request.prefix_hashes;
  route.idempotent = request.idempotent;
  route.delivered_tokens =
      Tokens(static_cast<std::int64_t>(request.received_chunks));
  return route;
}

ErrorAnswer ToError(const FailAnswer& failure) {
  ErrorAnswer error{.status = kStatusUnavailable,
                    .type = "unavailable",
                    .code = "unavailable",
                    .message = failure.message,
                    .not_run = failure.not_run,
                    .retry_after = failure.retry_after};
  switch (failure.kind) {
    case FailureKind::kOverloaded:
      error.type = "overloaded";
      error.code = "overloaded";
      break;
    case FailureKind::kUnknownService:
      error.status = 404;
      error.type = "invalid_request";
      error.code = "unknown_service";
      break;
    case FailureKind::kPromptTooLong:
      error.status = 413;
      error.type = "invalid_request";
      error.code = "prompt_too_long";
      break;
    case FailureKind::kUnavailable:
      break;
    case FailureKind::kOutcomeUnknown:
      error.status = 502;
      error.type = "unknown_outcome";
      error.code = "outcome_unknown";
      break;
    case FailureKind::kAccountLimit:
      error.status = 429;
      error.type = "limit";
      error.code = "account_limit";
      break;
  }
  return error;
}

}  // namespace

ActiveRequest::ActiveRequest(ServingContext& context, CallerRequest request,
                             bool plain, bool claimed, HttpExchangePtr exchange,
                             Time now)
    : context_(context),
      request_(std::move(request)),
      plain_(plain),
      claimed_(claimed),
      exchange_(std::move(exchange)),
      started_at_(now),
      flow_(ToRouteRequest(request_, context.settings.instance, now), {}, now) {
}

ActiveRequest::~ActiveRequest() {
  for (auto& [id, call] : calls_) context_.http.Cancel(call.http);
}

void ActiveRequest::Start(Time now) {
  context_.metrics.open.Add(1);
  exchange_->WatchClose([this] { OnCallerGone(); });
  flow_.Start(now);
  Apply(now);
}

void ActiveRequest::OnCallerGone() {
  const Time now = MonotonicNow();
  flow_.OnCallerGone(now);
  RecordOutcome(
      flow_.decode_sent() ? RecordState::kUnknown : RecordState::kNotRun, {});
  context_.metrics.cancelled.Add();
  OnEnded();
  Apply(now);
}

void ActiveRequest::OnGranted(const PlacementGranted& granted, Time now) {
  const bool expected = !flow_.done() && !flow_.placed() &&
                        granted.attempt == flow_.request().attempt;
  if (expected) {
    placement_ = granted;
    last_offer_at_ = now;
    flow_.OnGrant(granted.grant, now);
    Apply(now);
    return;
  }
  // A duplicate of the current grant is harmless; any other placement must be
  // returned to its pool.
  const bool duplicate =
      flow_.placed() &&
      granted.pool.data_centre == placement_.pool.data_centre &&
      granted.attempt == placement_.attempt;
  if (duplicate) return;
  context_.to_control(PlacementProgress{
      request_.id, granted.pool, {FlowProgress::kCancelled, {}, {}}});
}

void ActiveRequest::OnRefused(const PlacementRefused& refused, Time now) {
  if (refused.attempt != flow_.request().attempt) return;
  if (refused.refusal.reason == RefusalReason::kAccountLimit) {
    admitted_ = false;
  }
  flow_.OnRefusal(refused.refusal, now);
  Apply(now);
}

void ActiveRequest::OnPoolOwnerChanged(const PoolAddress& pool, Time now) {
  if (flow_.done() || pool.service != request_.service) return;
  if (!flow_.placed()) {
    flow_.OnOwnerChanged(now);
    Apply(now);
    return;
  }
  if (pool.data_centre != placement_.pool.data_centre) return;
  placement_.pool = pool;
  context_.to_control(RequestOffered{flow_.ToAdopted(), pool});
}

void ActiveRequest::Tick(Time now) {
  // The offer tells a new pool owner, or one that missed a message, that the
  // request still needs what the endpoint holds.
  if (flow_.placed() && now - last_offer_at_ >= kOfferPeriod) {
    last_offer_at_ = now;
    context_.to_control(RequestOffered{flow_.ToAdopted(), placement_.pool});
  }
  if (now < flow_.deadline()) return;
  flow_.Tick(now);
  Apply(now);
}

void ActiveRequest::End(Time now) {
  if (flow_.done()) return;
  const bool not_run = !flow_.decode_sent();
  flow_.OnCallerGone(now);
  Execute(FailAnswer{.kind = not_run ? FailureKind::kUnavailable
                                     : FailureKind::kOutcomeUnknown,
                     .not_run = not_run,
                     .message = "this instance is shutting down"},
          now);
  Apply(now);
}

RequestRow ActiveRequest::Row(Time now) const {
  RequestRow row;
  row.id = request_.id;
  row.entry = context_.settings.instance;
  row.service = request_.service;
  row.class_id = request_.class_id;
  row.account = request_.account;
  row.stage = !flow_.placed()          ? RequestStage::kQueued
              : flow_.delivered() == 0 ? RequestStage::kPrefill
                                       : RequestStage::kDecode;
  if (flow_.placed()) {
    row.prefill = placement_.grant.prefill;
    row.decode = placement_.grant.decode;
  }
  row.age = now - started_at_;
  // The control task subtracts the class's target.
  row.late =
      first_chunk_at_ == Time{} ? row.age : first_chunk_at_ - started_at_;
  return row;
}

void ActiveRequest::Apply(Time now) {
  for (;;) {
    const std::vector<FlowOutput> outputs = flow_.TakeOutputs();
    if (outputs.empty()) break;
    for (const FlowOutput& output : outputs) {
      std::visit([&](const auto& value) { Execute(value, now); }, output);
    }
  }
  Flush();
}

void ActiveRequest::Flush() {
  if (unwritten_events_.empty()) return;
  exchange_->Write(unwritten_events_);
  unwritten_events_.clear();
  if (exchange_->unsent_bytes() <= context_.settings.limits.unsent_bytes) {
    return;
  }
  if (flow_.done()) return;
  context_.metrics.slow_callers.Add();
  exchange_->Abort();
  OnCallerGone();
}

void ActiveRequest::Execute(const RequestPlacement& output, Time) {
  if (output.request.attempt > 0) context_.metrics.placed_again.Add();
  context_.to_control(
      PlacementRequested{output.request, !placement_requested_});
  placement_requested_ = true;
}

CallContext ActiveRequest::MakeCallContext() const {
  return {.pool = placement_.pool.data_centre.value() + "/" +
                  placement_.pool.service.value(),
          .epoch = placement_.pool.epoch,
          .priority = placement_.grant.priority};
}

void ActiveRequest::StartCall(FlowCallId id, const EndpointCall& call,
                              bool new_connection,
                              std::unique_ptr<CallSink> sink) {
  OpenCall& open = calls_[id];
  open.sink = std::move(sink);
  open.http = context_.http.Start({.method = call.method,
                                   .url = call.url,
                                   .headers = call.headers,
                                   .content_type = call.content_type,
                                   .body = call.body,
                                   .new_connection = new_connection,
                                   .repeatable = !new_connection},
                                  open.sink.get());
}

void ActiveRequest::Execute(const StartPrefill& output, Time) {
  StartCall(
      output.call,
      context_.driver.BuildPrefill(request_, MakeCallContext(), output.url),
      flow_.request().attempt > 0,
      std::make_unique<PrefillSink>(*this, output.call));
}

EndpointCall ActiveRequest::BuildPlainCall(const std::string& url) const {
  EndpointCall call;
  call.method = request_.method;
  call.url = url + request_.path;
  call.content_type = request_.content_type;
  call.body = request_.body;
  call.headers.emplace_back("X-Request-Id", request_.id.value());
  if (!request_.key.empty()) {
    call.headers.emplace_back("Idempotency-Key", request_.key.value());
  }
  return call;
}

void ActiveRequest::Execute(const StartDecode& output, Time) {
  // A reused connection may be dead, or closed by the endpoint at the moment of
  // the call, which would leave the outcome unknown.
  const bool new_connection =
      output.resume || !request_.idempotent || flow_.request().attempt > 0;
  if (plain_) {
    if (output.resume) {
      flow_.OnDecodeFailed(output.call, CallOutcome::kNotFound, MonotonicNow());
      return;
    }
    StartCall(output.call, BuildPlainCall(output.url), new_connection,
              std::make_unique<PlainSink>(*this, output.call));
    return;
  }
  if (output.resume) context_.metrics.resumes.Add();
  const EndpointCall call =
      output.resume ? context_.driver.BuildResume(request_, MakeCallContext(),
                                                  output.url, flow_.delivered())
                    : context_.driver.BuildDecode(
                          request_, MakeCallContext(), output.url,
                          output.transfer_parameters, text_, flow_.delivered());
  StartCall(
      output.call, call, new_connection,
      std::make_unique<DecodeSink>(
          *this, output.call, context_.driver.NewChunkParser(request_.chat)));
}

void ActiveRequest::Execute(const StopCall& output, Time) {
  const auto found = calls_.find(output.call);
  if (found == calls_.end()) return;
  context_.http.Cancel(found->second.http);
}

void ActiveRequest::Execute(const CancelAtEndpoint& output, Time now) {
  if (plain_) return;
  context_.cancels->Add(request_.id, output.endpoint, output.url,
                        placement_.pool, now);
}

void ActiveRequest::Execute(const DeliverChunk& output, Time now) {
  context_.metrics.chunks.Add();
  if (last_chunk_at_ == Time{}) {
    first_chunk_at_ = now;
    context_.metrics.first_token.Record(now - started_at_);
  } else {
    context_.metrics.between_tokens.Record(now - last_chunk_at_);
  }
  last_chunk_at_ = now;
  text_ += output.chunk.text;
  if (plain_ || !request_.stream) return;
  if (!exchange_->streaming()) {
    exchange_->StartStream(kStatusOk, "text/event-stream",
                           {{"X-Request-Id", request_.id.value()}});
  }
  unwritten_events_ += context_.driver.FormatChunk(request_, output.chunk);
}

void ActiveRequest::RecordOutcome(RecordState state, RecordedAnswer answer) {
  if (!claimed_) return;
  context_.to_control(OutcomeReported{{.key = {request_.account, request_.key},
                                       .request = request_.id,
                                       .state = state,
                                       .answer = std::move(answer)}});
}

void ActiveRequest::OnEnded() {
  context_.metrics.open.Add(-1);
  context_.to_control(RequestEnded{request_.account, admitted_});
}

void ActiveRequest::Execute(const CompleteAnswer& output, Time) {
  context_.metrics.answered.Add();
  OnEnded();
  const HttpHeaders headers = {{"X-Request-Id", request_.id.value()}};
  if (plain_) {
    RecordOutcome(RecordState::kCompleted, {.status = plain_status_,
                                            .content_type = plain_content_type_,
                                            .body = text_});
    exchange_->Respond(plain_status_, plain_content_type_, text_, headers);
    return;
  }
  if (claimed_) {
    RecordOutcome(
        RecordState::kCompleted,
        {.status = kStatusOk,
         .content_type = "application/json",
         .body = context_.driver.FormatAnswer(
             request_, text_, output.finish_reason, output.output_tokens)});
  }
  if (request_.stream) {
    unwritten_events_ += context_.driver.FormatStreamEnd();
    exchange_->Write(unwritten_events_);
    unwritten_events_.clear();
    exchange_->EndStream();
    return;
  }
  exchange_->Respond(
      kStatusOk, "application/json",
      context_.driver.FormatAnswer(request_, text_, output.finish_reason,
                                   output.output_tokens),
      headers);
}

void ActiveRequest::Execute(const FailAnswer& output, Time) {
  const bool outcome_unknown = output.kind == FailureKind::kOutcomeUnknown;
  Counter& counter = outcome_unknown  ? context_.metrics.unknown_outcome
                     : output.not_run ? context_.metrics.refused
                                      : context_.metrics.failed;
  counter.Add();
  OnEnded();
  RecordOutcome(output.not_run ? RecordState::kNotRun : RecordState::kUnknown,
                {});
  const ErrorAnswer error = ToError(output);
  if (!exchange_->streaming()) {
    RespondError(*exchange_, error, request_.id.value());
    return;
  }
  // The status line is already sent, so the error is sent as an event; the
  // missing "[DONE]" shows that the answer is incomplete.
  unwritten_events_ +=
      fmt::format("event: error\ndata: {}\n\n", FormatError(error));
  exchange_->Write(unwritten_events_);
  unwritten_events_.clear();
  exchange_->EndStream();
}

void ActiveRequest::Execute(const ReportProgress& output, Time) {
  // Without a placement only the pool that was asked for one knows the request.
  PoolAddress pool = placement_.pool;
  pool.service = request_.service;
  context_.to_control(PlacementProgress{request_.id, pool, output});
}

void ActiveRequest::OnPrefillAnswer(FlowCallId call, int status,
                                    const std::string& body,
                                    std::string_view error, bool sent) {
  const Time now = MonotonicNow();
  PrefillResult result;
  const bool succeeded = error.empty() && status == kStatusOk;
  if (succeeded && context_.driver.ParsePrefill(body, &result)) {
    flow_.OnPrefillDone(call, result, now);
  } else {
    flow_.OnPrefillFailed(call, OutcomeOf(status, sent), now);
  }
  Apply(now);
}

void ActiveRequest::OnChunks(FlowCallId call, std::vector<StreamChunk> chunks) {
  const Time now = MonotonicNow();
  for (StreamChunk& chunk : chunks) {
    flow_.OnChunk(call, std::move(chunk), now);
  }
  Apply(now);
}

void ActiveRequest::OnDecodeEnd(FlowCallId call, CallOutcome outcome) {
  const Time now = MonotonicNow();
  flow_.OnDecodeFailed(call, outcome, now);
  Apply(now);
}

void ActiveRequest::OnPlainAnswer(FlowCallId call, int status,
                                  std::string content_type, std::string body) {
  if (status == kStatusUnavailable) {
    OnDecodeEnd(call, CallOutcome::kRefused);
    return;
  }
  plain_status_ = status;
  plain_content_type_ =
      content_type.empty() ? "application/octet-stream" : content_type;
  std::vector<StreamChunk> chunks;
  chunks.push_back({1, std::move(body), "stop"});
  OnChunks(call, std::move(chunks));
}

}  // namespace cassiausher
