#include "servers/control/vote_handover.h"

#include <utility>

namespace cassiausher {
namespace {

// Two elections, of which one fails, take less. A group without a leader can't
// change its members.
constexpr Duration kAnswerTimeout = Milliseconds(3400);

}  // namespace

std::optional<ReplicaId> ChooseNextLeader(const Raft& raft,
                                          const std::set<ReplicaId>& stopping,
                                          Duration within) {
  const auto& plan = raft.configuration().replacement;
  // One whose vote is being taken would give the leadership away again.
  const auto rank = [&](const ReplicaId& replica) {
    const bool loses_vote = plan && plan->lost == replica;
    return std::pair(!loses_vote, raft.MatchIndex(replica));
  };
  std::optional<ReplicaId> best;
  for (const auto& [replica, silence] : raft.TimeSinceLastReply()) {
    if (!raft.configuration().IsVoter(replica)) continue;
    if (silence >= within || stopping.contains(replica)) continue;
    if (best && rank(replica) <= rank(*best)) continue;
    best = replica;
  }
  return best;
}

GroupRole RoleOf(const Raft& raft, const std::set<ReplicaId>& stopping,
                 Duration within) {
  const bool leads = raft.role() == RaftRole::kLeader;
  // A configuration that isn't committed may still be taken back. A replacement
  // gets its vote without being asked.
  const auto& plan = raft.configuration().replacement;
  const bool may_vote = raft.configuration().IsVoter(raft.replica()) ||
                        !raft.configuration_committed() ||
                        (plan && plan->replacement == raft.replica());
  return {.votes = raft.configuration().group != 0 && may_vote,
          .leads = leads,
          .has_successor =
              leads && ChooseNextLeader(raft, stopping, within).has_value()};
}

void VoteHandover::Begin(Time now) {
  if (!begun()) answered_at_ = now;
}

void VoteHandover::OnAnswer(bool keeps_vote, Time now) {
  if (!begun()) return;
  keeps_vote_ = keeps_vote;
  if (!keeps_vote) relief_at_ = now;
  answered_at_ = now;
}

bool VoteHandover::Finished(const GroupRole& role, Time now) const {
  if (!begun()) return false;
  if (role.leads) return !role.has_successor;
  if (!role.votes) return true;
  if (!keeps_vote_) {
    return !role.hears_majority && now - *answered_at_ >= kAnswerTimeout;
  }
  // A replica that is away for a moment may still take it over.
  return !relief_at_.has_value() || now - *relief_at_ >= kAnswerTimeout;
}

}  // namespace cassiausher
