// Raft: proposals, and membership changes one replica at a time.
#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "core/check_invariant.h"
#include "servers/consensus/raft.h"

namespace cassiausher {
namespace {

/// Heartbeats within which a member that is to get a vote has stored something.
constexpr int kMaxStoredAge = 15;

}  // namespace

ProposeResult Raft::Refuse(ProposeResult::Refusal refusal) const {
  return {.refusal = refusal};
}

ProposeResult Raft::CheckPropose() const {
  using Refusal = ProposeResult::Refusal;
  if (role_ != RaftRole::kLeader) return Refuse(Refusal::kNotLeader);
  if (transfer_target_) return Refuse(Refusal::kTransferring);
  if (log_.LastIndex() - hard_state_.commit >=
      options_.max_uncommitted_entries) {
    return Refuse(Refusal::kOverloaded);
  }
  return {};
}

ProposeResult Raft::Propose(std::string data, Time now) {
  AdvanceClock(now);
  const ProposeResult check = CheckPropose();
  if (!check.accepted()) return check;
  if (data.size() > options_.max_entry_bytes) {
    return Refuse(ProposeResult::Refusal::kTooLarge);
  }
  AppendNewEntry(EntryKind::kData, std::move(data));
  return {.index = log_.LastIndex(), .term = term()};
}

ProposeResult Raft::ProposeConfiguration(RaftConfiguration next) {
  using Refusal = ProposeResult::Refusal;
  const ProposeResult check = CheckPropose();
  if (!check.accepted()) return check;
  // Until an entry of this term is committed, a configuration that an earlier
  // leader proposed could still be committed, and its quorums need not overlap
  // those of `next`.
  if (!configuration_committed() || !CommittedInOwnTerm()) {
    return Refuse(Refusal::kConfigurationPending);
  }
  if (next.voters.empty() || next == configuration()) {
    return Refuse(Refusal::kInvalid);
  }
  std::set<ReplicaId> changed;
  std::ranges::set_symmetric_difference(
      next.voters, configuration().voters,
      std::inserter(changed, changed.begin()));
  CheckInvariant(changed.size() <= 1, "one voter changes at a time");
  AppendNewEntry(EntryKind::kConfiguration, ToProto(next).SerializeAsString());
  return {.index = log_.LastIndex(), .term = term()};
}

ProposeResult Raft::AddLearner(const ReplicaId& learner, Time now) {
  AdvanceClock(now);
  RaftConfiguration next = configuration();
  if (learner.empty() || learner.storage == 0 || next.IsMember(learner)) {
    return Refuse(ProposeResult::Refusal::kInvalid);
  }
  next.learners.insert(learner);
  Admit(learner, &next);
  return ProposeConfiguration(std::move(next));
}

void Raft::Admit(const ReplicaId& member, RaftConfiguration* next) const {
  next->admissions.try_emplace(member, log_.LastIndex() + 1);
}

bool Raft::IsCaughtUp(const ReplicaId& member) const {
  const auto found = progress_.find(member);
  return found != progress_.end() && found->second.match > 0 &&
         found->second.match + options_.promotion_lag_entries >= last_index() &&
         now_ - found->second.last_reply < options_.election_timeout_min &&
         now_ - found->second.last_stored < kMaxStoredAge * options_.heartbeat;
}

ProposeResult Raft::Promote(const ReplicaId& learner, Time now) {
  AdvanceClock(now);
  RaftConfiguration next = configuration();
  if (!next.learners.contains(learner) || !IsCaughtUp(learner)) {
    return Refuse(ProposeResult::Refusal::kInvalid);
  }
  next.learners.erase(learner);
  next.voters.insert(learner);
  return ProposeConfiguration(std::move(next));
}

ProposeResult Raft::Remove(const ReplicaId& member, Time now) {
  AdvanceClock(now);
  RaftConfiguration next = configuration();
  if (!next.IsMember(member)) {
    return Refuse(ProposeResult::Refusal::kInvalid);
  }
  next.voters.erase(member);
  next.learners.erase(member);
  next.admissions.erase(member);
  if (next.replacement && (next.replacement->lost == member ||
                           next.replacement->replacement == member)) {
    next.replacement.reset();
  }
  return ProposeConfiguration(std::move(next));
}

ProposeResult Raft::Demote(const ReplicaId& voter, Time now) {
  AdvanceClock(now);
  RaftConfiguration next = configuration();
  if (!next.IsVoter(voter)) {
    return Refuse(ProposeResult::Refusal::kInvalid);
  }
  next.voters.erase(voter);
  next.learners.insert(voter);
  if (next.replacement && next.replacement->lost == voter) {
    next.replacement.reset();
  }
  return ProposeConfiguration(std::move(next));
}

ProposeResult Raft::ReplaceVoter(const ReplicaId& lost,
                                 const ReplicaId& replacement, Time now) {
  AdvanceClock(now);
  return BeginReplacement({.lost = lost, .replacement = replacement});
}

ProposeResult Raft::HandOverVote(const ReplicaId& from, const ReplicaId& to,
                                 Time now) {
  AdvanceClock(now);
  return BeginReplacement({.lost = from, .replacement = to, .keeps_log = true});
}

ProposeResult Raft::BeginReplacement(const Replacement& plan) {
  RaftConfiguration next = configuration();
  if (!next.IsVoter(plan.lost) || next.IsVoter(plan.replacement) ||
      next.replacement || plan.replacement.empty() ||
      plan.replacement.storage == 0) {
    return Refuse(ProposeResult::Refusal::kInvalid);
  }
  if (next.learners.insert(plan.replacement).second) {
    Admit(plan.replacement, &next);
  }
  next.replacement = plan;
  return ProposeConfiguration(std::move(next));
}

void Raft::ReplaceWipedVoter() {
  if (!options_.replace_same_instance) return;
  for (const auto& [id, progress] : progress_) {
    const bool unresponsive =
        now_ - progress.last_reply >= options_.election_timeout_max;
    if (!unresponsive || !configuration().IsVoter(id)) continue;
    for (const auto& [unconfigured, last_hello] : unconfigured_replicas_) {
      if (unconfigured.instance != id.instance) continue;
      if (now_ - last_hello >= 3 * options_.election_timeout_min) continue;
      // Copies, as ReplaceVoter() modifies the containers being iterated.
      const ReplicaId lost = id;
      const ReplicaId replacement = unconfigured;
      ReplaceVoter(lost, replacement, now_);
      return;
    }
  }
}

void Raft::AdvanceReplacement() {
  if (role_ != RaftRole::kLeader || !configuration_committed() ||
      !CommittedInOwnTerm()) {
    return;
  }
  if (!configuration().replacement) {
    ReplaceWipedVoter();
    return;
  }
  const Replacement plan = *configuration().replacement;
  // A learner gets its vote only once it has stored the plan: one that has just
  // ended would raise the quorum by a vote that never comes. The lost voter is
  // removed only once its replacement has stored the entry of its own
  // promotion. If another voter is lost right after, the replacement then has a
  // complete copy of the log.
  if (MatchIndex(plan.replacement) < configurations_.rbegin()->first) return;
  if (configuration().learners.contains(plan.replacement)) {
    Promote(plan.replacement, now_);
    return;
  }
  FinishReplacement(plan);
}

void Raft::FinishReplacement(const Replacement& plan) {
  // Without its vote a leader would step down, and the group would have none
  // until an election timeout has passed.
  if (plan.lost == replica_) {
    if (transfer_target_ || TransferLeadership(std::nullopt, now_)) return;
  }
  if (plan.keeps_log) {
    Demote(plan.lost, now_);
  } else {
    Remove(plan.lost, now_);
  }
}

void Raft::SyncProgressWithConfiguration() {
  if (role_ != RaftRole::kLeader) return;
  const RaftConfiguration& current = configuration();
  std::erase_if(progress_, [&](const auto& item) {
    return !current.IsMember(item.first);
  });
  const auto add = [&](const ReplicaId& id) {
    if (id == replica_ || progress_.contains(id)) return;
    progress_[id] = {
        .next = log_.LastIndex() + 1, .last_reply = now_, .last_stored = now_};
  };
  for (const ReplicaId& id : current.voters) add(id);
  for (const ReplicaId& id : current.learners) add(id);
}

}  // namespace cassiausher
