// The Raft consensus algorithm as a deterministic state machine without I/O,
// clock or threads. Inputs are messages, ticks, proposals and notifications
// that data is durable; the outputs are returned as RaftOutput.
#ifndef SERVERS_CONSENSUS_RAFT_H_
#define SERVERS_CONSENSUS_RAFT_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/random.h"
#include "core/time.h"
#include "proto/gen/raft.pb.h"
#include "servers/consensus/inflight_appends.h"
#include "servers/consensus/log_storage.h"
#include "servers/consensus/raft_log.h"
#include "servers/consensus/raft_types.h"

namespace cassiausher {

struct RaftOptions {
  InstanceId self;
  /// Assigned to a storage that has no ID yet. Must not be 0, and must come
  /// from the system's entropy source: two storages of an instance that share
  /// an ID could vote twice in a term.
  std::uint64_t new_storage_id = 0;
  /// Instances that bootstrap the group on their first start; must be the same
  /// on each. The group is bootstrapped once all of them have replied that they
  /// have no configuration, so that an instance with a new disk never
  /// bootstraps a second group.
  std::set<InstanceId> initial_voters;
  /// False if the group has been bootstrapped before. This replica then only
  /// joins, and looks for the group at the addresses of the initial voters.
  bool may_bootstrap = true;

  Duration heartbeat = Milliseconds(100);
  /// Must be several heartbeats. A sync may take longer.
  Duration election_timeout_min = Seconds(1);
  Duration election_timeout_max = Seconds(2);
  /// A member that answers and hasn't stored anything for this long counts as
  /// silent, so that it can be replaced. A leader gives its leadership away.
  Duration disk_timeout = Seconds(5);
  std::uint64_t seed = 1;

  /// Maximum data per append message; a larger entry is sent on its own.
  std::size_t max_append_bytes = 64 * 1024;
  /// Maximum unacknowledged appends per follower.
  std::size_t max_inflight = 16;
  /// No further append is sent to a follower while its unacknowledged appends
  /// hold at least this much data.
  std::size_t max_inflight_bytes = std::size_t{4} * 1024 * 1024;
  std::size_t snapshot_chunk_bytes = 256 * 1024;
  /// Larger snapshots from a leader are rejected as malformed.
  std::size_t max_snapshot_bytes = std::size_t{512} * 1024 * 1024;
  /// Proposals that exceed these limits are refused.
  std::size_t max_entry_bytes = 1024 * 1024;
  std::size_t max_uncommitted_entries = 4096;
  /// Entries before the compacted index that stay in memory, so that a follower
  /// slightly behind needs no snapshot.
  std::size_t entries_kept_after_compaction = 256;
  /// Fewer are kept if they hold more data than this.
  std::size_t bytes_kept_after_compaction = std::size_t{4} * 1024 * 1024;
  /// The leader replaces an unresponsive voter by a replica of the same
  /// instance that has no configuration: an instance that returned with an
  /// empty disk.
  bool replace_same_instance = true;
  /// Maximum lag behind the leader at which a learner may be promoted.
  std::size_t promotion_lag_entries = 64;
};

enum class RaftRole { kFollower, kPreCandidate, kCandidate, kLeader };

struct ReadResult {
  std::uint64_t id = 0;
  /// True if the state after this output's entries is at least as recent as the
  /// call of Read(); false if the read must be retried at another instance.
  bool served = false;
};

/// Work for the owner of the Raft object, in this order:
/// 1. send `messages`;
/// 2. if `batch` is not 0, pass the output to Persist() and sync the storage;
///    batches are persisted in order;
/// 3. once that is durable, send `messages_after_sync` and call OnPersisted();
///    a batch without `must_sync` is done as soon as the batches before it are;
/// 4. install `snapshot_to_install`, apply `committed`, then answer `reads`.
///    This needs no sync, as only locally durable entries are delivered.
/// Step 2 may run on another thread, which then owns the storage.
struct RaftOutput {
  std::uint64_t batch = 0;
  /// False if the batch contains no more than a newer commit index.
  bool must_sync = false;
  std::optional<HardState> hard_state;
  /// Received from the leader or made by Compact().
  std::optional<Snapshot> save_snapshot;
  /// `save_snapshot` replaces the whole log; `entries` follow it.
  bool snapshot_replaces_log = false;
  /// Remove the entries from this index on before appending; 0 for none.
  LogIndex truncate_from = 0;
  std::vector<LogEntry> entries;

