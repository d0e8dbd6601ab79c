#include "main/node/forwarded_request.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "core/log.h"
#include "drivers/clock.h"
#include "drivers/task.h"
#include "main/error_body.h"
#include "main/node/handle_release.h"

namespace cassiausher {
namespace {

// Connecting takes a few milliseconds. TCP resends a lost SYN only after a
// second, by when another endpoint would have answered.
constexpr Duration kConnectTimeout = Milliseconds(120);
// A run without progress that can't fail over is checked again after this time.
constexpr Duration kProgressRecheck = Milliseconds(300);
// The endpoint pool is told of a stream's progress after this many events.
constexpr std::int64_t kEventsPerReport = 4;
// A stream may be taken up until its caller's deadline, which the caller counts
// from a moment before this instance does.
constexpr Duration kOriginMargin = Seconds(2);
// After a refusal that says nothing of the load here.
constexpr Duration kUnknownRetryAfter = Milliseconds(300);
// Limit of an answer that isn't streamed: it is held in memory until complete.
constexpr std::int64_t kMaxBufferedBytes = 16 << 20;
// An answer to a prefill call has a handle and a few numbers.
constexpr std::int64_t kMaxPrefillAnswerBytes = 64 << 10;
// A stream's endpoint isn't read from while the caller hasn't taken more than
// this, or less if the callers of this instance together lag behind.
constexpr std::int64_t kMaxUnreadBytes = 128 << 10;
constexpr std::int64_t kMaxUnreadBytesIfTight = 16 << 10;
constexpr std::int64_t kTightUnreadBytes = 4 << 20;

std::string RefusalBody(std::string_view reason, Duration retry_after) {
  return FormatError({.type = "unavailable",
                      .code = "refused",
                      .message = std::string(reason),
                      .not_run = true,
                      .retry_after = retry_after});
}

std::string FailureBody(std::string_view reason) {
  return FormatError({.type = "unknown_outcome",
                      .code = "failed",
                      .message = std::string(reason)});
}

constexpr const char* kJson = "application/json";

std::string_view Name(CallKind kind) {
  switch (kind) {
    case CallKind::kPrefill:
      return "prefill";
    case CallKind::kRun:
      return "run";
    case CallKind::kRelay:
      return "relay";
  }
  return "run";
}

constexpr int kOk = 200;
constexpr int kServerError = 500;
constexpr int kGatewayTimeout = 504;

}  // namespace

ForwardedRequest::ForwardedRequest(ForwardingContext context,
                                   HttpExchangePtr exchange,
                                   CallerHeaders caller, RequestFacts facts,
                                   const Route& route, Revision configuration)
    : context_(context),
      exchange_(std::move(exchange)),
      caller_(std::move(caller)),
      facts_(std::move(facts)),
      route_name_(route.name),
      is_stream_(route.kind == RouteKind::kStream),
      max_stream_age_(MaxStreamAge(route.timeout)),
      configuration_(configuration),
      events_(caller_.last_event_id) {}

ForwardedRequest::~ForwardedRequest() {
  if (!call_.has_value()) return;
  context_.client->Cancel(call_id_);
  context_.bytes->Remove(bytes_id_);
}

void ForwardedRequest::Start(std::function<void()> on_end) {
  on_end_ = std::move(on_end);
  const std::weak_ptr<ForwardedRequest> weak = weak_from_this();
  exchange_->WatchClose([weak] {
    if (const auto self = weak.lock()) self->OnCallerGone();
  });
  exchange_->WatchSent([weak] {
    if (const auto self = weak.lock()) self->ControlFlow();
  });
  MarkAnswer(RelayOutcome::kServed);
  TakeQuota();
}

void ForwardedRequest::Begin() {
  // The instance that relays a stream names the version that began it.
  if (TakesUp() && !facts_.begun_by.has_value()) return StartTakenUp();
  StartForwarding();
}

void ForwardedRequest::StartForwarding() {
  forwarder_.emplace(facts_,
                     ForwarderResources{.pool = context_.pool,
                                        .budget = context_.budget,
                                        .permits = context_.permits->permits(),
                                        .guard = context_.guard,
                                        .relays = context_.relays->planner()});
  Execute(forwarder_->Start(BootTimeNow()));
}

void ForwardedRequest::Execute(ForwardStep step) {
  if (const auto* call = std::get_if<StartCall>(&step)) {
    BeginCall(*call);
    return;
  }
  if (const auto* wait = std::get_if<WaitForCapacity>(&step)) {
    if (wait_deadline_ == Time{}) {
      Log(LogLevel::kInfo, "request_waits",
          {{"request", caller_.id.value()},
           {"occupancy", wait->occupancy},
           {"waiting", context_.pool->WaitingFor(facts_.service)},
           {"small_route", facts_.small_route},
           {"loads_age_ms",
            ToMilliseconds(context_.pool->LoadsAge(BootTimeNow()))}});
    }
    wait_deadline_ = wait->until;
    ArmTimer();
    return;
  }
  if (const auto* wait = std::get_if<WaitForPermit>(&step)) {
    AwaitPermit(*wait);
    return;
  }
  if (const auto* refuse = std::get_if<Refuse>(&step)) {
    RespondRefused(
        refuse->reason, refuse->retry_after,
        refuse->out_of_reach ? RelayOutcome::kUnable : RelayOutcome::kRefused);
    return;
  }
  if (const auto* fail = std::get_if<Fail>(&step)) {
    exchange_->Respond(fail->status, kJson, FailureBody(fail->reason));
    End("failed", fail->status, fail->reason);
    return;
  }
  AbortBegunStream(std::get<AbortStream>(step).reason);
}

void ForwardedRequest::AbortBegunStream(std::string_view reason) {
  if (exchange_->streaming()) {
    exchange_->Abort();
    return End("broken_off", 0, reason);
  }
  // All of its events are held, so that the caller has nothing of it yet.
  exchange_->Respond(kGatewayTimeout, kJson, FailureBody(reason));
  End("failed", kGatewayTimeout, reason);
}

void ForwardedRequest::LogWithheld() {
  if (!forwarder_.has_value()) return;
  const std::optional<VerdictId>& verdict = forwarder_->withheld_for();
  if (!verdict.has_value()) return;
  Log(LogLevel::kInfo, "call_withheld",
      {{"request", caller_.id.value()}, {"verdict", ToString(*verdict)}});
  context_.metrics->counter("calls_withheld_total").Add();
}

void ForwardedRequest::RespondRefused(std::string_view reason,
                                      Duration retry_after,
                                      RelayOutcome outcome) {
  MarkAnswer(outcome);
  exchange_->Respond(503, kJson, RefusalBody(reason, retry_after),
                     {RetryAfterHeader(retry_after)});
  End("refused", 503, reason);
}

void ForwardedRequest::BeginCall(const StartCall& call) {
  const Time now = BootTimeNow();
  call_ = call;
  call_->work.started_at = now;
  call_started_ = now;
  connect_deadline_ = now + kConnectTimeout;
  progress_deadline_.reset();
  call_first_event_at_.reset();
  long_answer_observed_ = false;
  if (call.answer_timeout > Duration(0)) {
    progress_deadline_ = now + call.answer_timeout;
  }
  answer_.reset();
  relay_answer_.reset();
  body_.Clear();
  excessive_ = false;
  const bool resumes = call.kind != CallKind::kPrefill && begun_.has_value();
  // An incomplete event of the previous run is not part of the next one.
  events_ = EventSplitter(events_.last_id());
  CallPlan plan{.kind = call.kind,
                .endpoint = call.endpoint,
                .time_left = facts_.deadline - now,
                .account = facts_.account,
                .urgency = facts_.urgency,
                .kv_source = call.kv_source};
  if (resumes) plan.resume_after = events_.last_id();
  context_.pool->OnStart(call.endpoint.id, call.work, now);
  if (call.relay.has_value()) {
    context_.relays->planner()->OnStart(call.endpoint.address, now);
  }
  ++calls_;
  Log(LogLevel::kInfo, "call_started",
      {{"request", caller_.id.value()},
       {"call", calls_},
       {"kind", Name(call.kind)},
       {"endpoint", call.endpoint.id.value()},
       {"endpoint_sequence", call.endpoint.sequence},
       {"version",
        call.endpoint.version.value_or(SoftwareVersion("unknown")).value()},
       {"takes_up", caller_.resumes.value()},
       {"resumes", resumes},
       {"kv_source", call.kv_source ? call.kv_source->address : ""},
       {"decode_runner", call.decode_runner.value()},
       {"decode_occupancy", call.decode_occupancy},
       {"loads_age_ms", ToMilliseconds(context_.pool->LoadsAge(now))},
       {"time_left_ms", ToMilliseconds(plan.time_left)}});
  const std::weak_ptr<ForwardedRequest> weak = weak_from_this();
  bytes_id_ = context_.bytes->Add(call.endpoint.id, [weak] {
    const auto self = weak.lock();
    if (self == nullptr) return;
    self->FailCall(CallFailure::kExcessive, "too many unfinished answers");
  });
  call_id_ = context_.client->Start(MakeCall(plan), this);
  ArmTimer();
}

void ForwardedRequest::OnHeaders(int status, SoupMessageHeaders* headers) {
  answer_ = ReadAnswer(status, headers, caller_.id, call_->endpoint.id);
  if (call_->kind == CallKind::kRelay) {
    const char* header = soup_message_headers_get_one(headers, kRelayHeader);
    if (!AcceptRelayAnswer(header == nullptr ? "" : header)) return;
  } else if (!AcceptEndpointAnswer()) {
    return;
  }
  CheckAnswer();
}

bool ForwardedRequest::AcceptEndpointAnswer() {
  const int status = answer_->status;
  context_.observer->OnAnswer(Observed(), call_->work, *answer_, BootTimeNow());
  // What it says of another request isn't true of this one.
  if (answer_->other_request) {
    FailCall(CallFailure::kBroken, "the answer belongs to another request");
    return false;
  }
  if (answer_->not_executed) {
    FailCall(answer_->other_endpoint ? CallFailure::kMisplaced
                                     : CallFailure::kNotExecuted,
             fmt::format("status {}, not executed", status));
    return false;
  }
  if (call_->kind != CallKind::kPrefill) return true;
  if (status != kOk) FailCall(CallFailure::kBroken, "prefill failed");
  return false;
}

void ForwardedRequest::CheckAnswer() {
  const int status = answer_->status;
  if (answer_->other_request) {
    FailCall(CallFailure::kBroken, "the answer belongs to another request");
    return;
  }
  const bool success = answer_->IsSuccess();
  if (success && !answer_->has_server_stamp) {
    FailCall(CallFailure::kBroken, "the answer has no server stamp");
    return;
  }
  // A helper has retried it already.
  const bool failed = status >= kServerError && call_->kind != CallKind::kRelay;
  if (failed && !begun_.has_value() &&
      forwarder_->TakeServerErrorRetry(BootTimeNow())) {
    FailCall(CallFailure::kServerError, fmt::format("status {}", status));
    return;
  }
  // A stream that has begun goes on with events only.
  const bool goes_on = status == kOk && answer_->event_stream;
  if (!goes_on && begun_.has_value()) {
    FailCall(CallFailure::kBroken, fmt::format("status {}, no events", status));
  }
}

ObservedCall ForwardedRequest::Observed() const {
  return {.request = caller_.id,
          .endpoint = call_->endpoint,
          .traits = facts_.traits,
          .relayed = call_->kind == CallKind::kRelay,
          .began = call_started_,
          .answering_since = call_first_event_at_};
}

void ForwardedRequest::AwaitPermit(const WaitForPermit& wait) {
  Log(LogLevel::kInfo, "permit_asked",
      {{"request", caller_.id.value()}, {"endpoint", wait.endpoint.value()}});
  wait_deadline_ = facts_.deadline;
  ArmTimer();
  const std::weak_ptr<ForwardedRequest> weak = weak_from_this();
  context_.permits->Await(
      wait.ticket,
      [weak](const std::optional<CallPermit>& permit) {
        const auto self = weak.lock();
        if (self == nullptr || self->ended_) return;
        self->Execute(self->forwarder_->OnPermit(permit, BootTimeNow()));
      },
      BootTimeNow());
}

void ForwardedRequest::OnBody(std::string_view bytes) {
  const bool relays_events = call_->kind != CallKind::kPrefill && is_stream_ &&
                             answer_->status == kOk && answer_->event_stream;
  if (relays_events) {
    OnEvents(bytes);
  } else {
    OnBuffered(bytes);
  }
}

void ForwardedRequest::OnBuffered(std::string_view bytes) {
  body_.Append(bytes);
  const std::int64_t limit = call_->kind == CallKind::kPrefill
                                 ? kMaxPrefillAnswerBytes
                                 : kMaxBufferedBytes;
  if (body_.size() > limit) {
    FailCall(CallFailure::kExcessive, "the answer is too long");
    return;
  }
  AccountBytes();
}

void ForwardedRequest::AccountBytes() {
  const std::size_t events = events_.memory_bytes() + held_events_.capacity();
  context_.bytes->Set(bytes_id_,
                      body_.size() + static_cast<std::int64_t>(events));
}

void ForwardedRequest::ControlFlow() {
  if (!call_.has_value() || !begun_.has_value()) return;
  const std::int64_t unread = exchange_->unsent_bytes() +
                              static_cast<std::int64_t>(held_events_.size());
  const bool tight = exchange_->unsent_bytes_of_server() > kTightUnreadBytes;
  const std::int64_t limit = tight ? kMaxUnreadBytesIfTight : kMaxUnreadBytes;
  if (!paused_ && unread > limit) {
    paused_ = true;
    progress_deadline_.reset();
    context_.client->Pause(call_id_);
    context_.pool->OnPaused(call_->endpoint.id, &call_->work);
    return;
  }
  if (!paused_ || unread > limit / 2) return;
  paused_ = false;
  if (call_->gap_timeout > Duration(0)) {
    progress_deadline_ = BootTimeNow() + call_->gap_timeout;
    ArmTimer();
  }
  context_.client->Resume(call_id_);
}

void ForwardedRequest::OnEvents(std::string_view bytes) {
  const std::int64_t before = events_.events();
  const std::string events = events_.Feed(bytes);
  relayed_events_ += events_.events() - before;
  ReportProgress();
  if (!events.empty()) RelayEvents(events);
  if (events_.over_limit()) {
    FailCall(CallFailure::kExcessive, "an event is too long");
    return;
  }
  ControlFlow();
  AccountBytes();
}

void ForwardedRequest::ReportProgress() {
  if (relayed_events_ - reported_events_ < kEventsPerReport) return;
  reported_events_ = relayed_events_;
  forwarder_->OnTokensGenerated(
      Tokens(relayed_events_ * facts_.tokens_per_event));
  context_.pool->OnProgress(call_->endpoint.id, forwarder_->Memory(),
                            &call_->work);
}

void ForwardedRequest::RelayEvents(const std::string& events) {
  const Time now = BootTimeNow();
  if (!first_event_at_.has_value()) {
    first_event_at_ = now;
  } else {
    longest_gap_ = std::max(longest_gap_, now - last_event_at_);
  }
  last_event_at_ = now;
  context_.pool->OnEvent(call_->endpoint.id, now, &call_->work);
  if (!call_first_event_at_.has_value()) call_first_event_at_ = now;
  ObserveLongAnswer(now);
  if (!begun_.has_value()) BeginStream();
  if (holding_) {
    held_events_ += events;
  } else {
    exchange_->Write(events);
  }
  if (call_->gap_timeout > Duration(0)) {
    progress_deadline_ = now + call_->gap_timeout;
  } else {
    progress_deadline_.reset();
  }
}

void ForwardedRequest::ObserveLongAnswer(Time now) {
  if (long_answer_observed_) return;
  if (now - *call_first_event_at_ < kSoundAnswerTime) return;
  long_answer_observed_ = true;
  context_.observer->OnLongAnswer(Observed(), now);
}

void ForwardedRequest::BeginStream() {
  begun_ = answer_;
  forwarder_->OnBegun();
  const std::optional<SoftwareVersion>& version = forwarder_->CurrentVersion();
  // A helper stores the origins of the streams that it begins.
  const bool can_be_taken_up = facts_.resumable && !TakesUp() &&
                               version.has_value() &&
                               call_->kind != CallKind::kRelay;
  holding_ = true;
  if (!can_be_taken_up) return ReleaseHeldEvents();
  const std::weak_ptr<ForwardedRequest> weak = weak_from_this();
  context_.origins->Store(
      Names(),
      {.version = *version, .expires_at = facts_.deadline + kOriginMargin},
      [weak] {
        const auto self = weak.lock();
        if (self != nullptr && !self->ended_) self->ReleaseHeldEvents();
      },
      BootTimeNow());
}

void ForwardedRequest::ReleaseHeldEvents() {
  holding_ = false;
  MarkAnswer(RelayOutcome::kServed);
  exchange_->StartStream(begun_->status, "", begun_->headers);
  if (!held_events_.empty()) exchange_->Write(std::exchange(held_events_, {}));
  if (complete_) return EndStream();
  ControlFlow();
}

void ForwardedRequest::EndStream() {
  exchange_->EndStream();
  End("answered", begun_->status, "");
}

void ForwardedRequest::OnExcess(std::string_view) { excessive_ = true; }

void ForwardedRequest::OnDone(std::string_view error, bool sent) {
  if (excessive_) {
    FailCall(CallFailure::kExcessive, error);
    return;
  }
  if (!error.empty() || !answer_.has_value()) {
    OnConnectionLost(error, sent);
    return;
  }
  if (call_->kind == CallKind::kPrefill) {
    OnPrefillComplete();
    return;
  }
  OnAnswerComplete();
}

void ForwardedRequest::OnConnectionLost(std::string_view error, bool sent) {
  context_.observer->OnConnectionLost(Observed(), sent, BootTimeNow());
  FailCall(sent ? CallFailure::kBroken : CallFailure::kNotSent, error);
}

void ForwardedRequest::OnPrefillComplete() {
  const auto handle = ReadHandle(body_.Text());
  if (!handle.has_value()) {
    FailCall(CallFailure::kBroken, "the prefill answer has no handle");
    return;
  }
  const std::string address = call_->endpoint.address;
  const EndpointId endpoint = call_->endpoint.id;
  FinishCall(WorkOutcome::kDone);
  Execute(forwarder_->OnPrefillDone(
      {.address = address, .handle = *handle, .endpoint = endpoint},
      BootTimeNow()));
}

void ForwardedRequest::OnAnswerComplete() {
  if (!events_.incomplete_event().empty()) {
    OnConnectionLost("the stream ends inside an event", true);
    return;
  }
  // Its connection may have ended before the first event.
  const bool lacks_events = answer_->ends_with_connection &&
                            answer_->event_stream && events_.events() == 0;
  if (lacks_events) {
    OnConnectionLost("the stream ends before its first event", true);
    return;
  }
  const int status = answer_->status;
  const bool server_error = status >= kServerError;
  if (!long_answer_observed_) {
    context_.observer->OnComplete(Observed(), *answer_, BootTimeNow());
  }
  const bool refused = relay_answer_.has_value() &&
                       relay_answer_->outcome == RelayOutcome::kRefused;
  EndRelay(RelayEnd::kAnswered);
  FinishCall(server_error ? WorkOutcome::kServerError : WorkOutcome::kDone);
  if (begun_.has_value()) {
    context_.answers->Observe(Tokens(relayed_events_ * facts_.tokens_per_event),
                              facts_.output);
    complete_ = true;
    wait_deadline_ = facts_.deadline;
    if (!holding_) EndStream();
    return;
  }
  RespondBuffered();
  if (refused) return End("refused", status, "by its helper");
  End(server_error ? "endpoint_error" : "answered", status, "");
}

void ForwardedRequest::RespondBuffered() {
  exchange_->RespondPieces(answer_->status, body_.TakePieces(),
                           answer_->headers);
}

void ForwardedRequest::FailCall(CallFailure failure, std::string_view reason) {
  if (!call_.has_value()) return;
  const std::string text(reason);
  const EndpointId endpoint = call_->endpoint.id;
  EndRelay(RelayEnd::kUnable);
  FinishCall(OutcomeOf(failure));
  const Time now = BootTimeNow();
  Log(LogLevel::kWarning, "call_failed",
      {{"request", caller_.id.value()},
       {"call", calls_},
       {"endpoint", endpoint.value()},
       {"failure", Name(failure)},
       {"reason", text},
       {"traits", ToString(facts_.traits)},
       {"after_ms", ToMilliseconds(now - call_started_)},
       {"circuit_open_ms",
        ToMilliseconds(context_.pool->OpenFor(endpoint, now))}});
  context_.metrics
      ->counter(
          fmt::format("call_failures_total{{failure=\"{}\"}}", Name(failure)))
      .Add();
  Execute(forwarder_->OnCallFailed(failure, BootTimeNow()));
}

void ForwardedRequest::FinishCall(WorkOutcome outcome) {
  const Time now = BootTimeNow();
  const Time first_event_or_end = call_first_event_at_.value_or(now);
  context_.client->Cancel(call_id_);
  context_.bytes->Remove(bytes_id_);
  paused_ = false;
  context_.pool->OnFinish(call_->endpoint.id, call_->work, outcome,
                          first_event_or_end - call_started_, now);
  call_.reset();
  progress_deadline_.reset();
}

void ForwardedRequest::GiveUpCall(WorkOutcome outcome) {
  if (context_.client->WasSent(call_id_)) {
    context_.observer->OnGivenUp(Observed(), BootTimeNow());
  }
  EndRelay(RelayEnd::kAbandoned);
  FinishCall(outcome);
}

void ForwardedRequest::OnCallerGone() {
  if (ended_) return;
  // An endpoint may have prefilled its prompt.
  if (calls_ == 0) ReturnQuota();
  if (call_.has_value()) GiveUpCall(WorkOutcome::kAbandoned);
  End("caller_gone", 0, "");
}

bool ForwardedRequest::MayRun() const {
  const bool runs = call_.has_value() && call_->kind != CallKind::kPrefill &&
                    context_.client->WasSent(call_id_);
  return runs || (forwarder_.has_value() && forwarder_->MayHaveRun());
}

bool ForwardedRequest::Cut() {
  if (ended_) return false;
  if (complete_) {
    ReleaseHeldEvents();
    return false;
  }
  constexpr std::string_view kReason = "the instance stops";
  const bool may_have_run = MayRun();
  if (call_.has_value()) GiveUpCall(WorkOutcome::kAbandoned);
  if (!may_have_run) {
    RespondRefused(kReason, kUnknownRetryAfter, RelayOutcome::kUnable);
    return false;
  }
  if (exchange_->streaming()) {
    exchange_->Abort();
    End("cut", 0, kReason);
    return true;
  }
  exchange_->Respond(kGatewayTimeout, kJson, FailureBody(kReason));
  End("cut", kGatewayTimeout, kReason);
  return false;
}

void ForwardedRequest::ArmTimer() {
  const Time now = BootTimeNow();
  Time next = facts_.deadline;
  if (call_.has_value() && !context_.client->WasSent(call_id_)) {
    next = std::min(next, connect_deadline_);
  }
  if (call_.has_value() && progress_deadline_.has_value()) {
    next = std::min(next, *progress_deadline_);
  }
  if (!call_.has_value()) next = std::min(next, wait_deadline_);
  const Duration wait = std::max(Milliseconds(1), next - now);
  const std::weak_ptr<ForwardedRequest> weak = weak_from_this();
  timer_ = AddTimer(context_.context, wait + Milliseconds(1), [weak] {
    if (const auto self = weak.lock()) self->OnTimer();
  });
}

void ForwardedRequest::OnTimer() {
  if (ended_) return;
  const Time now = BootTimeNow();
  if (now >= facts_.deadline) {
    const bool may_run = MayRun();
    if (call_.has_value()) GiveUpCall(OutcomeAtDeadline(now));
    if (!forwarder_.has_value()) {
      // The stream's origin is still searched for.
      return RespondRefused("no time left", kUnknownRetryAfter);
    }
    if (complete_) return ReleaseHeldEvents();
    Execute(forwarder_->OnDeadline(may_run, now));
    return;
  }
  if (awaits_sole_version_) return AwaitSoleVersion();
  if (!call_.has_value()) {
    if (now < wait_deadline_ || holding_) return ArmTimer();
    Execute(forwarder_->OnWaitElapsed(now));
    return;
  }
  const bool sent = context_.client->WasSent(call_id_);
  if (sent) context_.observer->OnConnected(Observed(), now);
  if (!sent && now >= connect_deadline_) {
    context_.observer->OnConnectTimeout(Observed(), now);
    FailCall(CallFailure::kNotSent, "no connection");
    return;
  }
  if (sent && progress_deadline_.has_value() && now >= *progress_deadline_) {
    if (!forwarder_->TakeFailOver(now)) {
      progress_deadline_ = now + kProgressRecheck;
      return ArmTimer();
    }
    context_.observer->OnGivenUp(Observed(), now);
    FailCall(CallFailure::kSilent, "no progress");
    return;
  }
  ArmTimer();
}

WorkOutcome ForwardedRequest::OutcomeAtDeadline(Time now) const {
  // The call of a caller that doesn't read is paused.
  const bool failed = context_.client->WasSent(call_id_) && !paused_;
  if (!failed) return WorkOutcome::kAbandoned;
  const Time last_heard =
      call_first_event_at_.has_value() ? last_event_at_ : call_started_;
  const bool silent = now - last_heard >= call_->silence_limit;
  return silent ? WorkOutcome::kSilent : WorkOutcome::kBroken;
}

void ForwardedRequest::ReleaseHandle() {
  if (!forwarder_.has_value()) return;
  const auto unused = forwarder_->TakeUnusedHandle();
  if (!unused.has_value()) return;
  // The release counts as a request, and the handle expires by itself soon.
  if (context_.permits->permits()->IsLimited(unused->endpoint)) return;
  if (context_.pool->IsBackingOff(unused->endpoint, BootTimeNow())) return;
  cassiausher::ReleaseHandle(*unused, context_.client);
}

void ForwardedRequest::End(std::string_view outcome, int status,
                           std::string_view reason) {
  if (ended_) return;
  ended_ = true;
  timer_.reset();
  LogWithheld();
  if (outcome != "answered") ReleaseHandle();
  if (outcome == "refused") ReturnQuota();
  const Duration duration = BootTimeNow() - facts_.arrived;
  Log(LogLevel::kInfo, "request_ended",
      {{"request", caller_.id.value()},
       {"route", route_name_},
       {"configuration", configuration_.value()},
       {"outcome", outcome},
       {"status", status},
       {"reason", reason},
       {"traits", ToString(facts_.traits)},
       {"calls", calls_},
       {"events", relayed_events_},
       {"prompt", facts_.prompt.value()},
       {"output", facts_.output.value()},
       {"first_event_ms",
        ToMilliseconds(first_event_at_.value_or(facts_.arrived) -
                       facts_.arrived)},
       {"longest_gap_ms", ToMilliseconds(longest_gap_)},
       {"took_ms", ToMilliseconds(duration)}});
  context_.metrics
      ->counter(fmt::format("requests_ended_total{{outcome=\"{}\"}}", outcome))
      .Add();
  context_.metrics->distribution("request_seconds").Record(duration);
  if (outcome == "answered") {
    context_.read_times->Add(exchange_->receipt(), facts_.arrived,
                             context_.completion);
  }
  const auto on_end = std::move(on_end_);
  if (on_end) on_end();
}

}  // namespace cassiausher
