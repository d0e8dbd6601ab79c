// Rate limiter for loads from the weight store, shared by all pools of one data
// centre that this instance owns.
#ifndef SERVERS_SCALING_LOAD_SCHEDULER_H_
#define SERVERS_SCALING_LOAD_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <optional>

#include "core/ids.h"
#include "core/time.h"
#include "core/units.h"

namespace cassiausher {

struct LoadSchedulerOptions {
  /// This instance's share of the weight store's bandwidth. Instances don't
  /// coordinate their loads, so the shares must add up to that bandwidth.
  double bytes_per_second = 1e9;
  /// Bytes that may start at once after an idle period.
  Bytes burst{std::int64_t{16} << 30};
  /// Maximum number of concurrent loads.
  int loads_at_once = 2;
  /// A load that has waited for this long takes precedence over loads of
  /// services with refused requests, so that constant refusals of one service
  /// don't starve the others.
  Duration starved_after = Seconds(1800);
  /// A waiting load that isn't requested again within this time is dropped: its
  /// planner lost the lease or no longer wants it.
  Duration wait_expiry = Seconds(10);
};

/// A runner's load of one artifact.
struct LoadRequest {
  ServiceId service;
  EndpointId endpoint;
  Bytes size{0};
  /// Refused prompt tokens/s of the service; higher values take precedence.
  double refused_tokens_per_second = 0;
};

struct LoadSchedulerCounters {
  std::uint64_t started = 0;
  std::uint64_t finished = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t abandoned = 0;
  std::uint64_t delayed_by_rate = 0;
  std::uint64_t delayed_by_count = 0;
  std::uint64_t delayed_by_priority = 0;
};

/// Token bucket in bytes. A load larger than the burst starts on a full bucket
/// and makes its level negative, so the bytes started in a time T are at most
/// `rate * T + max(burst, largest load)`. Not thread safe.
class LoadScheduler {
 public:
  explicit LoadScheduler(LoadSchedulerOptions options)
      : options_(options), level_(static_cast<double>(options.burst.value())) {}

  /// Returns whether the load may start now; it then counts as running until
  /// Finish, Cancel or Abandon. If not, call again within `wait_expiry`.
  bool TryStart(const LoadRequest& request, Time now);
  void Finish(const EndpointId& endpoint);
  /// Returns the bytes of a load that was never ordered.
  void Cancel(const EndpointId& endpoint);
  /// Stops tracking a load that was ordered and whose end is unknown. It counts
  /// as running for the time it takes at `bytes_per_second / loads_at_once`.
  void Abandon(const EndpointId& endpoint, Time now);

  int running() const { return static_cast<int>(running_.size()); }
  int waiting() const { return static_cast<int>(waiting_.size()); }
  const LoadSchedulerCounters& counters() const { return counters_; }

 private:
  struct Waiting {
    LoadRequest request;
    Time since{};
    Time last_request{};
  };
  struct Running {
    Bytes size{0};
    /// Set for an abandoned load.
    std::optional<Time> ends_at;
  };
  /// Refills the bucket and drops loads that ended or expired.
  void Advance(Time now);
  /// Whether `a` takes precedence over `b`.
  bool Precedes(const Waiting& a, const Waiting& b, Time now) const;

  LoadSchedulerOptions options_;
  /// Bytes in the bucket: at most `burst`, negative after a large load.
  double level_;
  std::optional<Time> advanced_at_;
  /// By runner, each of which has at most one load.
  std::map<EndpointId, Waiting> waiting_;
  std::map<EndpointId, Running> running_;
  LoadSchedulerCounters counters_;
};

}  // namespace cassiausher

#endif  // SERVERS_SCALING_LOAD_SCHEDULER_H_
