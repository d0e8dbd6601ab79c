#include "servers/entry/request_forwarder.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cassiausher {
namespace {

// With less time left no endpoint finishes anything.
constexpr Duration kLeastUsefulTime = Milliseconds(5);
// Bounds the calls of a request when no endpoint accepts connections.
constexpr int kMostCalls = 6;
// A prompt is read at another prefill runner this often before the decode
// runner reads it.
constexpr int kMostPrefillFailures = 2;
// Standard deviations of what the streams of a runner hold beyond the forecast
// that are kept free.
constexpr double kFreeDeviations = 2;
constexpr double kLeastFullOccupancy = 0.7;
constexpr double kMostFullOccupancy = 0.92;
// Requests of small routes find room where others don't.
constexpr double kSmallRouteBonus = 0.15;
// Tokens from one point of a memory forecast to the next, as a share of a
// runner's memory; the same on all instances, since forecasts are added up.
constexpr std::int64_t kForecastStepDivisor = 64;
constexpr std::int64_t kLeastLeftDivisor = 4;
// Reading a prompt and the first token, kept back from the latency target
// while a request waits for room.
constexpr Duration kReadingTime = Milliseconds(350);
constexpr Duration kRoomPollPeriod = Milliseconds(30);
// A runner that is full and one whose source lost the handle give the same
// answer, so a handle is offered to this many.
constexpr int kMostHandleOffers = 3;
// A handle is not offered this shortly before it lapses.
constexpr Duration kHandleMargin = Milliseconds(120);
// An idempotent call that takes this many times the expected time is repeated
// elsewhere; a sound endpoint's slowest requests take five times the mean.
constexpr int kSlowFactor = 6;
constexpr Duration kShortestAnswerTimeout = Milliseconds(150);
constexpr Duration kShortestPrefillTimeout = Milliseconds(1200);
constexpr Duration kLongestPrefillTimeout = Milliseconds(2500);
// A resumable stream without an event for this long goes on elsewhere. Above
// the pauses of a loaded engine, below what callers bear.
constexpr Duration kFirstEventTimeout = Milliseconds(3000);
constexpr int kGapFactor = 4;
// Short enough that a caller of a lookup can come back within its deadline.
constexpr Duration kPlainRetryAfter = Milliseconds(150);
// Bursts last a few seconds, and a caller comes back once or twice at most.
constexpr Duration kModelRetryAfter = Milliseconds(3000);
constexpr Duration kModelRetrySpread = Milliseconds(1500);
// Room comes back for a few requests at an instance while a request can wait.
constexpr int kMostWaiting = 3;

}  // namespace

bool RequestForwarder::IsRetryable() const {
  return facts_.kind == RouteKind::kIdempotent || facts_.resumable;
}

bool RequestForwarder::HandleIsFresh(Time now) const {
  return kv_source_.has_value() &&
         now - prefilled_at_ + kHandleMargin < facts_.handle_lifetime;
}

MemoryForecast RequestForwarder::Memory() const {
  // An answer that is longer than expected still goes on for a while.
  const Tokens left =
      std::max(facts_.output - generated_,
               Tokens(facts_.output.value() / kLeastLeftDivisor));
  const Tokens step(facts_.kv_capacity.value() / kForecastStepDivisor);
  return {facts_.prompt + generated_, left, step};
}

WorkSpec RequestForwarder::MakeWorkSpec(EndpointRole role) const {
  return {.service = facts_.service,
          .role = role,
          .prompt = facts_.has_engine ? facts_.prompt : Tokens(0),
          .memory = Memory(),
          .kv_capacity = facts_.kv_capacity,
          .full_occupancy = FullOccupancy(),
          .slots = facts_.slots,
          .excluded = failed_endpoints_};
}

ForwardStep RequestForwarder::OnWaitElapsed(Time now) { return Next(now); }

