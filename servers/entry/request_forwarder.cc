#include "servers/entry/request_forwarder.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cassiausher {
namespace {

// No endpoint can complete a request in less time.
constexpr Duration kMinUsefulTime = Milliseconds(5);
// Limits the calls of a request when no endpoint accepts connections.
constexpr int kMaxCalls = 6;
// After this many failed prefill calls, the decode runner prefills the prompt.
constexpr int kMaxPrefillFailures = 2;
// KV memory kept free on a runner for streams that exceed their forecast, in
// standard deviations of their combined memory.
constexpr double kFreeDeviations = 2;
constexpr double kMinFullOccupancy = 0.7;
constexpr double kMaxFullOccupancy = 0.92;
// Added to the occupancy limit for requests of small routes.
constexpr double kSmallRouteOccupancyBonus = 0.15;
// KV memory of a runner that the least urgent requests leave to urgent ones,
// whose bursts then find room for a stream or two at each runner.
constexpr double kUrgentHeadroom = 0.1;
// One in so many less urgent requests may use that room, so that lasting
// overload by urgent ones doesn't starve them.
constexpr int kHeadroomExemption = 4;
// Step of a memory forecast, as a fraction of a runner's memory: the same on
// all instances, since forecasts with different steps can't be added.
constexpr std::int64_t kForecastStepDivisor = 64;
// An output is assumed to grow by at least this fraction of its expected
// length.
constexpr std::int64_t kMinRemainingDivisor = 4;
// Part of the latency target that a request waiting for capacity keeps for its
// prefill and first token.
constexpr Duration kPrefillTime = Milliseconds(350);
constexpr Duration kCapacityPollPeriod = Milliseconds(30);
// A runner responds alike when it is full and when the prefill runner has lost
// the handle, so a handle is offered to this many runners.
constexpr int kMaxHandleRejections = 3;
// A handle that expires within this time is not used.
constexpr Duration kHandleMargin = Milliseconds(120);
// A call of a retryable request times out after this many times its expected
// time; the slowest requests of a healthy endpoint take five times the mean.
constexpr int kAnswerTimeoutFactor = 6;
constexpr Duration kMinAnswerTimeout = Milliseconds(150);
constexpr Duration kMinPrefillTimeout = Milliseconds(1200);
constexpr Duration kMaxPrefillTimeout = Milliseconds(2500);
// A retryable stream without a first event for this long fails over. Longer
// than the pauses of a loaded engine, shorter than callers wait.
constexpr Duration kFirstEventTimeout = Milliseconds(3000);
constexpr int kGapTimeoutFactor = 4;
// Short enough that a caller of a lookup can retry within its deadline.
constexpr Duration kPlainRetryAfter = Milliseconds(150);
// An endpoint with a very low rate limit may have ended it by then.
constexpr Duration kMaxLimitRetryAfter = Seconds(5);
// While an endpoint turns requests away, the others get no more than they run
// at once and as many in their queues.
constexpr double kMaxDetourRequestsPerSlot = 2;
// Bursts last a few seconds, and a caller retries at most once or twice.
constexpr Duration kModelRetryAfter = Milliseconds(3000);
constexpr Duration kModelRetrySpread = Milliseconds(1500);
constexpr std::string_view kTurnedAway = "endpoints turn requests away";
constexpr std::string_view kOutOfReach =
    "no endpoint is within reach of this instance, and no other one can help";
// Helpers that a request is relayed to, one after another, while none runs it.
constexpr std::size_t kMaxHelpers = 3;
// Helpers are named some tens of milliseconds after they are asked for.
constexpr Duration kHelperPollPeriod = Milliseconds(10);
// A helper fails over to another endpoint by itself, so that it is given this
// much longer than an endpoint.
constexpr Duration kHelperMargin = Milliseconds(500);
// While a request can wait, capacity is freed for only a few requests of an
// instance.
constexpr int kMaxWaiting = 3;

}  // namespace

bool RequestForwarder::IsRetryable() const {
  // A stream begun by an unknown software version can't be continued.
  if (begun_ && !version_) return false;
  return facts_.kind == RouteKind::kIdempotent || facts_.resumable;
}

