#include "servers/entry/endpoint_health.h"

#include <algorithm>
#include <cmath>

namespace cassiausher {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
// Costs assumed until some are observed. A decode runner prefills a prompt at
// half the speed of a prefill runner.
constexpr double kPrefillTokenUs = 18;
constexpr double kDecodeTokenUs = 36;
constexpr double kPlainRequestUs = 15000;
// The slowest requests of a healthy endpoint take five times the mean, so a
// call that takes more than this many times its expected time was held up.
constexpr double kHeldUpFactor = 6;
// Weight of the newest observation in moving averages.
constexpr double kObservationWeight = 0.25;
// Weight of a server error as a failure, where a broken connection counts 1.
// Lower, since some requests fail at any endpoint.
constexpr double kServerErrorWeight = 0.25;
// An endpoint that fails again this soon after it recovered is unreliable. A
// sound one may fall silent again after a few seconds.
constexpr Duration kRelapseTime = Seconds(1);
constexpr CircuitBreakerOptions kBreakerOptions = {
    // One failure is enough: connections to a healthy endpoint rarely fail.
    .consecutive_failures = 1,
    .failure_ratio = 0.6,
    .window_calls = 6,
    .window = Seconds(3),
    // Short, since a sound endpoint may be silent for up to kToleratedSilence
    // and should get work again within a second after that.
    .backoff_minimum = Milliseconds(700),
    .backoff_maximum = Milliseconds(700),
    .trials = 1,
    .trial_timeout = Seconds(2),
};

// For answers that exceed a limit: no sound endpoint sends one, so that one
// that goes on doing so is tried more and more seldom.
constexpr CircuitBreakerOptions kExcessBreakerOptions = {
    .consecutive_failures = 1,
    .backoff_minimum = Milliseconds(700),
    .backoff_maximum = Seconds(4),
    .trials = 1,
    .trial_timeout = Seconds(2),
};

CircuitBreakerOptions WithSeed(CircuitBreakerOptions options,
                               std::uint64_t seed) {
  options.random_seed = seed;
  return options;
}

double DefaultUnitCost(EndpointRole role) {
  switch (role) {
    case EndpointRole::kPrefill:
      return kPrefillTokenUs;
    case EndpointRole::kDecode:
      return kDecodeTokenUs;
    case EndpointRole::kPlain:
      return kPlainRequestUs;
  }
  return kPlainRequestUs;
}

bool IsWithoutResponse(WorkOutcome outcome) {
  return outcome == WorkOutcome::kUnreachable ||
         outcome == WorkOutcome::kSilent;
}

}  // namespace

EndpointHealth::EndpointHealth(EndpointRole role, Duration half_life,
                               std::uint64_t seed)
    : role_(role),
      half_life_(half_life),
      breaker_(WithSeed(kBreakerOptions, seed)),
      excess_breaker_(WithSeed(kExcessBreakerOptions, seed + 1)) {}

void EndpointHealth::OnStart(Time now) {
  // Registers the trial request of a half-open circuit.
  breaker_.Allow(now);
  excess_breaker_.Allow(now);
  if (!unanswered_since_.has_value()) unanswered_since_ = now;
}

void EndpointHealth::OnResponse(const CallsInFlight& in_flight, Time now) {
  // Prompts are read one after another, so that one of them is answered long
  // before all are read.
  const Tokens average(in_flight.queued.value() / std::max(1, in_flight.calls));
  const Time unanswered_since = unanswered_since_.value_or(now);
  if (now - unanswered_since > SlowTime(average, now)) resumed_at_ = now;
  unanswered_since_.reset();
  if (in_flight.calls > 0) unanswered_since_ = now;
  const bool was_closed = breaker_.state(now) == CircuitState::kClosed;
  breaker_.OnSuccess(now);
  const bool is_closed = breaker_.state(now) == CircuitState::kClosed;
  if (is_closed && !was_closed) recovered_at_ = now;
}

void EndpointHealth::OnOutcome(WorkOutcome outcome,
                               const CallsInFlight& in_flight, Time began,
                               Time now) {
  Age(now);
  if (IsWithoutResponse(outcome) && BeganBeforeRecovery(began)) return;
  failure_share_ = (1 - kObservationWeight) * failure_share_ +
                   kObservationWeight * FailureWeight(outcome, now);
  ObserveCircuits(outcome, in_flight, now);
}

