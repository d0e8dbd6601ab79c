// An entry instance: accepts callers' requests, forwards them to endpoints and
// relays the answers, using the configuration, endpoint records and loads that
// the control instances send.
#ifndef MAIN_NODE_ENTRY_NODE_H_
#define MAIN_NODE_ENTRY_NODE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/metrics.h"
#include "core/random.h"
#include "core/time.h"
#include "drivers/http_client.h"
#include "drivers/http_server.h"
#include "drivers/task.h"
#include "main/node/client_limits.h"
#include "main/node/configuration_client.h"
#include "main/node/crash_client.h"
#include "main/node/forwarded_request.h"
#include "main/node/node_link.h"
#include "main/node/node_settings.h"
#include "main/node/origin_client.h"
#include "main/node/permit_client.h"
#include "main/node/quota_client.h"
#include "main/node/relay_client.h"
#include "main/node/relay_server.h"
#include "servers/control/serving_configuration.h"
#include "servers/entry/answer_estimate.h"
#include "servers/entry/completion_time.h"
#include "servers/entry/control_directory.h"
#include "servers/entry/endpoint_pool.h"
#include "servers/entry/route_shares.h"
#include "servers/routing/retry_budget.h"

namespace cassiausher {

/// Runs on a single task, that of the given main context.
class EntryNode {
 public:
  EntryNode(NodeSettings settings, const ConfigurationCodec& codec,
            Metrics& metrics, GMainContext* context,
            ClientLimits limits = MakeClientLimits(kEntryMemoryMb));
  ~EntryNode();

  /// Returns an error message; empty on success.
  std::string Start();
  /// Applies the seed list of the new settings; nothing else is reloaded.
  void Reload(const NodeSettings& settings);
  /// Stops accepting callers, waits until callers have the answers of all
  /// requests or the grace period nearly ends, then calls `on_done`.
  void Shutdown(std::function<void()> on_done);
  /// Whether no request is in progress and every caller has its answers.
  bool Drained() const;
  /// Logs the answers that the end of the process cuts.
  void LogCut() const;

 private:
  using EndpointRecords =
      google::protobuf::RepeatedPtrField<proto::EndpointRecord>;
  using EndpointNames = google::protobuf::RepeatedPtrField<std::string>;

  /// Sends the work placed since the last call to all connected control
  /// instances.
  void SendPlacements();
  /// Logs and counts the slow starts that began or ended.
  void LogPaceChanges();

  void OnCallerRequest(HttpExchangePtr exchange);
  /// A request that another entry instance relays.
  void OnRelayedRequest(HttpExchangePtr exchange, const RelayRequest& relay);
  /// `relay`: what came with a relayed request; null for one of a caller.
  void Forward(HttpExchangePtr exchange, CallerHeaders caller,
               const RelayRequest* relay, Time now);
  /// The reason to refuse every request for now; empty if there is none.
  std::string_view RefusalReason(Time now) const;
  /// Whether other instances may relay requests to this one.
  bool TakesRequestsOfOthers(Time now) const;
  /// Whether the caller of a request to the service has its answer, or no
  /// longer waits, before the process ends.
  bool CanComplete(const ServiceId& service, Duration timeout, Time now) const;
  void Refuse(HttpExchange& exchange, const RequestId& id,
              std::string_view reason);
  void AnswerUnknownRoute(HttpExchange& exchange, const RequestId& id,
                          Time now);
  void AnswerUnknownKey(HttpExchange& exchange, const RequestId& id, Time now);
  RetryBudget& BudgetOf(const ServiceId& service);
  bool Ready() const;

  void OnMessage(const InstanceId& from, const proto::NodeMessage& message);
  void OnUpdate(const InstanceId& from, Incarnation process,
                const proto::Update& update);
  void OnChanges(const InstanceId& from, const proto::Changes& changes);
  void MergeRecords(const InstanceId& from, const EndpointRecords& records,
                    Time now);
  /// Tells the parts that depend on control instances which ones to use.
  void UseControls(Time now);
  void SetChangingEndpoints(const EndpointNames& names, Time now);
  /// Looks which control instances are connected and what each is used for, and
  /// makes a Follow to each one due.
  void FollowControls(Time now);
  /// Sends each Follow that is due once there is a connection for it.
  void SendDueFollows(Time now);
  void SendFollow(const InstanceId& to,
                  const ControlDirectory::Control& control,
                  const EndpointLoads& loads, Time now);
  void Tick();
  /// Part of the shutdown grace period in which requests are answered.
  Duration ServingPeriod() const;
  void AdvanceShutdown(Time now);
  /// Ends the requests in progress, since the grace period ends.
  void CutRequests();

  NodeSettings settings_;
  Metrics& metrics_;
  GMainContext* context_;
  ClientLimits limits_;
  Incarnation incarnation_;
  NodeLink link_;
  HttpClient client_;
  EndpointPool pool_;
  Random random_;
  ConfigurationClient configuration_;
  PermitClient permits_;
  QuotaClient quotas_;
  OriginClient origins_;
  CrashClient crashes_;
  RelayClient relays_;
  CallObserver observer_;
  ControlDirectory controls_;
  /// Of unfinished answers; the requests refer to it.
  ByteAccount bytes_;
  std::map<ServiceId, std::unique_ptr<RetryBudget>> budgets_;
  std::map<ServiceId, AnswerEstimate> answers_;
  std::map<ServiceId, CompletionTime> completions_;
  ReadTimes read_times_;
  std::map<ServiceId, RouteShares> shares_;
  /// Requests in progress.
  std::map<std::uint64_t, std::shared_ptr<ForwardedRequest>> requests_;
  std::uint64_t next_request_ = 1;
  Counter& received_;
  Counter& refused_;
  Counter& unknown_keys_;
  Gauge& open_;
  std::unique_ptr<HttpServer> callers_;
  std::unique_ptr<HttpServer> readiness_;
  /// Null if the settings name no listener for other instances.
  std::unique_ptr<RelayServer> relay_server_;
  /// Requests in progress that other instances relayed.
  int taken_for_others_ = 0;
  GSourcePtr timer_;
  GSourcePtr batch_timer_;
  InstanceId load_source_;
  /// Control instances that a Follow is due to.
  std::set<InstanceId> due_follows_;
  std::set<InstanceId> evidence_partners_;
  Time next_expiry_{};
  /// Set by Shutdown().
  std::function<void()> on_done_;
  Time shutdown_started_{};
  GSourcePtr shutdown_timer_;
  bool listening_ = true;
  bool cut_ = false;
  /// Streams that the end of the process broke off. Their connections aren't
  /// the server's any more.
  std::vector<UnsentAnswer> cut_streams_;
};

}  // namespace cassiausher

#endif  // MAIN_NODE_ENTRY_NODE_H_