bool RequestForwarder::HandleIsFresh(Time now) const {
  return kv_source_.has_value() &&
         now - prefilled_at_ + kHandleMargin < facts_.handle_lifetime;
}

bool RequestForwarder::ShouldKeepHandle(const Placement& runner,
                                        Time now) const {
  constexpr double kFull = 1;
  return runner.occupancy > kFull && HandleIsFresh(now + kCapacityPollPeriod);
}

MemoryForecast RequestForwarder::Memory() const {
  // An output that exceeds its expected length still grows for a while.
  const Tokens remaining =
      std::max(facts_.output - generated_,
               Tokens(facts_.output.value() / kMinRemainingDivisor));
  const Tokens step(facts_.kv_capacity.value() / kForecastStepDivisor);
  return {facts_.prompt + generated_, remaining, step};
}

WorkSpec RequestForwarder::MakeWorkSpec(EndpointRole role) const {
  return {.service = facts_.service,
          .role = role,
          .prompt = facts_.has_engine ? facts_.prompt : Tokens(0),
          .memory = Memory(),
          .kv_capacity = facts_.kv_capacity,
          .full_occupancy = FullOccupancy(),
          .slots = facts_.slots,
          .excluded = failed_endpoints_,
          .version = version_};
}

ForwardStep RequestForwarder::OnWaitElapsed(Time now) { return Next(now); }

double RequestForwarder::FullOccupancy() const {
  if (!facts_.output_deviation.has_value()) return kDefaultFullOccupancy;
  const auto capacity = static_cast<double>(facts_.kv_capacity.value());
  const auto stream =
      static_cast<double>((facts_.prompt + facts_.output).value());
  if (capacity <= 0 || stream <= 0) return kDefaultFullOccupancy;
  // Output lengths are independent, so the deviation of their sum grows with
  // the square root of the number of streams.
  const double spread = static_cast<double>(facts_.output_deviation->value()) *
                        std::sqrt(capacity / stream);
  return std::clamp(1 - kFreeDeviations * spread / capacity, kMinFullOccupancy,
                    kMaxFullOccupancy);
}

double RequestForwarder::OccupancyLimit(double full_occupancy) const {
  const double bonus = facts_.small_route ? kSmallRouteOccupancyBonus : 0;
  const double limit = std::min(1.0, full_occupancy + bonus);
  if (!facts_.urgency.has_value() || facts_.urgency->rank == 0) return limit;
  const auto arrived_us = facts_.arrived.time_since_epoch().count();
  if (arrived_us % kHeadroomExemption == 0) return limit;
  return limit -
         kUrgentHeadroom * facts_.urgency->rank / facts_.urgency->lowest;
}

void RequestForwarder::StopWaiting() {
  if (std::exchange(waiting_, false)) pool_->ChangeWaiting(facts_.service, -1);
}

void RequestForwarder::ReserveMemory(const EndpointId& endpoint,
                                     const WorkSpec& work) {
  pool_->Reserve(endpoint, work.memory, work.reserved_at == endpoint);
  reservation_ = {endpoint, work.memory};
}

EndpointId RequestForwarder::ReleaseReservation() {
  const auto reservation = std::exchange(reservation_, std::nullopt);
  if (!reservation.has_value()) return {};
  pool_->Release(reservation->endpoint, reservation->memory);
  return reservation->endpoint;
}

bool RequestForwarder::CanWaitForCapacity(Time now) const {
  // Rejects at once if the queue is long, so that the caller retries later.
  const bool queue_is_long = pool_->WaitingFor(facts_.service) >= kMaxWaiting;
  if (!waiting_ && queue_is_long && !facts_.small_route) return false;
  return now - facts_.arrived + kPrefillTime < facts_.latency_target;
}

ForwardStep RequestForwarder::Start(Time now) {
  if (!facts_.relayed) budget_->OnRequest(now);
  return Next(now);
}

ForwardStep RequestForwarder::OnPrefillDone(KvSource source, Time now) {
  kv_source_ = std::move(source);
  prefilled_at_ = now;
  return Next(now);
}

