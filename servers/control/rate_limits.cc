#include "servers/control/rate_limits.h"

namespace cassiausher {

RateLimitChange RateLimits::Observe(const RateLimitObservation& observation) {
  const auto found = observations_.find(observation.endpoint);
  if (found == observations_.end()) {
    if (!observation.limit.has_value()) return RateLimitChange::kNone;
    observations_[observation.endpoint] = observation;
    return RateLimitChange::kAppeared;
  }
  RateLimitObservation& known = found->second;
  if (observation.incarnation < known.incarnation) {
    return RateLimitChange::kNone;
  }
  const bool older = observation.incarnation == known.incarnation &&
                     observation.observed_at <= known.observed_at;
  if (older) return RateLimitChange::kNone;
  const std::optional<RequestRate> before = known.limit;
  known = observation;
  if (before == observation.limit) return RateLimitChange::kNone;
  if (!before.has_value()) return RateLimitChange::kAppeared;
  return observation.limit.has_value() ? RateLimitChange::kValue
                                       : RateLimitChange::kEnded;
}

std::optional<RequestRate> RateLimits::Find(const EndpointId& endpoint) const {
  const RateLimitObservation* found = FindObservation(endpoint);
  return found == nullptr ? std::nullopt : found->limit;
}

const RateLimitObservation* RateLimits::FindObservation(
    const EndpointId& endpoint) const {
  const auto found = observations_.find(endpoint);
  return found == observations_.end() ? nullptr : &found->second;
}

std::vector<RateLimitObservation> RateLimits::All() const {
  std::vector<RateLimitObservation> all;
  for (const auto& [endpoint, observation] : observations_) {
    all.push_back(observation);
  }
  return all;
}

void RateLimits::Expire(
    const std::function<bool(const EndpointId&, Incarnation)>& exists,
    Time now) {
  std::erase_if(observations_, [&](const auto& item) {
    const RateLimitObservation& known = item.second;
    const bool ended = !known.limit.has_value();
    if (ended && now - known.observed_at >= kEndLifetime) return true;
    return !exists(known.endpoint, known.incarnation);
  });
}

}  // namespace cassiausher
