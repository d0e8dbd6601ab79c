// State of one pool on its owner instance: the routing policy, the liveness of
// endpoints and the open placement requests. A repeated placement request gets
// the same answer.
#ifndef SERVERS_SERVING_POOL_HOST_H_
#define SERVERS_SERVING_POOL_HOST_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "core/units.h"
#include "servers/ownership/endpoint_directory.h"
#include "servers/routing/router_types.h"
#include "servers/routing/routing_policy.h"

namespace cassiausher {

struct PoolHostOptions {
  EndpointDirectoryOptions directory;
  /// Time until an unknown session is cancelled. A live entry instance
  /// announces its placed requests every two seconds, so a session that stays
  /// unknown for longer has no owner.
  Duration orphan_grace = Milliseconds(4500);
  /// The same if the entry instance isn't live. Not 0, since a session may be
  /// listed just before its placement is known here.
  Duration lost_entry_orphan_grace = Milliseconds(500);
};

/// An output of the policy and the attempt to which it belongs.
struct PoolOutput {
  RouteOutput output;
  int attempt = 0;
  /// Set with a RouteRefusal, so that the request can be forwarded.
  RouteRequest request;
};

class PoolHost {
 public:
  PoolHost(std::unique_ptr<RoutingPolicy> policy, PoolHostOptions options);

  void Announce(const EndpointInfo& info, const LoadReport& report,
                const std::vector<CacheEvent>& events, Time now);
  /// Sets the endpoints that the configuration drains.
  void SetDrained(const std::set<EndpointId>& drained, Time now);

  /// Idempotent, as an entry instance repeats its request until it is answered:
  /// an open request isn't passed to the policy twice, and a granted one gets
  /// the same grant again.
  void Admit(const RouteRequest& request, Time now);
  void Adopt(const AdoptedRequest& request, Time now);
  void OnPrefillFinished(const RequestId& request, Time now);
  void OnFirstToken(const RequestId& request, Time now);
  void OnFinished(const RequestId& request, Tokens output_tokens, Time now);
  void OnFailed(const RequestId& request, const EndpointId& endpoint, Time now);
  void OnCancelled(const RequestId& request, Time now);
  void OnEntryLost(const InstanceId& entry, Time now);
  void OnCancelUnconfirmed(const EndpointId& endpoint, Time now);
  /// Handles the list of requests for which an endpoint holds memory. A request
  /// that this pool didn't place there is cancelled after a grace period, in
  /// which its entry instance may still announce it. The period is short if the
  /// entry instance isn't live.
  void OnSessions(const EndpointId& endpoint,
                  const std::vector<RequestId>& sessions,
                  const std::function<bool(const RequestId&)>& entry_is_live,
                  Time now);
  void Tick(Time now);
  Time NextWakeup() const { return policy_->NextWakeup(); }

  std::vector<PoolOutput> TakeOutputs();

  RoutingPolicy& policy() { return *policy_; }
  const RoutingPolicy& policy() const { return *policy_; }

  /// Placement requests without an answer.
  int queued() const { return queued_; }
  /// Endpoints that are alive or suspect.
  int live_endpoints() const { return live_endpoints_; }
  const EndpointDirectory& directory() const { return directory_; }
  /// The request of an open or granted placement; null if there is none.
  const RouteRequest* Find(const RequestId& request) const;

 private:
  struct Placement {
    RouteRequest request;
    bool granted = false;
    Grant grant;
  };
  void ErasePlacement(const RequestId& request);
  void CollectOutputs();
  /// Passes events of the endpoint directory to the policy.
  void DispatchDirectory(Time now);
  /// Empty if the endpoint isn't known.
  std::string UrlOf(const EndpointId& endpoint) const;

  std::unique_ptr<RoutingPolicy> policy_;
  PoolHostOptions options_;
  std::unordered_map<RequestId, Placement> placements_;
  EndpointDirectory directory_;
  int live_endpoints_ = 0;
  std::vector<PoolOutput> outputs_;
  /// Sessions without a known placement, and when they were first listed.
  std::map<std::pair<EndpointId, RequestId>, Time> orphans_;
  /// Number of placements that aren't granted.
  int queued_ = 0;
};

}  // namespace cassiausher

#endif  // SERVERS_SERVING_POOL_HOST_H_
