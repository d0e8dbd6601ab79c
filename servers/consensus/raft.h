// Consensus core: the published Raft algorithm as a deterministic state machine
// without I/O, clock or threads. Inputs are messages, ticks, proposals and
// reports that data is durable; outputs are values.
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
#include <vector>

#include "core/random.h"
#include "core/time.h"
#include "proto/gen/raft.pb.h"
#include "servers/consensus/log_storage.h"
#include "servers/consensus/raft_log.h"
#include "servers/consensus/raft_types.h"

namespace cassiausher {

struct RaftOptions {
  InstanceId self;
  /// Used when the storage has no number yet. Must come from the system's
  /// entropy: two storages with one number could vote twice. Not 0.
  std::uint64_t new_storage_id = 0;
  /// Instances that found the log together on their first start. The log is
  /// founded once all of them answered that they have no configuration, so an
  /// instance with a new disk never founds a second log. The same list on each.
  std::set<InstanceId> initial_voters;
  /// False if the log was founded before: this storage then only joins, and
  /// looks for the others at the founders' addresses.
  bool may_bootstrap = true;

  Duration heartbeat = Milliseconds(100);
  /// Must be several heartbeats plus the time of a sync.
  Duration election_timeout_min = Seconds(1);
  Duration election_timeout_max = Seconds(2);
  std::uint64_t seed = 1;

  /// Data of one append message; a larger entry travels alone.
  std::size_t max_append_bytes = 64 * 1024;
  /// Appends without an answer per peer.
  std::size_t max_inflight = 16;
  std::size_t snapshot_chunk_bytes = 256 * 1024;
  /// Larger snapshots of others are refused as malformed.
  std::size_t max_snapshot_bytes = std::size_t{512} * 1024 * 1024;
  /// Proposals above these limits are refused.
  std::size_t max_entry_bytes = 1024 * 1024;
  std::size_t max_uncommitted_entries = 4096;
  /// Entries kept in memory before a compaction, so that a replica that is a
  /// little behind needs no snapshot.
  std::size_t entries_kept_after_compaction = 256;
  /// The leader replaces a silent voter by a replica of the same instance that
  /// has no configuration: an instance that came back with an empty disk.
  bool replace_same_instance = true;
  /// A learner this many entries behind the leader may become a voter.
  std::size_t promotion_lag_entries = 64;
};

enum class RaftRole { kFollower, kPreCandidate, kCandidate, kLeader };

struct ReadResult {
  std::uint64_t id = 0;
  /// True if the state after this output's entries is current as of the call
  /// of Read(); false if the read must be repeated at another instance.
  bool served = false;
};

/// Work for the caller, in this order:
/// 1. send `messages`;
/// 2. if `batch` is not 0, pass the output to Persist() and sync the storage;
///    batches are persisted in order;
/// 3. once that is durable, send `messages_after_sync` and call OnPersisted();
///    a batch without `must_sync` is done as soon as the batches before it are;
/// 4. install `snapshot_to_install`, apply `committed`, then answer `reads`.
/// This needs no
///    sync: only entries that are durable here are handed out.
/// Step 2 may run on another thread, which then owns the storage.
struct RaftOutput {
  std::uint64_t batch = 0;
  /// False if the batch holds nothing but a newer commit index.
  bool must_sync = false;
  std::optional<HardState> hard_state;
  /// Received from the leader or made by Compact().
  std::optional<Snapshot> save_snapshot;
  /// The snapshot takes the place of the whole log, before `entries`.
  bool snapshot_replaces_log = false;
  /// Remove the entries from here on before appending; 0 for none.
  LogIndex truncate_from = 0;
  std::vector<LogEntry> entries;

  std::vector<proto::RaftMessage> messages;
  std::vector<proto::RaftMessage> messages_after_sync;

  /// Replaces the whole state of the application.
  std::optional<Snapshot> snapshot_to_install;
  /// Entries of all kinds, consecutive over all outputs.
  std::vector<LogEntry> committed;
  std::vector<ReadResult> reads;
  /// Set when role, term or leader changed.
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
    kConfigurationPending,  ///< An earlier change of members is not committed.
    kInvalid,               ///< The members don't allow this change.
  };
  Refusal refusal = Refusal::kNone;
  /// The proposal is committed if the entry handed out at `index` has `term`;
  /// another term there means that it was lost.
  LogIndex index = 0;
  Term term = 0;

  bool accepted() const { return refusal == Refusal::kNone; }
};

/// Messages that Step() refused, by reason.
struct RaftCounters {
  std::uint64_t stale = 0;              ///< Older term or answered before.
  std::uint64_t malformed = 0;          ///< Fields missing or inconsistent.
  std::uint64_t non_member = 0;         ///< Sender or its group is not ours.
  std::uint64_t wrong_destination = 0;  ///< Addressed to another replica.
  std::uint64_t unsafe = 0;  ///< Would change committed entries or break the
                             ///< rule of one leader per term.
  std::uint64_t leader_alive = 0;  ///< Election refused, a leader is heard.
};

