// Decides when runners of one pool change role, and which artifacts they load.
//
// One endpoint changes at a time. It is drained, then ordered to change; the
// order is retransmitted until the endpoint's announcement shows the change,
// and the drain ends.
#ifndef SERVERS_SCALING_POOL_PLANNER_H_
#define SERVERS_SCALING_POOL_PLANNER_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "core/units.h"
#include "servers/scaling/load_scheduler.h"
#include "servers/scaling/scaling_types.h"

namespace cassiausher {

struct PoolPlannerOptions {
  DataCentreId data_centre;
  ServiceId service;
  int prefill_minimum = 1;
  int decode_minimum = 1;
  /// How long the same role must need an endpoint before one changes to it.
  Duration imbalance_hold = Seconds(60);
  /// Minimum time from the end of one role change to the next of the pool, and
  /// of the same endpoint.
  Duration pool_cooldown = Seconds(120);
  Duration endpoint_cooldown = Seconds(600);
  /// Minimum time from the end of one load to the next. Shorter, since loads
  /// follow the configuration and therefore don't flap.
  Duration load_cooldown = Seconds(10);
  /// Share by which a role change must reduce the higher of the two loads.
  double benefit_margin = 0.15;
  /// While both loads are below this, the pool has spare capacity, and a role
  /// change would cost a drain without benefit.
  double load_minimum = 0.7;
  /// Output tokens/s of one decode slot: one token per 42 ms, the latency
  /// target.
  double tokens_per_slot_second = 24;
  /// Tokens/s of a prefill endpoint that doesn't announce its rate.
  double prefill_rate_fallback = 10'000;
  /// Lower bound of the served share of the arrived tokens in the estimate of
  /// the output that refused requests would have had. Limits the estimated
  /// total to 20 times the observed output.
  double served_share_minimum = 0.05;
  /// Time allotted to clear a queue in addition to serving the arriving demand.
  Duration queue_horizon = Seconds(60);
  /// A longer gap between observations restarts `imbalance_hold`, since the
  /// load in between is unknown.
  Duration observation_gap = Seconds(10);
  /// No change starts for this long after the lease begins. Exceeds the time
  /// that an order of the previous owner can be in flight, and enforces the
  /// pool's cooldown, whose start only the previous owner knows.
  Duration settle_time = Seconds(120);
  /// Instances stop sending new work within 2 s after a drain begins.
  Duration drain_settle = Seconds(2);
  /// The change is abandoned, and the runner gets work again, if its requests
  /// haven't ended by then.
  Duration drain_timeout = Seconds(180);
  /// Interval before the first retransmission, which then doubles up to the
  /// maximum.
  Duration retry_first = Seconds(2);
  Duration retry_maximum = Seconds(60);
  /// Time from an order's response until it is retransmitted because the
  /// announcement doesn't show the change.
  Duration confirm_timeout = Seconds(15);
  /// Number of failure responses after which a change is abandoned.
  int failures_maximum = 5;
  /// Whether a runner is drained before it loads an adapter. Common engines
  /// load adapters without interrupting requests.
  bool drain_for_adapters = false;
};

/// Not thread safe. `now` must never decrease. The scheduler must outlive the
/// planner; planners of one data centre share it.
class PoolPlanner {
 public:
  PoolPlanner(PoolPlannerOptions options, LoadScheduler* scheduler);
  ~PoolPlanner();
  PoolPlanner(const PoolPlanner&) = delete;
  PoolPlanner& operator=(const PoolPlanner&) = delete;

  /// Sets whether this instance owns the pool, and under which epoch. Drops the
  /// change in progress if either differs from the last call.
  void SetLease(bool held, Epoch epoch, Time now);
  /// Replaces the artifacts that every runner of the pool must have loaded.
  void SetWanted(std::vector<WantedArtifact> wanted);
  void OnResult(const OrderResult& result, Time now);
  /// Call once a second with the pool's current state. Returns the orders to
  /// send now, at most one.
  std::vector<ScalingOrder> Step(const PoolObservation& observation, Time now);

  /// The endpoint that must get no new work, if any. Read it after each call
  /// above, since any of them can change it.
  std::optional<EndpointId> Drained() const;

  ScalingRow Row(Time now) const;
  const ScalingCounters& counters() const { return counters_; }

