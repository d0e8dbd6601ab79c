// Sends the orders that make runners change stage, from the control instance
// that leads.
#ifndef MAIN_NODE_STAGE_ORDERS_H_
#define MAIN_NODE_STAGE_ORDERS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/metrics.h"
#include "core/time.h"
#include "drivers/http_client.h"
#include "servers/control/endpoint_registry.h"
#include "servers/control/serving_configuration.h"
#include "servers/control/stage_balancer.h"
#include "servers/loads/endpoint_loads.h"

namespace cassiausher {

/// Used on the control node's task only. An order is planned, then sent once a
/// quorum has confirmed that this instance still leads.
class StageOrders {
 public:
  StageOrders(std::string holder, Metrics& metrics);
  ~StageOrders();

  /// This instance leads; the first call starts the wait until the orders of
  /// the previous leader have expired.
  void OnLeading(Time now);
  void OnFollowing();

  /// Observes the loads of all entry instances; while leading, plans at most
  /// one order. Returns true if one waits to be confirmed and sent. Called on
  /// every control instance, so that a new leader knows the loads.
  bool Plan(const ServingConfiguration& configuration,
            const EndpointRegistry& registry, const EndpointLoads& loads,
            Time now);
  /// The runner of the planned order; empty for none.
  EndpointId PlannedFor() const;
  /// Sends the planned order under the leader's term.
  void Send(std::uint64_t term, Time now);

  /// Runners that are changing stage and take no work.
  std::vector<EndpointId> ChangingEndpoints(const EndpointRegistry& registry,
                                            Time now) const;

 private:
  struct Planned {
    StageOrder order;
    EndpointRecord endpoint;
    StageBalancer* balancer = nullptr;
    Time planned_at{};
  };
  class Delivery;

  /// Ends the delivery of an order that was answered, or that timed out while
  /// being sent or answered.
  void CheckDelivery(Time now);

  std::string holder_;
  Counter& sent_;
  HttpClient client_;
  std::optional<Time> leading_since_;
  std::map<ServiceId, StageBalancer> balancers_;
  std::optional<Planned> planned_;
  /// The order being delivered; null for none.
  std::unique_ptr<Delivery> delivery_;
  HttpClient::CallId delivery_call_ = 0;
  Time delivery_started_{};
  struct Change {
    EndpointRole to = EndpointRole::kDecode;
    Time since{};
  };
  /// Latest ordered change by runner; in progress until the runner's heartbeat
  /// shows the role.
  std::map<EndpointId, Change> changes_;
};

}  // namespace cassiausher

#endif  // MAIN_NODE_STAGE_ORDERS_H_
