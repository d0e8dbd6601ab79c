// Plans membership changes of the Raft group: growth to its target size, and
// the replacement of a lost voter by an instance that has no configuration yet.
#ifndef SERVERS_CONTROL_VOTER_PLANNER_H_
#define SERVERS_CONTROL_VOTER_PLANNER_H_

#include <map>
#include <variant>

#include "core/time.h"
#include "servers/consensus/raft_types.h"

namespace cassiausher {

struct VoterPlannerOptions {
  /// Each further pair of voters makes every commit wait for one more disk.
  int max_voters = 7;
  /// A voter that hasn't answered for this long is replaced if a spare instance
  /// is available. Short, because a group of three tolerates the loss of no
  /// other voter until then.
  Duration replace_after = Seconds(2);
  /// A spare is available while it was last seen less than this ago.
  Duration spare_expiry = Seconds(2);
};

/// The group's members and when the leader last had contact with them.
struct VoterView {
  RaftConfiguration configuration;
  /// Time since the last response of every other member.
  std::map<ReplicaId, Duration> silence;
  /// Replicas without a configuration, and the time since each was last seen.
  std::map<ReplicaId, Duration> unconfigured;
};

struct AddLearnerStep {
  ReplicaId learner;
};
struct PromoteStep {
  ReplicaId learner;
};
struct ReplaceStep {
  ReplicaId lost;
  ReplicaId replacement;
};
struct RemoveLearnerStep {
  ReplicaId learner;
};
/// Removes a replacement that was itself lost, whether it is still a learner or
/// already a voter. The lost voter then gets another one.
struct AbandonReplacementStep {
  ReplicaId replacement;
};
struct NoStep {};
using VoterStep = std::variant<NoStep, AddLearnerStep, PromoteStep, ReplaceStep,
                               RemoveLearnerStep, AbandonReplacementStep>;

/// Returns the next membership change, which the leader proposes while no
/// earlier one is pending. The group grows by two voters at a time to keep
/// their number odd: an even number tolerates no more failures than the odd
/// number below it.
VoterStep PlanVoters(const VoterPlannerOptions& options, const VoterView& view);

}  // namespace cassiausher

#endif  // SERVERS_CONTROL_VOTER_PLANNER_H_