ForwardStep RequestForwarder::OnCallFailed(CallFailure failure, Time now) {
  const bool had_no_effect =
      failure == CallFailure::kNotSent || failure == CallFailure::kNotExecuted;
  if (!had_no_effect) is_trial_ = false;
  failed_endpoints_.insert(current_endpoint_);
  if (failure == CallFailure::kSilent) {
    silent_endpoints_.insert(current_endpoint_);
  }
  // The endpoint got nothing, so the retry is still to be made.
  const bool relayed_in_vain =
      current_ == CallKind::kRelay && failure == CallFailure::kNotExecuted;
  const bool unused_retry =
      (failure == CallFailure::kNotSent || relayed_in_vain) && is_retry_;
  if (unused_retry) ++reserved_retries_;
  if (relayed_in_vain) return Next(now);
  if (current_ == CallKind::kPrefill) {
    ++prefill_failures_;
    if (failure != CallFailure::kNotSent) ++failed_calls_sent_;
    return Next(now);
  }
  if (failure == CallFailure::kNotSent) return Next(now);
  ++failed_calls_sent_;
  const bool not_executed = failure == CallFailure::kNotExecuted ||
                            failure == CallFailure::kMisplaced;
  if (not_executed) {
    const bool rejected_too_often =
        ++handle_rejections_ >= kMaxHandleRejections;
    if (kv_source_.has_value() && rejected_too_often) kv_source_.reset();
    return Next(now);
  }
  kv_source_.reset();
  ++runs_;
  if (!IsRetryable()) return GiveUp("the endpoint broke off", now);
  if (runs_ >= facts_.attempts) return GiveUp("no attempt is left", now);
  return Next(now);
}

int RequestForwarder::CallsPerRun() const {
  // A model run needs a prefill call before it.
  return facts_.has_engine ? 2 : 1;
}

bool RequestForwarder::HasAnotherRun() const {
  return IsRetryable() && runs_ + 1 < facts_.attempts &&
         calls_ + CallsPerRun() <= kMaxCalls &&
         pool_->ReadyCount(facts_.service, version_) > 1;
}

bool RequestForwarder::ReserveRetries(int count, Time now) {
  const int missing = std::max(0, count - reserved_retries_);
  if (!budget_->TryRetries(missing, now)) return false;
  reserved_retries_ += missing;
  return true;
}

bool RequestForwarder::TakeRetry(Time now) {
  if (reserved_retries_ == 0) return budget_->TryRetry(now);
  --reserved_retries_;
  return true;
}

void RequestForwarder::OnBegun() {
  begun_ = true;
  if (!version_) version_ = current_version_;
}

bool RequestForwarder::TakeFailOver(Time now) {
  if (current_ == CallKind::kPrefill) return TakePrefillFailOver(now);
  return HasAnotherRun() && HasRoomForRetry(true, now) &&
         ReserveRetries(CallsPerRun(), now);
}

bool RequestForwarder::TakePrefillFailOver(Time now) {
  // Without a prefill runner, the decode runner prefills the prompt.
  const int calls = HasAnotherPrefillRunner(now) ? CallsPerRun() : 1;
  return calls_ + calls <= kMaxCalls && HasRoomForRetry(true, now) &&
         ReserveRetries(calls, now);
}

bool RequestForwarder::HasAnotherPrefillRunner(Time now) {
  if (prefill_failures_ + 1 >= kMaxPrefillFailures) return false;
  WorkSpec work = MakeWorkSpec(EndpointRole::kPrefill);
  work.version = prefill_version_;
  work.excluded.insert(current_endpoint_);
  return pool_->Pick(work, now).has_value();
}

bool RequestForwarder::TakeServerErrorRetry(Time now) {
  return HasAnotherRun() && facts_.deadline - now > kMinAnswerTimeout &&
         HasRoomForRetry(false, now) && ReserveRetries(CallsPerRun(), now);
}

ForwardStep RequestForwarder::OnDeadline(bool may_run, Time now) {
  if (begun_) return AbortStream{"deadline"};
  if (may_run || runs_ > 0) return Fail{504, "deadline"};
  return GiveUp("no time left", now);
}