void EndpointHealth::OnCost(Tokens queued, Duration took, Time now) {
  Age(now);
  if (WasHeldUp(took, SlowTime(queued, now), now)) return;
  const double units =
      static_cast<double>(std::max<std::int64_t>(1, queued.value()));
  const double sample = static_cast<double>(took.count()) / units;
  unit_cost_us_ =
      (1 - kObservationWeight) * UnitCost(now) + kObservationWeight * sample;
}

void EndpointHealth::SetCost(Duration unit_cost, Time now) {
  Age(now);
  unit_cost_us_ = static_cast<double>(unit_cost.count());
}

void EndpointHealth::OnCancelled() {
  breaker_.OnCancelled();
  excess_breaker_.OnCancelled();
}

bool EndpointHealth::Admits(Time now) const {
  return breaker_.Admits(now) && excess_breaker_.Admits(now);
}

bool EndpointHealth::IsTrial(Time now) const {
  return breaker_.state(now) != CircuitState::kClosed;
}

Duration EndpointHealth::OpenFor(Time now) const {
  Duration open{0};
  for (const CircuitBreaker* breaker : {&breaker_, &excess_breaker_}) {
    if (breaker->state(now) != CircuitState::kOpen) continue;
    open = std::max(open, breaker->retry_at() - now);
  }
  return open;
}

double EndpointHealth::UnitCost(Time now) const {
  const double assumed = DefaultUnitCost(role_);
  if (unit_cost_us_ <= 0) return assumed;
  const double decay = Decay(now);
  return decay * unit_cost_us_ + (1 - decay) * assumed;
}

double EndpointHealth::FailureShare(Time now) const {
  return Decay(now) * failure_share_;
}

double EndpointHealth::Decay(Time now) const {
  const double age = ToSeconds(now - aged_at_);
  return std::exp2(-age / ToSeconds(half_life_));
}

void EndpointHealth::Age(Time now) {
  if (unit_cost_us_ > 0) unit_cost_us_ = UnitCost(now);
  failure_share_ = FailureShare(now);
  aged_at_ = now;
}

double EndpointHealth::FailureWeight(WorkOutcome outcome, Time now) const {
  switch (outcome) {
    case WorkOutcome::kBroken:
      return 1;
    case WorkOutcome::kServerError:
      return kServerErrorWeight;
    case WorkOutcome::kUnreachable:
    case WorkOutcome::kSilent: {
      // The circuit keeps work away while this lasts. Only an endpoint that
      // fails again soon after it recovered is avoided for longer.
      const bool again = recovered_at_.has_value() &&
                         now - *recovered_at_ < kRelapseTime &&
                         breaker_.state(now) == CircuitState::kClosed;
      return again ? 1 : 0;
    }
    default:
      return 0;
  }
}

void EndpointHealth::ObserveCircuits(WorkOutcome outcome,
                                     const CallsInFlight& in_flight, Time now) {
  if (IsWithoutResponse(outcome)) {
    breaker_.OnFailure(now);
    excess_breaker_.OnCancelled();
    return;
  }
  OnResponse(in_flight, now);
  if (outcome == WorkOutcome::kExcessive) {
    excess_breaker_.OnFailure(now);
  } else {
    excess_breaker_.OnSuccess(now);
  }
}

Duration EndpointHealth::SlowTime(Tokens queued, Time now) const {
  const auto units = std::max<std::int64_t>(1, queued.value());
  return FromSeconds(kHeldUpFactor * UnitCost(now) *
                     static_cast<double>(units) / kMicrosecondsPerSecond);
}

bool EndpointHealth::WasHeldUp(Duration took, Duration slow, Time now) {
  const Time began = now - took;
  // Calls that were sent late in a silence take less than `slow`.
  if (took <= slow && began >= resumed_at_) {
    slow_since_.reset();
    return false;
  }
  const bool same_silence = began - held_up_at_ <= kToleratedSilence;
  if (!slow_since_.has_value() || !same_silence) slow_since_ = now;
  held_up_at_ = now;
  // An endpoint that is slow for longer than a silence lasts is overloaded.
  return now - *slow_since_ < kToleratedSilence;
}

}  // namespace cassiausher
