// Issues permits for calls to endpoints that named a rate limit. One control
// instance at a time issues them to all entry instances, so that the limit
// holds for their sum and no part of it is tied to an instance without
// requests.
#ifndef SERVERS_CONTROL_PERMIT_ISSUER_H_
#define SERVERS_CONTROL_PERMIT_ISSUER_H_

#include <cstdint>
#include <map>

#include "core/ids.h"
#include "core/random.h"
#include "core/time.h"
#include "core/units.h"
#include "servers/routing/token_bucket.h"

namespace cassiausher {

struct PermitIssuerOptions {
  /// A bucket holds this many permits, and those of `burst_time`, so that a
  /// permit nobody asks for at once isn't lost.
  double burst_permits = 2;
  Duration burst_time = Milliseconds(250);
  /// Requests for one endpoint that are refused a second, of all entry
  /// instances together: bounds the messages under overload, and a permit waits
  /// for the next request only for the inverse.
  double refusals_per_second = 100;
  /// Entry instances that asked within this time share that bound.
  Duration asker_lifetime = Seconds(5);
  /// An endpoint that takes no requests is asked this often, in requests a
  /// second, or its limit's end would never be seen.
  RequestRate min_rate{0.2};
  std::uint64_t random_seed = 1;
};

struct PermitGrant {
  int granted = 0;
  /// When to ask again; 0 if all were granted.
  Duration retry_after{};
};

/// Not thread safe.
class PermitIssuer {
 public:
  explicit PermitIssuer(PermitIssuerOptions options)
      : options_(options), random_(options.random_seed) {}

  /// This instance begins to issue permits. The previous issuer may have
  /// granted all permits of this moment, so buckets fill from now on.
  void Begin(Time now);

  /// Grants up to `wanted` calls to an endpoint that takes `limit`.
  PermitGrant Grant(const InstanceId& asker, const EndpointId& endpoint,
                    RequestRate limit, int wanted, Time now);
  /// Forgets endpoints that nobody asked for lately.
  void Expire(Time now);

 private:
  struct Endpoint {
    TokenBucket bucket;
    std::map<InstanceId, Time> asked_at;
  };

  /// Pause of one asker after a refusal.
  Duration RefusalPause(Endpoint& endpoint, RequestRate rate);

  PermitIssuerOptions options_;
  Random random_;
  Time began_at_{};
  std::map<EndpointId, Endpoint> endpoints_;
};

}  // namespace cassiausher

#endif  // SERVERS_CONTROL_PERMIT_ISSUER_H_
