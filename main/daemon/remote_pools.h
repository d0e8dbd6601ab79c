// The pools of other data centres, by the last summary of their owners.
#ifndef MAIN_DAEMON_REMOTE_POOLS_H_
#define MAIN_DAEMON_REMOTE_POOLS_H_

#include <map>
#include <set>
#include <utility>

#include "core/ids.h"
#include "core/time.h"
#include "main/daemon/messages.h"
#include "proto/gen/control.pb.h"

namespace cassiausher {

/// The last summary of another data centre's pool.
struct RemotePool {
  PoolAddress address;
  int free_slots = 0;
  int queued = 0;
  int endpoints = 0;
  Time received{};

  int SpareSlots() const { return free_slots - queued; }
};

/// Not thread safe.
class RemotePools {
 public:
  /// Returns the pool, and whether another instance owned it before.
  std::pair<const RemotePool&, bool> Update(const proto::PoolSummary& summary,
                                            const InstanceId& owner, Time now);
  /// The pool of the service with the most spare slots, outside the data
  /// centres that refused. Null if there is none with a recent summary.
  const RemotePool* Best(const ServiceId& service,
                         const std::set<DataCentreId>& refused_by,
                         Time now) const;
  /// Owners of the service's pools whose last summary isn't older than
  /// `max_age`.
  std::set<InstanceId> Owners(const ServiceId& service, Duration max_age,
                              Time now) const;

 private:
  std::map<std::pair<DataCentreId, ServiceId>, RemotePool> pools_;
};

}  // namespace cassiausher

#endif  // MAIN_DAEMON_REMOTE_POOLS_H_
