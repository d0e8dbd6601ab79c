// Inputs and outputs of PoolPlanner.
#ifndef SERVERS_SCALING_SCALING_TYPES_H_
#define SERVERS_SCALING_SCALING_TYPES_H_

#include <compare>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "core/units.h"
#include "servers/ownership/endpoint_directory.h"
#include "servers/routing/router_types.h"

namespace cassiausher {

/// Kind of artifact that a runner loads from the weight store. Lower values
/// load first, since adapters need their model.
enum class ArtifactKind { kModel, kVersion, kAdapter };

struct ArtifactId {
  ArtifactKind kind = ArtifactKind::kModel;
  std::string name;

  auto operator<=>(const ArtifactId&) const = default;
};

/// An artifact that every runner of the pool must have loaded.
struct WantedArtifact {
  ArtifactId id;
  Bytes size{0};

  bool operator==(const WantedArtifact&) const = default;
};

/// One endpoint of the pool at the time of an observation.
struct EndpointStatus {
  EndpointInfo info;
  EndpointState state = EndpointState::kAlive;
  bool quarantined = false;
  /// The endpoint announced its departure or is drained by an operator. Unlike
  /// `EndpointInfo::departing`, which the planner doesn't read, this excludes
  /// the planner's own drain.
  bool leaving = false;
  /// False while it has no model loaded and therefore can't take requests.
  bool serving = true;
  /// Requests that occupy or reserve a slot or are in prefill.
  int slots_in_use = 0;
  Tokens queued_prompt_tokens{0};
  std::set<ArtifactId> loaded;
};

/// Demand of one request class over the last measurement window.
struct ClassDemand {
  ClassId id;
  /// All prompts that arrived, including refused ones.
  double prompt_tokens_per_second = 0;
  double refused_prompt_tokens_per_second = 0;
  double output_tokens_per_second = 0;
  Tokens queued_prompt_tokens{0};
};

/// State and demand of the pool at one time.
struct PoolObservation {
  std::vector<EndpointStatus> endpoints;
  std::vector<ClassDemand> demand;
};

enum class OrderKind { kSetRole, kLoadModel, kLoadVersion, kLoadAdapter };

/// Increases with each order of a pool, across all its owners. Retransmissions
/// carry the same id; an endpoint ignores an id lower than one that it has
/// executed.
struct OrderId {
  Epoch epoch{0};
  std::uint64_t sequence = 0;

  auto operator<=>(const OrderId&) const = default;
};

/// Sent to the endpoint's `POST /orders`. `id.epoch` is the fencing token.
struct ScalingOrder {
  OrderId id;
  OrderKind kind = OrderKind::kSetRole;
  EndpointId endpoint;
  std::string url;
  /// Only for kSetRole.
  EndpointRole role = EndpointRole::kDecode;
  /// Only for the other kinds.
  ArtifactId artifact;
  /// 1 for the first transmission of this id.
  int attempt = 1;
  std::string reason;
};

enum class OrderOutcome { kDone, kFailed, kStaleEpoch };

/// An endpoint's response to an order. Without a response there is no result,
/// and the planner retransmits the order.
struct OrderResult {
  OrderId id;
  EndpointId endpoint;
  OrderOutcome outcome = OrderOutcome::kDone;
};

enum class ChangePhase {
  kDraining,    ///< Gets no new work; its requests run to their end.
  kOrdering,    ///< The order is retransmitted until it is answered.
  kConfirming,  ///< Answered; waits until its announcement shows the change.
};

/// Why no change starts or continues.
enum class ScalingBlock {
  kNone,
  kNoLease,
  kStaleEpoch,         ///< An endpoint has seen a higher epoch.
  kSettling,           ///< Within `settle_time` of a new lease or epoch.
  kUnhealthyEndpoint,  ///< An endpoint is suspect or quarantined.
  kHolding,            ///< The imbalance hasn't lasted for long enough.
  kCooldown,           ///< Of the pool or of every candidate.
  kMinimum,            ///< A role would have too few endpoints.
  kWeightStore,        ///< The load waits for the LoadScheduler.
};

const char* Name(OrderKind kind);
const char* Name(ChangePhase phase);
const char* Name(ScalingBlock block);

/// One pool's row in the state dump.
struct ScalingRow {
  DataCentreId data_centre;
  ServiceId service;
  Epoch epoch{0};
  bool lease_held = false;
  ScalingBlock block = ScalingBlock::kNone;
  /// Demand divided by capacity.
  double prefill_load = 0;
  double decode_load = 0;
  int prefill_endpoints = 0;
  int decode_endpoints = 0;
  /// How long the current imbalance has lasted; 0 without one.
  Duration imbalance_age{0};
  /// Wanted artifacts that aren't loaded, summed over the runners.
  int missing_artifacts = 0;
  /// Empty without a change in progress; the fields below are then unset.
  EndpointId changing;
  ChangePhase phase = ChangePhase::kDraining;
  OrderKind kind = OrderKind::kSetRole;
  OrderId order;
  int attempts = 0;
  std::string reason;
};

struct ScalingCounters {
  std::uint64_t role_changes_started = 0;
  std::uint64_t role_changes_done = 0;
  std::uint64_t loads_started = 0;
  std::uint64_t loads_done = 0;
  std::uint64_t orders_sent = 0;
  std::uint64_t orders_repeated = 0;
  std::uint64_t orders_failed = 0;
  std::uint64_t stale_refusals = 0;
  /// Results of orders that are no longer outstanding.
  std::uint64_t late_results = 0;
  std::uint64_t drain_timeouts = 0;
  /// Changes abandoned before confirmation, for any reason.
  std::uint64_t abandoned = 0;
  /// Leases that were ignored because an order already used a higher epoch.
  std::uint64_t old_epochs_ignored = 0;
};

}  // namespace cassiausher

#endif  // SERVERS_SCALING_SCALING_TYPES_H_
