// Circuit breaker: stops calls to a failing endpoint and, after a jittered
// exponential backoff, lets single trial calls through to detect its recovery.
#ifndef SERVERS_ROUTING_CIRCUIT_BREAKER_H_
#define SERVERS_ROUTING_CIRCUIT_BREAKER_H_

#include <cstdint>

#include "core/random.h"
#include "core/time.h"

namespace cassiausher {

struct CircuitBreakerOptions {
  /// Consecutive failures that open the breaker.
  int consecutive_failures = 5;
  /// The breaker also opens when at least `window_calls` calls completed
  /// within `window` and this fraction of them failed.
  double failure_ratio = 0.5;
  int window_calls = 20;
  Duration window = Seconds(10);
  /// Initial backoff; doubles with each failed trial up to backoff_maximum.
  Duration backoff_minimum = Milliseconds(500);
  Duration backoff_maximum = Seconds(30);
  /// The backoff is multiplied by a random factor between 1 - jitter and
  /// 1 + jitter, so that instances don't try an endpoint at the same moment.
  double jitter = 0.3;
  /// Successful trial calls that close the breaker.
  int trials = 2;
  /// A trial call without a result counts as failed after this time.
  Duration trial_timeout = Seconds(5);
  std::uint64_t random_seed = 1;
};

enum class CircuitState { kClosed, kOpen, kHalfOpen };

/// Not thread-safe.
class CircuitBreaker {
 public:
  explicit CircuitBreaker(CircuitBreakerOptions options)
      : options_(options), random_(options.random_seed) {}

  /// Returns whether a call may start now. While half-open, only one call may
  /// run at a time, and its result must be reported.
  bool Allow(Time now);
  /// Whether a call should start now. Changes nothing.
  bool Admits(Time now) const;
  void OnSuccess(Time now);
  void OnFailure(Time now);
  /// A call was cancelled by its caller, so that its result remains unknown.
  /// Another trial may start.
  void OnCancelled() { trial_in_progress_ = false; }

  CircuitState state(Time now) const;
  /// The earliest time at which a rejected call may be retried.
  Time retry_at() const { return open_until_; }

 private:
  void Open(Time now);
  void Close(Time now);

  CircuitBreakerOptions options_;
  Random random_;
  CircuitState state_ = CircuitState::kClosed;
  int consecutive_failures_ = 0;
  Time window_start_{};
  int window_calls_ = 0;
  int window_failures_ = 0;
  int opens_since_closed_ = 0;
  Time open_until_{};
  bool trial_in_progress_ = false;
  Time trial_started_{};
  int successful_trials_ = 0;
};

}  // namespace cassiausher

#endif  // SERVERS_ROUTING_CIRCUIT_BREAKER_H_
