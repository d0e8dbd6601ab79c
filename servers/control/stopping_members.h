// The members of the Raft group whose processes have announced that they stop.
// A process can't tell whether it is stopped for good or starts again.
#ifndef SERVERS_CONTROL_STOPPING_MEMBERS_H_
#define SERVERS_CONTROL_STOPPING_MEMBERS_H_

#include <map>
#include <set>

#include "core/ids.h"
#include "core/time.h"
#include "core/units.h"
#include "servers/consensus/raft_types.h"

namespace cassiausher {

class StoppingMembers {
 public:
  /// A process repeats its announcement while it stops.
  void OnStopping(const ReplicaId& replica, Incarnation process, Time now);
  /// A message of a process of the instance has arrived; a later one than that
  /// which stopped has taken its place.
  void OnProcess(const InstanceId& instance, Incarnation process);
  /// Forgets processes that have ended long ago.
  void Expire(Time now);

  std::set<ReplicaId> replicas() const;

 private:
  struct Announcement {
    Incarnation process;
    Time heard_at{};
  };

  std::map<ReplicaId, Announcement> announcements_;
};

}  // namespace cassiausher

#endif  // SERVERS_CONTROL_STOPPING_MEMBERS_H_
