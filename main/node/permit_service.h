// Rate limits of endpoints at a control instance: gathers what entry instances
// report and, while this instance leads, issues permits to them.
#ifndef MAIN_NODE_PERMIT_SERVICE_H_
#define MAIN_NODE_PERMIT_SERVICE_H_

#include <cstdint>

#include "core/metrics.h"
#include "core/time.h"
#include "main/node/configuration_log.h"
#include "main/node/node_link.h"
#include "main/node/rate_limit_messages.h"
#include "servers/control/endpoint_registry.h"
#include "servers/control/permit_issuer.h"
#include "servers/control/rate_limits.h"

namespace cassiausher {

/// Used on the control node's task only; the arguments must outlive it.
class PermitService {
 public:
  PermitService(const NodeSettings& settings, const ConfigurationLog* log,
                const EndpointRegistry* registry, Metrics& metrics,
                NodeLink* link);

  /// Takes in limits that an entry instance reports. Returns whether one of
  /// them is new, which the other entry instances must be told at once.
  bool Observe(const RateLimitMessages& messages, Time now);
  /// Returns as Observe().
  bool OnRequest(const InstanceId& from, const proto::PermitRequest& request,
                 Time now);
  /// Whether this instance may make a call of its own to the endpoint.
  bool TakeForOwnCall(const EndpointId& endpoint, Time now);

  /// Term under which this instance issues permits; 0 if it doesn't.
  std::uint64_t IssuerTerm(Time now) const;
  void WriteLimits(Time now, RateLimitMessages* messages) const;
  /// Notices the begin and end of leadership. Returns whether IssuerTerm() has
  /// changed since the last call. Call every 100 ms.
  bool Tick(Time now);
  /// Forgets endpoints that are gone.
  void Expire(Time now);

 private:
  InstanceId self_;
  const ConfigurationLog* log_;
  const EndpointRegistry* registry_;
  NodeLink* link_;
  Counter& granted_;
  Counter& refused_;
  Gauge& limited_endpoints_;
  RateLimits limits_;
  PermitIssuer issuer_;
  /// IssuerTerm() at the last Tick(), or since a request showed another.
  std::uint64_t term_ = 0;
};

}  // namespace cassiausher

#endif  // MAIN_NODE_PERMIT_SERVICE_H_
