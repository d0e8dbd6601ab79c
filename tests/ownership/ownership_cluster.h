// Ownership on top of the simulated deployment of Membership; checks the
// invariants after every step of an Ownership.
#ifndef TESTS_OWNERSHIP_OWNERSHIP_CLUSTER_H_
#define TESTS_OWNERSHIP_OWNERSHIP_CLUSTER_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "servers/ownership/ownership.h"
#include "tests/membership/cluster.h"

namespace cassiausher {

inline ServiceId FencedService() { return ServiceId("fenced"); }
inline ServiceId UnfencedService() { return ServiceId("unfenced"); }

class OwnershipCluster {
 public:
  OwnershipCluster(const std::vector<int>& sizes, std::uint64_t seed);

  void Start(const InstanceId& id);
  void StartAll();
  void Crash(const InstanceId& id);
  void Leave(const InstanceId& id);
  /// The instance that holds the pool now; empty if none does.
  InstanceId Holder(const DataCentreId& data_centre,
                    const ServiceId& service) const;
  /// True if each pool has exactly one holder and every running instance of its
  /// data centre knows it.
  bool Settled() const;
  bool RunUntilSettled(Duration limit);
  Ownership& At(const InstanceId& id) { return *ownerships.at(id); }

  Cluster cluster;
  std::map<InstanceId, std::unique_ptr<Ownership>> ownerships;
  /// A violated invariant; empty if there is none.
  std::string violation;
  /// Number of acquisitions of each pool.
  std::map<PoolId, int> acquisitions;

 private:
  /// Takes the outputs of an instance, delivers them, checks the invariants and
  /// schedules its next tick.
  void ProcessOutputs(const InstanceId& id);
  void ScheduleTick(const InstanceId& id);
  void CheckOneUnfencedHolder();

  std::map<PoolId, Epoch> last_epoch_;
  std::map<std::pair<InstanceId, PoolId>, Epoch> last_epoch_of_;
  std::set<std::pair<PoolId, Epoch>> used_epochs_;
  /// Number of starts; invalidates the timers of earlier runs.
  std::map<InstanceId, std::uint64_t> generation_;
  std::map<InstanceId, Time> tick_at_;
};

}  // namespace cassiausher

#endif  // TESTS_OWNERSHIP_OWNERSHIP_CLUSTER_H_