double RequestForwarder::FullOccupancy() const {
  if (!facts_.output_deviation.has_value()) return kDefaultFullOccupancy;
  const auto capacity = static_cast<double>(facts_.kv_capacity.value());
  const auto stream =
      static_cast<double>((facts_.prompt + facts_.output).value());
  if (capacity <= 0 || stream <= 0) return kDefaultFullOccupancy;
  // Deviations of streams are independent, so they grow with the root of their
  // number.
  const double spread = static_cast<double>(facts_.output_deviation->value()) *
                        std::sqrt(capacity / stream);
  return std::clamp(1 - kFreeDeviations * spread / capacity,
                    kLeastFullOccupancy, kMostFullOccupancy);
}

void RequestForwarder::StopWaiting() {
  if (std::exchange(waiting_, false)) pool_->ChangeWaiting(-1);
}

void RequestForwarder::ReserveMemory(const EndpointId& endpoint,
                                     const WorkSpec& work) {
  pool_->Reserve(endpoint, work.memory, work.reserved_at == endpoint);
  reservation_ = {endpoint, work.memory};
}

EndpointId RequestForwarder::ReleaseReservation() {
  const auto room = std::exchange(reservation_, std::nullopt);
  if (!room.has_value()) return {};
  pool_->Release(room->endpoint, room->memory);
  return room->endpoint;
}

bool RequestForwarder::CanWaitForCapacity(Time now) const {
  // A longer queue is told at once to come back.
  const bool queue_is_long = pool_->waiting() >= kMostWaiting;
  if (!waiting_ && queue_is_long && !facts_.small_route) return false;
  return now - facts_.arrived + kReadingTime < facts_.latency_target;
}

ForwardStep RequestForwarder::Start(Time now) {
  budget_->OnRequest(now);
  return Next(now);
}

ForwardStep RequestForwarder::OnPrefillDone(KvSource source, Time now) {
  kv_source_ = std::move(source);
  prefilled_at_ = now;
  return Next(now);
}

ForwardStep RequestForwarder::OnCallFailed(CallFailure failure, Time now) {
  failed_endpoints_.insert(current_endpoint_);
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
    const bool offered_enough = ++handle_rejections_ >= kMostHandleOffers;
    if (kv_source_.has_value() && offered_enough) kv_source_.reset();
    return Next(now);
  }
  kv_source_.reset();
  ++runs_;
  if (!IsRetryable()) return GiveUp("the endpoint broke off");
  if (runs_ >= facts_.attempts) return GiveUp("no attempt is left");
  return Next(now);
}

bool RequestForwarder::CanFailOver(Time now) const {
  if (current_ == CallKind::kPrefill) return true;
  // A prompt is read again before the stream goes on.
  const double calls = facts_.has_engine ? 2 : 1;
  return IsRetryable() && runs_ + 1 < facts_.attempts &&
         budget_->Remaining(now) >= calls &&
         pool_->ReadyCount(facts_.service) > 1;
}

bool RequestForwarder::CanRetryServerError(Time now) const {
  return IsRetryable() && runs_ + 1 < facts_.attempts &&
         budget_->Remaining(now) >= 1 &&
         pool_->ReadyCount(facts_.service) > 1 &&
         facts_.deadline - now > kShortestAnswerTimeout;
}

ForwardStep RequestForwarder::OnDeadline() {
  if (relayed_) return AbortStream{"deadline"};
  return Fail{504, "deadline"};
}

ForwardStep RequestForwarder::GiveUp(std::string_view reason) {
  ReleaseReservation();
  if (relayed_) return AbortStream{reason};
  if (runs_ > 0) return Fail{502, reason};
  return Refuse{reason, RetryAfter()};
}

// Spread over the callers, so that they don't come back together.
Duration RequestForwarder::RetryAfter() const {
  if (!facts_.has_engine) return kPlainRetryAfter;
  const auto arrived_us = facts_.arrived.time_since_epoch().count();
  return kModelRetryAfter + Duration(arrived_us % kModelRetrySpread.count());
}

