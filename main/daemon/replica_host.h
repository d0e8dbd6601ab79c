// One voter's replica of the log, on the control task: Raft, the state machine
// it drives, and the change coordinator while this instance leads.
#ifndef MAIN_DAEMON_REPLICA_HOST_H_
#define MAIN_DAEMON_REPLICA_HOST_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/metrics.h"
#include "core/settings.h"
#include "core/time.h"
#include "main/raft_host.h"
#include "proto/gen/raft.pb.h"
#include "servers/configuration/change_coordinator.h"
#include "servers/configuration/replicated_state.h"
#include "servers/consensus/log_storage.h"
#include "servers/consensus/raft.h"
#include "servers/ledger/ledger.h"

namespace cassiausher {

/// Callbacks of the host, called on the control task.
class ReplicaDelegate {
 public:
  virtual ~ReplicaDelegate() = default;
  virtual void SendRaft(const proto::RaftMessage& message) = 0;
  virtual void SendConfiguration(const InstanceId& to,
                                 const ConfigurationMessage& message) = 0;
  virtual void OnSubmissionAnswered(std::uint64_t submission,
                                    const ChangeAnswer& answer) = 0;
  virtual void OnSubmissionAbandoned(std::uint64_t submission,
                                     const std::string& reason) = 0;
  /// `committed` is false if the proposal was refused or lost; nothing has
  /// happened under it yet, and the same command may be sent again.
  virtual void OnLedgerCommand(std::uint64_t command, bool committed,
                               const LedgerAnswer& answer) = 0;
  virtual void OnStateApplied(const ReplicatedState& state) = 0;
};

class ReplicaHost : private RaftHostDelegate {
 public:
  ReplicaHost(const Settings& settings, Metrics& metrics, GMainContext* context,
              ReplicaDelegate& delegate);
  ~ReplicaHost() override;

  /// Opens the storage. Returns the error that keeps this instance from
  /// voting, empty on success.
  std::string Start(std::unique_ptr<LogStorage> storage);

  void OnRaftMessage(const proto::RaftMessage& message);
  void Tick(Time now);

  bool leading() const { return coordinator_.leading(); }
  /// Empty if unknown.
  InstanceId leader() const { return raft().leader().instance; }
  const Raft& raft() const { return host_.raft(); }
  const ReplicatedState& state() const { return state_; }
  const ChangeCoordinator& coordinator() const { return coordinator_; }

  // While leading.
  void SetMembers(LiveMembers members,
                  std::map<InstanceId, Incarnation> started, Time now);
  void Submit(std::uint64_t submission, const Change& change, Time now);
  void OnConfigurationMessage(const ConfigurationMessage& message, Time now);
  void ProposeLedger(std::uint64_t command, const LedgerEntry& entry, Time now);
  void OnInstanceLost(const InstanceId& instance, Incarnation incarnation,
                      Time now);
  /// Transfers leadership to another voter before a graceful exit.
  void TransferLeadership(Time now);

 private:
  struct PendingCommand {
    std::uint64_t command = 0;
    Term term = 0;
  };

  // RaftHostDelegate.
  void SendRaft(const proto::RaftMessage& message) override;
  void OnInstall(const Snapshot& snapshot) override;
  void OnCommitted(const LogEntry& entry) override;
  void OnRead(const ReadResult& read) override;
  void OnRoleChanged() override;
  void OnDispatched() override;

  /// Returns the ledger's answer; an empty one for an entry without a ledger
  /// command.
  LedgerAnswer Apply(const LogEntry& entry, Time now);
  void DispatchCoordinator(Time now);
  void Propose(const StateEntry& entry, Time now);
  /// Proposes to release claims whose holder is no longer a member. An instance
  /// loss reported around a change of leader may be dropped, so claim holders
  /// are compared with the members periodically.
  void ProposeClaimReleases(Time now);
  void CompactIfDue();

  const Settings& settings_;
  ReplicaDelegate& delegate_;
  Counter& applied_;
  Counter& malformed_;
  RaftHost host_;
  ReplicatedState state_;
  ChangeCoordinator coordinator_;
  LiveMembers members_;
  std::map<InstanceId, Incarnation> start_incarnations_;
  /// Ledger commands by log index.
  std::map<LogIndex, PendingCommand> commands_;
  std::map<std::uint64_t, Time> reads_;
  std::uint64_t next_read_ = 1;
  Time last_read_{};
  Time last_expiry_{};
  Time last_claim_check_{};
  std::uint64_t entries_since_compaction_ = 0;
};

}  // namespace cassiausher

#endif  // MAIN_DAEMON_REPLICA_HOST_H_
