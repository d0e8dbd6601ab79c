// Load prediction, hysteresis and the life cycle of a change.
#include "servers/scaling/pool_planner.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>
#include <utility>

#include "core/check_invariant.h"

namespace cassiausher {

namespace {

/// Load of a role that has demand but no endpoint. Finite, so that the benefit
/// of a role change can be computed.
constexpr double kLoadWithoutCapacity = 1000;

const char* RoleName(EndpointRole role) {
  return role == EndpointRole::kPrefill ? "prefill" : "decode";
}

OrderKind KindFor(ArtifactKind kind) {
  if (kind == ArtifactKind::kModel) return OrderKind::kLoadModel;
  if (kind == ArtifactKind::kVersion) return OrderKind::kLoadVersion;
  return OrderKind::kLoadAdapter;
}

bool Present(const EndpointStatus& endpoint) {
  return endpoint.state == EndpointState::kAlive ||
         endpoint.state == EndpointState::kSuspect;
}

bool Healthy(const EndpointStatus& endpoint) {
  return endpoint.state == EndpointState::kAlive && !endpoint.quarantined;
}

const EndpointStatus* Find(const PoolObservation& observation,
                           const EndpointId& id) {
  for (const EndpointStatus& endpoint : observation.endpoints) {
    if (endpoint.info.id == id && Present(endpoint)) return &endpoint;
  }
  return nullptr;
}

double RefusedRate(const PoolObservation& observation) {
  double refused = 0;
  for (const ClassDemand& demand : observation.demand) {
    refused += demand.refused_prompt_tokens_per_second;
  }
  return refused;
}

double Ratio(double demand, double capacity) {
  if (demand <= 0) return 0;
  if (capacity <= 0) return kLoadWithoutCapacity;
  return std::min(demand / capacity, kLoadWithoutCapacity);
}

}  // namespace

const char* Name(OrderKind kind) {
  switch (kind) {
    case OrderKind::kSetRole:
      return "set_role";
    case OrderKind::kLoadModel:
      return "load_model";
    case OrderKind::kLoadVersion:
      return "load_version";
    case OrderKind::kLoadAdapter:
      return "load_adapter";
  }
  return "";
}

const char* Name(ChangePhase phase) {
  switch (phase) {
    case ChangePhase::kDraining:
      return "draining";
    case ChangePhase::kOrdering:
      return "ordering";
    case ChangePhase::kConfirming:
      return "confirming";
  }
  return "";
}

const char* Name(ScalingBlock block) {
  switch (block) {
    case ScalingBlock::kNone:
      return "none";
    case ScalingBlock::kNoLease:
      return "no_lease";
    case ScalingBlock::kStaleEpoch:
      return "stale_epoch";
    case ScalingBlock::kSettling:
      return "settling";
    case ScalingBlock::kUnhealthyEndpoint:
      return "unhealthy_endpoint";
    case ScalingBlock::kHolding:
      return "holding";
    case ScalingBlock::kCooldown:
      return "cooldown";
    case ScalingBlock::kMinimum:
      return "minimum";
    case ScalingBlock::kWeightStore:
      return "weight_store";
  }
  return "";
}

PoolPlanner::PoolPlanner(PoolPlannerOptions options, LoadScheduler* scheduler)
    : options_(std::move(options)), scheduler_(scheduler) {
  // A pool needs at least one decode endpoint; it may have no prefill endpoint.
  options_.prefill_minimum = std::max(options_.prefill_minimum, 0);
  options_.decode_minimum = std::max(options_.decode_minimum, 1);
}

PoolPlanner::~PoolPlanner() { DropChange(observed_at_.value_or(Time{})); }

void PoolPlanner::SetLease(bool held, Epoch epoch, Time now) {
  if (held && epoch < highest_epoch_used_) {
    ++counters_.old_epochs_ignored;
    held = false;
  }
  if (held == lease_held_ && (!held || epoch == epoch_)) return;
  if (change_) ++counters_.abandoned;
  DropChange(now);
  lease_held_ = held;
  needed_role_.reset();
  if (!held) return;
  epoch_ = epoch;
  settled_at_ = now + options_.settle_time;
  if (refused_epoch_ && epoch > *refused_epoch_) refused_epoch_.reset();
}

void PoolPlanner::SetWanted(std::vector<WantedArtifact> wanted) {
  std::sort(
      wanted.begin(), wanted.end(),
      [](const auto& left, const auto& right) { return left.id < right.id; });
  wanted_ = std::move(wanted);
  const bool obsolete =
      change_ && change_->is_load() && change_->attempts == 0 &&
      std::none_of(wanted_.begin(), wanted_.end(), [this](const auto& item) {
        return item.id == change_->artifact;
      });
  if (!obsolete) return;
  ++counters_.abandoned;
  DropChange(change_->phase_since);
}

void PoolPlanner::OnResult(const OrderResult& result, Time now) {
  if (result.outcome == OrderOutcome::kStaleEpoch &&
      result.id.epoch == epoch_) {
    ++counters_.stale_refusals;
    if (change_) Abandon(false, now);
    refused_epoch_ = epoch_;
    return;
  }
  const bool open = change_ && change_->endpoint == result.endpoint &&
                    change_->phase == ChangePhase::kOrdering &&
                    change_->attempts > 0 && change_->id == result.id;
  if (!open) {
    ++counters_.late_results;
    return;
  }
  if (result.outcome == OrderOutcome::kDone) {
    EnterPhase(ChangePhase::kConfirming, now);
    return;
  }
  ++counters_.orders_failed;
  ++change_->failures;
  if (change_->failures >= options_.failures_maximum) {
    Abandon(true, now);
    return;
  }
  // An endpoint answers a retransmitted id as before, so a retry needs a new
  // id.
  change_->attempts = 0;
  change_->next_send = now + change_->backoff;
}

std::optional<EndpointId> PoolPlanner::Drained() const {
  if (!change_ || !change_->drains) return std::nullopt;
  return change_->endpoint;
}

bool PoolPlanner::Usable(const EndpointStatus& endpoint) const {
  return Healthy(endpoint) && !endpoint.leaving && endpoint.serving &&
         endpoint.info.role != EndpointRole::kPlain;
}

int PoolPlanner::CountUsable(const PoolObservation& observation,
                             EndpointRole role,
                             const EndpointId& except) const {
  return static_cast<int>(
      std::count_if(observation.endpoints.begin(), observation.endpoints.end(),
                    [&](const EndpointStatus& endpoint) {
                      return Usable(endpoint) && endpoint.info.role == role &&
                             endpoint.info.id != except;
                    }));
}

bool PoolPlanner::AboveMinimum(const PoolObservation& observation,
                               const EndpointStatus& without) const {
  if (!without.serving) return true;
  const EndpointRole role = without.info.role;
  const int minimum = role == EndpointRole::kPrefill ? options_.prefill_minimum
                                                     : options_.decode_minimum;
  return CountUsable(observation, role, without.info.id) >= minimum;
}

bool PoolPlanner::Elapsed(const std::map<EndpointId, Time>& until,
                          const EndpointId& id, Time now) const {
  const auto found = until.find(id);
  return found == until.end() || found->second <= now;
}

PoolPlanner::Loads PoolPlanner::PredictLoads(const PoolObservation& observation,
                                             const EndpointStatus* moved,
                                             EndpointRole to) const {
  double arrived = 0;
  double output = 0;
  double queued = 0;
  for (const ClassDemand& demand : observation.demand) {
    arrived += demand.prompt_tokens_per_second;
    output += demand.output_tokens_per_second;
    queued += static_cast<double>(demand.queued_prompt_tokens.value());
  }
  double prefill_capacity = 0;
  double decode_capacity = 0;
  for (const EndpointStatus& endpoint : observation.endpoints) {
    if (!Usable(endpoint)) continue;
    const EndpointRole role = &endpoint == moved ? to : endpoint.info.role;
    const double rate = endpoint.info.prefill_tokens_per_second;
    if (role == EndpointRole::kPrefill) {
      prefill_capacity += rate > 0 ? rate : options_.prefill_rate_fallback;
    } else {
      decode_capacity += endpoint.info.slots * options_.tokens_per_slot_second;
    }
  }
  // Refused requests would have had output too, and queued ones will have it.
  // The queue scales both loads by the same factor, so that it doesn't look
  // like a lack of prefill capacity when decode is the cause.
  const double served = arrived > 0
                            ? std::max(1 - RefusedRate(observation) / arrived,
                                       options_.served_share_minimum)
                            : 1;
  const double backlog = queued / ToSeconds(options_.queue_horizon);
  const double growth = arrived > 0 ? 1 + backlog / arrived : 1;
  return {.prefill = Ratio(arrived * growth, prefill_capacity),
          .decode = Ratio(output / served * growth, decode_capacity)};
}

std::optional<PoolPlanner::Move> PoolPlanner::FindMove(
    const PoolObservation& observation, Time now, bool respect_cooldown) const {
  const Loads before = PredictLoads(observation);
  if (before.bottleneck() < options_.load_minimum) return std::nullopt;
  Move move{.to = before.prefill > before.decode ? EndpointRole::kPrefill
                                                 : EndpointRole::kDecode,
            .before = before};
  const auto key = [](const EndpointStatus& endpoint) {
    return std::tuple(endpoint.slots_in_use, endpoint.queued_prompt_tokens,
                      endpoint.info.id);
  };
  for (const EndpointStatus& endpoint : observation.endpoints) {
    if (!Usable(endpoint) || endpoint.info.role == move.to) continue;
    const EndpointId& id = endpoint.info.id;
    if (respect_cooldown && (!Elapsed(endpoint_cooldown_until_, id, now) ||
                             !Elapsed(excluded_until_, id, now))) {
      continue;
    }
    if (!move.endpoint || key(endpoint) < key(*move.endpoint)) {
      move.endpoint = &endpoint;
    }
  }
  if (!move.endpoint) return std::nullopt;
  move.after = PredictLoads(observation, move.endpoint, move.to);
  const double benefit =
      (before.bottleneck() - move.after.bottleneck()) / before.bottleneck();
  if (benefit < options_.benefit_margin) return std::nullopt;
  return move;
}

bool PoolPlanner::AnyUnhealthy(const PoolObservation& observation) const {
  return std::any_of(observation.endpoints.begin(), observation.endpoints.end(),
                     [](const EndpointStatus& endpoint) {
                       return Present(endpoint) && !Healthy(endpoint);
                     });
}

void PoolPlanner::Track(const PoolObservation& observation, Time now) {
  if (observed_at_) {
    CheckInvariant(now >= *observed_at_, "observation times never decrease");
    if (now - *observed_at_ > options_.observation_gap) needed_role_.reset();
  }
  observed_at_ = now;
  loads_ = PredictLoads(observation);
  prefill_endpoints_ = CountUsable(observation, EndpointRole::kPrefill, {});
  decode_endpoints_ = CountUsable(observation, EndpointRole::kDecode, {});
  missing_artifacts_ = 0;
  for (const EndpointStatus& endpoint : observation.endpoints) {
    if (!Present(endpoint) || endpoint.info.role == EndpointRole::kPlain) {
      continue;
    }
    for (const WantedArtifact& item : wanted_) {
      if (!endpoint.loaded.contains(item.id)) ++missing_artifacts_;
    }
  }
  const auto past = [now](const auto& entry) { return entry.second <= now; };
  std::erase_if(endpoint_cooldown_until_, past);
  std::erase_if(excluded_until_, past);

  const auto move = FindMove(observation, now, false);
  if (!move) {
    needed_role_.reset();
  } else if (needed_role_ != move->to) {
    needed_role_ = move->to;
    needed_since_ = now;
  }
}

ScalingBlock PoolPlanner::LeaseBlock(Time now) const {
  if (!lease_held_) return ScalingBlock::kNoLease;
  if (refused_epoch_) return ScalingBlock::kStaleEpoch;
  if (now < settled_at_) return ScalingBlock::kSettling;
  return ScalingBlock::kNone;
}

std::vector<ScalingOrder> PoolPlanner::Step(const PoolObservation& observation,
                                            Time now) {
  Track(observation, now);
  block_ = LeaseBlock(now);
  if (block_ != ScalingBlock::kNone) return {};
  if (!change_) {
    Begin(observation, now);
    return {};
  }
  return AdvanceChange(observation, now);
}

void PoolPlanner::Begin(const PoolObservation& observation, Time now) {
  if (BeginRoleChange(observation, now)) return;
  const ScalingBlock role_block = block_;
  if (BeginLoad(observation, now)) return;
  if (block_ == ScalingBlock::kNone) block_ = role_block;
}

bool PoolPlanner::BeginRoleChange(const PoolObservation& observation,
                                  Time now) {
  const auto blocked = [this](ScalingBlock block) {
    block_ = block;
    return false;
  };
  if (!needed_role_) return false;
  if (now - needed_since_ < options_.imbalance_hold) {
    return blocked(ScalingBlock::kHolding);
  }
  if (now < pool_cooldown_until_) return blocked(ScalingBlock::kCooldown);
  if (AnyUnhealthy(observation)) {
    return blocked(ScalingBlock::kUnhealthyEndpoint);
  }
  const auto move = FindMove(observation, now, true);
  if (!move) return blocked(ScalingBlock::kCooldown);
  if (!AboveMinimum(observation, *move->endpoint)) {
    return blocked(ScalingBlock::kMinimum);
  }
  ++counters_.role_changes_started;
  BeginChange(
      {.kind = OrderKind::kSetRole,
       .endpoint = move->endpoint->info.id,
       .incarnation = move->endpoint->info.incarnation,
       .from = move->endpoint->info.role,
       .to = move->to,
       .reason = fmt::format(
           "{} needs an endpoint: load {:.2f} prefill, {:.2f} decode; "
           "predicted {:.2f}, {:.2f}",
           RoleName(move->to), move->before.prefill, move->before.decode,
           move->after.prefill, move->after.decode)},
      now);
  return true;
}

bool PoolPlanner::BeginLoad(const PoolObservation& observation, Time now) {
  block_ = ScalingBlock::kNone;
  if (now < load_cooldown_until_) return false;
  for (const WantedArtifact& item : wanted_) {
    for (const EndpointStatus& endpoint : observation.endpoints) {
      if (endpoint.info.role == EndpointRole::kPlain) continue;
      if (!Healthy(endpoint) || endpoint.leaving) continue;
      if (endpoint.loaded.contains(item.id)) continue;
      if (!Elapsed(excluded_until_, endpoint.info.id, now)) continue;
      const OrderKind kind = KindFor(item.id.kind);
      const bool drains =
          kind != OrderKind::kLoadAdapter || options_.drain_for_adapters;
      if (drains && !AboveMinimum(observation, endpoint)) {
        block_ = ScalingBlock::kMinimum;
        continue;
      }
      const double refused = RefusedRate(observation);
      if (!scheduler_->TryStart({.service = options_.service,
                                 .endpoint = endpoint.info.id,
                                 .size = item.size,
                                 .refused_tokens_per_second = refused},
                                now)) {
        block_ = ScalingBlock::kWeightStore;
        return false;
      }
      ++counters_.loads_started;
      BeginChange(
          {.kind = kind,
           .endpoint = endpoint.info.id,
           .incarnation = endpoint.info.incarnation,
           .from = endpoint.info.role,
           .to = endpoint.info.role,
           .artifact = item.id,
           .reason = fmt::format("{} is wanted but not loaded", item.id.name),
           .drains = drains},
          now);
      return true;
    }
  }
  return false;
}

void PoolPlanner::BeginChange(Change change, Time now) {
  CheckInvariant(!change_, "at most one endpoint of a pool changes at a time");
  CheckInvariant(LeaseBlock(now) == ScalingBlock::kNone,
                 "a change starts only under a lease that has settled");
  block_ = ScalingBlock::kNone;
  change.backoff = options_.retry_first;
  change.next_send = now;
  change_ = std::move(change);
  EnterPhase(change_->drains ? ChangePhase::kDraining : ChangePhase::kOrdering,
             now);
}

bool PoolPlanner::Applied(const EndpointStatus& endpoint) const {
  if (change_->is_load()) return endpoint.loaded.contains(change_->artifact);
  return endpoint.info.role == change_->to;
}

bool PoolPlanner::MustAbandon(const PoolObservation& observation,
                              const EndpointStatus* endpoint) const {
  // A restarted runner is back to its initial role and weights.
  if (!endpoint || endpoint->info.incarnation != change_->incarnation) {
    return true;
  }
  if (change_->phase == ChangePhase::kConfirming) return false;
  if (endpoint->leaving) return true;
  if (change_->drains && !AboveMinimum(observation, *endpoint)) return true;
  // While another endpoint may be about to fail, the role change would be
  // blocked and the drain in vain.
  return change_->phase == ChangePhase::kDraining && !change_->is_load() &&
         AnyUnhealthy(observation);
}

std::vector<ScalingOrder> PoolPlanner::AdvanceChange(
    const PoolObservation& observation, Time now) {
  const EndpointStatus* endpoint = Find(observation, change_->endpoint);
  if (endpoint && endpoint->info.incarnation == change_->incarnation &&
      Applied(*endpoint)) {
    Complete(now);
    return {};
  }
  if (MustAbandon(observation, endpoint)) {
    Abandon(false, now);
    return {};
  }
  if (change_->phase == ChangePhase::kDraining) {
    AdvanceDrain(*endpoint, now);
    if (!change_) return {};
  }
  if (change_->phase == ChangePhase::kConfirming &&
      now - change_->phase_since >= options_.confirm_timeout) {
    // The next step checks the conditions of an order before it retransmits it.
    EnterPhase(ChangePhase::kOrdering, now);
    return {};
  }
  if (change_->phase != ChangePhase::kOrdering) return {};
  const bool unhealthy =
      change_->is_load() ? !Healthy(*endpoint) : AnyUnhealthy(observation);
  if (unhealthy) {
    block_ = ScalingBlock::kUnhealthyEndpoint;
    if (!change_->unhealthy_since) change_->unhealthy_since = now;
    // A long quarantine of another endpoint must not keep this one drained.
    if (now - *change_->unhealthy_since >= options_.drain_timeout) {
      Abandon(false, now);
    }
    return {};
  }
  change_->unhealthy_since.reset();
  if (now < change_->next_send) return {};
  CheckInvariant(!change_->drains || AboveMinimum(observation, *endpoint),
                 "an order leaves each role its minimum of endpoints");
  return {Send(*endpoint, now)};
}

void PoolPlanner::AdvanceDrain(const EndpointStatus& endpoint, Time now) {
  const Duration drained_for = now - change_->phase_since;
  const bool idle =
      endpoint.slots_in_use == 0 && endpoint.queued_prompt_tokens == Tokens(0);
  if (idle && drained_for >= options_.drain_settle) {
    EnterPhase(ChangePhase::kOrdering, now);
    return;
  }
  if (drained_for < options_.drain_timeout) return;
  ++counters_.drain_timeouts;
  Abandon(true, now);
}

OrderId PoolPlanner::NextOrderId() {
  const OrderId id{.epoch = epoch_, .sequence = ++sequence_};
  CheckInvariant(id > last_order_, "order ids increase");
  last_order_ = id;
  return id;
}

ScalingOrder PoolPlanner::Send(const EndpointStatus& endpoint, Time now) {
  if (change_->attempts == 0) change_->id = NextOrderId();
  const Epoch epoch = change_->id.epoch;
  CheckInvariant(lease_held_ && epoch == epoch_,
                 "an order carries the epoch of the current lease");
  CheckInvariant(epoch >= highest_epoch_used_,
                 "epochs of orders never decrease");
  CheckInvariant(!refused_epoch_, "no order is sent under a refused epoch");
  highest_epoch_used_ = epoch;
  ++change_->attempts;
  ++counters_.orders_sent;
  if (change_->attempts > 1) ++counters_.orders_repeated;
  change_->next_send = now + change_->backoff;
  change_->backoff = std::min(change_->backoff * 2, options_.retry_maximum);
  return {.id = change_->id,
          .kind = change_->kind,
          .endpoint = change_->endpoint,
          .url = endpoint.info.url,
          .role = change_->to,
          .artifact = change_->artifact,
          .attempt = change_->attempts,
          .reason = change_->reason};
}

void PoolPlanner::EnterPhase(ChangePhase phase, Time now) {
  change_->phase = phase;
  change_->phase_since = now;
}

void PoolPlanner::Complete(Time now) {
  if (change_->is_load()) {
    ++counters_.loads_done;
    scheduler_->Finish(change_->endpoint);
    load_cooldown_until_ = now + options_.load_cooldown;
  } else {
    ++counters_.role_changes_done;
    pool_cooldown_until_ = now + options_.pool_cooldown;
    endpoint_cooldown_until_[change_->endpoint] =
        now + options_.endpoint_cooldown;
  }
  // The capacity of both roles changed, so the imbalance is evaluated
  // again from the start of the hold.
  needed_role_.reset();
  change_.reset();
}

void PoolPlanner::Abandon(bool exclude_endpoint, Time now) {
  ++counters_.abandoned;
  if (exclude_endpoint)
    excluded_until_[change_->endpoint] = now + options_.endpoint_cooldown;
  if (change_->is_load()) {
    load_cooldown_until_ = now + options_.load_cooldown;
  } else {
    // The order may have been executed, so the endpoint counts as changed.
    pool_cooldown_until_ = now + options_.pool_cooldown;
    if (change_->attempts > 0 || change_->failures > 0) {
      endpoint_cooldown_until_[change_->endpoint] =
          now + options_.endpoint_cooldown;
      load_cooldown_until_ = pool_cooldown_until_;
    }
  }
  DropChange(now);
}

void PoolPlanner::DropChange(Time now) {
  if (!change_) return;
  const bool ordered = change_->attempts > 0 || change_->failures > 0;
  if (change_->is_load() && ordered) {
    scheduler_->Abandon(change_->endpoint, now);
  } else if (change_->is_load()) {
    scheduler_->Cancel(change_->endpoint);
  }
  change_.reset();
}

ScalingRow PoolPlanner::Row(Time now) const {
  ScalingRow row{.data_centre = options_.data_centre,
                 .service = options_.service,
                 .epoch = epoch_,
                 .lease_held = lease_held_,
                 .block = block_,
                 .prefill_load = loads_.prefill,
                 .decode_load = loads_.decode,
                 .prefill_endpoints = prefill_endpoints_,
                 .decode_endpoints = decode_endpoints_,
                 .missing_artifacts = missing_artifacts_};
  if (needed_role_) row.imbalance_age = now - needed_since_;
  if (!change_) return row;
  row.changing = change_->endpoint;
  row.phase = change_->phase;
  row.kind = change_->kind;
  row.order = change_->id;
  row.attempts = change_->attempts;
  row.reason = change_->reason;
  return row;
}

}  // namespace cassiausher
