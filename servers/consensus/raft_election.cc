// Raft: terms, elections with pre-vote, leadership transfer.
#include <algorithm>
#include <iterator>
#include <utility>

#include "core/check_invariant.h"
#include "servers/consensus/raft.h"

namespace cassiausher {
namespace {

/// Failed candidacies in a row after which the election timeout doubles with
/// each further one, and how often it does.
constexpr int kElectionsBeforeBackoff = 1;
constexpr int kMaxElectionDoublings = 2;

}  // namespace

void Raft::SetTerm(Term term) {
  CheckInvariant(term > hard_state_.term, "terms only increase");
  hard_state_.term = term;
  hard_state_.vote = {};
}

void Raft::ResetElectionTimer() {
  const auto spread =
      options_.election_timeout_max - options_.election_timeout_min;
  const auto extra = random_.Below(
      static_cast<std::uint64_t>(std::max<std::int64_t>(1, spread.count())));
  const Duration timeout = options_.election_timeout_min +
                           Duration(static_cast<std::int64_t>(extra));
  // A vote counts once the voter's disk has it. Whose disk is slow is likely to
  // have peers whose disks are; backoff covers the others.
  const int doublings = std::clamp(failed_elections_ - kElectionsBeforeBackoff,
                                   0, kMaxElectionDoublings);
  election_deadline_ = now_ + timeout * (1 << doublings) +
                       std::min(disk_delay_, options_.election_timeout_max);
}

void Raft::BecomeFollower(Term term, const ReplicaId& leader) {
  if (term > hard_state_.term) SetTerm(term);
  const bool changed = role_ != RaftRole::kFollower || leader_ != leader;
  if (role_ == RaftRole::kLeader) FailReads();
  role_ = RaftRole::kFollower;
  leader_ = leader;
  progress_.clear();
  votes_.clear();
  transfer_target_.reset();
  if (changed) {
    output_.role_changed = true;
    ResetElectionTimer();
  }
}

bool Raft::IsUpToDate(LogIndex last_index, Term last_term) const {
  if (last_term != log_.LastTerm()) return last_term > log_.LastTerm();
  return last_index >= log_.LastIndex();
}

// The entry that takes its vote may have reached this replica only. Its log is
// then newer than those of the voters, so that none of them can be elected.
bool Raft::MayStand() const {
  if (IsVoter()) return true;
  if (configuration_committed() || configurations_.size() < 2) return false;
  return std::prev(configurations_.end(), 2)->second.IsVoter(replica_);
}

bool Raft::InLeaderLease() const {
  if (role_ == RaftRole::kLeader) return HasActiveQuorum();
  if (leader_.empty() || !last_leader_contact_) return false;
  return now_ - *last_leader_contact_ < options_.election_timeout_min;
}

bool Raft::HasActiveQuorum() const {
  std::size_t active = IsVoter() ? 1 : 0;
  for (const auto& [id, progress] : progress_) {
    if (!configuration().IsVoter(id)) continue;
    if (now_ - progress.last_reply < options_.election_timeout_min) ++active;
  }
  return active >= configuration().Quorum();
}

std::optional<Time> Raft::QuorumConfirmedAt() const {
  if (role_ != RaftRole::kLeader || !CommittedInOwnTerm()) return std::nullopt;
  if (delivered_index_ < hard_state_.commit) return std::nullopt;
  std::vector<Time> contacts;
  for (const ReplicaId& voter : configuration().voters) {
    const auto found = progress_.find(voter);
    const bool self = found == progress_.end();
    contacts.push_back(self ? now_ : found->second.last_reply);
  }
  std::ranges::sort(contacts, std::greater<>());
  return contacts[configuration().Quorum() - 1];
}

bool Raft::CommittedInOwnTerm() const {
  return log_.TermAt(hard_state_.commit) == term();
}

void Raft::StartPreVote() {
  role_ = RaftRole::kPreCandidate;
  leader_ = {};
  output_.role_changed = true;
  ResetElectionTimer();
  votes_ = {{replica_, true}};
  for (const ReplicaId& voter : configuration().voters) {
    if (voter == replica_) continue;
    proto::RaftMessage message = NewMessage(voter);
    auto* request = message.mutable_pre_vote();
    request->set_proposed_term(term() + 1);
    request->set_last_index(log_.LastIndex());
    request->set_last_term(log_.LastTerm());
    output_.messages.push_back(std::move(message));
  }
  CountVotes();
}

void Raft::StartElection(bool transfer) {
  SetTerm(term() + 1);
  hard_state_.vote = replica_;
  role_ = RaftRole::kCandidate;
  leader_ = {};
  output_.role_changed = true;
  ResetElectionTimer();
  // The vote for itself counts once it is durable; see OnPersisted().
  votes_.clear();
  for (const ReplicaId& voter : configuration().voters) {
    if (voter == replica_) continue;
    proto::RaftMessage message = NewMessage(voter);
    auto* request = message.mutable_vote();
    request->set_last_index(log_.LastIndex());
    request->set_last_term(log_.LastTerm());
    request->set_transfer(transfer);
    output_.messages_after_sync.push_back(std::move(message));
  }
}

void Raft::HandlePreVote(const ReplicaId& from,
                         const proto::RaftPreVote& request) {
  const bool leader_alive = InLeaderLease();
  if (leader_alive) ++counters_.leader_alive;
  proto::RaftMessage response = NewMessage(from);
  auto* reply = response.mutable_pre_vote_reply();
  reply->set_proposed_term(request.proposed_term());
  reply->set_granted(!leader_alive &&
                     IsUpToDate(request.last_index(), request.last_term()));
  output_.messages_after_sync.push_back(std::move(response));
}

void Raft::HandlePreVoteReply(const ReplicaId& from,
                              const proto::RaftPreVoteReply& reply) {
  if (role_ != RaftRole::kPreCandidate || reply.proposed_term() != term() + 1) {
    ++counters_.stale;
    return;
  }
  votes_[from] = reply.granted();
  CountVotes();
}

void Raft::HandleVote(const ReplicaId& from, const proto::RaftVote& request) {
  const bool may_vote = hard_state_.vote.empty() || hard_state_.vote == from;
  const bool granted = may_vote && leader_.empty() &&
                       role_ != RaftRole::kLeader &&
                       IsUpToDate(request.last_index(), request.last_term());
  if (granted) {
    hard_state_.vote = from;
    ResetElectionTimer();
  }
  proto::RaftMessage response = NewMessage(from);
  response.mutable_vote_reply()->set_granted(granted);
  output_.messages_after_sync.push_back(std::move(response));
}

void Raft::HandleVoteReply(const ReplicaId& from,
                           const proto::RaftVoteReply& reply) {
  if (role_ != RaftRole::kCandidate) {
    ++counters_.stale;
    return;
  }
  votes_[from] = reply.granted();
  CountVotes();
}

void Raft::CountVotes() {
  const auto granted = std::ranges::count_if(votes_, [&](const auto& vote) {
    return vote.second && configuration().IsVoter(vote.first);
  });
  if (static_cast<std::size_t>(granted) < configuration().Quorum()) return;
  if (role_ == RaftRole::kPreCandidate) {
    StartElection(false);
  } else if (role_ == RaftRole::kCandidate) {
    BecomeLeader();
  }
}

void Raft::BecomeLeader() {
  CheckInvariant(role_ == RaftRole::kCandidate,
                 "only a candidate can become leader");
  CheckInvariant(hard_state_.vote == replica_,
                 "a new leader has voted for itself");
  role_ = RaftRole::kLeader;
  leader_ = replica_;
  failed_elections_ = 0;
  output_.role_changed = true;
  votes_.clear();
  progress_.clear();
  SyncProgressWithConfiguration();
  heartbeat_due_ = true;
  // Entries of earlier terms are committed only indirectly, by committing an
  // entry of the current term.
  AppendNewEntry(EntryKind::kNoOperation, {});
}

void Raft::HandleTimeoutNow(const ReplicaId& from) {
  if (role_ != RaftRole::kFollower || from != leader_ || !IsVoter() ||
      storage_failed_) {
    ++counters_.stale;
    return;
  }
  StartElection(true);
}

bool Raft::TransferLeadership(const std::optional<ReplicaId>& to, Time now) {
  AdvanceClock(now);
  if (role_ != RaftRole::kLeader) return false;
  // Those who leave come last.
  const auto rank = [&](const ReplicaId& id) {
    return std::pair(!leaving_.contains(id), MatchIndex(id));
  };
  const ReplicaId* best = nullptr;
  for (const auto& [id, progress] : progress_) {
    if (!configuration().IsVoter(id)) continue;
    if (now_ - progress.last_reply >= options_.election_timeout_min) continue;
    if (to && id != *to) continue;
    if (best == nullptr || rank(id) > rank(*best)) best = &id;
  }
  if (best == nullptr) return false;
  transfer_target_ = *best;
  transfer_deadline_ = now_ + options_.election_timeout_min;
  timeout_now_sent_ = false;
  AdvanceTransfer();
  return true;
}

void Raft::AdvanceTransfer() {
  if (!transfer_target_ || timeout_now_sent_) return;
  const auto found = progress_.find(*transfer_target_);
  if (found == progress_.end()) {
    transfer_target_.reset();
    return;
  }
  if (found->second.match < log_.LastIndex()) return;
  proto::RaftMessage message = NewMessage(*transfer_target_);
  message.mutable_timeout_now();
  output_.messages.push_back(std::move(message));
  timeout_now_sent_ = true;
}

}  // namespace cassiausher
