// What the control instances replicate: the configuration and the endpoints
// that announced that they leave. Raft, the state that it drives, and the
// automatic replacement of lost voters.
#ifndef MAIN_NODE_CONFIGURATION_LOG_H_
#define MAIN_NODE_CONFIGURATION_LOG_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/metrics.h"
#include "core/time.h"
#include "main/node/node_settings.h"
#include "main/node/voter_changes.h"
#include "main/raft_host.h"
#include "proto/gen/node.pb.h"
#include "servers/control/configuration_register.h"
#include "servers/control/leaving_endpoints.h"
#include "servers/control/log_command.h"
#include "servers/control/vote_handover.h"

namespace cassiausher {

/// What another instance's replica says of its log.
struct ReplicaLog {
  /// Storage under which the replica votes.
  std::uint64_t storage = 0;
  /// The latest in its log.
  RaftConfiguration configuration;
};
using ReplicaLogs = std::map<InstanceId, ReplicaLog>;

/// Called on the log's task.
class ConfigurationLogDelegate {
 public:
  virtual ~ConfigurationLogDelegate() = default;
  virtual void SendToNode(const InstanceId& to,
                          const proto::NodeMessage& message) = 0;
  /// A newer configuration is committed.
  virtual void OnConfiguration(const VersionedDocument& document) = 0;
  /// An endpoint's announcement that it leaves is committed, or stands in the
  /// log on disk: it may have been committed and acknowledged.
  virtual void OnLeaving(const LeavingEndpoint& leaving) = 0;
  /// The submitted command, or one that says more, is committed.
  virtual void OnSubmitted(const InstanceId& origin,
                           std::uint64_t submission) = 0;
  /// `served`: current() is at least as new as the configuration in force when
  /// the read began.
  virtual void OnCurrentRead(const InstanceId& origin, std::uint64_t read,
                             bool served) = 0;
};

class ConfigurationLog : public RaftHostDelegate {
 public:
  ConfigurationLog(const NodeSettings& settings, Metrics& metrics,
                   GMainContext* context, ConfigurationLogDelegate& delegate);
  ~ConfigurationLog() override;

  /// Opens the log. What keeps it from that may pass, such as a full disk:
  /// Tick() tries again. A log that is damaged is set aside, and the replica
  /// begins anew with an empty one.
  void Start(Time now);
  /// The deployment starts for the first time: nothing was acknowledged before.
  bool is_new() const { return is_new_; }
  void OnRaft(const std::string& bytes);
  void Tick(Time now);
  /// This process stops. Transfers the leadership to a voter that doesn't.
  void Stop(Incarnation process, Time now);
  /// This replica's part in the group.
  GroupRole role(Time now) const;
  /// Of this replica; empty without one.
  ReplicaId replica() const;

  bool leading() const;
  /// Leader only.
  Term term() const { return host_->raft().term(); }
  /// Empty if unknown. A replica that isn't a member knows the leader from the
  /// members that it sends.
  InstanceId leader() const;
  const VersionedDocument& current() const { return register_.current(); }
  /// Whether the log is known to hold all that the command says.
  bool Holds(const LogCommand& command) const;
  /// Storage of this replica, under which it votes; 0 without a replica.
  std::uint64_t storage() const;
  /// The latest configuration in this replica's log; empty without a replica.
  RaftConfiguration configuration() const;
  /// Whether this log and `logs` hold whatever is committed: they are a
  /// majority of the voters by each configuration that one of them holds.
  /// Consecutive configurations differ by one replica, so that none later is in
  /// force.
  bool HoldAllCommitted(const ReplicaLogs& logs) const;
  /// When a quorum last confirmed that this leader's current() was the newest;
  /// empty if this instance doesn't lead.
  std::optional<Time> ConfirmedAt() const;

