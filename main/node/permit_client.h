// Rate limits of endpoints at an entry instance: learned from answers and from
// control instances, and kept by permits that the issuer grants.
#ifndef MAIN_NODE_PERMIT_CLIENT_H_
#define MAIN_NODE_PERMIT_CLIENT_H_

#include <functional>
#include <map>
#include <optional>
#include <string_view>

#include "core/metrics.h"
#include "core/time.h"
#include "main/node/node_link.h"
#include "main/node/rate_limit_messages.h"
#include "servers/control/rate_limits.h"
#include "servers/entry/endpoint_pool.h"
#include "servers/entry/permit_holder.h"

namespace cassiausher {

/// Used on the entry node's task only; `link` must outlive it.
class PermitClient {
 public:
  using Callback = std::function<void(const std::optional<CallPermit>& permit)>;

  PermitClient(std::uint64_t random_seed, Metrics& metrics, NodeLink* link);

  CallPermits* permits() { return &holder_; }
  /// Calls `callback` once the permit is granted or refused. Sends what has to
  /// be asked for.
  void Await(PermitTicket ticket, Callback callback, Time now);

  /// An answer of an endpoint, to a call that was started at `call_started`.
  /// `complete`: a proper answer, so that a missing limit means that there is
  /// none.
  void OnAnswer(const EndpointRecord& endpoint,
                std::optional<RequestRate> limit, bool complete,
                Time call_started, Time now);

  // Messages of control instances.
  void OnRateLimits(const RateLimitMessages& messages, Time now);
  void OnPermitAnswer(const InstanceId& from, const proto::PermitAnswer& answer,
                      Time now);

  /// Sets who issues permits, empty for nobody, and how many entry instances
  /// share a limit.
  void SetIssuer(const InstanceId& issuer, std::uint32_t entry_instances,
                 Time now);
  /// Sends reports and asks that are due, and ends waits that took too long.
  /// Call at least every 25 ms.
  void Tick(Time now);
  /// Adds the limits that this instance's own answers named lately.
  void WriteOwnLimits(Time now, RateLimitMessages* messages) const;
  /// Forgets limits of endpoints that are gone.
  void Expire(const EndpointPool& pool, Time now);

 private:
  void Observe(const RateLimitObservation& observation,
               std::string_view source);
  void SendAsks(Time now);
  void SendReport(Time now);
  void DeliverOutcomes();

  NodeLink* link_;
  Counter& asked_;
  Counter& refused_;
  RateLimits limits_;
  PermitHolder holder_;
  /// Own answers that named a limit, or ended it, by endpoint.
  std::map<EndpointId, RateLimitObservation> own_;
  /// The issuer must be told of a change.
  bool report_due_ = false;
  Time reported_at_{};
  std::map<PermitTicket, Callback> callbacks_;
};

}  // namespace cassiausher

#endif  // MAIN_NODE_PERMIT_CLIENT_H_
