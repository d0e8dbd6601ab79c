// One voter's part of the replicated log, inside the control task: consensus,
// the state it drives, and the coordinator of changes while this instance
// leads.
#ifndef MAIN_REPLICA_HOST_H_
#define MAIN_REPLICA_HOST_H_

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

/// What the host asks of the control task. Called on the control task.
class ReplicaDelegate {
 public:
  virtual ~ReplicaDelegate() = default;
  virtual void SendRaft(const proto::RaftMessage& message) = 0;
  virtual void SendConfiguration(const InstanceId& to,
                                 const ConfigurationMessage& message) = 0;
  virtual void OnSubmissionAnswered(std::uint64_t submission,
                                    const ChangeAnswer& answer) = 0;
  virtual void OnSubmissionLost(std::uint64_t submission,
                                const std::string& reason) = 0;
  /// `committed` false: the command was lost or refused; nothing happened yet
  /// under this proposal, and the same command may be sent again.
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
  /// Hands leadership to another voter before a graceful exit.
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

  /// What the entry led to; nothing for one that holds no command.
  LedgerAnswer Apply(const LogEntry& entry, Time now);
  void DispatchCoordinator(Time now);
  void Propose(const StateEntry& entry, Time now);
  /// Releases claims whose instance is gone. A death reported around a change
  /// of leader is lost, so the claims themselves are compared with the
  /// members.
  void ProposeLostHolders(Time now);
  void CompactIfDue();

  const Settings& settings_;
  ReplicaDelegate& delegate_;
  Counter& applied_;
  Counter& malformed_;
  RaftHost host_;
  ReplicatedState state_;
  ChangeCoordinator coordinator_;
  LiveMembers members_;
  std::map<InstanceId, Incarnation> started_;
  /// Ledger commands by the index of their entry.
  std::map<LogIndex, PendingCommand> commands_;
  std::map<std::uint64_t, Time> reads_;
  std::uint64_t next_read_ = 1;
  Time last_read_{};
  Time last_expiry_{};
  Time last_holders_{};
  std::uint64_t entries_since_compaction_ = 0;
};

}  // namespace cassiausher

#endif  // MAIN_REPLICA_HOST_H_
