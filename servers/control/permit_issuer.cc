#include "servers/control/permit_issuer.h"

#include <algorithm>

namespace cassiausher {
namespace {

// A pause is shortened or lengthened by at most this share, so that askers
// refused together don't return together.
constexpr double kPauseJitter = 0.25;

}  // namespace

void PermitIssuer::Begin(Time now) {
  endpoints_.clear();
  began_at_ = now;
}

PermitGrant PermitIssuer::Grant(const InstanceId& asker,
                                const EndpointId& endpoint, RequestRate limit,
                                int wanted, Time now) {
  const RequestRate rate = std::max(limit, options_.min_rate);
  const auto [found, added] = endpoints_.try_emplace(endpoint);
  Endpoint& entry = found->second;
  if (added) entry.bucket = TokenBucket(0, began_at_);
  entry.asked_at[asker] = now;
  std::erase_if(entry.asked_at, [&](const auto& item) {
    return now - item.second >= options_.asker_lifetime;
  });
  const double burst =
      options_.burst_permits + rate.value() * ToSeconds(options_.burst_time);
  entry.bucket.Refill(rate, burst, now);
  PermitGrant grant{.granted = entry.bucket.Take(wanted)};
  if (grant.granted < wanted) grant.retry_after = RefusalPause(entry, rate);
  return grant;
}

Duration PermitIssuer::RefusalPause(Endpoint& endpoint, RequestRate rate) {
  const double shared = static_cast<double>(endpoint.asked_at.size()) /
                        options_.refusals_per_second;
  const double jitter = 1 + kPauseJitter * (2 * random_.Unit() - 1);
  return std::max(endpoint.bucket.UntilNext(rate),
                  FromSeconds(shared * jitter));
}

void PermitIssuer::Expire(Time now) {
  std::erase_if(endpoints_, [&](const auto& item) {
    return now - item.second.bucket.refilled_at() >= options_.asker_lifetime;
  });
}

}  // namespace cassiausher