  std::vector<proto::RaftMessage> messages;
  std::vector<proto::RaftMessage> messages_after_sync;

  /// Replaces the entire state of the application.
  std::optional<Snapshot> snapshot_to_install;
  /// Committed entries of all kinds, consecutive across outputs.
  std::vector<LogEntry> committed;
  std::vector<ReadResult> reads;
  /// True if the role or leader changed.
  bool role_changed = false;

  bool empty() const;
};

/// Writes a batch to the storage without syncing it.
boost::leaf::result<void> Persist(const RaftOutput& output,
                                  LogStorage& storage);

struct ProposeResult {
  enum class Refusal {
    kNone,
    kNotLeader,
    kTransferring,
    kOverloaded,
    kTooLarge,
    kConfigurationPending,  ///< An earlier membership change is not committed.
    kInvalid,               ///< Not valid for the current members.
  };
  Refusal refusal = Refusal::kNone;
  /// The proposal is committed if the committed entry at `index` has this
  /// `term`; if it has another term, the proposal was lost.
  LogIndex index = 0;
  Term term = 0;

  bool accepted() const { return refusal == Refusal::kNone; }
};

/// Number of messages that Step() rejected, by reason.
struct RaftCounters {
  std::uint64_t stale = 0;              ///< Older term or superseded reply.
  std::uint64_t malformed = 0;          ///< Missing or inconsistent fields.
  std::uint64_t non_member = 0;         ///< Not a member, or of another group.
  std::uint64_t wrong_destination = 0;  ///< Addressed to another replica.
  std::uint64_t unsafe = 0;  ///< Would change committed entries or violate the
                             ///< invariant of one leader per term.
  std::uint64_t leader_alive = 0;  ///< Vote refused, the leader is alive.
};

/// Not thread safe. No call blocks or fails. If `now` goes backwards, no time
/// passes.
class Raft {
 public:
  Raft(RaftOptions options, const StoredState& stored, Time now);

  void Step(const proto::RaftMessage& message, Time now);
  /// Tells a replica without a configuration where the group is, in case all
  /// initial voters have none either.
  void LearnVoters(const RaftConfiguration& configuration);
  /// Must be called at least twice per heartbeat interval.
  void Tick(Time now);
  ProposeResult Propose(std::string data, Time now);

  /// Linearizable read. The result is delivered in RaftOutput::reads, served
  /// only after a quorum has confirmed this leader.
  void Read(std::uint64_t id, Time now);

  /// Membership changes one replica at a time; each change requires that the
  /// previous one is committed.
  ProposeResult AddLearner(const ReplicaId& learner, Time now);
  /// The learner must have caught up; see promotion_lag_entries.
  ProposeResult Promote(const ReplicaId& learner, Time now);
  ProposeResult Remove(const ReplicaId& member, Time now);
  /// The voter remains as a learner.
  ProposeResult Demote(const ReplicaId& voter, Time now);
  /// Adds `replacement` as a learner. The leader, or its successor, then
  /// promotes it and removes `lost`. Finished when configuration().replacement
  /// is empty again.
  ProposeResult ReplaceVoter(const ReplicaId& lost,
                             const ReplicaId& replacement, Time now);
  /// Like ReplaceVoter(), but `from` remains as a learner. A leader that hands
  /// over its own vote transfers its leadership first.
  ProposeResult HandOverVote(const ReplicaId& from, const ReplicaId& to,
                             Time now);
  /// Leader only: whether the member answers and lacks few entries, so that a
  /// vote of it could soon be counted.
  bool IsCaughtUp(const ReplicaId& member) const;

  /// Members that are about to end. They get the leadership only if no other
  /// voter can.
  void SetLeaving(std::set<ReplicaId> members) {
    leaving_ = std::move(members);
  }

  /// Transfers leadership to `to`, or to the active voter with the highest
  /// match index that isn't leaving. Proposals are refused during the transfer,
  /// which is abandoned after `election_timeout_min`. Returns false if this
  /// replica is not the leader or there is no such active voter.
  bool TransferLeadership(const std::optional<ReplicaId>& to, Time now);

