// State transitions of the circuit breaker.
#include "servers/routing/circuit_breaker.h"

#include <algorithm>

namespace cassiausher {

CircuitState CircuitBreaker::state(Time now) const {
  if (state_ == CircuitState::kOpen && now >= open_until_) {
    return CircuitState::kHalfOpen;
  }
  return state_;
}

bool CircuitBreaker::Allow(Time now) {
  if (state_ == CircuitState::kClosed) return true;
  if (state_ == CircuitState::kOpen) {
    if (now < open_until_) return false;
    state_ = CircuitState::kHalfOpen;
    successful_trials_ = 0;
    trial_in_progress_ = false;
  }
  if (trial_in_progress_) {
    if (now - trial_started_ >= options_.trial_timeout) Open(now);
    return false;
  }
  trial_in_progress_ = true;
  trial_started_ = now;
  return true;
}

bool CircuitBreaker::Admits(Time now) const {
  if (state_ == CircuitState::kClosed) return true;
  if (state_ == CircuitState::kOpen) return now >= open_until_;
  return !trial_in_progress_ || now - trial_started_ >= options_.trial_timeout;
}

void CircuitBreaker::OnSuccess(Time now) {
  // Late results of calls that started before the breaker opened carry no new
  // information.
  if (state_ == CircuitState::kOpen) return;
  if (state_ == CircuitState::kHalfOpen) {
    if (!trial_in_progress_) return;
    trial_in_progress_ = false;
    if (++successful_trials_ >= options_.trials) Close(now);
    return;
  }
  consecutive_failures_ = 0;
  if (now - window_start_ >= options_.window) {
    window_start_ = now;
    window_calls_ = window_failures_ = 0;
  }
  ++window_calls_;
}

void CircuitBreaker::OnFailure(Time now) {
  if (state_ == CircuitState::kOpen) return;
  if (state_ == CircuitState::kHalfOpen) return Open(now);
  if (now - window_start_ >= options_.window) {
    window_start_ = now;
    window_calls_ = window_failures_ = 0;
  }
  ++consecutive_failures_;
  ++window_calls_;
  ++window_failures_;
  const bool ratio_exceeded =
      window_calls_ >= options_.window_calls &&
      window_failures_ >= options_.failure_ratio * window_calls_;
  if (ratio_exceeded || consecutive_failures_ >= options_.consecutive_failures)
    Open(now);
}

void CircuitBreaker::Open(Time now) {
  Duration backoff = options_.backoff_minimum;
  for (int i = 0; i < opens_since_closed_ && backoff < options_.backoff_maximum;
       ++i) {
    backoff *= 2;
  }
  backoff = std::min(backoff, options_.backoff_maximum);
  const double factor = 1 + options_.jitter * (2 * random_.Unit() - 1);
  ++opens_since_closed_;
  state_ = CircuitState::kOpen;
  trial_in_progress_ = false;
  open_until_ = now + FromSeconds(ToSeconds(backoff) * factor);
}

void CircuitBreaker::Close(Time now) {
  state_ = CircuitState::kClosed;
  opens_since_closed_ = 0;
  consecutive_failures_ = 0;
  window_start_ = now;
  window_calls_ = window_failures_ = 0;
}

}  // namespace cassiausher