/// Used by one thread. No call blocks or fails; `now` that goes back is taken
/// as no time passing.
class Raft {
 public:
  Raft(RaftOptions options, const StoredState& stored, Time now);

  void Step(const proto::RaftMessage& message, Time now);
  /// To be called at least once per half heartbeat.
  void Tick(Time now);
  ProposeResult Propose(std::string data, Time now);

  /// Linearizable read: the result comes in an output's `reads`, served only
  /// after a quorum confirmed this leader.
  void Read(std::uint64_t id, Time now);

  /// Members change one at a time; each needs the former change committed.
  ProposeResult AddLearner(const ReplicaId& learner, Time now);
  /// The learner must have caught up.
  ProposeResult Promote(const ReplicaId& learner, Time now);
  ProposeResult Remove(const ReplicaId& member, Time now);
  /// Adds `replacement` as learner; the leader then promotes it and removes
  /// `lost` by itself, also after a change of leader. Finished when
  /// configuration().replacement is empty again.
  ProposeResult ReplaceVoter(const ReplicaId& lost,
                             const ReplicaId& replacement, Time now);

  /// Asks `to`, or the voter that is furthest, to become leader. Proposals are
  /// refused meanwhile. Ends by itself after an election timeout. Returns false
  /// if this replica is not leader or there is no such voter.
  bool TransferLeadership(const std::optional<ReplicaId>& to, Time now);

  /// `state` is the application's state after entry `index` was applied.
  /// Returns false if `index` was not handed out or is compacted already.
  bool Compact(LogIndex index, std::string state);

  RaftOutput TakeOutput();
  /// All batches up to this one are durable.
  void OnPersisted(std::uint64_t batch, Time now);
  /// The storage could not write. The replica neither leads nor stands for
  /// election until the next OnPersisted(). The caller keeps the batch and
  /// retries it.
  void OnPersistFailed(Time now);

  RaftRole role() const { return role_; }
  Term term() const { return hard_state_.term; }
  /// Empty if unknown.
  const ReplicaId& leader() const { return leader_; }
  const ReplicaId& replica() const { return replica_; }
  LogIndex commit_index() const { return hard_state_.commit; }
  LogIndex applied_index() const { return delivered_; }
  LogIndex last_index() const { return log_.LastIndex(); }
  LogIndex first_kept_index() const { return log_.base_index() + 1; }
  /// The latest configuration in the log, committed or not.
  const RaftConfiguration& configuration() const;
  bool configuration_committed() const;
  const RaftCounters& counters() const { return counters_; }
  bool storage_failed() const { return storage_failed_; }
  /// Replicas without a configuration that said hello to this one, for the
  /// operator's choice of a replacement.
  const std::map<ReplicaId, Time>& unconfigured_replicas() const {
    return unconfigured_replicas_;
  }
  /// Term of an entry that is kept in memory; null for others.
  std::optional<Term> TermAt(LogIndex index) const {
    return log_.TermAt(index);
  }
  /// Leader only: the highest entry known durable at `member`.
  LogIndex MatchIndex(const ReplicaId& member) const;
  /// Leader only: time since each other member answered.
  std::map<ReplicaId, Duration> TimeSinceLastReply() const;

 private:
  enum class Replication { kProbe, kPipeline, kSnapshot };
  /// Why appends are sent: only if there are entries to send, also to tell a
  /// new commit index, or also as a heartbeat.
  enum class Occasion { kEntries, kCommit, kHeartbeat };

  /// What the leader knows about one member.
  struct Progress {
    /// Known durable at the member and equal to ours. Never decreases during a
    /// term; `next` > `match`.
    LogIndex match = 0;
    LogIndex next = 1;
    Replication state = Replication::kProbe;
    /// Probe and snapshot: a message is on its way, wait for the answer or the
    /// next heartbeat.
    bool waiting = false;
    /// Last index of each append on its way, ascending.
    std::deque<LogIndex> inflight;
    /// Highest round the member answered.
    std::uint64_t round = 0;
    Time last_answer{};
    /// The snapshot being sent. Kept by reference while ours is replaced.
    std::shared_ptr<const Snapshot> snapshot;
    std::uint64_t snapshot_offset = 0;
  };

  struct Batch {
    std::uint64_t id = 0;
    LogIndex last_index = 0;
    Term term = 0;
    ReplicaId vote;
  };

  struct PendingRead {
    std::uint64_t id = 0;
    LogIndex index = 0;
    std::uint64_t round = 0;
  };

  /// A snapshot received in part.
  struct PartialSnapshot {
    LogIndex index = 0;
    Term term = 0;
    ReplicaId from;
    std::string data;
  };

  void Advance(Time now);
  bool IsVoter() const { return configuration().IsVoter(replica_); }
  bool InLeaderLease() const;
  bool HearsQuorum() const;
  bool CommittedInOwnTerm() const;
  bool IsUpToDate(LogIndex last_index, Term last_term) const;

