#include "servers/control/voter_planner.h"

#include <optional>
#include <set>

namespace cassiausher {
namespace {

// Replicas without a configuration that were seen recently, one per instance.
std::set<ReplicaId> AvailableSpares(const VoterPlannerOptions& options,
                                    const VoterView& view) {
  std::set<ReplicaId> spares;
  for (const auto& [replica, age] : view.unconfigured) {
    if (age < options.spare_expiry) spares.insert(replica);
  }
  return spares;
}

bool IsSilent(const VoterPlannerOptions& options, const VoterView& view,
              const ReplicaId& replica) {
  const auto found = view.silence.find(replica);
  return found != view.silence.end() && found->second >= options.replace_after;
}

// Replicas that can replace a voter: the spares, and learners that answer. A
// spare that was added as a learner to grow the group is no longer one.
std::set<ReplicaId> Replacements(const VoterPlannerOptions& options,
                                 const VoterView& view,
                                 std::set<ReplicaId> spares) {
  for (const ReplicaId& learner : view.configuration.learners) {
    if (!IsSilent(options, view, learner)) spares.insert(learner);
  }
  return spares;
}

// The voter that has been silent for longest, if for at least `replace_after`.
std::optional<ReplicaId> LostVoter(const VoterPlannerOptions& options,
                                   const VoterView& view) {
  std::optional<ReplicaId> lost;
  Duration longest = options.replace_after;
  for (const auto& [replica, silence] : view.silence) {
    if (!view.configuration.IsVoter(replica) || silence < longest) continue;
    lost = replica;
    longest = silence;
  }
  return lost;
}

// Prefers the lost voter's own instance, which comes back after the loss of its
// disk, so that the other spares remain available.
ReplicaId ChooseSpare(const std::set<ReplicaId>& spares,
                      const ReplicaId& lost) {
  for (const ReplicaId& spare : spares) {
    if (spare.instance == lost.instance) return spare;
  }
  return *spares.begin();
}

std::optional<ReplicaId> LostLearner(const VoterPlannerOptions& options,
                                     const VoterView& view) {
  for (const ReplicaId& learner : view.configuration.learners) {
    if (IsSilent(options, view, learner)) return learner;
  }
  return std::nullopt;
}

}  // namespace

VoterStep PlanVoters(const VoterPlannerOptions& options,
                     const VoterView& view) {
  if (const auto& plan = view.configuration.replacement; plan.has_value()) {
    // Otherwise no lost voter could be replaced any more.
    if (!IsSilent(options, view, plan->replacement)) return NoStep{};
    return AbandonReplacementStep{plan->replacement};
  }
  const std::set<ReplicaId> spares = AvailableSpares(options, view);
  const std::optional<ReplicaId> lost = LostVoter(options, view);
  if (lost.has_value()) {
    const auto replacements = Replacements(options, view, spares);
    if (replacements.empty()) return NoStep{};
    return ReplaceStep{*lost, ChooseSpare(replacements, *lost)};
  }
  if (const auto learner = LostLearner(options, view)) {
    return RemoveLearnerStep{*learner};
  }
  const auto& learners = view.configuration.learners;
  const auto voters = static_cast<int>(view.configuration.voters.size());
  const bool even = voters % 2 == 0;
  const bool can_grow = voters + (even ? 1 : 2) <= options.max_voters;
  const std::size_t needed = even ? 1 : 2;
  if (!can_grow) return NoStep{};
  if (learners.size() >= needed || (even && !learners.empty())) {
    return PromoteStep{*learners.begin()};
  }
  if (learners.size() + spares.size() < needed) return NoStep{};
  return AddLearnerStep{*spares.begin()};
}

}  // namespace cassiausher
