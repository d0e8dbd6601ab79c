// The replicated state on one instance: the active configuration, the replica
// of the log if the instance votes, and the forwarding of changes and ledger
// commands to the leader.
#ifndef MAIN_DAEMON_CONFIGURATION_SERVICE_H_
#define MAIN_DAEMON_CONFIGURATION_SERVICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/time.h"
#include "main/daemon/control_context.h"
#include "main/daemon/replica_host.h"
#include "servers/configuration/admission_gate.h"
#include "servers/configuration/change_coordinator.h"
#include "servers/configuration/configuration_follower.h"
#include "servers/language/row.h"
#include "servers/ledger/ledger.h"

namespace cassiausher {

class ConfigurationService : public ReplicaDelegate {
 public:
  /// `answer` is the JSON response body for the operator.
  using ChangeReply = std::function<void(int status, std::string answer)>;
  /// Called with nullopt if no commit was confirmed in time; the command may
  /// still be committed later.
  using LedgerReply = std::function<void(std::optional<LedgerAnswer>)>;
  using ConfigurationListener =
      std::function<void(std::shared_ptr<const Configuration>)>;

  ConfigurationService(ControlContext& context, ConfigurationListener listener);

  /// Opens the log if this instance votes. An instance whose log can't be
  /// opened serves without voting.
  void Start();
  /// `members`: live instances by data centre. `reachable`: those that this
  /// instance can reach. `started`: incarnation at which each live instance's
  /// run started.
  void SetMembers(LiveMembers members, std::set<InstanceId> reachable,
                  std::map<InstanceId, Incarnation> started, Time now);
  /// False while this instance may have missed changes: it has no
  /// configuration, or hasn't caught up with the log after a partition.
  bool may_admit() const { return gate_.MayAdmit(); }
  void OnInstanceLost(const InstanceId& instance, Incarnation incarnation,
                      Time now);
  /// Returns false if the envelope holds no message for this service.
  bool OnEnvelope(const proto::Envelope& envelope, const InstanceId& sender,
                  Time now);
  void Tick(Time now);

  /// `change` is the parsed form of `text`; the permission has been checked.
  void Submit(const Change& change, ChangeReply reply, Time now);
  /// Answers the operators whose changes the leader hasn't answered yet.
  void EndChanges();
  /// Retries the command until it is committed or `timeout` has elapsed.
  void Command(const LedgerEntry& entry, Duration timeout, LedgerReply reply,
               Time now);

  /// Whether a ledger command of this instance isn't known to be committed.
  bool has_open_commands() const { return !commands_.empty(); }
  const std::shared_ptr<const Configuration>& active() const { return active_; }
  bool lease_valid(Time now) const { return follower_.LeaseValid(now); }
  bool votes() const { return replica_ != nullptr; }
  bool leading() const { return replica_ != nullptr && replica_->leading(); }
  /// Null on an instance that doesn't vote.
  const ReplicatedState* state() const {
    return replica_ == nullptr ? nullptr : &replica_->state();
  }
  std::vector<Row> ChangeRows() const;
  nlohmann::json Dump(Time now) const;
  void TransferLeadership(Time now);

  // ReplicaDelegate.
  void SendRaft(const proto::RaftMessage& message) override;
  void SendConfiguration(const InstanceId& to,
                         const ConfigurationMessage& message) override;
  void OnSubmissionAnswered(std::uint64_t submission,
                            const ChangeAnswer& answer) override;
  void OnSubmissionAbandoned(std::uint64_t submission,
                             const std::string& reason) override;
  void OnLedgerCommand(std::uint64_t command, bool committed,
                       const LedgerAnswer& answer) override;
  void OnStateApplied(const ReplicatedState& state) override;

 private:
  /// A change submitted at this instance that awaits the leader's answer.
  struct PendingChange {
    Change change;
    ChangeReply reply;
    Time started{};
    Time next_send{};
  };
  /// A ledger command of this instance that awaits the leader's answer.
  struct PendingCommand {
    LedgerEntry entry;
    LedgerReply reply;
    Time deadline{};
    Time next_send{};
  };
  /// Instance that gets the answer to a submission, and its own id for it.
  struct Origin {
    InstanceId instance;
    std::uint64_t id = 0;
    auto operator<=>(const Origin&) const = default;
  };

  /// Next hop for a message to the leader: the leader if known, else a live
  /// voter, those of this data centre first. Empty if there is none.
  InstanceId NextHopToLeader() const;
  void RotateVoter() { ++voter_rotation_; }
  /// Returns false if this instance leads. Otherwise forwards the message, or
  /// drops it if no leader is known, and returns true.
  bool ForwardToLeader(const proto::Envelope& envelope);

  void SendChange(std::uint64_t id, PendingChange& pending, Time now);
  void SendCommand(std::uint64_t id, PendingCommand& pending, Time now);
  void OnChangeRequest(const proto::Envelope& envelope, Time now);
  void OnChangeReply(const proto::ChangeReply& reply);
  void OnLedgerRequest(const proto::Envelope& envelope, Time now);
  void OnLedgerReply(const proto::LedgerReply& reply, Time now);
  void OnConfigurationBytes(const proto::Envelope& envelope,
                            const InstanceId& sender, Time now);
  void SubmitLocally(const Origin& origin, const Change& change, Time now);
  void ProposeLocally(const Origin& origin, const LedgerEntry& entry, Time now);
  /// Ends a change of this instance without the leader's answer.
  void EndChange(std::uint64_t id);
  void AnswerChange(const Origin& origin, const std::string& answer);
  void DispatchFollower(Time now);
  void UpdateGate(Time now);
  void SetActive(std::shared_ptr<const Configuration> configuration);

  ControlContext& context_;
  ConfigurationListener listener_;
  Counter& malformed_;
  Gauge& revision_;
  Gauge& leading_gauge_;
  ConfigurationFollower follower_;
  std::unique_ptr<ReplicaHost> replica_;
  std::shared_ptr<const Configuration> active_;
  std::set<InstanceId> live_;
  std::size_t voter_rotation_ = 0;
  bool had_valid_lease_ = false;
  AdmissionGate gate_;

  /// Starts at random, so that answers to an earlier process of this instance
  /// match none, and its open submissions aren't taken for those of this one.
  std::uint64_t next_id_ = RandomNonZero();
  std::map<std::uint64_t, PendingChange> changes_;
  std::map<std::uint64_t, PendingCommand> commands_;
  // While leading: submissions and ledger commands of all instances.
  std::map<std::uint64_t, Origin> submissions_;
  std::set<Origin> submitted_;
  std::map<std::uint64_t, Origin> ledger_origins_;
  std::uint64_t next_submission_ = 1;
};

}  // namespace cassiausher

#endif  // MAIN_DAEMON_CONFIGURATION_SERVICE_H_
