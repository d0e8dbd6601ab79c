// Interface of the routing policies, which place requests on the endpoints of
// one pool. The daemon's control task and the policy bench run the same
// implementations; modules/policy_* register them by name.
#ifndef SERVERS_ROUTING_ROUTING_POLICY_H_
#define SERVERS_ROUTING_ROUTING_POLICY_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "core/ids.h"
#include "core/registry.h"
#include "core/time.h"
#include "core/units.h"
#include "servers/routing/router_types.h"

namespace cassiausher {

struct RoutingOptions {
  std::vector<ClassTargets> classes;
  /// This pool's share of the data centre's bandwidth for KV cache transfers.
  double link_bytes_per_second = 12.5e9;
  /// How long a prefill engine keeps the result of a prefill.
  Duration kv_retention = Milliseconds(800);
  /// Prompts up to this length may be prefilled on the decode engine.
  Tokens local_prefill_limit{256};
  /// Trade-off between goodput and wasted prefill work: 0 maximises goodput, 1
  /// minimises waste.
  double prefill_thrift = 0.5;
  std::uint64_t seed = 1;
};

/// Counts of rejected or corrected inputs, decisions and broken invariants.
struct PolicyCounters {
  /// Reports, events and progress for unknown endpoints or requests.
  std::uint64_t unknown = 0;
  /// Inputs whose sequence number or incarnation is not current.
  std::uint64_t stale = 0;
  /// Inputs with values out of range, which are clamped, and inputs ignored
  /// because the pool has reached its maximum of endpoints or requests.
  std::uint64_t out_of_range = 0;
  /// Inputs that contradict the state, such as a request admitted or adopted
  /// twice, or progress out of order.
  std::uint64_t inconsistent = 0;
  /// Gaps in the sequence of cache events.
  std::uint64_t cache_gaps = 0;
  std::uint64_t quarantines = 0;
  std::uint64_t granted = 0;
  std::uint64_t refused = 0;
  /// Violations of the policy's invariants; any value but 0 is a defect.
  std::uint64_t violations = 0;
  /// Name of the first violated invariant; a string literal.
  std::string_view first_violation;
};

/// State machine of one pool. Not thread-safe; it is owned by a single task.
/// Any method that changes its state may add outputs, which TakeOutputs()
/// returns in order.
class RoutingPolicy {
 public:
  virtual ~RoutingPolicy() = default;

  /// Replaces the options; requests in progress are kept.
  virtual void Reconfigure(const RoutingOptions& options, Time now) = 0;

  virtual void UpsertEndpoint(const EndpointInfo& endpoint, Time now) = 0;
  /// The endpoint is dead. The entry instances must report the failure of each
  /// of its requests with OnFailed.
  virtual void RemoveEndpoint(const EndpointId& endpoint, Time now) = 0;
  virtual void Report(const LoadReport& report, Time now) = 0;
  virtual void OnCacheEvent(const CacheEvent& event, Time now) = 0;

  /// Queues, grants or refuses a request. Each request gets exactly one
  /// Grant or RouteRefusal per call, unless it is cancelled first. A repeated
  /// call doesn't queue the request again: a queued request gets one answer for
  /// all calls, a placed one gets its grant again.
  virtual void Admit(const RouteRequest& request, Time now) = 0;
  virtual void OnPrefillFinished(const RequestId& request, Time now) = 0;
  virtual void OnFirstToken(const RequestId& request, Time now) = 0;
  /// Frees everything reserved for the request.
  virtual void OnFinished(const RequestId& request, Tokens output_tokens,
                          Time now) = 0;
  /// The endpoint failed the request in its current stage. Frees everything
  /// reserved; to retry, the entry instance requests admission with a higher
  /// attempt.
  virtual void OnFailed(const RequestId& request, const EndpointId& endpoint,
                        Time now) = 0;
  /// The caller has disconnected. Frees everything reserved; the entry instance
  /// cancels the request on the engines.
  virtual void OnCancelled(const RequestId& request, Time now) = 0;
  /// The entry instance is dead. Its requests are cancelled on every engine
  /// that they were placed on.
  virtual void OnEntryLost(const InstanceId& entry, Time now) = 0;
  /// Adds a request that an entry instance reports to a new owner. A queued one
  /// is admitted; a placed one keeps its endpoints.
  virtual void Adopt(const AdoptedRequest& request, Time now) = 0;
  /// The endpoint has not confirmed a cancel within the timeout.
  virtual void OnCancelUnconfirmed(const EndpointId& endpoint, Time now) = 0;

  /// Processes what depends on time only: deadlines, queues and the ends of
  /// quarantines.
  virtual void Tick(Time now) = 0;
  /// Latest time of the next Tick; Time::max() if nothing is scheduled.
  virtual Time NextWakeup() const = 0;

  virtual std::vector<RouteOutput> TakeOutputs() = 0;

  virtual std::vector<RequestRow> Requests(Time now) const = 0;
  virtual std::vector<EndpointRow> Endpoints(Time now) const = 0;
  virtual PolicyCounters Counters() const { return {}; }
};

using RoutingPolicyRegistry = Registry<RoutingPolicy, RoutingOptions>;

}  // namespace cassiausher

#endif  // SERVERS_ROUTING_ROUTING_POLICY_H_