ForwardStep RequestForwarder::GiveUp(std::string_view reason, Time now) {
  ReleaseReservation();
  ReturnPermits();
  if (begun_) return AbortStream{reason};
  if (runs_ > 0) return Fail{502, reason};
  return Refuse{.reason = reason,
                .retry_after = RetryAfter(now),
                .out_of_reach = ServiceReach() == Reach::kNone};
}

// Jittered by arrival time, so that callers don't retry at the same time.
Duration RequestForwarder::RetryAfter(Time now) const {
  if (withheld_for_.has_value()) return withheld_until_ - now;
  if (room_at_.has_value()) {
    return std::clamp(*room_at_ - now, kPlainRetryAfter, kMaxLimitRetryAfter);
  }
  if (const auto end = BackoffEnd(now)) {
    return std::clamp(*end - now, kPlainRetryAfter, kMaxLimitRetryAfter);
  }
  if (!facts_.has_engine) return kPlainRetryAfter;
  const auto arrived_us = facts_.arrived.time_since_epoch().count();
  return kModelRetryAfter + Duration(arrived_us % kModelRetrySpread.count());
}

std::optional<Time> RequestForwarder::BackoffEnd(Time now) const {
  if (!facts_.has_engine) {
    return pool_->BackoffEnd(facts_.service, EndpointRole::kPlain, now);
  }
  const auto prefill =
      pool_->BackoffEnd(facts_.service, EndpointRole::kPrefill, now);
  const auto decode =
      pool_->BackoffEnd(facts_.service, EndpointRole::kDecode, now);
  return decode.has_value() ? decode : prefill;
}

std::string_view RequestForwarder::NoEndpointReason(Time now) const {
  if (room_at_.has_value()) return "every endpoint is at its rate limit";
  if (BackoffEnd(now)) return kTurnedAway;
  if (!failed_endpoints_.empty()) return "no endpoint took the request";
  if (version_) return "no endpoint runs the version that began the stream";
  return "no endpoint is known";
}

ForwardStep RequestForwarder::Next(Time now) {
  if (facts_.deadline - now < kMinUsefulTime)
    return GiveUp("no time left", now);
  if (auto withheld = Withhold(now)) return *withheld;
  if (auto relay = ChooseRelay(now)) return *relay;
  if (calls_ >= kMaxCalls) return GiveUp("no endpoint took the request", now);
  if (kv_source_.has_value() && !HandleIsFresh(now)) kv_source_.reset();
  std::optional<ForwardStep> step = ChooseCall(now);
  const bool exhausted = !step.has_value() && !awaited_.has_value();
  if (exhausted && ReadmitSilentEndpoints()) step = ChooseCall(now);
  if (awaited_.has_value()) return *awaited_;
  if (!step.has_value()) {
    return GiveUp(NoEndpointReason(now), now);
  }
  if (auto* call = std::get_if<StartCall>(&*step)) {
    return Issue(std::move(*call), now);
  }
  return *step;
}

std::optional<ForwardStep> RequestForwarder::Withhold(Time now) {
  if (is_trial_) return std::nullopt;
  const Admission admission = guard_->Admit(facts_.traits, now);
  is_trial_ = admission.trial;
  if (admission.admitted) return std::nullopt;
  withheld_for_ = admission.verdict;
  withheld_until_ = admission.retry_at;
  return GiveUp("such calls make endpoints crash", now);
}

Reach RequestForwarder::ServiceReach() const {
  if (relays_ == nullptr) return Reach::kReached;
  return relays_->reach().Of(facts_.service);
}

std::optional<ForwardStep> RequestForwarder::ChooseRelay(Time now) {
  const Reach reach = ServiceReach();
  if (reach == Reach::kReached) return std::nullopt;
  const bool must_relay = reach == Reach::kNone;
  // One hop at most, so that two instances that are cut off don't relay to each
  // other.
  if (facts_.relayed && must_relay) return GiveUp(kOutOfReach, now);
  if (facts_.relayed) return std::nullopt;
  // Its prompt needn't be prefilled any more.
  if (!must_relay && kv_source_.has_value()) return std::nullopt;
  if (tried_helpers_.size() < kMaxHelpers) {
    const auto helper = relays_->Pick(facts_.service, tried_helpers_, now);
    if (helper.has_value()) return Relay(*helper, now);
    if (must_relay && relays_->AwaitsHelpers(facts_.service, now)) {
      return WaitForCapacity{.until = now + kHelperPollPeriod};
    }
  }
  // Of many endpoints only some were tried.
  if (!must_relay || relays_->reach().HasUntried(facts_.service)) {
    return std::nullopt;
  }
  return GiveUp(kOutOfReach, now);
}