  /// Compacts the log into a snapshot: `state` is the application's state after
  /// it applied the entry at `index`. Returns false if that entry was not
  /// delivered yet or is already compacted.
  bool Compact(LogIndex index, std::string state);

  RaftOutput TakeOutput();
  /// All batches up to and including `batch` are durable.
  void OnPersisted(std::uint64_t batch, Time now);
  /// Writing to the storage failed. The replica neither leads nor stands for
  /// election until the next OnPersisted(). The caller must keep and retry the
  /// batch.
  void OnPersistFailed(Time now);

  RaftRole role() const { return role_; }
  Term term() const { return hard_state_.term; }
  /// Empty if the leader is unknown.
  const ReplicaId& leader() const { return leader_; }
  const ReplicaId& replica() const { return replica_; }
  LogIndex commit_index() const { return hard_state_.commit; }
  /// Index of the last entry handed to the owner, in RaftOutput::committed or
  /// as part of a snapshot. The owner applies it later, when it handles the
  /// output.
  LogIndex applied_index() const { return delivered_index_; }
  LogIndex last_index() const { return log_.LastIndex(); }
  LogIndex first_kept_index() const { return log_.base_index() + 1; }
  /// The latest configuration in the log, committed or not.
  const RaftConfiguration& configuration() const;
  bool configuration_committed() const;
  const RaftCounters& counters() const { return counters_; }
  bool storage_failed() const { return storage_failed_; }
  /// How long the oldest batch has been waiting for the disk.
  Duration WaitForDisk() const;
  /// Replicas that sent a hello to this one, with the time of the last: they
  /// have no configuration, or aren't members by the one that they have.
  /// Candidates for a replacement.
  const std::map<ReplicaId, Time>& unconfigured_replicas() const {
    return unconfigured_replicas_;
  }
  /// Term of an entry in memory; nullopt for any other index.
  std::optional<Term> TermAt(LogIndex index) const {
    return log_.TermAt(index);
  }
  /// Leader only: index of the last entry known to be durable at `member`.
  LogIndex MatchIndex(const ReplicaId& member) const;
  /// Latest time at which a quorum followed this leader. Everything committed
  /// until then has been delivered. Empty if this replica doesn't lead, or if
  /// that isn't known yet.
  std::optional<Time> QuorumConfirmedAt() const;
  /// Leader only: time since the last reply of each other member; of one whose
  /// disk hangs, since it last stored something.
  std::map<ReplicaId, Duration> TimeSinceLastReply() const;

 private:
  enum class Replication { kProbe, kPipeline, kSnapshot };
  /// Why appends are sent. If no entries can be sent to a member in kPipeline,
  /// it gets an empty append for kCommit, to announce a new commit index, and
  /// for kHeartbeat, but none for kEntries. kHeartbeat also repeats unanswered
  /// probes and snapshot chunks.
  enum class SendReason { kEntries, kCommit, kHeartbeat };

  /// Replication state of another member, as the leader tracks it.
  struct Progress {
    /// Last entry known to be durable at the member and identical to ours.
    /// Never decreases during a term; `next` > `match`.
    LogIndex match = 0;
    LogIndex next = 1;
    Replication state = Replication::kProbe;
    /// For kProbe and kSnapshot: a message is in flight; the next one is sent
    /// after its reply or at the next heartbeat.
    bool awaiting_reply = false;
    InflightAppends inflight;
    /// Highest heartbeat round the member replied to.
    std::uint64_t round = 0;
    Time last_reply{};
    /// When the member last told what it has stored. At most `last_reply`.
    Time last_stored{};
    /// The snapshot being sent. Shared, as Compact() may replace `snapshot_`
    /// during the transfer.
    std::shared_ptr<const Snapshot> snapshot;
    /// The snapshot's data as it is sent.
    std::shared_ptr<const std::string> snapshot_data;
    bool is_compressed = false;
    std::uint64_t snapshot_offset = 0;
    /// The member has told that it takes compressed snapshots.
    bool takes_compressed = false;
  };

