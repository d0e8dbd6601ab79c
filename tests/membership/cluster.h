// Simulates a deployment in virtual time: Membership instances on a network
// with delay, loss, duplicates and partitions. Runs with the same seed are
// identical.
#ifndef TESTS_MEMBERSHIP_CLUSTER_H_
#define TESTS_MEMBERSHIP_CLUSTER_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/random.h"
#include "core/time.h"
#include "servers/membership/membership.h"

namespace cassiausher {

/// Faults of the simulated network.
struct Network {
  Duration delay_minimum = Duration(200);
  Duration delay_maximum = Milliseconds(2);
  /// Probability that a message is dropped, or delivered twice.
  double loss_rate = 0;
  double duplicate_rate = 0;
  /// Directed pairs of instances whose messages are dropped.
  std::set<std::pair<InstanceId, InstanceId>> cut;
};

struct Node {
  InstanceId id;
  DataCentreId data_centre;
  std::unique_ptr<Membership> membership;  ///< Null while it doesn't run.
  std::uint64_t incarnation = 0;
  /// Messages and timers are held back until then.
  Time paused_until{};
  std::vector<MembershipEvent> events;
  double cpu_seconds = 0;
  /// Check of the byte budget: level of a leaky bucket, and whether it or a
  /// message exceeded its limit.
  double budget_level = 0;
  Time budget_at{};
  bool budget_exceeded = false;
};

class Cluster {
 public:
  Cluster(const std::vector<int>& sizes, std::uint64_t seed);

  /// Starts or restarts the instance with a higher incarnation.
  void Start(const InstanceId& id);
  /// Stops the process without an announcement.
  void Crash(const InstanceId& id);
  /// Announces the departure, then stops the process.
  void Leave(const InstanceId& id);
  void Pause(const InstanceId& id, Duration duration);
  void Run(Duration duration);

  /// Drops messages from `from` to `to`, and in the other direction if `both`.
  void Cut(const std::set<InstanceId>& from, const std::set<InstanceId>& to,
           bool both);
  void Heal() { network.cut.clear(); }

  /// Runs `task` at `when`.
  void Post(Time when, std::function<void()> task);
  /// Runs `receive` after the network delay unless the message is dropped or
  /// the receiver has crashed. A paused receiver gets it when it resumes.
  void Deliver(const InstanceId& from, const InstanceId& to,
               const std::function<void()>& receive);

  /// True if every running instance lists exactly the running ones as alive,
  /// and their data centres as reachable.
  bool Converged() const;
  std::set<InstanceId> InstancesIn(const DataCentreId& data_centre) const;
  /// State of `member` as listed by `observer`; kLeft if it isn't listed.
  MemberState StateAt(const InstanceId& observer, const InstanceId& member);
  Membership& At(const InstanceId& id) { return *nodes.at(id).membership; }

  Time now{};
  Network network;
  /// Options of every instance, apart from its identity and random seed.
  MembershipOptions base_options;
  std::map<InstanceId, Node> nodes;
  Random random;
  /// Called after each step of a node, for layers on top of membership.
  std::function<void(Node&, const MembershipOutputs&)> on_step;
  bool measure_cpu = false;

 private:
  void Step(Node& node, const proto::MembershipMessage* message);
  void Transmit(Node& from, const MembershipSend& send);
  void Schedule(Node& node);
  void Receive(const InstanceId& to, const std::function<void()>& receive);

  std::multimap<Time, std::function<void()>> tasks_;
  std::set<std::pair<Time, InstanceId>> wakeups_;
  std::map<InstanceId, Time> wakeup_by_instance_;
  std::map<std::string, InstanceId> by_address_;
};

}  // namespace cassiausher

#endif  // TESTS_MEMBERSHIP_CLUSTER_H_