  /// Leader only. Answered by OnSubmitted(); not at all if the proposal is
  /// refused or leadership is lost.
  void Submit(const InstanceId& origin, std::uint64_t submission,
              const LogCommand& command, Time now);
  /// Leader only. Answered by OnCurrentRead().
  void ReadCurrent(const InstanceId& origin, std::uint64_t read, Time now);

  /// The group's members, which the leader sends to the other instances. Null
  /// if this instance doesn't lead or the membership isn't committed.
  std::unique_ptr<proto::Members> Members() const;
  /// What another control instance says of its process.
  void OnSync(const InstanceId& from, Incarnation process,
              const proto::Sync& sync, Time now);
  /// Leader only. Whether the voter, which stops, keeps its vote.
  bool KeepsVote(const ReplicaId& voter, Time now);
  /// A replica that was replaced while it was unreachable restarts with an
  /// empty log, as a spare.
  void OnMembers(const InstanceId& from, const proto::Members& members,
                 Time now);

 private:
  struct Waiter {
    InstanceId origin;
    std::uint64_t id = 0;
  };
  struct Proposal {
    Term term = 0;
    LogCommand command;
    std::vector<Waiter> waiters;
  };

  // RaftHostDelegate.
  void SendRaft(const proto::RaftMessage& message) override;
  void OnStored(const StoredState& stored) override;
  void OnInstall(const Snapshot& snapshot) override;
  void OnCommitted(const LogEntry& entry) override;
  void OnRead(const ReadResult& read) override;
  void OnRoleChanged() override;
  void OnDispatched() override;

  void OpenReplica(Time now);
  std::optional<StorageError> StartReplica();
  void OnOpenFailed(const StorageError& error, Time now);
  /// Renames the log's folder, so that the next replica begins with an empty
  /// log and never bootstraps.
  void MoveLog(const std::string& to);
  /// Replaces the replica by one with an empty log. Without a working disk
  /// there is no replica afterwards, until the log can be opened.
  void WatchDisk();
  void ResetReplica(Time now);
  /// Notes replicas that were added.
  void WatchMembers();
  void Apply(LogCommand command, Time now);
  void ApplyDocument(VersionedDocument document);
  void AdvanceVoters(Time now);
  void CompactIfDue(Time now);
  bool IsCompactionDue(Time now) const;

  const NodeSettings& settings_;
  Metrics& metrics_;
  GMainContext* context_;
  ConfigurationLogDelegate& delegate_;
  /// Null while the log can't be opened.
  std::unique_ptr<RaftHost> host_;
  ConfigurationRegister register_;
  LeavingEndpoints leaving_{LeavingEndpointsOptions{}};
  VoterChanges voter_changes_;
  bool is_new_ = false;
  /// An empty log may be the beginning of a new group.
  bool may_bootstrap_ = false;
  /// The log on disk has departures that are forgotten here. A restart would
  /// bring them back.
  bool has_forgotten_ = false;
  Time next_forgetting_{};
  /// By log index.
  std::map<LogIndex, Proposal> proposals_;
  std::map<std::uint64_t, Waiter> reads_;
  std::uint64_t next_read_ = 1;
  int entries_since_compaction_ = 0;
  std::size_t bytes_since_compaction_ = 0;
  /// The latest that was looked at for replicas that were added.
  RaftConfiguration known_members_;
  /// A replica was added, perhaps under an earlier leader. Its log is empty,
  /// and a snapshot of the leader spares it the documents of the past.
  bool has_new_member_ = false;
  /// Sent the members last, as the leader; empty once that is too long ago.
  InstanceId members_sender_;
  Time members_received_{};
  /// The replica is to be replaced by one with an empty log.
  bool reset_due_ = false;
  /// The log couldn't be opened.
  bool open_due_ = false;
  /// A write has been waiting for the disk for long.
  bool disk_stalled_ = false;
  /// Next attempt at either.
  Time next_open_{};
  Time next_unavailable_line_{};
};

}  // namespace cassiausher

#endif  // MAIN_NODE_CONFIGURATION_LOG_H_
