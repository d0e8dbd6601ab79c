// An entry instance: takes callers' requests, forwards them to endpoints and
// relays the answers, by what the control instances tell.
#ifndef MAIN_ENTRY_NODE_H_
#define MAIN_ENTRY_NODE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/metrics.h"
#include "core/random.h"
#include "core/time.h"
#include "drivers/http_client.h"
#include "drivers/http_server.h"
#include "drivers/task.h"
#include "main/forwarded_request.h"
#include "main/node_link.h"
#include "main/node_settings.h"
#include "servers/control/serving_configuration.h"
#include "servers/entry/answer_estimate.h"
#include "servers/entry/endpoint_pool.h"
#include "servers/entry/route_shares.h"
#include "servers/routing/retry_budget.h"

namespace cassiausher {

/// Runs on one task, whose context it is given.
class EntryNode {
 public:
  EntryNode(NodeSettings settings, const ConfigurationCodec& codec,
            Metrics& metrics, GMainContext* context);
  ~EntryNode();

  /// Returns an error text, empty on success.
  std::string Start();
  /// Takes new seeds.
  void Reload(const NodeSettings& settings);
  /// Takes no new callers, ends what is open, then calls `on_done`.
  void Shutdown(std::function<void()> on_done);

 private:
  /// A control instance and how much of its knowledge is held.
  struct Control {
    Time learned_at{};
    Time heard_at{};
    std::uint64_t registry_epoch = 0;
    std::uint64_t registry_revision = 0;
    /// Entry instances that follow it.
    std::uint32_t entry_instances = 1;
    bool connected = false;
  };

  /// The control instance that tells of others' loads: one of those that are
  /// heard, spread over the entry instances. Empty if none is heard.
  InstanceId LoadSource() const;
  /// Tells of work that was placed since.
  void SendPlacements();

  void OnCaller(HttpExchangePtr exchange);
  void Refuse(HttpExchange& exchange, const RequestId& id,
              std::string_view reason);
  RetryBudget& BudgetOf(const ServiceId& service);
  bool Ready() const;

  void OnMessage(const InstanceId& from, const proto::NodeMessage& message);
  void OnUpdate(const InstanceId& from, const proto::Update& update);
  void OnConfiguration(const proto::VersionedDocument& message);
  void FollowControls(Time now);
  void Tick();
  void AdvanceShutdown(Time now);
  std::uint32_t EntryInstances() const;

  NodeSettings settings_;
  const ConfigurationCodec& codec_;
  Metrics& metrics_;
  GMainContext* context_;
  NodeLink link_;
  HttpClient client_;
  EndpointPool pool_;
  Random random_;
  std::shared_ptr<const RouteTable> routes_;
  std::map<InstanceId, Control> controls_;
  std::map<ServiceId, std::unique_ptr<RetryBudget>> budgets_;
  std::map<ServiceId, AnswerEstimate> answers_;
  std::map<ServiceId, RouteShares> shares_;
  /// Requests in progress.
  std::map<std::uint64_t, std::shared_ptr<ForwardedRequest>> requests_;
  std::uint64_t next_request_ = 1;
  Counter& received_;
  Counter& refused_;
  Gauge& open_;
  std::unique_ptr<HttpServer> callers_;
  std::unique_ptr<HttpServer> readiness_;
  GSourcePtr timer_;
  GSourcePtr placement_timer_;
  InstanceId load_source_;
  Time next_expiry_{};
  /// Set by Shutdown().
  std::function<void()> on_done_;
  Time shutdown_started_{};
  /// Answers end their connection.
  bool closing_ = false;
  bool listening_ = true;
};

}  // namespace cassiausher

#endif  // MAIN_ENTRY_NODE_H_
