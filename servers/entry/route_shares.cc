#include "servers/entry/route_shares.h"

#include <cmath>

namespace cassiausher {
namespace {

constexpr Duration kHalfLife = Seconds(20);
// With fewer requests, shares are not significant.
constexpr double kMinRequests = 6;
// Fraction of an equal share below which a route counts as small.
constexpr double kSmallFraction = 0.5;

}  // namespace

double RouteShares::Decayed(const Count& count, Time now) {
  return count.weight *
         std::exp2(-ToSeconds(now - count.updated_at) / ToSeconds(kHalfLife));
}

void RouteShares::OnRequest(const std::string& route, Time now) {
  Count& count = counts_[route];
  count.weight = Decayed(count, now) + 1;
  count.updated_at = now;
}

bool RouteShares::IsSmall(const std::string& route, Time now) const {
  double total = 0;
  for (const auto& [name, count] : counts_) total += Decayed(count, now);
  if (total < kMinRequests || counts_.size() < 2) return false;
  const auto found = counts_.find(route);
  const double own = found == counts_.end() ? 0 : Decayed(found->second, now);
  const double equal = total / static_cast<double>(counts_.size());
  return own < kSmallFraction * equal;
}

}  // namespace cassiausher
