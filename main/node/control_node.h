// A control instance: accepts configurations from operators and heartbeats from
// endpoints, replicates both among the control instances and sends updates to
// the entry instances.
#ifndef MAIN_NODE_CONTROL_NODE_H_
#define MAIN_NODE_CONTROL_NODE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/metrics.h"
#include "core/time.h"
#include "drivers/http_server.h"
#include "main/error_body.h"
#include "main/node/client_limits.h"
#include "main/node/configuration_log.h"
#include "main/node/crash_service.h"
#include "main/node/follower_updates.h"
#include "main/node/leader_calls.h"
#include "main/node/node_link.h"
#include "main/node/node_settings.h"
#include "main/node/permit_service.h"
#include "main/node/quota_service.h"
#include "main/node/stage_orders.h"
#include "servers/control/document_store.h"
#include "servers/control/endpoint_registry.h"
#include "servers/control/newest_version.h"
#include "servers/control/serving_configuration.h"
#include "servers/control/stream_origins.h"
#include "servers/control/vote_handover.h"

namespace cassiausher {

/// Runs on a single task, that of `context`.
class ControlNode : public ConfigurationLogDelegate {
 public:
  ControlNode(NodeSettings settings, const ConfigurationCodec& codec,
              Metrics& metrics, GMainContext* context,
              ClientLimits limits = MakeClientLimits(kControlMemoryMb));
  ~ControlNode() override;

  /// Returns an error message, empty on success.
  std::string Start();
  /// Applies new seeds; other settings need a restart.
  void Reload(const NodeSettings& settings);
  /// Stops listening, and hands leadership and vote over. Calls `on_done` once
  /// that is done, the last messages had time to be sent and callers have their
  /// answers, or the grace period nearly ends.
  void Shutdown(std::function<void()> on_done);
  /// Whether every caller has its answers.
  bool Drained() const;
  /// Logs the answers that the end of the process cuts.
  void LogCut() const;

 private:
  /// Another control instance.
  struct ControlPeer {
    /// When the settings or another instance named it, or its last Sync
    /// arrived.
    Time learned_at{};
    std::optional<Time> heard_at;
  };
  // ConfigurationLogDelegate.
  void SendToNode(const InstanceId& to,
                  const proto::NodeMessage& message) override;
  void OnConfiguration(const VersionedDocument& document) override;
  void OnLeaving(const LeavingEndpoint& leaving) override;
  void OnSubmitted(const InstanceId& origin, std::uint64_t submission) override;
  void OnCurrentRead(const InstanceId& origin, std::uint64_t read,
                     bool served) override;

  // HTTP calls.
  void OnCall(HttpExchangePtr exchange);
  void OnHeartbeat(const EndpointId& id, HttpExchangePtr exchange);
  /// Counts, logs and answers a heartbeat that isn't used.
  void RefuseHeartbeat(const EndpointId& id, HttpExchange& exchange,
                       const ErrorAnswer& error);
  void OnDeparture(const EndpointId& id, HttpExchangePtr exchange);
  void RefuseForWantOfRoom(const EndpointId& id, HttpExchange& exchange);
  void OnPut(HttpExchangePtr exchange);

  // Messages between instances.
  void OnMessage(const InstanceId& from, const proto::NodeMessage& message);
  void OnFetch(const InstanceId& from, const proto::FetchConfiguration& fetch);
  void OnSubmit(const InstanceId& from, const proto::SubmitDocument& submit,
                Time now);
  void OnSync(const InstanceId& from, const proto::Sync& sync);
  void OnNotice(const proto::ConfigurationNotice& notice, Time now);
  void OnRateLimits(const RateLimitMessages& limits, Time now);
  void OnReadResult(const proto::ReadResult& result);
  void AddControls(const google::protobuf::RepeatedPtrField<std::string>&);
  std::vector<InstanceId> KnownControls() const;
  std::vector<InstanceId> LiveControls() const;

  void AdvanceShutdown(Time now);
  /// `may_end`: the vote was handed over, or nobody could take it.
  void LogVoteAtStop(const GroupRole& role, bool may_end,
                     Duration elapsed) const;
  /// Tells the other control instances that this one stops.
  void AnnounceStop(Time now);
  /// Learns of the sender's process, and answers if it stops.
  void OnPeerProcess(const InstanceId& from, Incarnation process,
                     const proto::Sync& sync, Time now);
  /// Adds the record with the age of what it says.
  void AddRecord(const EndpointRecord& record, Time now,
                 proto::Sync* sync) const;
  void SendSync(const InstanceId& to, const proto::Sync& sync);
  void PublishRegistryChange(const EndpointRecord& record);
  static void LogChange(const EndpointRecord& record);
  void Tick();
  /// Sends the receiver every record.
  void SendRegistry(const InstanceId& to, Time now);
  /// Finds out whether all departures are known that were acknowledged before
  /// this process started.
  void CheckDepartures(Time now);
  void OnDeparturesKnown(std::string_view source, Time now);
  void SyncControls(Time now);
  /// Observes the loads; while this instance leads, plans stage orders to
  /// runners.
  void BalanceStages(Time now);

  NodeSettings settings_;
  const ConfigurationCodec& codec_;
  Metrics& metrics_;
  GMainContext* context_;
  ClientLimits limits_;
  std::uint64_t incarnation_;
  Counter& heartbeats_;
  Counter& refused_heartbeats_;
  Counter& changes_;
  Counter& refused_changes_;
  Gauge& kept_origins_;
  NodeLink link_;
  ConfigurationLog log_;
  EndpointRegistry registry_;
  StageOrders stage_orders_;
  PermitService permits_;
  QuotaService quotas_;
  StreamOrigins origins_{StreamOriginsOptions{}};
  CrashService crashes_;
  LeaderCalls leader_calls_;
  /// The configuration in force, decoded; empty before the first.
  std::optional<ServingConfiguration> configuration_;
  /// Id of the read that confirms leadership for a planned order; 0 for none.
  std::uint64_t confirming_read_ = 0;
  /// The newest configuration that this or another control instance knows of.
  NewestVersion newest_;
  DocumentStore documents_{DocumentStoreOptions{}};
  FollowerUpdates followers_;
  /// Seeds, and control instances learned from others.
  std::map<InstanceId, ControlPeer> controls_;
  /// Control instances that sent their whole registry since they started.
  std::set<InstanceId> synced_with_;
  std::map<InstanceId, std::uint64_t> control_incarnations_;
  /// Of the control instances that sent their whole registry, with what their
  /// logs hold, since this process started.
  ReplicaLogs logs_known_;
  /// The registry has every departure that was acknowledged before this process
  /// started, or nobody is left who could tell.
  bool departures_known_ = false;
  Time next_sync_{};
  Time last_sync_{};
  std::unique_ptr<HttpServer> server_;
  GSourcePtr timer_;
  GSourcePtr batch_timer_;
  /// Set by Shutdown().
  std::function<void()> on_done_;
  GSourcePtr shutdown_timer_;
  Time started_at_{};
  Time shutdown_started_{};
  VoteHandover handover_;
  Time next_announcement_{};
};

}  // namespace cassiausher

#endif  // MAIN_NODE_CONTROL_NODE_H_
