#include "servers/control/voter_planner.h"

#include <algorithm>
#include <optional>
#include <tuple>
#include <vector>

namespace cassiausher {
namespace {

template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

/// The decisions on one view of the group.
class Planner {
 public:
  Planner(const VoterPlannerOptions& options, const VoterView& view)
      : options_(options), view_(view), members_(view.configuration) {}

  VoterStep Next() const;
  bool KeepsVote(const ReplicaId& voter) const;

 private:
  /// Replicas in the order in which they should get a vote.
  using Candidates = std::vector<ReplicaId>;

  bool IsSilent(const ReplicaId& replica, Duration limit) const;
  bool IsStopping(const ReplicaId& replica) const {
    return view_.stopping.contains(replica);
  }
  bool IsRecentSpare(const ReplicaId& replica) const;
  /// Its instance runs with other storage.
  bool IsWiped(const ReplicaId& voter) const;
  bool IsLost(const ReplicaId& voter) const;
  /// A replica that could get a vote, now or once it has caught up.
  bool IsAvailable(const ReplicaId& replica) const;
  /// Whether that many voters, all of them there, bear the losses tolerated.
  bool Tolerates(std::size_t voters) const;

  DataCentreId DataCentreOf(const ReplicaId& replica) const;
  bool SameDataCentre(const ReplicaId& a, const ReplicaId& b) const;
  /// Voters, other than `without`, in the replica's data centre.
  std::size_t VotersBeside(const ReplicaId& replica,
                           const ReplicaId& without) const;

  std::vector<ReplicaId> Spares() const;
  /// Learners that could vote at once.
  Candidates ReadyLearners(const ReplicaId& predecessor) const;
  /// All others that are available.
  Candidates LaterCandidates(const ReplicaId& predecessor) const;
  void Sort(const ReplicaId& predecessor, Candidates* candidates) const;

  std::optional<ReplicaId> LostVoter() const;
  std::optional<VoterStep> ReplaceLostVoter() const;
  std::optional<VoterStep> RelieveStoppingVoter() const;
  std::optional<VoterStep> RemoveLostLearner() const;
  std::optional<VoterStep> AddLearner() const;
  std::optional<VoterStep> Shrink() const;
  std::optional<VoterStep> Grow() const;
  std::optional<VoterStep> Spread() const;
  std::optional<VoterStep> HandToSuccessor() const;
  bool IsHealthy() const;
  /// An instance answers that has no vote and doesn't stop.
  bool HasOtherInstance() const;

  const VoterPlannerOptions& options_;
  const VoterView& view_;
  const RaftConfiguration& members_;
};

bool Planner::IsSilent(const ReplicaId& replica, Duration limit) const {
  const auto found = view_.silence.find(replica);
  return found != view_.silence.end() && found->second >= limit;
}

bool Planner::IsRecentSpare(const ReplicaId& replica) const {
  // A learner sends hellos until the entry that adds it has arrived.
  if (members_.IsMember(replica)) return false;
  const auto found = view_.unconfigured.find(replica);
  return found != view_.unconfigured.end() &&
         found->second < options_.spare_expiry;
}

bool Planner::IsWiped(const ReplicaId& voter) const {
  const auto replaces = [&](const ReplicaId& other) {
    return other != voter && other.instance == voter.instance;
  };
  return std::ranges::any_of(members_.learners,
                             [&](const ReplicaId& learner) {
                               return replaces(learner) && IsAvailable(learner);
                             }) ||
         std::ranges::any_of(view_.unconfigured, [&](const auto& spare) {
           return replaces(spare.first) && IsRecentSpare(spare.first);
         });
}

bool Planner::IsLost(const ReplicaId& voter) const {
  return IsSilent(voter, options_.replace_after) ||
         (IsSilent(voter, options_.wiped_after) && IsWiped(voter));
}

bool Planner::IsAvailable(const ReplicaId& replica) const {
  if (IsStopping(replica)) return false;
  if (members_.learners.contains(replica)) {
    return !IsSilent(replica, options_.replace_after);
  }
  return IsRecentSpare(replica);
}

bool Planner::Tolerates(std::size_t voters) const {
  const auto losses = static_cast<std::size_t>(options_.tolerated_losses);
  return voters >= losses + voters / 2 + 1;
}

DataCentreId Planner::DataCentreOf(const ReplicaId& replica) const {
  const auto found = view_.data_centres.find(replica.instance);
  return found == view_.data_centres.end() ? DataCentreId() : found->second;
}

bool Planner::SameDataCentre(const ReplicaId& a, const ReplicaId& b) const {
  const DataCentreId data_centre = DataCentreOf(a);
  return !data_centre.empty() && data_centre == DataCentreOf(b);
}

std::size_t Planner::VotersBeside(const ReplicaId& replica,
                                  const ReplicaId& without) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(members_.voters, [&](const ReplicaId& voter) {
        return voter != without && SameDataCentre(voter, replica);
      }));
}

