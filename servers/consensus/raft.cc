// Raft: construction, validation of incoming messages, the log and output.
#include "servers/consensus/raft.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

#include "core/check_invariant.h"

namespace cassiausher {

namespace {

/// Messages with a higher term are rejected, so that terms cannot overflow.
constexpr Term kMaxTerm = std::numeric_limits<Term>::max() / 2;

/// Maximum batches awaiting OnPersisted(); above it, only data that must be
/// persisted opens another batch.
constexpr std::size_t kMaxPendingBatches = 64;

}  // namespace

bool RaftOutput::empty() const {
  return batch == 0 && messages.empty() && messages_after_sync.empty() &&
         !snapshot_to_install && committed.empty() && reads.empty() &&
         !role_changed;
}

boost::leaf::result<void> Persist(const RaftOutput& output,
                                  LogStorage& storage) {
  if (output.hard_state) {
    BOOST_LEAF_CHECK(storage.SaveHardState(*output.hard_state));
  }
  if (output.save_snapshot && output.snapshot_replaces_log) {
    BOOST_LEAF_CHECK(storage.SaveSnapshot(*output.save_snapshot));
    BOOST_LEAF_CHECK(
        storage.Reset(output.save_snapshot->index, output.save_snapshot->term));
  }
  if (output.truncate_from != 0) {
    BOOST_LEAF_CHECK(storage.TruncateSuffix(output.truncate_from));
  }
  if (!output.entries.empty()) {
    BOOST_LEAF_CHECK(storage.Append(output.entries));
  }
  if (output.save_snapshot && !output.snapshot_replaces_log) {
    BOOST_LEAF_CHECK(storage.SaveSnapshot(*output.save_snapshot));
  }
  if (output.save_snapshot) {
    BOOST_LEAF_CHECK(storage.CompactPrefix(output.save_snapshot->index));
  }
  return {};
}

Raft::Raft(RaftOptions options, const StoredState& stored, Time now)
    : options_(std::move(options)),
      random_(options_.seed),
      now_(now),
      hard_state_(stored.hard_state),
      next_heartbeat_(now),
      next_hello_(now) {
  if (hard_state_.storage == 0) hard_state_.storage = options_.new_storage_id;
  CheckInvariant(hard_state_.storage != 0, "the storage has a nonzero ID");
  replica_ = {options_.self, hard_state_.storage};
  hello_targets_ = options_.initial_voters;
  bootstrap_forbidden_ = !options_.may_bootstrap;
  if (stored.snapshot) {
    snapshot_ = std::make_shared<const Snapshot>(*stored.snapshot);
    log_.Reset(snapshot_->index, snapshot_->term);
    configurations_[snapshot_->index] = snapshot_->configuration;
    delivered_index_ = snapshot_->index;
    output_.snapshot_to_install = *stored.snapshot;
  }
  for (const LogEntry& entry : stored.entries) AppendEntry(entry);
  // A crash can persist the term of the bootstrap without its entry. Nothing
  // was sent in that term yet, and the bootstrap has to be repeated.
  const HardState& loaded = stored.hard_state;
  const bool bootstrap_lost = IsFounder() && configurations_.empty() &&
                              loaded.term == 1 && loaded.vote.empty();
  if (bootstrap_lost) hard_state_.term = 0;
  // A crash can persist the entries of a batch without its hard state.
  hard_state_.term = std::max(hard_state_.term, log_.LastTerm());
  durable_term_ = hard_state_.term;
  if (hard_state_.term != stored.hard_state.term) hard_state_.vote = {};
  hard_state_.commit =
      std::clamp(hard_state_.commit, delivered_index_, log_.LastIndex());
  durable_index_ = log_.LastIndex();
  batched_index_ = log_.LastIndex();
  batched_state_ = stored.hard_state;
  batched_commit_ = hard_state_.commit;
  ResetElectionTimer();
}

void Raft::AdvanceClock(Time now) { now_ = std::max(now_, now); }

const RaftConfiguration& Raft::configuration() const {
  static const RaftConfiguration none;
  return configurations_.empty() ? none : configurations_.rbegin()->second;
}

bool Raft::configuration_committed() const {
  return !configurations_.empty() &&
         configurations_.rbegin()->first <= hard_state_.commit;
}

LogIndex Raft::MatchIndex(const ReplicaId& member) const {
  if (member == replica_) return durable_index_;
  const auto found = progress_.find(member);
  return found == progress_.end() ? 0 : found->second.match;
}

std::map<ReplicaId, Duration> Raft::TimeSinceLastReply() const {
  std::map<ReplicaId, Duration> elapsed;
  for (const auto& [id, progress] : progress_) {
    elapsed[id] = now_ - progress.last_reply;
    const Duration stored = now_ - progress.last_stored;
    const bool hangs = stored >= options_.disk_timeout;
    // Whose own disk hangs as well can't tell, and could change nothing.
    if (hangs && WaitForDisk() < options_.disk_timeout) elapsed[id] = stored;
  }
  return elapsed;
}

void Raft::Tick(Time now) {
  AdvanceClock(now);
  // A replica that was added by a configuration that was never committed, or
  // that was removed, joins as one without a configuration does.
  if (!configuration().IsMember(replica_) && now_ >= next_hello_) SendHellos();
  if (configurations_.empty()) return;
  if (role_ == RaftRole::kLeader) {
    if (!HasActiveQuorum()) {
      BecomeFollower(term(), ReplicaId{});
      return;
    }
    if (transfer_target_ && now_ >= transfer_deadline_) {
      transfer_target_.reset();
    }
    if (now_ >= next_heartbeat_) heartbeat_due_ = true;
    AdvanceReplacement();
    // Nothing is delivered here until the disk is back.
    if (!transfer_target_ && WaitForDisk() >= options_.disk_timeout) {
      TransferLeadership(std::nullopt, now_);
    }
    return;
  }
  if (now_ < election_deadline_) return;
  // If this replica announced its term before the first configuration is
  // durable, a crash in between would prevent it from bootstrapping again.
  if (durable_index_ == 0) return;
  // A vote for itself that isn't durable wins nothing, and another term would
  // only be one more write.
  if (!MayStand() || storage_failed_ || IsDiskSlow()) {
    ResetElectionTimer();
    return;
  }
  if (role_ == RaftRole::kCandidate) ++failed_elections_;
  StartPreVote();
}

// --- Incoming messages -----------------------------------------------------

void Raft::Step(const proto::RaftMessage& message, Time now) {
  AdvanceClock(now);
  if (!IsWellFormed(message)) {
    ++counters_.malformed;
    return;
  }
  const ReplicaId from = FromProto(message.from());
  if (StepHello(message, from)) return;
  if (FromProto(message.to()) != replica_) {
    ++counters_.wrong_destination;
    return;
  }
  if (!CheckSender(message, from)) {
    ++counters_.non_member;
    return;
  }
  if (!CheckTerm(message, from)) return;
  Dispatch(message, from);
}

bool Raft::IsWellFormed(const proto::RaftMessage& message) {
  if (message.from().instance().empty()) return false;
  if (message.from().storage() == 0) return false;
  if (FromProto(message.from()) == replica_) return false;
  if (message.term() > kMaxTerm) return false;
  using Body = proto::RaftMessage::BodyCase;
  switch (message.body_case()) {
    case Body::BODY_NOT_SET:
      return false;
    case Body::kHello:
    case Body::kHelloReply:
      return true;
    case Body::kPreVote:
      return message.term() < kMaxTerm &&
             message.pre_vote().proposed_term() == message.term() + 1;
    default:
      return message.term() > 0;
  }
}

bool Raft::CheckSender(const proto::RaftMessage& message,
                       const ReplicaId& from) {
  const RaftConfiguration& current = configuration();
  if (message.group() != 0 && current.group != 0 &&
      message.group() != current.group) {
    return false;
  }
  using Body = proto::RaftMessage::BodyCase;
  switch (message.body_case()) {
    case Body::kAppend:
    case Body::kSnapshotChunk:
    case Body::kTimeoutNow:
      // The leader may be a member that our configuration doesn't contain yet.
      return message.group() != 0;
    case Body::kPreVote:
    case Body::kVote: {
      if (message.group() == 0) return false;
      if (current.group == 0 || current.IsVoter(from)) return true;
      // A voter added after our configuration also has a more recent log.
      const bool is_pre_vote = message.has_pre_vote();
      return IsUpToDate(is_pre_vote ? message.pre_vote().last_index()
                                    : message.vote().last_index(),
                        is_pre_vote ? message.pre_vote().last_term()
                                    : message.vote().last_term());
    }
    case Body::kPreVoteReply:
    case Body::kVoteReply:
      return current.IsVoter(from);
    default:
      return current.IsMember(from);
  }
}

bool Raft::CheckTerm(const proto::RaftMessage& message, const ReplicaId& from) {
  if (message.term() < term()) {
    ++counters_.stale;
    ReplyToStale(message, from);
    return false;
  }
  if (message.term() == term()) return true;
  const bool asks_for_vote = message.has_pre_vote() ||
                             (message.has_vote() && !message.vote().transfer());
  // A replica that returns from a partition must not depose a leader that
  // others still hear from.
  if (asks_for_vote && InLeaderLease()) {
    ++counters_.leader_alive;
    return false;
  }
  BecomeFollower(message.term(), ReplicaId{});
  return true;
}

void Raft::ReplyToStale(const proto::RaftMessage& message,
                        const ReplicaId& from) {
  // The reply carries the newer term, which makes the sender step down.
  proto::RaftMessage response = NewMessage(from);
  if (message.has_append() || message.has_snapshot_chunk()) {
    response.mutable_append_reply()->set_success(false);
  } else if (message.has_pre_vote()) {
    response.mutable_pre_vote_reply()->set_proposed_term(
        message.pre_vote().proposed_term());
  } else if (message.has_vote()) {
    response.mutable_vote_reply()->set_granted(false);
  } else {
    return;
  }
  output_.messages_after_sync.push_back(std::move(response));
}

void Raft::Dispatch(const proto::RaftMessage& message, const ReplicaId& from) {
  using Body = proto::RaftMessage::BodyCase;
  switch (message.body_case()) {
    case Body::kPreVote:
      return HandlePreVote(from, message.pre_vote());
    case Body::kPreVoteReply:
      return HandlePreVoteReply(from, message.pre_vote_reply());
    case Body::kVote:
      return HandleVote(from, message.vote());
    case Body::kVoteReply:
      return HandleVoteReply(from, message.vote_reply());
    case Body::kAppend:
      return HandleAppend(from, message.append());
    case Body::kAppendReply:
      return HandleAppendReply(from, message.append_reply());
    case Body::kSnapshotChunk:
      return HandleSnapshotChunk(from, message.snapshot_chunk());
    case Body::kSnapshotReply:
      return HandleSnapshotReply(from, message.snapshot_reply());
    case Body::kTimeoutNow:
      return HandleTimeoutNow(from);
    default:
      return;
  }
}

proto::RaftMessage Raft::NewMessage(const ReplicaId& to) const {
  proto::RaftMessage message;
  *message.mutable_from() = ToProto(replica_);
  *message.mutable_to() = ToProto(to);
  message.set_term(term());
  message.set_group(configuration().group);
  return message;
}

// --- Log -------------------------------------------------------------------

void Raft::AppendNewEntry(EntryKind kind, std::string data) {
  AppendEntry({log_.LastIndex() + 1, term(), kind, std::move(data)});
}

void Raft::AppendEntry(LogEntry entry) {
  if (entry.kind == EntryKind::kConfiguration) {
    auto parsed = ParseConfiguration(entry.data);
    CheckInvariant(parsed.has_value(), "configuration entries are well formed");
    std::erase_if(unconfigured_replicas_, [&](const auto& known) {
      return parsed->IsMember(known.first);
    });
    configurations_[entry.index] = std::move(*parsed);
  }
  const bool changes_members = entry.kind == EntryKind::kConfiguration;
  log_.Append(std::move(entry));
  if (changes_members) SyncProgressWithConfiguration();
}

void Raft::TruncateFrom(LogIndex first_removed) {
  CheckInvariant(first_removed > hard_state_.commit,
                 "committed entries are never truncated");
  CheckInvariant(role_ != RaftRole::kLeader, "a leader never removes entries");
  log_.TruncateFrom(first_removed);
  configurations_.erase(configurations_.lower_bound(first_removed),
                        configurations_.end());
  durable_index_ = std::min(durable_index_, first_removed - 1);
  if (first_removed > batched_index_) return;
  batched_index_ = first_removed - 1;
  first_valid_batch_ = next_batch_;
  output_.truncate_from = output_.truncate_from == 0
                              ? first_removed
                              : std::min(output_.truncate_from, first_removed);
}

bool Raft::Compact(LogIndex index, std::string state) {
  const LogIndex previous = snapshot_ ? snapshot_->index : 0;
  if (index <= previous || index > std::min(delivered_index_, durable_index_))
    return false;
  const auto after = configurations_.upper_bound(index);
  if (after == configurations_.begin()) return false;
  const auto at = std::prev(after);
  snapshot_ = std::make_shared<const Snapshot>(
      Snapshot{index, *log_.TermAt(index), at->second, std::move(state)});
  configurations_.erase(configurations_.begin(), at);
  output_.save_snapshot = *snapshot_;
  LogIndex base = log_.IndexBefore(index, options_.bytes_kept_after_compaction);
  if (index > options_.entries_kept_after_compaction) {
    base = std::max(base, index - options_.entries_kept_after_compaction);
  }
  log_.CompactTo(base);
  return true;
}

// --- Output ----------------------------------------------------------------

RaftOutput Raft::TakeOutput() {
  if (role_ == RaftRole::kLeader) {
    if (heartbeat_due_) {
      ++round_;
      next_heartbeat_ = now_ + options_.heartbeat;
      Broadcast(SendReason::kHeartbeat);
    } else {
      Broadcast(commit_due_ ? SendReason::kCommit : SendReason::kEntries);
    }
    ConfirmReads();
  }
  heartbeat_due_ = false;
  commit_due_ = false;
  RaftOutput output = std::move(output_);
  output_ = {};
  AnswerBeforeSync(output);
  FillBatch(output);
  DeliverCommitted(output);
  return output;
}

void Raft::FillBatch(RaftOutput& output) {
  if (batched_index_ < log_.LastIndex()) {
    output.entries =
        log_.Slice(batched_index_ + 1, std::numeric_limits<std::size_t>::max());
  }
  const HardState storable = StorableState();
  if (storable != batched_state_) output.hard_state = storable;
  const HardState& old = batched_state_;
  const bool state_must_sync = hard_state_.term != old.term ||
                               hard_state_.vote != old.vote ||
                               hard_state_.storage != old.storage;
  output.must_sync = state_must_sync || !output.entries.empty() ||
                     output.truncate_from != 0 || output.save_snapshot;
  // Messages that depend on an earlier batch must wait for it as well.
  const bool must_wait =
      !output.messages_after_sync.empty() && !batches_.empty();
  if (!output.must_sync && !output.hard_state) {
    if (!must_wait) return;
    // While the disk does not complete writes, replies would accumulate with
    // every heartbeat. Dropping them is safe, like any lost message.
    if (storage_failed_ || batches_.size() >= kMaxPendingBatches) {
      output.messages_after_sync.clear();
      return;
    }
  }
  output.batch = next_batch_++;
  batches_.push_back({output.batch, log_.LastIndex(), hard_state_.term,
                      hard_state_.vote, output.must_sync, now_});
  batched_index_ = log_.LastIndex();
  batched_state_ = storable;
  batched_commit_ = storable.commit;
}

// While replies wait for the disk, the leader must not take this replica for
// lost. The answer says that the replica follows in a term that it won't
// forget, and nothing of its log.
void Raft::AnswerBeforeSync(RaftOutput& output) const {
  if (storage_failed_ || durable_term_ != term() || !IsDiskSlow()) return;
  for (const proto::RaftMessage& reply : output.messages_after_sync) {
    const bool is_snapshot = reply.has_snapshot_reply();
    if (!is_snapshot && !reply.has_append_reply()) continue;
    proto::RaftMessage message = reply;
    auto* answer = message.mutable_append_reply();
    answer->Clear();
    answer->set_success(true);
    answer->set_round(is_snapshot ? reply.snapshot_reply().round()
                                  : reply.append_reply().round());
    output.messages.push_back(std::move(message));
  }
}

Duration Raft::WaitForDisk() const {
  return batches_.empty() ? Duration(0) : now_ - batches_.front().begun;
}

// A crash can persist a batch's hard state without its truncation, entries or
// snapshot. Its commit index must then not cover entries that they replace.
HardState Raft::StorableState() const {
  HardState state = hard_state_;
  state.commit =
      std::max(batched_commit_, std::min(hard_state_.commit, durable_index_));
  return state;
}

void Raft::DeliverCommitted(RaftOutput& output) {
  const LogIndex limit = std::min(hard_state_.commit, durable_index_);
  for (; delivered_index_ < limit; ++delivered_index_) {
    output.committed.push_back(log_.At(delivered_index_ + 1));
  }
}

void Raft::OnPersisted(std::uint64_t batch, Time now) {
  AdvanceClock(now);
  storage_failed_ = false;
  bool voted = false;
  while (!batches_.empty() && batches_.front().id <= batch) {
    const Batch& done = batches_.front();
    if (done.id >= first_valid_batch_) {
      CheckInvariant(done.last_index <= log_.LastIndex(),
                     "durable entries are in the log");
      durable_index_ = std::max(durable_index_, done.last_index);
    }
    if (done.term == term() && done.vote == replica_) voted = true;
    durable_term_ = std::max(durable_term_, done.term);
    OnBatchDone(done);
    batches_.pop_front();
  }
  if (voted && role_ == RaftRole::kCandidate && !votes_.contains(replica_)) {
    votes_[replica_] = true;
    CountVotes();
  }
  if (role_ != RaftRole::kLeader) return;
  MaybeCommit();
  AdvanceTransfer();
}

void Raft::OnBatchDone(const Batch& batch) {
  if (!batch.must_sync) return;
  disk_delay_ = now_ - batch.begun;
  // The time that the disk took doesn't count against a candidate or a leader.
  const bool slow = disk_delay_ >= options_.heartbeat / 2;
  if (slow && role_ != RaftRole::kLeader) ResetElectionTimer();
}

void Raft::OnPersistFailed(Time now) {
  AdvanceClock(now);
  storage_failed_ = true;
  if (role_ != RaftRole::kFollower) BecomeFollower(term(), ReplicaId{});
}

}  // namespace cassiausher
