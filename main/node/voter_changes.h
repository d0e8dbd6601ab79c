// Membership changes of the log's Raft group: what the leader knows of the
// control instances besides their replicas, and the steps that it proposes.
#ifndef MAIN_NODE_VOTER_CHANGES_H_
#define MAIN_NODE_VOTER_CHANGES_H_

#include <map>
#include <set>

#include "core/ids.h"
#include "core/time.h"
#include "core/units.h"
#include "main/node/node_settings.h"
#include "proto/gen/node.pb.h"
#include "servers/consensus/raft.h"
#include "servers/control/stopping_members.h"
#include "servers/control/voter_planner.h"

namespace cassiausher {

class VoterChanges {
 public:
  explicit VoterChanges(const NodeSettings& settings);

  /// Every control instance learns this, as each may be the next leader.
  void OnSync(const InstanceId& from, Incarnation process,
              const proto::Sync& sync, Time now);
  void OnStopping(const ReplicaId& replica, Incarnation process, Time now);
  std::set<ReplicaId> stopping() const { return stopping_.replicas(); }
  /// Whether a majority of the voters, `self` among them if it votes, was heard
  /// from lately.
  bool HearsMajority(const RaftConfiguration& configuration,
                     const ReplicaId& self, Time now) const;

  /// Leader only. Proposes the next step, if one is due.
  void Advance(Raft& raft, Time now);
  /// Leader only. Whether a voter that stops keeps its vote, as no replica
  /// could take it over.
  bool KeepsVote(const Raft& raft, const ReplicaId& voter, Time now);

 private:
  VoterView View(const Raft& raft, Time now);
  bool IsHeard(const InstanceId& instance, Time now) const;

  VoterPlannerOptions options_;
  std::map<InstanceId, DataCentreId> data_centres_;
  std::map<InstanceId, Time> heard_at_;
  StoppingMembers stopping_;
};

}  // namespace cassiausher

#endif  // MAIN_NODE_VOTER_CHANGES_H_