std::vector<ReplicaId> Planner::Spares() const {
  std::vector<ReplicaId> spares;
  for (const auto& [replica, age] : view_.unconfigured) {
    if (IsRecentSpare(replica) && !IsStopping(replica)) {
      spares.push_back(replica);
    }
  }
  return spares;
}

Planner::Candidates Planner::ReadyLearners(const ReplicaId& predecessor) const {
  Candidates candidates;
  for (const ReplicaId& learner : members_.learners) {
    if (IsAvailable(learner) && view_.caught_up.contains(learner)) {
      candidates.push_back(learner);
    }
  }
  Sort(predecessor, &candidates);
  return candidates;
}

Planner::Candidates Planner::LaterCandidates(
    const ReplicaId& predecessor) const {
  Candidates candidates = Spares();
  for (const ReplicaId& learner : members_.learners) {
    if (IsAvailable(learner)) candidates.push_back(learner);
  }
  Sort(predecessor, &candidates);
  return candidates;
}

// The voter's own instance, which comes back after the loss of its disk, is
// preferred, so that the other spares remain available. Next, the loss of a
// data centre should cost as few votes as possible.
void Planner::Sort(const ReplicaId& predecessor, Candidates* candidates) const {
  const auto rank = [&](const ReplicaId& replica) {
    return std::tuple(replica.instance != predecessor.instance,
                      VotersBeside(replica, predecessor),
                      !SameDataCentre(replica, predecessor));
  };
  std::ranges::stable_sort(*candidates,
                           [&](const ReplicaId& a, const ReplicaId& b) {
                             return rank(a) < rank(b);
                           });
}

// The lost voter that has been silent for longest.
std::optional<ReplicaId> Planner::LostVoter() const {
  std::optional<ReplicaId> lost;
  Duration longest{0};
  for (const auto& [replica, silence] : view_.silence) {
    if (!members_.IsVoter(replica) || !IsLost(replica)) continue;
    if (lost.has_value() && silence <= longest) continue;
    lost = replica;
    longest = silence;
  }
  return lost;
}

std::optional<VoterStep> Planner::ReplaceLostVoter() const {
  const std::optional<ReplicaId> lost = LostVoter();
  if (!lost.has_value()) return std::nullopt;
  const Candidates ready = ReadyLearners(*lost);
  if (!ready.empty()) return ReplaceStep{*lost, ready.front()};
  const Candidates later = LaterCandidates(*lost);
  if (!later.empty()) return ReplaceStep{*lost, later.front()};
  return std::nullopt;
}

// Only to a learner that has the data: the plan would otherwise keep others
// from being replaced, and the voter that stops waits anyway.
std::optional<VoterStep> Planner::RelieveStoppingVoter() const {
  for (const ReplicaId& voter : members_.voters) {
    if (!IsStopping(voter)) continue;
    const Candidates ready = ReadyLearners(voter);
    if (!ready.empty()) return HandOverStep{voter, ready.front()};
  }
  return std::nullopt;
}