ForwardStep RequestForwarder::Relay(const RelayHelper& helper, Time now) {
  tried_helpers_.insert(helper.address);
  ReleaseReservation();
  ReturnPermits();
  StopWaiting();
  StartCall call{
      .kind = CallKind::kRelay,
      .endpoint = {.id = EndpointId(helper.address), .address = helper.address},
      .relay = RelayRequest{.token = helper.token,
                            .attempts = facts_.attempts - runs_,
                            .begun_by = version_}};
  call.silence_limit =
      facts_.has_engine
          ? kFirstEventTimeout + kHelperMargin
          : std::max(kMinAnswerTimeout, (facts_.deadline - now) / 2);
  if (IsRetryable() && runs_ + 1 < facts_.attempts) {
    call.answer_timeout = call.silence_limit;
    call.gap_timeout = GapTimeout() + kHelperMargin;
  }
  return Issue(std::move(call), now);
}

Duration RequestForwarder::GapTimeout() const {
  // The caller would be cut off if the second run failed, so the first one is
  // kept for as long as its runner may be sound.
  return std::max(kToleratedSilence, kGapTimeoutFactor * facts_.gap_target);
}

std::optional<ForwardStep> RequestForwarder::ChooseCall(Time now) {
  return facts_.has_engine ? ChooseModelCall(now) : ChoosePlainCall(now);
}

bool RequestForwarder::ReadmitSilentEndpoints() {
  for (const EndpointId& endpoint : silent_endpoints_) {
    failed_endpoints_.erase(endpoint);
  }
  return !std::exchange(silent_endpoints_, {}).empty();
}

bool RequestForwarder::HoldsPermit(const EndpointId& endpoint) const {
  return std::any_of(
      held_permits_.begin(), held_permits_.end(),
      [&](const CallPermit& permit) { return permit.endpoint == endpoint; });
}

void RequestForwarder::UsePermit(const EndpointId& endpoint) {
  const auto found = std::find_if(
      held_permits_.begin(), held_permits_.end(),
      [&](const CallPermit& permit) { return permit.endpoint == endpoint; });
  if (found != held_permits_.end()) held_permits_.erase(found);
}

void RequestForwarder::ReturnPermits() {
  for (const CallPermit& permit : std::exchange(held_permits_, {})) {
    permits_->Return(permit);
  }
}

ForwardStep RequestForwarder::OnPermit(const std::optional<CallPermit>& permit,
                                       Time now) {
  awaited_.reset();
  if (permit.has_value()) held_permits_.push_back(*permit);
  return Next(now);
}

std::optional<Placement> RequestForwarder::PickWithPermit(WorkSpec work,
                                                          Time now) {
  while (auto placed = pool_->Pick(work, now)) {
    const EndpointId& endpoint = placed->endpoint.id;
    if (HoldsPermit(endpoint)) return placed;
    const PermitResult result = permits_->Take(endpoint, now);
    switch (result.state) {
      case PermitState::kUnlimited:
        return placed;
      case PermitState::kGranted:
        held_permits_.push_back(result.permit);
        return placed;
      case PermitState::kAsked:
        awaited_ = {endpoint, result.ticket};
        return std::nullopt;
      case PermitState::kRefused:
        room_at_ = std::min(room_at_.value_or(result.room_at), result.room_at);
        work.excluded.insert(endpoint);
    }
  }
  return std::nullopt;
}

