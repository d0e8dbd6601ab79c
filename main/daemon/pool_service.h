// Hosts the pools of this data centre that this instance owns and routes
// placement requests to the owner of the right pool.
#ifndef MAIN_DAEMON_POOL_SERVICE_H_
#define MAIN_DAEMON_POOL_SERVICE_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "main/daemon/control_context.h"
#include "main/daemon/remote_pools.h"
#include "servers/language/row.h"
#include "servers/membership/membership.h"
#include "servers/ownership/ownership.h"
#include "servers/routing/routing_policy.h"
#include "servers/serving/pool_host.h"

namespace cassiausher {

class PoolService {
 public:
  PoolService(ControlContext& context, const RoutingPolicyRegistry& policies,
              std::string policy_name, Time now);

  void SetConfiguration(std::shared_ptr<const Configuration> configuration,
                        Time now);
  /// `reachable`: live instances that this one can reach, itself included.
  void SetMembers(const std::vector<MemberRow>& members,
                  std::set<InstanceId> reachable, Time now);
  /// The entry instance died, restarted or is unreachable: cancels its
  /// requests.
  void OnEntryLost(const InstanceId& instance, Time now);

  // From this instance's serving and admin tasks.
  void RequestPlacement(const RouteRequest& request, Time now);
  void Report(const PlacementProgress& message, Time now);
  void OnSessions(const SessionsListed& message, Time now);
  void ReportUnconfirmed(const CancelNotConfirmed& message, Time now);
  void Offer(const RequestOffered& message, Time now);
  void Announce(const proto::Announcement& announcement, Time now);

  /// Starts the handover of all pools to other instances.
  void Leave(Time now);
  /// True once this instance owns no pool, or no other instance can take over.
  bool HandedOver(Time now) const;

  /// Returns false if the envelope holds no message for pools.
  bool OnEnvelope(const proto::Envelope& envelope, const InstanceId& sender,
                  Time now);
  void Tick(Time now);

  std::vector<Row> EndpointRows(Time now) const;
  std::vector<Row> OwnerRows(Time now) const;
  nlohmann::json Dump(Time now) const;
  /// Service of an endpoint of an owned pool; empty if unknown.
  ServiceId ServiceOf(const EndpointId& endpoint, Time now) const;

 private:
  /// A pool that this instance owns. Requests are placed in it only while the
  /// instance holds the lease.
  struct HostedPool {
    PoolAddress address;
    std::unique_ptr<PoolHost> host;
    Time acquired{};
    /// The summary last sent, when it was last sent at all, and when it was
    /// last sent to every instance of the other data centres.
    proto::PoolSummary summary;
    Time summary_sent{};
    Time summary_broadcast{};
  };
  struct RefusalHistory {
    std::set<DataCentreId> refused_by;
    Time since{};
  };

  /// Returns null unless this instance holds the pool's lease at `now`.
  HostedPool* HeldPool(const ServiceId& service, Time now);
  void DispatchOwnership(Time now);
  void Acquire(const ServiceId& service, Epoch epoch, Time now);
  RoutingOptions OptionsFor(const ServiceId& service) const;

  void AdmitLocally(const RouteRequest& request,
                    std::set<DataCentreId> refused_by, Time now);
  /// Forwards the request to a pool in another data centre. Returns false if
  /// none is left to try.
  bool ForwardElsewhere(const RouteRequest& request,
                        std::set<DataCentreId> refused_by, Time now);
  void ApplyProgress(const proto::Progress& progress, Time now);
  void ApplyAnnouncement(const proto::Announcement& announcement, Time now);
  void AdoptLocally(const AdoptedRequest& request, Time now);
  void OnPoolSummary(const proto::PoolSummary& summary,
                     const InstanceId& sender, Time now);
  void SendSummaries(Time now);
  proto::PoolSummary SummaryOf(const HostedPool& pool, Time now) const;
  void RequestSessions(Time now);
  void Refuse(const RouteRequest& request, RefusalReason reason);
  void Dispatch(HostedPool& pool, Time now);
  void DispatchOutput(HostedPool& pool, PoolOutput& output, Time now);
  void DeliverGrant(const PlacementGranted& granted);
  void DeliverRefusal(const PlacementRefused& refused);
  void NotifyServingTasks(const PoolAddress& pool);

  ControlContext& context_;
  const RoutingPolicyRegistry& policies_;
  std::string policy_name_;
  Counter& requests_forwarded_;
  Counter& malformed_;
  Counter& orphans_cancelled_;
  Distribution& decision_time_;
  std::shared_ptr<const Configuration> configuration_;
  Ownership ownership_;
  std::set<InstanceId> reachable_;
  /// Reachable instances of other data centres.
  std::set<InstanceId> remote_instances_;
  std::map<ServiceId, HostedPool> pools_;
  RemotePools remote_pools_;
  /// For each request in this data centre's pools, the data centres that
  /// refused it before.
  std::unordered_map<RequestId, RefusalHistory> refusal_history_;
  Time last_summary_at_{};
  Time last_sessions_at_{};
};

}  // namespace cassiausher

#endif  // MAIN_DAEMON_POOL_SERVICE_H_
