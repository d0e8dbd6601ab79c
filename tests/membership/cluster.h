// A deployment in virtual time: instances of Membership joined by links with
// delay, loss, repeats and partitions. A seed repeats a run.
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

struct Network {
  Duration delay_minimum = Duration(200);
  Duration delay_maximum = Milliseconds(2);
  double loss_rate = 0;
  double duplicate_rate = 0;
  /// Directed pairs of instances whose messages are dropped.
  std::set<std::pair<InstanceId, InstanceId>> cut;
};

struct Node {
  InstanceId id;
  DataCentreId data_centre;
  std::unique_ptr<Membership> membership;  ///< Null while crashed.
  std::uint64_t incarnation = 0;
  Time paused_until{};
  std::vector<MembershipEvent> events;
  double cpu_seconds = 0;
  /// Budget check: greatest excess over the stated bound.
  double budget_level = 0;
  Time budget_at{};
  bool budget_exceeded = false;
};

class Cluster {
 public:
  Cluster(const std::vector<int>& sizes, std::uint64_t seed);

  void Start(const InstanceId& id);
  void Crash(const InstanceId& id);
  /// Announces the departure and stops the process.
  void Leave(const InstanceId& id);
  void Pause(const InstanceId& id, Duration duration);
  void Run(Duration duration);

  /// Drops messages between the two sides; one way only if `both` is false.
  void Cut(const std::set<InstanceId>& from, const std::set<InstanceId>& to,
           bool both);
  void Heal() { network.cut.clear(); }

  /// Runs `task` at `when`.
  void Post(Time when, std::function<void()> task);
  /// Runs `receive` after the network's delay, unless the message is lost or
  /// the receiver crashed. A paused receiver gets it when it continues.
  void Deliver(const InstanceId& from, const InstanceId& to,
               const std::function<void()>& receive);

  /// True if every running instance sees exactly the running ones as live,
  /// none of them as dead, and every data centre as reachable.
  bool Converged() const;
  std::set<InstanceId> InstancesIn(const DataCentreId& data_centre) const;
  MemberState StateAt(const InstanceId& observer, const InstanceId& member);
  Membership& At(const InstanceId& id) { return *nodes.at(id).membership; }

  Time now{};
  Network network;
  MembershipOptions base_options;
  std::map<InstanceId, Node> nodes;
  Random random;
  /// Called after every step of a node, for layers above membership.
  std::function<void(Node&, const MembershipOutputs&)> on_step;
  bool measure_cpu = false;

 private:
  void Step(Node& node, const proto::MembershipMessage* message);
  void Transmit(Node& from, const MembershipSend& send);
  void Schedule(Node& node);
  void Receive(const InstanceId& to, const std::function<void()>& receive);

  std::multimap<Time, std::function<void()>> tasks_;
  std::set<std::pair<Time, InstanceId>> wakeups_;
  std::map<InstanceId, Time> wakeup_of_;
  std::map<std::string, InstanceId> by_address_;
};

}  // namespace cassiausher

#endif  // TESTS_MEMBERSHIP_CLUSTER_H_