bool RequestForwarder::HasRoomForRetry(bool may_ask, Time now) {
  if (ServiceReach() == Reach::kNone) {
    return !facts_.relayed &&
           relays_->Pick(facts_.service, tried_helpers_, now).has_value();
  }
  const EndpointRole role =
      facts_.has_engine ? EndpointRole::kDecode : EndpointRole::kPlain;
  WorkSpec work = MakeWorkSpec(role);
  work.excluded.insert(current_endpoint_);
  while (const auto placed = pool_->Pick(work, now)) {
    if (placed->last_resort) return false;
    const EndpointId& endpoint = placed->endpoint.id;
    if (!permits_->IsLimited(endpoint) || HoldsPermit(endpoint)) return true;
    if (may_ask && permits_->MayHaveRoom(endpoint, now)) return true;
    work.excluded.insert(endpoint);
  }
  return false;
}

std::optional<ForwardStep> RequestForwarder::ChoosePlainCall(Time now) {
  const WorkSpec work = MakeWorkSpec(EndpointRole::kPlain);
  const auto placed = PickWithPermit(work, now);
  if (!placed.has_value()) return std::nullopt;
  const bool would_flood =
      placed->requests_per_slot > kMaxDetourRequestsPerSlot;
  if (would_flood && BackoffEnd(now)) return GiveUp(kTurnedAway, now);
  const Duration limit =
      std::max(kMinAnswerTimeout, kAnswerTimeoutFactor * placed->expected);
  StartCall call{
      .endpoint = placed->endpoint, .work = work, .silence_limit = limit};
  if (IsRetryable() && runs_ + 1 < facts_.attempts) call.answer_timeout = limit;
  return call;
}

std::optional<ForwardStep> RequestForwarder::ChooseModelCall(Time now) {
  WorkSpec decode = MakeWorkSpec(EndpointRole::kDecode);
  decode.prompt_is_prefilled = true;
  decode.reserved_at = ReleaseReservation();
  if (kv_source_.has_value()) decode.version = prefill_version_;
  decode.accepts_quiet = accepts_quiet_;
  // A stream that has begun is resumed at any load: its caller has a part of
  // it. After a failed prefill call, memory was reserved for the stream, and it
  // is too late to refuse it.
  const bool is_new = runs_ == 0 && prefill_failures_ == 0 && !facts_.begun_by;
  decode.can_wait =
      is_new && !kv_source_.has_value() && CanWaitForCapacity(now);
  auto runner = PickWithPermit(decode, now);
  if (awaited_.has_value()) return std::nullopt;
  if (!runner.has_value() && kv_source_.has_value()) {
    // Otherwise the runners that could use the KV cache have gone.
    if (!ReadmitSilentEndpoints()) kv_source_.reset();
    return ChooseModelCall(now);
  }
  const double limit = OccupancyLimit(decode.full_occupancy);
  const bool full = runner.has_value() && runner->occupancy > limit;
  if (full && !kv_source_.has_value() && is_new) {
    ReturnPermits();
    if (CanWaitForCapacity(now)) {
      if (!std::exchange(waiting_, true)) {
        pool_->ChangeWaiting(facts_.service, 1);
      }
      return WaitForCapacity{now + kCapacityPollPeriod, runner->occupancy};
    }
    // Rather a runner that is silent for a moment than none.
    accepts_quiet_ = true;
    decode.accepts_quiet = true;
    decode.can_wait = false;
    runner = PickWithPermit(decode, now);
    if (awaited_.has_value()) return std::nullopt;
    const bool has_room = runner.has_value() && runner->occupancy <= limit;
    if (!has_room) return GiveUp("no runner has room", now);
  }
  if (runner.has_value() && ShouldKeepHandle(*runner, now)) {
    ReturnPermits();
    return WaitForCapacity{now + kCapacityPollPeriod, runner->occupancy};
  }
  StopWaiting();
  if (!kv_source_.has_value() && runner.has_value()) {
    const auto prefill = ChoosePrefill(runner->endpoint.version, now);
    if (awaited_.has_value()) return std::nullopt;
    if (prefill.has_value()) return Prefill(*prefill, *runner, decode);
    if (!version_) {
      auto pair = ChoosePairOfOtherVersion(decode, now);
      if (pair.has_value() || awaited_.has_value()) return pair;
    }
    // The decode runners would be flooded with the prompts of all requests.
    const bool may_refuse = runs_ == 0 && !begun_ && !facts_.begun_by;
    const bool readers_back_off =
        pool_->BackoffEnd(facts_.service, EndpointRole::kPrefill, now)
            .has_value();
    if (readers_back_off && may_refuse) return GiveUp(kTurnedAway, now);
  }
  // Without a KV source the decode runner prefills the prompt itself, which
  // stalls its other streams for longer than their callers tolerate. This
  // happens only if no prefill runner can be used.
  decode.prompt_is_prefilled = kv_source_.has_value();
  if (!runner.has_value()) return std::nullopt;
  // The runner of a trial may be silent still, and its caller gives up soon.
  const Duration first_event_timeout =
      runner->trial ? kToleratedSilence : kFirstEventTimeout;
  StartCall call{.endpoint = runner->endpoint,
                 .work = decode,
                 .decode_runner = runner->endpoint.id,
                 .decode_occupancy = runner->occupancy,
                 .kv_source = kv_source_,
                 .silence_limit = first_event_timeout};
  if (IsRetryable() && runs_ + 1 < facts_.attempts) {
    call.answer_timeout = first_event_timeout;
    call.gap_timeout = GapTimeout();
  }
  return call;
}