std::optional<VoterStep> Planner::RemoveLostLearner() const {
  for (const ReplicaId& learner : members_.learners) {
    if (IsSilent(learner, options_.replace_after)) {
      return RemoveLearnerStep{learner};
    }
  }
  return std::nullopt;
}

std::optional<VoterStep> Planner::AddLearner() const {
  const auto learners = static_cast<int>(members_.learners.size());
  const std::vector<ReplicaId> spares = Spares();
  if (spares.empty() || learners >= options_.max_learners) return std::nullopt;
  return AddLearnerStep{spares.front()};
}

// A group that keeps the votes of machines that are gone loses its majority
// long before it runs out of replicas.
std::optional<VoterStep> Planner::Shrink() const {
  if (!Tolerates(members_.voters.size() - 1)) return std::nullopt;
  const std::optional<ReplicaId> lost = LostVoter();
  if (lost.has_value()) return RemoveVoterStep{*lost};
  for (const ReplicaId& voter : members_.voters) {
    if (IsStopping(voter) && LaterCandidates(voter).empty()) {
      return DemoteStep{voter};
    }
  }
  return std::nullopt;
}

std::optional<VoterStep> Planner::Grow() const {
  const auto voters = static_cast<int>(members_.voters.size());
  const std::size_t needed = voters % 2 == 0 ? 1 : 2;
  if (voters + static_cast<int>(needed) > options_.max_voters) {
    return std::nullopt;
  }
  const Candidates ready = ReadyLearners(ReplicaId());
  if (ready.size() < needed) return std::nullopt;
  return PromoteStep{ready.front()};
}

bool Planner::IsHealthy() const {
  return std::ranges::none_of(members_.voters, [&](const ReplicaId& voter) {
    return IsStopping(voter) || IsSilent(voter, options_.wiped_after);
  });
}

// The loss of a data centre should cost as few votes as possible, and a
// successor can tell whose vote it takes over if there is one beside it only.
std::optional<VoterStep> Planner::Spread() const {
  for (const ReplicaId& learner : ReadyLearners(ReplicaId())) {
    if (DataCentreOf(learner).empty()) continue;
    for (const ReplicaId& voter : members_.voters) {
      const std::size_t beside = VotersBeside(learner, ReplicaId());
      if (VotersBeside(voter, voter) > beside) {
        return HandOverStep{voter, learner};
      }
    }
  }
  return std::nullopt;
}

// Each replica is admitted once, so that votes never go back and forth.
std::optional<VoterStep> Planner::HandToSuccessor() const {
  for (const ReplicaId& learner : ReadyLearners(ReplicaId())) {
    std::optional<ReplicaId> oldest;
    for (const ReplicaId& voter : members_.voters) {
      if (!SameDataCentre(voter, learner)) continue;
      if (oldest.has_value() &&
          members_.AdmittedAt(voter) >= members_.AdmittedAt(*oldest)) {
        continue;
      }
      oldest = voter;
    }
    if (oldest.has_value() &&
        members_.AdmittedAt(*oldest) < members_.AdmittedAt(learner)) {
      return HandOverStep{*oldest, learner};
    }
  }
  return std::nullopt;
}

VoterStep Planner::Next() const {
  if (const auto& plan = members_.replacement; plan.has_value()) {
    // Otherwise no lost voter could be replaced any more.
    const bool ends = members_.learners.contains(plan->replacement) &&
                      IsStopping(plan->replacement);
    if (!ends && !IsSilent(plan->replacement, options_.replace_after)) {
      return NoStep{};
    }
    return AbandonReplacementStep{plan->replacement};
  }
  if (auto step = ReplaceLostVoter()) return *step;
  if (auto step = RelieveStoppingVoter()) return *step;
  if (auto step = RemoveLostLearner()) return *step;
  if (auto step = AddLearner()) return *step;
  if (auto step = Shrink()) return *step;
  if (auto step = Grow()) return *step;
  if (!IsHealthy()) return NoStep{};
  if (auto step = Spread()) return *step;
  if (auto step = HandToSuccessor()) return *step;
  return NoStep{};
}