  // Founding.
  void SendHellos();
  void HandleHello(const ReplicaId& from, const proto::RaftHello& hello);
  void HandleHelloReply(const ReplicaId& from,
                        const proto::RaftHelloReply& reply);
  void FoundIfAllAnswered();

  // Checks of incoming messages. Each returns false after counting the reason.
  bool CheckShape(const proto::RaftMessage& message);
  bool CheckSender(const proto::RaftMessage& message, const ReplicaId& from);
  bool CheckTerm(const proto::RaftMessage& message, const ReplicaId& from);
  bool StepHello(const proto::RaftMessage& message, const ReplicaId& from);
  void Dispatch(const proto::RaftMessage& message, const ReplicaId& from);
  void AnswerStale(const proto::RaftMessage& message, const ReplicaId& from);

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

  // Replication, leader's side.
  void Broadcast(Occasion occasion);
  void SendAppends(const ReplicaId& to, Progress& progress, Occasion occasion);
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
  void ReplaceWipedVoter();
  void AdvanceTransfer();
  void ConfirmReads();
  void FailReads();

  // Replication, follower's side.
  bool AcceptLeader(const ReplicaId& from);
  void HandleAppend(const ReplicaId& from, const proto::RaftAppend& append);
  void RefuseAppend(const ReplicaId& from, const proto::RaftAppend& append);
  void HandleSnapshotChunk(const ReplicaId& from,
                           const proto::RaftSnapshotChunk& chunk);
  void InstallSnapshot(Snapshot snapshot);
  void ReplySnapshot(const ReplicaId& from, const proto::RaftSnapshotChunk& in,
                     std::uint64_t offset, bool installed);

  // Log.
  void AppendOwn(EntryKind kind, std::string data);
  void AppendEntry(LogEntry entry);
  void TruncateFrom(LogIndex first_removed);
  ProposeResult CheckPropose() const;
  ProposeResult ProposeConfiguration(RaftConfiguration next);
  ProposeResult Refuse(ProposeResult::Refusal refusal) const;
  void SyncProgressWithConfiguration();
  void HandOutCommitted(RaftOutput& output);
  void FillBatch(RaftOutput& output);

  proto::RaftMessage NewMessage(const ReplicaId& to) const;

  RaftOptions options_;
  Random random_;
  /// Never goes back.
  Time now_;
  ReplicaId replica_;

  /// `term` and `commit` never decrease. `vote` is set at most once per term.
  HardState hard_state_;
  /// Contains every entry from the base on. Entries up to `hard_state_.commit`
  /// never change.
  RaftLog log_;
  /// Latest snapshot; covers at least the entries that `log_` dropped.
  std::shared_ptr<const Snapshot> snapshot_;
  /// Configurations by the index of their entry, from the one that the
  /// snapshot holds on. The last is in force as soon as it is in the log.
  std::map<LogIndex, RaftConfiguration> configurations_;

  RaftRole role_ = RaftRole::kFollower;
  ReplicaId leader_;
  std::optional<Time> last_leader_contact_;
  Time election_deadline_;
  Time next_heartbeat_;
  Time next_hello_;
  std::map<ReplicaId, bool> votes_;

  /// Leader only; one for each other member.
  std::map<ReplicaId, Progress> progress_;
  std::uint64_t round_ = 0;
  bool heartbeat_due_ = false;
  bool commit_due_ = false;
  std::deque<PendingRead> pending_reads_;
  std::optional<ReplicaId> transfer_target_;
  Time transfer_deadline_;
  bool timeout_now_sent_ = false;

  PartialSnapshot partial_snapshot_;

  /// Entries up to here are durable here. At most the last index.
  LogIndex durable_ = 0;
  /// Entries up to here were handed out as committed, or are part of the
  /// snapshot that was handed out to be installed. At most the commit index.
  LogIndex delivered_ = 0;
  /// Entries up to here were handed out to be written.
  LogIndex handed_over_ = 0;
  HardState handed_over_state_;
  std::uint64_t next_batch_ = 1;
  /// Batches before this one were written before a truncation or a snapshot;
  /// they say nothing about what is durable now.
  std::uint64_t first_valid_batch_ = 1;
  std::deque<Batch> batches_;
  bool storage_failed_ = false;

  /// Founders that answered that they have no configuration.
  std::map<InstanceId, ReplicaId> unconfigured_founders_;
  bool founding_forbidden_ = false;
  /// Instances that hellos go to: the founders and the voters that answers
  /// named.
  std::set<InstanceId> hello_targets_;
  std::map<ReplicaId, Time> unconfigured_replicas_;

  /// Collects until TakeOutput().
  RaftOutput output_;
  RaftCounters counters_;
};

}  // namespace cassiausher

#endif  // SERVERS_CONSENSUS_RAFT_H_
