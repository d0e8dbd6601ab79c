// Rate of placements, as an exponentially weighted mean.
#ifndef SERVERS_LOADS_PLACEMENT_RATE_H_
#define SERVERS_LOADS_PLACEMENT_RATE_H_

#include "core/time.h"

namespace cassiausher {

/// Not thread safe.
class PlacementRate {
 public:
  void OnPlacements(int count, Time now);
  double PerSecond(Time now) const;

 private:
  /// As of `updated_at_`.
  double per_second_ = 0;
  Time updated_at_{};
};

}  // namespace cassiausher

#endif  // SERVERS_LOADS_PLACEMENT_RATE_H_