bool Planner::KeepsVote(const ReplicaId& voter) const {
  if (members_.replacement.has_value()) return false;
  if (!LaterCandidates(voter).empty() || HasOtherInstance()) return false;
  return !Tolerates(members_.voters.size() - 1);
}

// Its replica will join; it may have begun anew a moment ago.
bool Planner::HasOtherInstance() const {
  const auto of_instance = [](const InstanceId& instance) {
    return
        [&](const ReplicaId& replica) { return replica.instance == instance; };
  };
  return std::ranges::any_of(
      view_.live_instances, [&](const InstanceId& instance) {
        return std::ranges::none_of(members_.voters, of_instance(instance)) &&
               std::ranges::none_of(view_.stopping, of_instance(instance));
      });
}

}  // namespace

VoterStep PlanVoters(const VoterPlannerOptions& options,
                     const VoterView& view) {
  return Planner(options, view).Next();
}

bool KeepsVote(const VoterPlannerOptions& options, const VoterView& view,
               const ReplicaId& voter) {
  return Planner(options, view).KeepsVote(voter);
}

VoterView ViewOf(const Raft& raft, Time now) {
  VoterView view{.configuration = raft.configuration(),
                 .silence = raft.TimeSinceLastReply()};
  for (const auto& [replica, heard_at] : raft.unconfigured_replicas()) {
    view.unconfigured[replica] = now - heard_at;
  }
  for (const auto& [replica, silence] : view.silence) {
    if (raft.IsCaughtUp(replica)) view.caught_up.insert(replica);
  }
  return view;
}

ProposeResult ProposeStep(const VoterStep& step, Raft& raft, Time now) {
  return std::visit(
      Overloaded{
          [&](const NoStep&) {
            return ProposeResult{.refusal = ProposeResult::Refusal::kInvalid};
          },
          [&](const AddLearnerStep& add) {
            return raft.AddLearner(add.learner, now);
          },
          [&](const PromoteStep& promote) {
            return raft.Promote(promote.learner, now);
          },
          [&](const ReplaceStep& replace) {
            return raft.ReplaceVoter(replace.lost, replace.replacement, now);
          },
          [&](const RemoveLearnerStep& remove) {
            return raft.Remove(remove.learner, now);
          },
          [&](const AbandonReplacementStep& abandon) {
            return raft.Remove(abandon.replacement, now);
          },
          [&](const HandOverStep& hand_over) {
            return raft.HandOverVote(hand_over.from, hand_over.to, now);
          },
          [&](const RemoveVoterStep& remove) {
            return raft.Remove(remove.lost, now);
          },
          [&](const DemoteStep& demote) {
            return raft.Demote(demote.voter, now);
          },
      },
      step);
}

VoterStepText Describe(const VoterStep& step) {
  const auto pair = [](const ReplicaId& from, const ReplicaId& to) {
    return ToString(from) + " to " + ToString(to);
  };
  return std::visit(
      Overloaded{
          [](const NoStep&) {
            return VoterStepText{"none", ""};
          },
          [](const AddLearnerStep& add) {
            return VoterStepText{"add_learner", ToString(add.learner)};
          },
          [](const PromoteStep& promote) {
            return VoterStepText{"promote", ToString(promote.learner)};
          },
          [&](const ReplaceStep& replace) {
            return VoterStepText{"replace",
                                 pair(replace.lost, replace.replacement)};
          },
          [](const RemoveLearnerStep& remove) {
            return VoterStepText{"remove_learner", ToString(remove.learner)};
          },
          [](const AbandonReplacementStep& abandon) {
            return VoterStepText{"abandon_replacement",
                                 ToString(abandon.replacement)};
          },
          [&](const HandOverStep& hand_over) {
            return VoterStepText{"hand_over",
                                 pair(hand_over.from, hand_over.to)};
          },
          [](const RemoveVoterStep& remove) {
            return VoterStepText{"remove_voter", ToString(remove.lost)};
          },
          [](const DemoteStep& demote) {
            return VoterStepText{"demote", ToString(demote.voter)};
          },
      },
      step);
}

}  // namespace cassiausher