ForwardStep RequestForwarder::Prefill(StartCall prefill,
                                      const Placement& runner,
                                      const WorkSpec& decode) {
  ReserveMemory(runner.endpoint.id, decode);
  prefill.decode_runner = runner.endpoint.id;
  prefill.decode_occupancy = runner.occupancy;
  prefill_version_ = runner.endpoint.version;
  return prefill;
}

std::optional<ForwardStep> RequestForwarder::ChoosePairOfOtherVersion(
    const WorkSpec& decode, Time now) {
  const auto versions =
      pool_->ReadyVersions(facts_.service, EndpointRole::kPrefill);
  for (const SoftwareVersion& version : versions) {
    WorkSpec work = decode;
    work.version = version;
    const auto runner = PickWithPermit(work, now);
    if (awaited_.has_value()) return std::nullopt;
    if (!runner.has_value()) continue;
    if (runner->occupancy > decode.full_occupancy) continue;
    const auto prefill = ChoosePrefill(version, now);
    if (awaited_.has_value()) return std::nullopt;
    if (prefill.has_value()) return Prefill(*prefill, *runner, work);
  }
  return std::nullopt;
}

std::optional<StartCall> RequestForwarder::ChoosePrefill(
    const std::optional<SoftwareVersion>& version, Time now) {
  if (prefill_failures_ >= kMaxPrefillFailures) return std::nullopt;
  WorkSpec prefill = MakeWorkSpec(EndpointRole::kPrefill);
  prefill.memory = MemoryForecast(facts_.prompt, Tokens(0), Tokens(0));
  prefill.slots = 0;
  prefill.version = version;
  const auto placed = PickWithPermit(prefill, now);
  if (!placed.has_value()) return std::nullopt;
  const Duration timeout = std::clamp(3 * placed->expected + Milliseconds(200),
                                      kMinPrefillTimeout, kMaxPrefillTimeout);
  return StartCall{.kind = CallKind::kPrefill,
                   .endpoint = placed->endpoint,
                   .work = prefill,
                   .answer_timeout = timeout,
                   .silence_limit = timeout};
}

ForwardStep RequestForwarder::Issue(StartCall call, Time now) {
  // The first prefill call and the first run are part of every request; only
  // calls after a failed one that reached its endpoint are retries.
  is_retry_ = failed_calls_sent_ > 0;
  if (is_retry_ && !TakeRetry(now)) {
    return GiveUp("the retry budget is spent", now);
  }
  ++calls_;
  UsePermit(call.endpoint.id);
  current_ = call.kind;
  call.work.incarnation = call.endpoint.incarnation;
  current_endpoint_ = call.endpoint.id;
  current_version_ = call.endpoint.version;
  return call;
}

std::optional<KvSource> RequestForwarder::TakeUnusedHandle() {
  return std::exchange(kv_source_, std::nullopt);
}

}  // namespace cassiausher