  struct Batch {
    std::uint64_t id = 0;
    LogIndex last_index = 0;
    Term term = 0;
    ReplicaId vote;
    bool must_sync = false;
    Time begun{};
  };

  struct PendingRead {
    std::uint64_t id = 0;
    LogIndex index = 0;
    std::uint64_t round = 0;
  };

  /// A partially received snapshot.
  struct PartialSnapshot {
    LogIndex index = 0;
    Term term = 0;
    ReplicaId from;
    std::string data;
  };

  void AdvanceClock(Time now);
  bool IsVoter() const { return configuration().IsVoter(replica_); }
  /// Whether this replica may stand for election: it is a voter, or its vote is
  /// taken by a configuration that may not be committed.
  bool MayStand() const;
  bool InLeaderLease() const;
  bool HasActiveQuorum() const;
  bool CommittedInOwnTerm() const;
  bool IsUpToDate(LogIndex last_index, Term last_term) const;

  // Bootstrap.
  void SendHellos();
  void HandleHello(const ReplicaId& from, const proto::RaftHello& hello);
  void HandleHelloReply(const ReplicaId& from,
                        const proto::RaftHelloReply& reply);
  bool IsFounder() const;
  void BootstrapIfAllReplied();

  // Validation of incoming messages. Step() counts what IsWellFormed() and
  // CheckSender() reject; CheckTerm() counts its own rejections.
  bool IsWellFormed(const proto::RaftMessage& message);
  bool CheckSender(const proto::RaftMessage& message, const ReplicaId& from);
  bool CheckTerm(const proto::RaftMessage& message, const ReplicaId& from);
  bool StepHello(const proto::RaftMessage& message, const ReplicaId& from);
  void Dispatch(const proto::RaftMessage& message, const ReplicaId& from);
  void ReplyToStale(const proto::RaftMessage& message, const ReplicaId& from);

  // Elections.
  void SetTerm(Term term);
  void BecomeFollower(Term term, const ReplicaId& leader);
  void ResetElectionTimer();
  void StartPreVote();
  void StartElection(bool transfer);
  void CountVotes();
  void BecomeLeader();
  void HandlePreVote(const ReplicaId& from, const proto::RaftPreVote& request);
  void HandlePreVoteReply(const ReplicaId& from,
                          const proto::RaftPreVoteReply& reply);
  void HandleVote(const ReplicaId& from, const proto::RaftVote& request);
  void HandleVoteReply(const ReplicaId& from,
                       const proto::RaftVoteReply& reply);
  void HandleTimeoutNow(const ReplicaId& from);

  // Replication on the leader.
  void Broadcast(SendReason reason);
  void SendAppends(const ReplicaId& to, Progress& progress, SendReason reason);
  bool HasRoomInFlight(const Progress& progress) const;
  void SendAppend(const ReplicaId& to, LogIndex next,
                  const std::vector<LogEntry>& entries);
  void SendSnapshotChunk(const ReplicaId& to, Progress& progress);
  void BeginSnapshot(Progress& progress);
  void HandleAppendReply(const ReplicaId& from,
                         const proto::RaftAppendReply& reply);
  void HandleRefusedAppend(Progress& progress,
                           const proto::RaftAppendReply& reply);
  void HandleSnapshotReply(const ReplicaId& from,
                           const proto::RaftSnapshotReply& reply);
  void OnMatch(const ReplicaId& from, Progress& progress, LogIndex match);
  void MaybeCommit();
  void SetCommit(LogIndex commit);
  void AdvanceReplacement();
  void FinishReplacement(const Replacement& plan);
  ProposeResult BeginReplacement(const Replacement& plan);
  /// Records the index of the entry that is about to add the member.
  void Admit(const ReplicaId& member, RaftConfiguration* next) const;
  void ReplaceWipedVoter();
  void AdvanceTransfer();
  void ConfirmReads();
  void FailReads();

  // Replication on a follower.
  bool AcceptLeader(const ReplicaId& from);
  void HandleAppend(const ReplicaId& from, const proto::RaftAppend& append);
  void RefuseAppend(const ReplicaId& from, const proto::RaftAppend& append);
  void HandleSnapshotChunk(const ReplicaId& from,
                           const proto::RaftSnapshotChunk& chunk);
  void InstallSnapshot(Snapshot snapshot);
  void ReplySnapshot(const ReplicaId& from, const proto::RaftSnapshotChunk& in,
                     std::uint64_t offset, bool installed);

