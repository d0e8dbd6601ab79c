// How long a control instance that stops remains for its vote: until another
// replica has taken it over, or it is known that none can.
#ifndef SERVERS_CONTROL_VOTE_HANDOVER_H_
#define SERVERS_CONTROL_VOTE_HANDOVER_H_

#include <optional>
#include <set>

#include "core/time.h"
#include "servers/consensus/raft.h"
#include "servers/consensus/raft_types.h"

namespace cassiausher {

/// The instance's part in the Raft group.
struct GroupRole {
  /// By the latest configuration that it knows of, committed or not; or it is
  /// about to get a vote.
  bool votes = false;
  bool leads = false;
  /// Another voter could lead in its place. Known to a leader only.
  bool has_successor = false;
  /// A majority of the voters was heard from lately: the group can elect a
  /// leader, however long that takes on slow disks. Not set by RoleOf().
  bool hears_majority = false;
};

/// The voter that should lead if the leader stops: of those that have answered
/// `within` the given time and don't stop, the one with most of the log; one
/// whose vote is being taken only if there is no other.
std::optional<ReplicaId> ChooseNextLeader(const Raft& raft,
                                          const std::set<ReplicaId>& stopping,
                                          Duration within);

GroupRole RoleOf(const Raft& raft, const std::set<ReplicaId>& stopping,
                 Duration within);

class VoteHandover {
 public:
  void Begin(Time now);
  bool begun() const { return answered_at_.has_value(); }
  /// The leader has heard that this instance stops. `keeps_vote`: no replica
  /// could take the vote over.
  void OnAnswer(bool keeps_vote, Time now);
  /// Whether the process may end, as far as its vote is concerned.
  bool Finished(const GroupRole& role, Time now) const;

 private:
  bool keeps_vote_ = false;
  /// When a leader last answered that a replica could take the vote over.
  std::optional<Time> relief_at_;
  /// When a leader last answered, or when the stop began; empty before.
  std::optional<Time> answered_at_;
};

}  // namespace cassiausher

#endif  // SERVERS_CONTROL_VOTE_HANDOVER_H_
