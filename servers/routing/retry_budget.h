// Limits retries to a fraction of recent requests, so that retries can't
// multiply the load of a pool that fails because it is overloaded.
#ifndef SERVERS_ROUTING_RETRY_BUDGET_H_
#define SERVERS_ROUTING_RETRY_BUDGET_H_

#include <array>
#include <cstdint>

#include "core/time.h"

namespace cassiausher {

struct RetryBudgetOptions {
  /// Retries allowed per request of the last ten seconds.
  double ratio = 0.1;
  /// Retries per second allowed at any load, so that a pool with little
  /// traffic and one failed engine can still retry.
  double floor_per_second = 1;
};

/// Not thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options) : options_(options) {}

  /// This instance's part of the fixed allowance, which changes with the number
  /// of instances that share it.
  void SetFloorPerSecond(double floor) { options_.floor_per_second = floor; }

  /// Records the first attempt of a request.
  void OnRequest(Time now);
  /// Takes `count` retries from the budget, or none if fewer are left, and
  /// returns whether it did.
  bool TryRetries(int count, Time now);
  bool TryRetry(Time now) { return TryRetries(1, now); }
  /// Number of retries left at `now`.
  double Remaining(Time now);

 private:
  /// The sliding window consists of this many one-second buckets.
  static constexpr std::size_t kBuckets = 10;
  struct Bucket {
    std::int64_t requests = 0;
    std::int64_t retries = 0;
  };

  /// Clears the buckets that have left the window; returns the current one.
  Bucket& Advance(Time now);

  RetryBudgetOptions options_;
  std::array<Bucket, kBuckets> buckets_{};
  std::int64_t current_second_ = 0;
  Bucket window_total_;
};

}  // namespace cassiausher

#endif  // SERVERS_ROUTING_RETRY_BUDGET_H_
