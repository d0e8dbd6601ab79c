// The control task: messages between instances, membership, and the pool,
// configuration and query services.
#ifndef MAIN_DAEMON_CONTROL_TASK_H_
#define MAIN_DAEMON_CONTROL_TASK_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/metrics.h"
#include "core/settings.h"
#include "drivers/peer_transport.h"
#include "drivers/task.h"
#include "main/daemon/configuration_service.h"
#include "main/daemon/control_context.h"
#include "main/daemon/messages.h"
#include "main/daemon/pool_service.h"
#include "main/daemon/query_service.h"
#include "main/sent_bytes_by_kind.h"
#include "proto/gen/control.pb.h"
#include "servers/membership/membership.h"
#include "servers/routing/account_limits.h"
#include "servers/routing/routing_policy.h"

namespace cassiausher {

struct ControlTaskOptions {
  const Settings& settings;
  const RoutingPolicyRegistry& policies;
  std::string policy_name = "reserving";
  /// If empty, messages between instances aren't encrypted.
  CurveKeys curve_keys;
  /// Identifies this run of the process.
  Incarnation incarnation{0};
};

class ControlTask : public Task {
 public:
  using ToServing = std::function<void(int serving_task, ServingMessage)>;

  ControlTask(ControlTaskOptions options, Metrics& metrics,
              ToServing to_serving, int serving_tasks);
  ~ControlTask() override;

  void Post(ControlMessage message) { mailbox_.Post(std::move(message)); }
  /// Error from opening the peer port, empty on success. Valid after Start().
  const std::string& listen_error() const { return listen_error_; }
  /// After ShutdownRequested: true once this instance owns no pool, or no other
  /// instance can take one over. Thread-safe.
  bool handed_over() const { return handed_over_.load(); }
  /// After LeaveRequested: true once the log holds the outcomes of this
  /// instance's requests, or its leader doesn't answer, and the other instances
  /// were told that this one leaves. Thread-safe.
  bool left() const { return left_.load(); }

 protected:
  void OnStart() override;
  void OnStop() override;

 private:
  /// A collection of rows from all serving tasks, in progress.
  struct Gather {
    int missing = 0;
    std::vector<Row> rows;
    std::function<void(std::vector<Row>)> callback;
  };

  void Handle(ControlMessage& message);
  void On(PlacementRequested& message, Time now);
  void On(RequestEnded& message, Time now);
  void On(PlacementProgress& message, Time now);
  void On(CancelNotConfirmed& message, Time now);
  void On(RequestOffered& message, Time now);
  void On(EndpointAnnounced& message, Time now);
  void On(DumpRequested& message, Time now);
  void On(StatementRequested& message, Time now);
  void On(ShutdownRequested& message, Time now);
  void On(EndRequestsOrdered& message, Time now);
  void On(LeaveRequested& message, Time now);
  void On(PeersChanged& message, Time now);
  void On(ClaimRequested& message, Time now);
  void On(OutcomeReported& message, Time now);
  void On(RequestRowsGiven& message, Time now);
  void On(SessionsListed& message, Time now);
  void On(LoopbackEnvelope& message, Time now);

  void OnPeerMessage(std::string_view bytes);
  void OnEnvelope(const proto::Envelope& envelope, const InstanceId& sender,
                  Time now);
  void Send(const InstanceId& peer, proto::Envelope& envelope);

  void StartMembership(Time now);
  void DispatchMembership(Time now);
  void OnMembershipEvent(const MembershipEvent& event, Time now);
  /// Passes the current members to the services.
  void PublishMembers(Time now);
  /// Publishes this instance's revision and whether it is draining through
  /// membership.
  void UpdatePayload(Time now);
  void Leave(Time now);
  void ConfigureLimits(const Configuration& configuration);

  void RunChange(const Change& change, StatementRequested& message, Time now);
  /// Findings if the operator lacks permission for this change, else none.
  Findings CheckOperator(const Change& change, const TokenOwner& owner,
                         Time now) const;
  void CollectRows(const std::string& table,
                   std::function<void(std::vector<Row>)> callback);
  void GatherRequestRows(std::function<void(std::vector<Row>)> callback);
  std::vector<Row> InstanceRows() const;
  std::vector<Row> DataCentreRows() const;
  std::vector<Row> ConfigurationRows(const std::string& table) const;
  Row RequestRowOf(const RequestRow& request) const;
  std::string Dump(Time now) const;
  void Tick();

  ControlTaskOptions options_;
  const Settings& settings_;
  Counter& malformed_;
  Counter& stale_;
  Gauge& open_requests_;
  ControlContext context_;
  std::unique_ptr<PeerTransport> transport_;
  std::unique_ptr<Membership> membership_;
  PoolService pools_;
  AccountLimits limits_;
  Counter& limited_;
  ConfigurationService configuration_;
  QueryService queries_;
  /// Highest incarnation received from each peer; messages with a lower one
  /// are stale.
  std::map<InstanceId, std::uint64_t> incarnations_;
  std::map<std::uint64_t, Gather> gathers_;
  std::uint64_t next_gather_ = 1;
  SentBytesByKind<proto::Envelope> sent_by_kind_;
  bool members_changed_ = true;
  bool leaving_ = false;
  std::atomic<bool> handed_over_{false};
  /// Set once LeaveRequested was received.
  std::optional<Time> leave_deadline_;
  std::atomic<bool> left_{false};
  Time last_publish_{};
  std::string listen_error_;
  GSourcePtr timer_;
  Mailbox<ControlMessage> mailbox_;
};

}  // namespace cassiausher

#endif  // MAIN_DAEMON_CONTROL_TASK_H_
