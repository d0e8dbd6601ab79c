#include "servers/loads/placement_rate.h"

#include <cmath>

namespace cassiausher {
namespace {

// Bursts begin and end within some seconds.
constexpr Duration kTimeConstant = Seconds(1);

}  // namespace

void PlacementRate::OnPlacements(int count, Time now) {
  per_second_ = PerSecond(now) + count / ToSeconds(kTimeConstant);
  updated_at_ = now;
}

double PlacementRate::PerSecond(Time now) const {
  const double age = ToSeconds(now - updated_at_) / ToSeconds(kTimeConstant);
  return per_second_ * std::exp(-age);
}

}  // namespace cassiausher