ForwardStep RequestForwarder::Next(Time now) {
  if (facts_.deadline - now < kLeastUsefulTime) return GiveUp("no time left");
  if (calls_ >= kMostCalls) return GiveUp("no endpoint took the request");
  if (kv_source_.has_value() && !HandleIsFresh(now)) kv_source_.reset();
  std::optional<ForwardStep> step =
      facts_.has_engine ? ChooseModelCall(now) : ChoosePlainCall(now);
  if (!step.has_value()) return GiveUp("no endpoint is known");
  if (auto* call = std::get_if<StartCall>(&*step)) {
    return Issue(std::move(*call), now);
  }
  return *step;
}

std::optional<ForwardStep> RequestForwarder::ChoosePlainCall(Time now) {
  const WorkSpec work = MakeWorkSpec(EndpointRole::kPlain);
  const auto placed = pool_->Pick(work, now);
  if (!placed.has_value()) return std::nullopt;
  StartCall call{.endpoint = placed->endpoint, .work = work};
  if (IsRetryable() && runs_ + 1 < facts_.attempts) {
    call.answer_timeout =
        std::max(kShortestAnswerTimeout, kSlowFactor * placed->expected);
  }
  return call;
}

std::optional<ForwardStep> RequestForwarder::ChooseModelCall(Time now) {
  WorkSpec decode = MakeWorkSpec(EndpointRole::kDecode);
  decode.prompt_is_prefilled = true;
  decode.reserved_at = ReleaseReservation();
  const auto runner = pool_->Pick(decode, now);
  const double bonus = facts_.small_route ? kSmallRouteBonus : 0;
  const double limit = std::min(1.0, decode.full_occupancy + bonus);
  const bool full = runner.has_value() && runner->occupancy > limit;
  // A stream that began goes on whatever the load: its caller has a part of it.
  if (full && !kv_source_.has_value() && runs_ == 0) {
    if (!CanWaitForCapacity(now)) return GiveUp("no runner has room");
    if (!std::exchange(waiting_, true)) pool_->ChangeWaiting(1);
    return WaitForCapacity{now + kRoomPollPeriod, runner->occupancy};
  }
  StopWaiting();
  if (!kv_source_.has_value() && runner.has_value()) {
    if (auto prefill = ChoosePrefill(now)) {
      ReserveMemory(runner->endpoint.id, decode);
      return *prefill;
    }
  }
  // A runner that reads a prompt itself holds up its other streams beyond the
  // pauses that their callers bear, so this is for want of prefill runners.
  decode.prompt_is_prefilled = kv_source_.has_value();
  if (!runner.has_value()) return std::nullopt;
  StartCall call{
      .endpoint = runner->endpoint, .work = decode, .kv_source = kv_source_};
  if (IsRetryable() && runs_ + 1 < facts_.attempts) {
    call.answer_timeout = kFirstEventTimeout;
    call.gap_timeout = kGapFactor * facts_.gap_target;
  }
  return call;
}

std::optional<StartCall> RequestForwarder::ChoosePrefill(Time now) const {
  if (prefill_failures_ >= kMostPrefillFailures) return std::nullopt;
  WorkSpec prefill = MakeWorkSpec(EndpointRole::kPrefill);
  prefill.memory = MemoryForecast(facts_.prompt, Tokens(0), Tokens(0));
  prefill.slots = 0;
  const auto placed = pool_->Pick(prefill, now);
  if (!placed.has_value()) return std::nullopt;
  const Duration timeout =
      std::clamp(3 * placed->expected + Milliseconds(200),
                 kShortestPrefillTimeout, kLongestPrefillTimeout);
  return StartCall{.kind = CallKind::kPrefill,
                   .endpoint = placed->endpoint,
                   .work = prefill,
                   .answer_timeout = timeout};
}

ForwardStep RequestForwarder::Issue(StartCall call, Time now) {
  // The first prefill call and the first run are part of every request.
  const bool extra = failed_calls_sent_ > 0;
  if (extra && !budget_->TryRetry(now)) {
    return GiveUp("the retry budget is spent");
  }
  ++calls_;
  current_ = call.kind;
  current_endpoint_ = call.endpoint.id;
  return call;
}

std::optional<KvSource> RequestForwarder::TakeUnusedHandle() {
  return std::exchange(kv_source_, std::nullopt);
}

}  // namespace cassiausher
