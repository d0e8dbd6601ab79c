// Raft: replication of entries and snapshots, commit index, linearizable reads.
#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <utility>

#include "core/check_invariant.h"
#include "core/compression.h"
#include "servers/consensus/raft.h"

namespace cassiausher {
namespace {

std::size_t DataBytes(const std::vector<LogEntry>& entries) {
  std::size_t bytes = 0;
  for (const LogEntry& entry : entries) bytes += entry.data.size();
  return bytes;
}

}  // namespace

// --- Leader ----------------------------------------------------------------

void Raft::Broadcast(SendReason reason) {
  for (auto& [id, progress] : progress_) SendAppends(id, progress, reason);
}

void Raft::SendAppends(const ReplicaId& to, Progress& progress,
                       SendReason reason) {
  const bool heartbeat = reason == SendReason::kHeartbeat;
  if (progress.state != Replication::kSnapshot &&
      progress.next <= log_.base_index()) {
    BeginSnapshot(progress);
  }
  if (progress.state == Replication::kSnapshot) {
    if (heartbeat || !progress.awaiting_reply) SendSnapshotChunk(to, progress);
    return;
  }
  if (progress.state == Replication::kProbe) {
    if (progress.awaiting_reply && !heartbeat) return;
    // A repeated probe carries no entries, as the member may be down for long.
    const bool repeated = progress.awaiting_reply;
    progress.awaiting_reply = true;
    SendAppend(to, progress.next,
               repeated ? std::vector<LogEntry>{}
                        : log_.Slice(progress.next, options_.max_append_bytes));
    return;
  }
  bool sent = false;
  while (progress.next <= log_.LastIndex() && HasRoomInFlight(progress)) {
    const auto entries = log_.Slice(progress.next, options_.max_append_bytes);
    SendAppend(to, progress.next, entries);
    progress.next = entries.back().index + 1;
    progress.inflight.Add(entries.back().index, DataBytes(entries));
    sent = true;
  }
  if (!sent && reason != SendReason::kEntries) {
    SendAppend(to, progress.next, {});
  }
}

bool Raft::HasRoomInFlight(const Progress& progress) const {
  return progress.inflight.count() < options_.max_inflight &&
         progress.inflight.bytes() < options_.max_inflight_bytes;
}

void Raft::SendAppend(const ReplicaId& to, LogIndex next,
                      const std::vector<LogEntry>& entries) {
  proto::RaftMessage message = NewMessage(to);
  auto* append = message.mutable_append();
  append->set_previous_index(next - 1);
  append->set_previous_term(log_.TermAt(next - 1).value());
  append->set_commit(hard_state_.commit);
  append->set_round(round_);
  for (const LogEntry& entry : entries) {
    *append->add_entries() = ToProto(entry);
  }
  output_.messages.push_back(std::move(message));
}

void Raft::BeginSnapshot(Progress& progress) {
  CheckInvariant(snapshot_ && snapshot_->index >= log_.base_index(),
                 "a snapshot covers the compacted entries");
  progress.state = Replication::kSnapshot;
  progress.awaiting_reply = false;
  progress.inflight.Clear();
  progress.snapshot = snapshot_;
  progress.is_compressed =
      progress.takes_compressed && !snapshot_->data.empty();
  progress.snapshot_data = std::make_shared<const std::string>(
      progress.is_compressed ? Compress(snapshot_->data) : snapshot_->data);
  progress.snapshot_offset = 0;
}

void Raft::SendSnapshotChunk(const ReplicaId& to, Progress& progress) {
  const Snapshot& snapshot = *progress.snapshot;
  const std::string& data = *progress.snapshot_data;
  progress.awaiting_reply = true;
  proto::RaftMessage message = NewMessage(to);
  auto* chunk = message.mutable_snapshot_chunk();
  chunk->set_index(snapshot.index);
  chunk->set_term(snapshot.term);
  *chunk->mutable_configuration() = ToProto(snapshot.configuration);
  chunk->set_total_size(data.size());
  chunk->set_offset(progress.snapshot_offset);
  chunk->set_data(
      data.substr(progress.snapshot_offset, options_.snapshot_chunk_bytes));
  chunk->set_checksum(XXH3_64bits(data.data(), data.size()));
  if (progress.is_compressed) {
    chunk->set_decompressed_size(snapshot.data.size());
  }
  chunk->set_round(round_);
  output_.messages.push_back(std::move(message));
}

void Raft::HandleAppendReply(const ReplicaId& from,
                             const proto::RaftAppendReply& reply) {
  const auto found = progress_.find(from);
  if (role_ != RaftRole::kLeader || found == progress_.end()) {
    ++counters_.stale;
    return;
  }
  if (reply.round() > round_ || reply.match_index() > log_.LastIndex()) {
    ++counters_.malformed;
    return;
  }
  Progress& progress = found->second;
  progress.last_reply = now_;
  progress.round = std::max(progress.round, reply.round());
  // Without an index the member answers before its disk does.
  if (reply.match_index() > 0 || !reply.success()) progress.last_stored = now_;
  if (reply.success()) {
    OnMatch(from, progress, reply.match_index());
  } else {
    HandleRefusedAppend(progress, reply);
  }
}

void Raft::HandleRefusedAppend(Progress& progress,
                               const proto::RaftAppendReply& reply) {
  const bool current = progress.state == Replication::kProbe
                           ? reply.refused_index() == progress.next - 1
                           : progress.state == Replication::kPipeline &&
                                 reply.refused_index() < progress.next;
  if (!current || reply.refused_index() <= progress.match) {
    ++counters_.stale;
    return;
  }
  progress.takes_compressed = reply.takes_compressed();
  // Leader and follower both skip terms that the other's log cannot contain, so
  // each rejection backs up by at least one term.
  const LogIndex hint = std::min(reply.hint_index(), reply.refused_index() - 1);
  const LogIndex agreed =
      hint < log_.base_index()
          ? hint
          : log_.LastIndexWithTermAtMost(reply.hint_term(), hint);
  progress.state = Replication::kProbe;
  progress.awaiting_reply = false;
  progress.inflight.Clear();
  progress.next = std::max(progress.match, agreed) + 1;
  // An empty log gets the state instead of the entries that led to it, also if
  // these are still in memory.
  if (progress.next == 1 && snapshot_) BeginSnapshot(progress);
}

void Raft::OnMatch(const ReplicaId& from, Progress& progress, LogIndex match) {
  if (match > progress.match) progress.match = match;
  progress.inflight.OnMatch(progress.match);
  const bool probe_acknowledged =
      progress.state == Replication::kProbe && match + 1 >= progress.next;
  const bool snapshot_installed = progress.state == Replication::kSnapshot &&
                                  match >= progress.snapshot->index;
  if (probe_acknowledged || snapshot_installed) {
    progress.state = Replication::kPipeline;
    progress.awaiting_reply = false;
    progress.snapshot.reset();
    progress.snapshot_data.reset();
    progress.inflight.Clear();
    progress.next = progress.match + 1;
  }
  progress.next = std::max(progress.next, progress.match + 1);
  MaybeCommit();
  if (role_ != RaftRole::kLeader) return;
  AdvanceReplacement();
  if (transfer_target_ == from) AdvanceTransfer();
}

void Raft::HandleSnapshotReply(const ReplicaId& from,
                               const proto::RaftSnapshotReply& reply) {
  const auto found = progress_.find(from);
  if (role_ != RaftRole::kLeader || found == progress_.end()) {
    ++counters_.stale;
    return;
  }
  if (reply.round() > round_ || reply.index() > log_.LastIndex()) {
    ++counters_.malformed;
    return;
  }
  Progress& progress = found->second;
  progress.last_reply = now_;
  progress.last_stored = now_;
  progress.round = std::max(progress.round, reply.round());
  if (reply.installed()) {
    OnMatch(from, progress, reply.index());
    return;
  }
  if (progress.state != Replication::kSnapshot ||
      progress.snapshot->index != reply.index() ||
      reply.offset() > progress.snapshot_data->size()) {
    ++counters_.stale;
    return;
  }
  progress.snapshot_offset = reply.offset();
  progress.awaiting_reply = false;
}

void Raft::MaybeCommit() {
  std::vector<LogIndex> matches;
  for (const ReplicaId& voter : configuration().voters) {
    matches.push_back(MatchIndex(voter));
  }
  std::ranges::sort(matches, std::greater<>());
  const LogIndex candidate = matches[configuration().Quorum() - 1];
  if (candidate <= hard_state_.commit) return;
  // An entry of an earlier term can still be overwritten although a quorum has
  // it. It is committed only indirectly, by an entry of the current term.
  if (log_.TermAt(candidate) != term()) return;
  SetCommit(candidate);
}

void Raft::SetCommit(LogIndex commit) {
  if (commit <= hard_state_.commit) return;
  CheckInvariant(commit <= log_.LastIndex(),
                 "committed entries are in the log");
  hard_state_.commit = commit;
  if (role_ != RaftRole::kLeader) return;
  commit_due_ = true;
  const bool removed =
      configuration_committed() && !configuration().IsVoter(replica_);
  if (removed) BecomeFollower(term(), ReplicaId{});
}

void Raft::Read(std::uint64_t id, Time now) {
  AdvanceClock(now);
  // Until an entry of this term is committed, the commit index may lag behind
  // the entries that an earlier leader has committed.
  if (role_ != RaftRole::kLeader || !CommittedInOwnTerm()) {
    output_.reads.push_back({id, false});
    return;
  }
  pending_reads_.push_back({id, hard_state_.commit, round_ + 1});
  heartbeat_due_ = true;
}

void Raft::ConfirmReads() {
  std::vector<std::uint64_t> rounds;
  for (const ReplicaId& voter : configuration().voters) {
    const auto found = progress_.find(voter);
    rounds.push_back(found == progress_.end() ? round_ : found->second.round);
  }
  std::ranges::sort(rounds, std::greater<>());
  const std::uint64_t confirmed = rounds[configuration().Quorum() - 1];
  const LogIndex deliverable = std::min(hard_state_.commit, durable_index_);
  while (!pending_reads_.empty() && pending_reads_.front().round <= confirmed &&
         pending_reads_.front().index <= deliverable) {
    output_.reads.push_back({pending_reads_.front().id, true});
    pending_reads_.pop_front();
  }
}

void Raft::FailReads() {
  for (const PendingRead& read : pending_reads_) {
    output_.reads.push_back({read.id, false});
  }
  pending_reads_.clear();
}

// --- Follower --------------------------------------------------------------

bool Raft::AcceptLeader(const ReplicaId& from) {
  const bool other_leader = !leader_.empty() && leader_ != from;
  if (role_ == RaftRole::kLeader || other_leader) {
    ++counters_.unsafe;
    return false;
  }
  BecomeFollower(term(), from);
  failed_elections_ = 0;
  last_leader_contact_ = now_;
  ResetElectionTimer();
  return true;
}

void Raft::HandleAppend(const ReplicaId& from,
                        const proto::RaftAppend& append) {
  std::vector<LogEntry> entries;
  Term last_term = append.previous_term();
  LogIndex last_index = append.previous_index();
  for (const auto& item : append.entries()) {
    auto entry = FromProto(item);
    if (!entry || entry->index != last_index + 1 || entry->term < last_term ||
        entry->term > term()) {
      ++counters_.malformed;
      return;
    }
    last_index = entry->index;
    last_term = entry->term;
    entries.push_back(std::move(*entry));
  }
  if (last_term > term() || last_index < append.previous_index()) {
    ++counters_.malformed;
    return;
  }
  if (!AcceptLeader(from)) return;
  const LogIndex previous = append.previous_index();
  // Entries below the base index are committed and therefore identical.
  const bool matches = previous < log_.base_index() ||
                       log_.TermAt(previous) == append.previous_term();
  if (!matches) {
    RefuseAppend(from, append);
    return;
  }
  for (LogEntry& entry : entries) {
    if (entry.index < log_.base_index()) continue;
    if (log_.TermAt(entry.index) == entry.term) continue;
    if (entry.index <= hard_state_.commit) {
      ++counters_.unsafe;
      return;
    }
    if (entry.index <= log_.LastIndex()) TruncateFrom(entry.index);
    AppendEntry(std::move(entry));
  }
  SetCommit(std::min(append.commit(), last_index));
  proto::RaftMessage response = NewMessage(from);
  auto* reply = response.mutable_append_reply();
  reply->set_success(true);
  reply->set_match_index(std::max(last_index, hard_state_.commit));
  reply->set_round(append.round());
  output_.messages_after_sync.push_back(std::move(response));
}

void Raft::RefuseAppend(const ReplicaId& from,
                        const proto::RaftAppend& append) {
  if (append.previous_index() <= hard_state_.commit) {
    ++counters_.unsafe;
    return;
  }
  const LogIndex hint =
      std::max(hard_state_.commit,
               log_.LastIndexWithTermAtMost(append.previous_term(),
                                            append.previous_index() - 1));
  proto::RaftMessage response = NewMessage(from);
  auto* reply = response.mutable_append_reply();
  reply->set_success(false);
  reply->set_refused_index(append.previous_index());
  reply->set_hint_index(hint);
  reply->set_hint_term(log_.TermAt(hint).value_or(0));
  reply->set_takes_compressed(true);
  reply->set_round(append.round());
  output_.messages_after_sync.push_back(std::move(response));
}

void Raft::HandleSnapshotChunk(const ReplicaId& from,
                               const proto::RaftSnapshotChunk& chunk) {
  const auto configuration = FromProto(chunk.configuration());
  const bool fits = chunk.total_size() <= options_.max_snapshot_bytes &&
                    chunk.decompressed_size() <= options_.max_snapshot_bytes &&
                    chunk.offset() <= chunk.total_size() &&
                    chunk.data().size() <= chunk.total_size() - chunk.offset();
  if (!configuration || !fits || chunk.index() == 0 || chunk.term() == 0 ||
      chunk.term() > term()) {
    ++counters_.malformed;
    return;
  }
  if (!AcceptLeader(from)) return;
  if (chunk.index() <= hard_state_.commit) {
    ReplySnapshot(from, chunk, chunk.total_size(), true);
    return;
  }
  PartialSnapshot& partial = partial_snapshot_;
  if (partial.index != chunk.index() || partial.term != chunk.term() ||
      partial.from != from) {
    partial = {chunk.index(), chunk.term(), from, {}};
  }
  if (chunk.offset() == partial.data.size()) partial.data += chunk.data();
  if (partial.data.size() < chunk.total_size()) {
    ReplySnapshot(from, chunk, partial.data.size(), false);
    return;
  }
  Snapshot snapshot{chunk.index(), chunk.term(), *configuration,
                    std::move(partial.data)};
  partial = {};
  const auto checksum = XXH3_64bits(snapshot.data.data(), snapshot.data.size());
  if (checksum != chunk.checksum()) {
    ++counters_.malformed;
    ReplySnapshot(from, chunk, 0, false);
    return;
  }
  if (chunk.decompressed_size() > 0) {
    auto data = Decompress(snapshot.data, chunk.decompressed_size());
    if (!data.has_value()) {
      ++counters_.malformed;
      return;
    }
    snapshot.data = std::move(*data);
  }
  InstallSnapshot(std::move(snapshot));
  ReplySnapshot(from, chunk, chunk.total_size(), true);
}

void Raft::InstallSnapshot(Snapshot snapshot) {
  CheckInvariant(snapshot.index > hard_state_.commit,
                 "an installed snapshot is ahead of the commit index");
  const LogIndex index = snapshot.index;
  if (log_.TermAt(index) == snapshot.term) {
    configurations_.erase(configurations_.begin(),
                          configurations_.upper_bound(index));
    log_.CompactTo(index);
    // An earlier snapshot that replaces the log may not be part of a batch yet.
    // This one supersedes it, so the entries to write start after it.
    if (output_.snapshot_replaces_log) batched_index_ = index;
  } else {
    configurations_.clear();
    log_.Reset(index, snapshot.term);
    durable_index_ = 0;
    batched_index_ = index;
    first_valid_batch_ = next_batch_;
    output_.truncate_from = 0;
    output_.snapshot_replaces_log = true;
  }
  configurations_[index] = snapshot.configuration;
  hard_state_.commit = index;
  delivered_index_ = index;
  output_.save_snapshot = snapshot;
  output_.snapshot_to_install = snapshot;
  snapshot_ = std::make_shared<const Snapshot>(std::move(snapshot));
}

void Raft::ReplySnapshot(const ReplicaId& from,
                         const proto::RaftSnapshotChunk& in,
                         std::uint64_t offset, bool installed) {
  proto::RaftMessage response = NewMessage(from);
  auto* reply = response.mutable_snapshot_reply();
  reply->set_index(in.index());
  reply->set_offset(offset);
  reply->set_installed(installed);
  reply->set_round(in.round());
  output_.messages_after_sync.push_back(std::move(response));
}

}  // namespace cassiausher
