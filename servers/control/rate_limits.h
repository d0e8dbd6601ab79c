// The rates of requests that endpoints name in their answers. Answers reach
// different instances, and overtake each other; the newest one counts.
#ifndef SERVERS_CONTROL_RATE_LIMITS_H_
#define SERVERS_CONTROL_RATE_LIMITS_H_

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "core/units.h"

namespace cassiausher {

/// What one answer of an endpoint said about its limit.
struct RateLimitObservation {
  EndpointId endpoint;
  Incarnation incarnation{0};
  /// Requests that it takes from all instances together; null if the answer
  /// named no limit any more.
  std::optional<RequestRate> limit;
  /// When the answer arrived.
  Time observed_at{};
};

enum class RateLimitChange {
  kNone,
  kAppeared,
  kValue,  ///< Another rate.
  kEnded,
};

/// Not thread safe. Limits without end hold until their endpoint is removed.
class RateLimits {
 public:
  RateLimitChange Observe(const RateLimitObservation& observation);
  /// Null if the endpoint has no limit.
  std::optional<RequestRate> Find(const EndpointId& endpoint) const;
  /// The newest observation; null if there is none.
  const RateLimitObservation* FindObservation(const EndpointId& endpoint) const;
  /// All limits, and ends of limits that are not older than `kEndLifetime`.
  std::vector<RateLimitObservation> All() const;
  /// Removes endpoints for which `exists` is false, and ends that are too old.
  void Expire(const std::function<bool(const EndpointId&, Incarnation)>& exists,
              Time now);

  /// An end is remembered for this long, so that an older answer that another
  /// instance reports late doesn't bring the limit back.
  static constexpr Duration kEndLifetime = Seconds(30);

 private:
  std::map<EndpointId, RateLimitObservation> observations_;
};

}  // namespace cassiausher

#endif  // SERVERS_CONTROL_RATE_LIMITS_H_
