#include "main/node/stage_orders.h"

#include <algorithm>
#include <utility>

#include "core/log.h"
#include "platform/runner_orders.h"

namespace cassiausher {
namespace {

// Longer than the lease during which a previous leader's orders may be valid.
constexpr Duration kLeaderSettleTime = Seconds(5);
// A confirmation that took longer doesn't show that this instance still leads.
constexpr Duration kConfirmTimeout = Milliseconds(500);
// An order not sent within this time, for example because the runner accepts no
// connection, is cancelled and counts as undelivered.
constexpr Duration kConnectTimeout = Milliseconds(500);
// After this time, the answer to a sent order is no longer awaited; the runner
// may still execute the order.
constexpr Duration kAnswerTimeout = Seconds(5);
// The answer says only whether the order was taken.
constexpr std::int64_t kMaxAnswerBytes = 64 << 10;
// A runner finishes its streams first; one that takes longer counts as having
// refused the order.
constexpr Duration kStageChangeTimeout = Seconds(20);

}  // namespace

// Logs how the delivery of one order ended and keeps the result.
class StageOrders::Delivery : public HttpCallSink {
 public:
  explicit Delivery(Planned planned) : planned_(std::move(planned)) {}

  void OnHeaders(int status, SoupMessageHeaders*) override { status_ = status; }
  void OnBody(std::string_view) override {}
  void OnDone(std::string_view error, bool sent) override {
    done_ = true;
    sent_ = sent;
    Log(LogLevel::kInfo, "stage_order_answered",
        {{"endpoint", planned_.order.endpoint.value()},
         {"status", status_},
         {"sent", sent},
         {"error", error}});
  }

  const Planned& planned() const { return planned_; }
  bool done() const { return done_; }
  bool sent() const { return sent_; }

 private:
  Planned planned_;
  int status_ = 0;
  bool done_ = false;
  bool sent_ = false;
};

StageOrders::StageOrders(std::string holder, Metrics& metrics)
    : holder_(std::move(holder)),
      sent_(metrics.counter("stage_orders_total")) {}

StageOrders::~StageOrders() = default;

void StageOrders::OnLeading(Time now) {
  if (!leading_since_.has_value()) leading_since_ = now;
}

void StageOrders::OnFollowing() {
  leading_since_.reset();
  planned_.reset();
}

bool StageOrders::Plan(const ServingConfiguration& configuration,
                       const EndpointRegistry& registry,
                       const EndpointLoads& loads, Time now) {
  planned_.reset();
  CheckDelivery(now);
  const bool settled =
      leading_since_ && now - *leading_since_ >= kLeaderSettleTime;
  const std::vector<EndpointId> silent = registry.Silent(now);
  for (const auto& [id, service] : configuration.services) {
    if (!service.engine.has_value()) continue;
    std::vector<RunnerLoad> runners;
    for (const EndpointRecord* record : registry.Ready(id)) {
      if (std::find(silent.begin(), silent.end(), record->id) != silent.end()) {
        continue;
      }
      RunnerLoad runner{.id = record->id, .role = record->role};
      const auto load = loads.find(record->id);
      if (load != loads.end()) {
        runner.requests = load->second.requests;
        runner.kv_tokens = load->second.memory.Peak();
      }
      runners.push_back(runner);
    }
    StageBalancer& balancer =
        balancers_.try_emplace(id, StageBalancerOptions{}).first->second;
    const auto order = balancer.Step(runners, service.engine->kv_capacity, now);
    if (!settled || !order.has_value()) continue;
    if (planned_.has_value() || delivery_ != nullptr) continue;
    planned_ = {*order, *registry.Find(order->endpoint), &balancer, now};
  }
  return planned_.has_value();
}

EndpointId StageOrders::PlannedFor() const {
  return planned_.has_value() ? planned_->order.endpoint : EndpointId();
}

void StageOrders::Send(std::uint64_t term, Time now) {
  if (!planned_.has_value() || !leading_since_.has_value()) return;
  const Planned planned = *std::exchange(planned_, std::nullopt);
  if (now - planned.planned_at >= kConfirmTimeout) return;
  planned.balancer->OnOrderSent(planned.order, now);
  changes_[planned.order.endpoint] = {planned.order.role, now};
  sent_.Add();
  Log(LogLevel::kInfo, "stage_ordered",
      {{"endpoint", planned.order.endpoint.value()},
       {"role", Name(planned.order.role)},
       {"sequence", planned.endpoint.sequence},
       {"term", term}});
  delivery_ = std::make_unique<Delivery>(planned);
  delivery_started_ = now;
  HttpCall call =
      BuildStageOrder(planned.endpoint, planned.order.role, holder_, term);
  call.max_body_bytes = kMaxAnswerBytes;
  delivery_call_ = client_.Start(call, delivery_.get());
}

void StageOrders::CheckDelivery(Time now) {
  if (delivery_ == nullptr) return;
  const Duration passed = now - delivery_started_;
  const bool sent =
      delivery_->done() ? delivery_->sent() : client_.WasSent(delivery_call_);
  const bool over =
      delivery_->done() || passed >= (sent ? kAnswerTimeout : kConnectTimeout);
  if (!over) return;
  client_.Cancel(delivery_call_);
  const Planned planned = delivery_->planned();
  delivery_.reset();
  if (sent) return;
  Log(LogLevel::kWarning, "stage_order_undelivered",
      {{"endpoint", planned.order.endpoint.value()},
       {"after_ms", ToMilliseconds(passed)}});
  changes_.erase(planned.order.endpoint);
  planned.balancer->OnOrderUndelivered(planned.order);
}

std::vector<EndpointId> StageOrders::ChangingEndpoints(
    const EndpointRegistry& registry, Time now) const {
  std::vector<EndpointId> changing;
  for (const auto& [id, change] : changes_) {
    const EndpointRecord* record = registry.Find(id);
    const bool changed = record == nullptr || record->role == change.to;
    if (changed || now - change.since >= kStageChangeTimeout) continue;
    changing.push_back(id);
  }
  return changing;
}

}  // namespace cassiausher
