// Plans membership changes of the Raft group. Every replica without a vote
// becomes a learner, so that the data is there before a vote is needed. A
// learner takes over the vote of a voter that is lost, that stops, or that is
// in the same data centre and older: whoever removes a machine adds its
// successor first, and may remove it without a warning.
#ifndef SERVERS_CONTROL_VOTER_PLANNER_H_
#define SERVERS_CONTROL_VOTER_PLANNER_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <variant>

#include "core/ids.h"
#include "core/time.h"
#include "servers/consensus/raft.h"
#include "servers/consensus/raft_types.h"

namespace cassiausher {

struct VoterPlannerOptions {
  /// Each further pair of voters makes every commit wait for one more disk.
  int max_voters = 7;
  /// Enough for all voters to stop at once.
  int max_learners = 7;
  /// Disks that may be lost at the same time. A group shrinks only as long as
  /// the voters that are left tolerate that.
  int tolerated_losses = 1;
  /// A voter that hasn't answered for this long is replaced if a spare instance
  /// is available. Short, because a group of three tolerates the loss of no
  /// other voter until then.
  Duration replace_after = Seconds(2);
  /// The same for a voter whose instance has been heard from with other
  /// storage, which means that the voter's disk is lost.
  Duration wiped_after = Milliseconds(600);
  /// A spare is available while it was last seen less than this ago.
  Duration spare_expiry = Seconds(2);
};

/// The group's members and when the leader last had contact with them.
struct VoterView {
  RaftConfiguration configuration;
  /// Time since the last response of every other member.
  std::map<ReplicaId, Duration> silence;
  /// Replicas that asked to join, and the time since each was last seen.
  std::map<ReplicaId, Duration> unconfigured;
  /// Members that answer and have nearly the whole log.
  std::set<ReplicaId> caught_up;
  /// Members whose processes have announced that they stop.
  std::set<ReplicaId> stopping;
  /// Control instances that were heard from lately, whether their replicas are
  /// members or not.
  std::set<InstanceId> live_instances;
  /// Where instances run, as far as it is known.
  std::map<InstanceId, DataCentreId> data_centres;
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
/// A learner takes over the vote of a voter, which remains as a learner.
struct HandOverStep {
  ReplicaId from;
  ReplicaId to;
};
/// Removes a lost voter for which there is no replacement.
struct RemoveVoterStep {
  ReplicaId lost;
};
/// A voter that stops becomes a learner, as none can take its vote over.
struct DemoteStep {
  ReplicaId voter;
};
struct NoStep {};
using VoterStep = std::variant<NoStep, AddLearnerStep, PromoteStep, ReplaceStep,
                               RemoveLearnerStep, AbandonReplacementStep,
                               HandOverStep, RemoveVoterStep, DemoteStep>;

/// Returns the next membership change, which the leader proposes while no
/// earlier one is pending. The group grows by two voters at a time to keep
/// their number odd: an even number tolerates no more failures than the odd
/// number below it.
VoterStep PlanVoters(const VoterPlannerOptions& options, const VoterView& view);

/// Whether a voter that stops keeps its vote for good: no instance is there
/// that could take it over, now or once it has caught up, and the group is too
/// small to shrink.
bool KeepsVote(const VoterPlannerOptions& options, const VoterView& view,
               const ReplicaId& voter);

/// What the leader's Raft knows; the rest of the view is left empty.
VoterView ViewOf(const Raft& raft, Time now);

/// Proposes a step at the leader. Refused for NoStep.
ProposeResult ProposeStep(const VoterStep& step, Raft& raft, Time now);

/// The step's name and its replicas, for logs.
struct VoterStepText {
  std::string name;
  std::string subject;
};
VoterStepText Describe(const VoterStep& step);

}  // namespace cassiausher

#endif  // SERVERS_CONTROL_VOTER_PLANNER_H_
