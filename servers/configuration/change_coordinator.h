// Brings changes into force: on the leader of the replicated log, stages each
// change at every instance, activates or aborts it through the log, and answers
// once every data centre runs it.
#ifndef SERVERS_CONFIGURATION_CHANGE_COORDINATOR_H_
#define SERVERS_CONFIGURATION_CHANGE_COORDINATOR_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "servers/configuration/change.h"
#include "servers/configuration/configuration_messages.h"
#include "servers/configuration/replicated_state.h"

namespace cassiausher {

struct CoordinatorOptions {
  /// An instance that has heard nothing for this long knows that the active
  /// configuration may have passed it by. Below the change timeout of 2 s, so
  /// that an instance that dies during a change doesn't abort it.
  Duration lease = Milliseconds(1500);
  /// Between two sends of the same Stage or Activate.
  Duration retry_interval = Milliseconds(200);
  /// A proposal that wasn't applied by then is proposed again.
  Duration proposal_retry = Seconds(1);
  /// Changes that may wait for the one in progress.
  std::size_t waiting_changes = 256;
};

/// Live instances of each data centre, as membership sees them.
using LiveMembers = std::map<DataCentreId, std::set<InstanceId>>;

struct SendToInstance {
  InstanceId to;
  ConfigurationMessage message;
};
struct Propose {
  StateEntry entry;
};
struct AnswerSubmission {
  std::uint64_t submission = 0;
  ChangeAnswer answer;
};
/// The outcome isn't known here; the operator sends the same id again.
struct AbandonSubmission {
  std::uint64_t submission = 0;
  std::string reason;
};

using CoordinatorOutput =
    std::variant<SendToInstance, Propose, AnswerSubmission, AbandonSubmission>;

/// Not thread safe; the control task owns it. It decides from the replicated
/// state, so that a new leader continues where the log ends: a staged change
/// is activated or aborted by whichever entry is committed first, and the
/// state ignores the other.
class ChangeCoordinator {
 public:
  /// `state` outlives the coordinator. The owner applies committed entries to
  /// it and calls OnApplied() after each.
  explicit ChangeCoordinator(const ReplicatedState* state,
                             CoordinatorOptions options = {});

  /// Call once the leader has applied an entry of its own term.
  void BecomeLeader(Time now);
  /// Waiting submissions are lost; a staged change is left to the next leader.
  void StepDown();
  /// A majority of voters confirmed a heartbeat sent at `sent_at`. Leases end
  /// at most `lease` after it, so that those of a deposed leader have ended
  /// once a new leader has led for as long.
  void OnQuorumContact(Time sent_at);
  void SetMembers(LiveMembers members, Time now);

  /// `submission` names the call in the outputs. The permission to make the
  /// change has been checked.
  void Submit(std::uint64_t submission, const Change& change, Time now);

  void OnFollow(const Follow& follow, Time now);
  void OnStaged(const Staged& staged, Time now);
  void OnActivated(const Activated& activated, Time now);
  void OnApplied(const Applied& applied, Time now);
  /// Every 50 ms or less while leading.
  void Tick(Time now);

  std::vector<CoordinatorOutput> TakeOutputs();

  bool leading() const { return leading_; }
  /// Lowest revision that an instance of the data centre has confirmed, or
  /// nothing if none of its live instances is known.
  std::optional<Revision> RevisionOf(const DataCentreId& data_centre) const;

 private:
  /// What is known of an instance; acknowledgements of one incarnation only
  /// grow.
  struct FollowerView {
    DataCentreId data_centre;
    Incarnation incarnation{0};
    bool has_configuration = false;
    Revision active{0};
    std::uint64_t staged_index = 0;
    /// End of the last lease granted, on this process's clock.
    Time lease_until{};
  };
  struct Waiter {
    std::uint64_t submission = 0;
    ChangeId id;
    TextHash text;
    /// Set once the change is active: when the answer is given although a data
    /// centre hasn't confirmed.
    std::optional<Time> deadline;
  };
  /// The staged change that is being brought to all instances.
  struct Attempt {
    std::uint64_t stage_index = 0;
    Time deadline{};
    Time next_send{};
    /// Activate or Abort, once decided; proposed until it is applied.
    std::optional<StateEntry> decision;
    Time next_proposal{};
  };
  /// Instances that lack something, by data centre. An empty list: the data
  /// centre has no live instance.
  using Missing = std::map<DataCentreId, std::vector<InstanceId>>;

  void Advance(Time now);
  void ProposeNextChange(Time now);
  void DriveStagedChange(Time now);
  void Decide(StateEntry decision, Time now);
  void DriveActivation(Time now);
  void ProposeConfirmation(Time now);
  void SettleWaiters(Time now);
  /// Returns false if the waiter goes on waiting.
  bool Settle(Waiter* waiter, Time now);
  void Answer(std::uint64_t submission, ChangeAnswer answer);
  void Refuse(std::uint64_t submission, std::string place, std::string message);

  FollowerView* ViewOf(const InstanceId& instance, Incarnation incarnation);
  void GrantLease(FollowerView* view, Activate* answer, Time now) const;
  std::set<InstanceId> RequiredInstances(const DataCentreId& data_centre,
                                         Time now) const;
  std::set<DataCentreId> RequiredDataCentres(
      const Configuration& configuration) const;
  template <typename Acknowledged>
  Missing FindMissing(const Configuration& configuration, Time now,
                      const Acknowledged& acknowledged) const;
  Missing MissingStage(const StagedChange& staged, Time now) const;
  Missing MissingRevision(Revision revision, Time now) const;
  void SendStage(const InstanceId& to, const StagedChange& staged);

  Duration ChangeTimeout() const {
    return state_->active()->limits.change_timeout;
  }

  const ReplicatedState* state_;
  CoordinatorOptions options_;
  bool leading_ = false;
  Time leading_since_{};
  std::optional<Time> quorum_contact_;
  LiveMembers members_;
  std::map<InstanceId, FollowerView> followers_;
  /// Changes that aren't staged yet, each id once.
  std::deque<Change> queue_;
  Time next_stage_proposal_{};
  std::optional<Attempt> attempt_;
  Time next_activate_send_{};
  Time next_confirm_proposal_{};
  std::vector<Waiter> waiters_;
  std::vector<CoordinatorOutput> outputs_;
};

}  // namespace cassiausher

#endif  // SERVERS_CONFIGURATION_CHANGE_COORDINATOR_H_