 private:
  struct Change {
    OrderKind kind = OrderKind::kSetRole;
    EndpointId endpoint;
    Incarnation incarnation{0};
    EndpointRole from = EndpointRole::kDecode;
    EndpointRole to = EndpointRole::kDecode;
    ArtifactId artifact;
    std::string reason;
    bool drains = true;
    ChangePhase phase = ChangePhase::kDraining;
    Time phase_since{};
    OrderId id;
    int attempts = 0;
    int failures = 0;
    Time next_send{};
    Duration backoff{0};
    std::optional<Time> unhealthy_since;

    bool is_load() const { return kind != OrderKind::kSetRole; }
  };
  struct Loads {
    double prefill = 0;
    double decode = 0;
    double bottleneck() const { return prefill > decode ? prefill : decode; }
  };
  /// A candidate role change and the predicted loads.
  struct Move {
    const EndpointStatus* endpoint = nullptr;
    EndpointRole to = EndpointRole::kDecode;
    Loads before;
    Loads after;
  };

  /// Predicts the loads of both roles as if `moved` had the role `to`.
  Loads PredictLoads(const PoolObservation& observation,
                     const EndpointStatus* moved = nullptr,
                     EndpointRole to = EndpointRole::kDecode) const;
  /// The role change that would relieve the role with the higher load, whether
  /// or not it may start.
  std::optional<Move> FindMove(const PoolObservation& observation, Time now,
                               bool respect_cooldown) const;
  /// Whether the endpoint can take requests.
  bool Usable(const EndpointStatus& endpoint) const;
  /// Number of usable endpoints of the role, without `except`.
  int CountUsable(const PoolObservation& observation, EndpointRole role,
                  const EndpointId& except) const;
  /// Whether the endpoint's role keeps its minimum without the endpoint.
  bool AboveMinimum(const PoolObservation& observation,
                    const EndpointStatus& without) const;
  /// Whether `now` has reached the endpoint's time in `until`, if there is one.
  bool Elapsed(const std::map<EndpointId, Time>& until, const EndpointId& id,
               Time now) const;

  /// Updates loads, counts and the role that needs an endpoint.
  void Track(const PoolObservation& observation, Time now);
  /// Why the lease permits no change; kNone if it does.
  ScalingBlock LeaseBlock(Time now) const;
  bool AnyUnhealthy(const PoolObservation& observation) const;
  void Begin(const PoolObservation& observation, Time now);
  bool BeginRoleChange(const PoolObservation& observation, Time now);
  bool BeginLoad(const PoolObservation& observation, Time now);
  void BeginChange(Change change, Time now);
  /// Continues the change in progress.
  std::vector<ScalingOrder> AdvanceChange(const PoolObservation& observation,
                                          Time now);
  bool MustAbandon(const PoolObservation& observation,
                   const EndpointStatus* endpoint) const;
  /// Whether the endpoint's announcement shows the change.
  bool Applied(const EndpointStatus& endpoint) const;
  void AdvanceDrain(const EndpointStatus& endpoint, Time now);
  ScalingOrder Send(const EndpointStatus& endpoint, Time now);
  OrderId NextOrderId();
  void EnterPhase(ChangePhase phase, Time now);
  void Complete(Time now);
  /// Gives up the change. `exclude_endpoint` excludes the endpoint from changes
  /// for `endpoint_cooldown`.
  void Abandon(bool exclude_endpoint, Time now);
  /// Discards the change and releases its load in the scheduler.
  void DropChange(Time now);

  PoolPlannerOptions options_;
  LoadScheduler* scheduler_;
  std::vector<WantedArtifact> wanted_;

  bool lease_held_ = false;
  Epoch epoch_{0};
  /// No order may carry a lower epoch than this.
  Epoch highest_epoch_used_{0};
  /// Set when an endpoint refuses the epoch as stale; only a lease with a
  /// higher epoch clears it.
  std::optional<Epoch> refused_epoch_;
  Time settled_at_{};
  std::uint64_t sequence_ = 0;
  OrderId last_order_;

  /// At most one endpoint of the pool changes at a time.
  std::optional<Change> change_;
  /// The role that needs an endpoint, and since when.
  std::optional<EndpointRole> needed_role_;
  Time needed_since_{};
  std::optional<Time> observed_at_;
  Time pool_cooldown_until_{};
  Time load_cooldown_until_{};
  std::map<EndpointId, Time> endpoint_cooldown_until_;
  std::map<EndpointId, Time> excluded_until_;

  ScalingBlock block_ = ScalingBlock::kNoLease;
  Loads loads_;
  int prefill_endpoints_ = 0;
  int decode_endpoints_ = 0;
  int missing_artifacts_ = 0;
  ScalingCounters counters_;
};

}  // namespace cassiausher

#endif  // SERVERS_SCALING_POOL_PLANNER_H_
