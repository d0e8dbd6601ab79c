// Simulates a deployment of three data centres in virtual time: followers,
// replicas of the log and coordinators over a network that loses, duplicates
// and reorders messages, with crashes, leader changes and partitions. It checks
// the invariants of changes while it runs.
#ifndef TESTS_CONFIGURATION_CHANGE_SIMULATION_H_
#define TESTS_CONFIGURATION_CHANGE_SIMULATION_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/random.h"
#include "servers/configuration/change_coordinator.h"
#include "servers/configuration/configuration_follower.h"

namespace cassiausher {

class ChangeSimulation {
 public:
  explicit ChangeSimulation(std::uint64_t seed);

  /// Injects faults and submits changes for `duration`, then heals the network.
  void Run(Duration duration);
  /// Call after Run(): checks that all instances converge and that a last
  /// change comes into force.
  void CheckConvergence();

  /// Empty if every invariant held.
  const std::vector<std::string>& violations() const { return violations_; }
  int accepted() const { return static_cast<int>(accepted_ids_.size()); }
  int in_force() const { return in_force_answers_; }
  int refused() const { return refused_; }

 private:
  struct Instance {
    InstanceId id;
    DataCentreId data_centre;
    std::uint64_t incarnation = 1;
    bool up = true;
    /// Reaches no other instance; membership detects it late.
    bool isolated = false;
    std::unique_ptr<ConfigurationFollower> follower;
    /// Voters only.
    std::unique_ptr<ReplicatedState> state;
    std::unique_ptr<ChangeCoordinator> coordinator;
    std::size_t applied = 0;
  };
  struct Submission {
    std::string id;
    std::string text;
    std::optional<Revision> expected;
  };

  void AddInstance(const std::string& data_centre, int number, bool voter);
  void StartFollower(Instance* instance);
  void Schedule(Duration delay, std::function<void()> run);
  void Advance(Duration duration);
  Duration RandomDelay() {
    return Duration(200 + static_cast<int>(random_.Below(30000)));
  }

  bool Reachable(const Instance& a, const Instance& b) const;
  bool HasQuorum(const Instance& leader) const;
  LiveMembers MembersSeenBy(const Instance& observer) const;
  Instance* FindInstance(const InstanceId& id);

  void Step();
  void InjectFault();
  void Elect();
  void Commit(const Instance& proposer, std::uint64_t term, std::string entry);
  void ApplyLog(Instance* voter, bool all);
  void SubmitRandomChange(Instance* leader);
  void Submit(Instance* leader, const std::string& id, const std::string& body,
              std::optional<Revision> expected, const Operation& operation);
  void Send(const Instance& from, const InstanceId& to,
            ConfigurationMessage message);
  void Deliver(const InstanceId& from, Instance* to,
               const ConfigurationMessage& message);
  void ProcessOutputs(Instance* instance);
  void OnAnswer(std::uint64_t submission, const ChangeAnswer& answer);
  void CheckLeases();
  void Expect(bool holds, const std::string& invariant);

  Random random_;
  Time now_{};
  std::multimap<Time, std::function<void()>> events_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::set<DataCentreId> partitioned_;
  double loss_rate_ = 0.1;

  std::vector<std::string> log_;
  std::uint64_t term_ = 0;
  Instance* leader_ = nullptr;

  std::map<std::uint64_t, Submission> submissions_;
  /// Expected revision of the first submission of each (id, text).
  std::map<std::pair<std::string, std::string>, std::optional<Revision>>
      expected_;
  std::set<std::uint64_t> open_submissions_;
  std::uint64_t next_submission_ = 1;
  int next_id_ = 1;
  /// First answer of each (id, text), with the latest `in_force`.
  std::map<std::pair<std::string, std::string>, ChangeAnswer> answers_;
  /// Id of the accepted change of each revision.
  std::map<std::uint64_t, std::string> accepted_ids_;
  /// Highest revision that any instance of the data centre ran.
  std::map<DataCentreId, Revision> reached_revisions_;
  Revision in_force_revision_{0};
  int in_force_answers_ = 0;
  int refused_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace cassiausher

#endif  // TESTS_CONFIGURATION_CHANGE_SIMULATION_H_
