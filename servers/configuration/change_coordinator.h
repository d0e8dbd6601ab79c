// Rolls out changes on the leader of the replicated log: stages each change at
// every instance, activates or aborts it through the log, and answers once
// every data centre runs it or the change timeout has passed.
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
  /// Length of the configuration lease of an instance; once it expires, the
  /// instance may have missed changes. Below the change timeout of 2 s, so
  /// that an instance that dies during a change doesn't abort it.
  Duration lease = Milliseconds(1500);
  /// Interval between two sends of the same Stage or Activate.
  Duration retry_interval = Milliseconds(200);
  /// A proposal that isn't applied within this time is proposed again.
  Duration proposal_retry = Seconds(1);
  /// Submissions that may await an answer; further ones are abandoned.
  std::size_t max_pending_submissions = 256;
};

/// Live instances of each data centre according to membership.
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
/// Ends a submission whose outcome is unknown here; the operator retries with
/// the same change id.
struct AbandonSubmission {
  std::uint64_t submission = 0;
  std::string reason;
};

using CoordinatorOutput =
    std::variant<SendToInstance, Propose, AnswerSubmission, AbandonSubmission>;

/// Not thread safe; the control task owns it. Its decisions derive from the
/// replicated state, so that a new leader continues where the log ends: a
/// staged change is activated or aborted by whichever entry is committed
/// first, and the state ignores the other.
class ChangeCoordinator {
 public:
  /// `state` outlives the coordinator. The owner applies committed entries to
  /// it and calls OnApplied() after each.
  explicit ChangeCoordinator(const ReplicatedState* state,
                             CoordinatorOptions options = {});

  /// Call once the leader has applied an entry of its own term.
  void BecomeLeader(Time now);
  /// Abandons pending submissions; leaves a staged change to the next leader.
  void StepDown();
  /// A majority of voters confirmed a heartbeat sent at `sent_at`. Leases
  /// expire at most `lease` after `sent_at`. A new leader that has led for
  /// `lease` plus clock drift therefore knows that all leases of the previous
  /// leader have expired.
  void OnQuorumContact(Time sent_at);
  void SetMembers(LiveMembers members, Time now);

  /// `submission` identifies the call in the outputs. The permission to make
  /// the change must have been checked before.
  void Submit(std::uint64_t submission, const Change& change, Time now);

  void OnFollow(const Follow& follow, Time now);
  void OnStaged(const Staged& staged, Time now);
  void OnActivated(const Activated& activated, Time now);
  void OnApplied(const Applied& applied, Time now);
  /// Call at least every 50 ms while leading.
  void Tick(Time now);

  std::vector<CoordinatorOutput> TakeOutputs();

  bool leading() const { return leading_; }
  /// Lowest active revision that a live instance of the data centre has
  /// reported, or nothing if none has reported.
  std::optional<Revision> RevisionOf(const DataCentreId& data_centre) const;

 private:
  /// Last reported state of an instance. Within an incarnation, revision and
  /// index never decrease.
  struct FollowerProgress {
    DataCentreId data_centre;
    Incarnation incarnation{0};
    bool has_configuration = false;
    Revision active{0};
    std::uint64_t staged_index = 0;
    /// Expiry of the last lease granted, on this process's clock.
    Time lease_until{};
  };
  struct PendingSubmission {
    std::uint64_t submission = 0;
    ChangeId id;
    TextHash text;
    /// Set once the change is active. If it isn't confirmed by then, the answer
    /// says that it is not in force and names the data centres without
    /// confirmation.
    std::optional<Time> deadline;
  };
  /// Distribution of the staged change to all instances.
  struct Attempt {
    std::uint64_t stage_index = 0;
    Time deadline{};
    Time next_send{};
    /// Activate or Abort, once decided; proposed until it is applied.
    std::optional<StateEntry> decision;
    Time next_proposal{};
  };
  /// Instances without an acknowledgement, by data centre. An empty list means
  /// that the data centre has no live instance.
  using Missing = std::map<DataCentreId, std::vector<InstanceId>>;

  void Advance(Time now);
  void ProposeNextChange(Time now);
  void DriveStagedChange(Time now);
  void Decide(StateEntry decision, Time now);
  void DriveActivation(Time now);
  void ProposeConfirmation(Time now);
  void AnswerPendingSubmissions(Time now);
  /// Returns false if the submission can't be answered yet.
  bool TryAnswer(PendingSubmission* pending, Time now);
  void Answer(std::uint64_t submission, ChangeAnswer answer);
  void Refuse(std::uint64_t submission, std::string place, std::string message);

  /// Null if the message comes from an earlier incarnation.
  FollowerProgress* ProgressOf(const InstanceId& instance,
                               Incarnation incarnation);
  void GrantLease(FollowerProgress* progress, Activate* answer, Time now) const;
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
  std::map<InstanceId, FollowerProgress> followers_;
  /// Changes that aren't staged yet, without duplicate ids.
  std::deque<Change> queue_;
  Time next_stage_proposal_{};
  std::optional<Attempt> attempt_;
  Time next_activate_send_{};
  Time next_confirm_proposal_{};
  std::vector<PendingSubmission> pending_submissions_;
  std::vector<CoordinatorOutput> outputs_;
};

}  // namespace cassiausher

#endif  // SERVERS_CONFIGURATION_CHANGE_COORDINATOR_H_
