// Decides how the group of voters grows to its size and replaces a voter that
// is gone by an instance that has no configuration yet.
#ifndef SERVERS_CONTROL_VOTER_PLANNER_H_
#define SERVERS_CONTROL_VOTER_PLANNER_H_

#include <map>
#include <variant>

#include "core/time.h"
#include "servers/consensus/raft_types.h"

namespace cassiausher {

struct VoterPlannerOptions {
  /// More voters make each commit wait for more disks.
  int most_voters = 7;
  /// A voter silent for this long is replaced if a spare is there. Short,
  /// because the group can lose no other voter until then.
  Duration replace_after = Seconds(2);
  /// A spare counts while it was heard of within this time.
  Duration spare_lifetime = Seconds(2);
};

/// Members and what the leader heard of them.
struct VoterView {
  RaftConfiguration configuration;
  /// Time since the last answer, for every other member.
  std::map<ReplicaId, Duration> silence;
  /// Replicas without a configuration, and the time since they were heard of.
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
struct NoStep {};
using VoterStep = std::variant<NoStep, AddLearnerStep, PromoteStep, ReplaceStep,
                               RemoveLearnerStep>;

/// The next change of members, to be proposed by the leader while no earlier
/// one is pending. Growth goes by two voters at a time, so that the number
/// stays odd: an even number bears no more losses.
VoterStep PlanVoters(const VoterPlannerOptions& options, const VoterView& view);

}  // namespace cassiausher

#endif  // SERVERS_CONTROL_VOTER_PLANNER_H_