  // Log.
  void AppendNewEntry(EntryKind kind, std::string data);
  void AppendEntry(LogEntry entry);
  void TruncateFrom(LogIndex first_removed);
  ProposeResult CheckPropose() const;
  ProposeResult ProposeConfiguration(RaftConfiguration next);
  ProposeResult Refuse(ProposeResult::Refusal refusal) const;
  void SyncProgressWithConfiguration();
  void DeliverCommitted(RaftOutput& output);
  void FillBatch(RaftOutput& output);
  void AnswerBeforeSync(RaftOutput& output) const;
  /// The disk takes so long that elections and replies must allow for it.
  bool IsDiskSlow() const { return WaitForDisk() >= options_.heartbeat / 2; }
  void OnBatchDone(const Batch& batch);
  HardState StorableState() const;

  proto::RaftMessage NewMessage(const ReplicaId& to) const;

  RaftOptions options_;
  Random random_;
  /// Never goes backwards.
  Time now_;
  ReplicaId replica_;

  /// `term` and `commit` never decrease. `vote` is set at most once per term.
  HardState hard_state_;
  /// Contains every entry after its base index. Entries up to
  /// `hard_state_.commit` never change.
  RaftLog log_;
  /// Latest snapshot; covers at least the entries compacted from `log_`.
  std::shared_ptr<const Snapshot> snapshot_;
  /// Configurations by the index of their entry, starting with that of the
  /// snapshot. The last one is in effect as soon as it is in the log.
  std::map<LogIndex, RaftConfiguration> configurations_;

  RaftRole role_ = RaftRole::kFollower;
  ReplicaId leader_;
  std::optional<Time> last_leader_contact_;
  Time election_deadline_;
  /// Candidacies in a row that timed out; 0 once a leader is known.
  int failed_elections_ = 0;
  /// How long the last sync took, with the wait for earlier ones.
  Duration disk_delay_{0};
  Time next_heartbeat_;
  Time next_hello_;
  std::map<ReplicaId, bool> votes_;

  /// Leader only; one element for each other member.
  std::map<ReplicaId, Progress> progress_;
  std::uint64_t round_ = 0;
  bool heartbeat_due_ = false;
  bool commit_due_ = false;
  std::deque<PendingRead> pending_reads_;
  std::set<ReplicaId> leaving_;
  std::optional<ReplicaId> transfer_target_;
  Time transfer_deadline_;
  bool timeout_now_sent_ = false;

  PartialSnapshot partial_snapshot_;

  /// Entries up to this index are durable on this replica. At most the last
  /// index.
  LogIndex durable_index_ = 0;
  /// Entries up to this index were delivered as committed, or are part of the
  /// snapshot that was delivered for installation. At most the commit index.
  LogIndex delivered_index_ = 0;
  /// Entries up to this index need no further batch: they are in an earlier
  /// one, in the snapshot or were loaded from the storage.
  LogIndex batched_index_ = 0;
  HardState batched_state_;
  /// Highest commit index in a batch or loaded from the storage. Never above
  /// the entries that were durable when it was written.
  LogIndex batched_commit_ = 0;
  std::uint64_t next_batch_ = 1;
  /// Batches before this one precede a truncation or an installed snapshot, so
  /// their completion does not make current entries durable.
  std::uint64_t first_valid_batch_ = 1;
  std::deque<Batch> batches_;
  /// The highest term that is durable. At most term().
  Term durable_term_ = 0;
  bool storage_failed_ = false;

  /// Initial voters that replied that they have no configuration.
  std::map<InstanceId, ReplicaId> unconfigured_initial_voters_;
  bool bootstrap_forbidden_ = false;
  /// Instances to send hellos to: the initial voters and the voters named in
  /// hello replies.
  std::set<InstanceId> hello_targets_;
  std::map<ReplicaId, Time> unconfigured_replicas_;

  /// Accumulates until TakeOutput().
  RaftOutput output_;
  RaftCounters counters_;
};

}  // namespace cassiausher

#endif  // SERVERS_CONSENSUS_RAFT_H_
