// Membership and ownership under random faults. A seed reproduces a run:
// CASSIAUSHER_SEED=N runs only seed N, and CASSIAUSHER_RUNS=M runs M seeds from
// N (default 1) on.
#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <cstdlib>
#include <string>
#include <vector>

#include "tests/ownership/ownership_cluster.h"

using namespace cassiausher;  // NOLINT

namespace {

constexpr int kRuns = 300;
constexpr Duration kFaultTime = Seconds(40);
// Limits after the network has healed and all instances run. Membership has to
// reconnect and refute; ownership then needs the rest of the longest lease, the
// stability wait of members that were lost often (60 s) and one hand-over.
constexpr Duration kMembershipConvergence = Seconds(20);
constexpr Duration kOwnershipConvergence = Seconds(30);

int IntegerFromEnvironment(const char* name, int default_value) {
  const char* text = std::getenv(name);
  return text == nullptr ? default_value : std::atoi(text);
}

std::vector<std::vector<int>> Shapes() {
  return {{1}, {2}, {3}, {5}, {7}, {3, 2, 2}, {2, 2, 2}, {4, 1, 3}};
}

class RandomisedRun {
 public:
  explicit RandomisedRun(std::uint64_t seed)
      : random_(seed), deployment_(Shapes().at(seed % Shapes().size()), seed) {
    for (const auto& [id, node] : deployment_.cluster.nodes) {
      ids_.push_back(id);
    }
  }

  /// Returns the invariant or limit that was violated; empty if none was.
  std::string Run() {
    Cluster& cluster = deployment_.cluster;
    for (const InstanceId& id : ids_) {
      if (random_.Chance(0.3)) cluster.Run(Milliseconds(random_.Below(2000)));
      deployment_.Start(id);
    }
    cluster.Run(Seconds(6));
    end_ = cluster.now + kFaultTime;
    while (cluster.now < end_) {
      InjectFault();
      cluster.Run(std::min(Milliseconds(random_.Below(3000)),
                           Duration(end_ - cluster.now)));
      if (!deployment_.violation.empty()) return deployment_.violation;
    }
    cluster.network = Network();
    for (const InstanceId& id : ids_) {
      if (deployment_.ownerships.count(id) == 0) deployment_.Start(id);
    }
    const Time healed = cluster.now;
    while (!cluster.Converged()) {
      cluster.Run(Milliseconds(100));
      if (cluster.now > healed + kMembershipConvergence) {
        return "membership did not converge";
      }
    }
    membership_took = cluster.now - healed;
    if (!deployment_.RunUntilSettled(kOwnershipConvergence)) {
      return "ownership did not converge";
    }
    ownership_took = cluster.now - healed;
    for (const auto& [id, node] : cluster.nodes) {
      if (node.budget_exceeded) return "byte budget exceeded";
    }
    return deployment_.violation;
  }

  Duration membership_took{0};
  Duration ownership_took{0};

 private:
  InstanceId RandomInstance() { return ids_[random_.Below(ids_.size())]; }

  std::set<InstanceId> RandomSubset() {
    std::set<InstanceId> subset;
    for (const InstanceId& id : ids_) {
      if (random_.Chance(0.5)) subset.insert(id);
    }
    return subset;
  }

  void InjectFault() {
    Cluster& cluster = deployment_.cluster;
    const InstanceId id = RandomInstance();
    const bool running = deployment_.ownerships.count(id) > 0;
    switch (random_.Below(11)) {
      case 0:
        if (running) deployment_.Crash(id);
        return;
      case 1:
      case 2:
        // Restarts a running instance at once, or starts one that has crashed.
        if (running && random_.Chance(0.5)) deployment_.Crash(id);
        if (deployment_.ownerships.count(id) == 0) deployment_.Start(id);
        return;
      case 3:
        if (running) {
          cluster.Pause(id, std::min(Milliseconds(random_.Below(8000)),
                                     Duration(end_ - cluster.now)));
        }
        return;
      case 4:
      case 5: {
        const std::set<InstanceId> subset = RandomSubset();
        std::set<InstanceId> rest;
        for (const InstanceId& other : ids_) {
          if (subset.count(other) == 0) rest.insert(other);
        }
        return cluster.Cut(subset, rest, random_.Chance(0.6));
      }
      case 6:
        return cluster.Cut({id}, {RandomInstance()}, random_.Chance(0.5));
      case 7:
        return cluster.Heal();
      case 9:
        // Graceful shutdown, with or without enough time for the hand-over.
        if (!running) return;
        deployment_.Leave(id);
        cluster.Run(Milliseconds(random_.Below(3000)));
        deployment_.ownerships.erase(id);
        return cluster.Leave(id);
      case 8:
        cluster.network.loss_rate =
            random_.Chance(0.5) ? 0 : random_.Unit() * 0.3;
        cluster.network.duplicate_rate = random_.Unit() * 0.2;
        return;
      default:
        cluster.network.delay_maximum =
            random_.Chance(0.5) ? Milliseconds(2)
                                : Milliseconds(2 + random_.Below(1500));
        return;
    }
  }

  Random random_;
  OwnershipCluster deployment_;
  std::vector<InstanceId> ids_;
  Time end_{};
};

}  // namespace

TEST_GROUP(Randomised){};

// Guards against two holders of an unfenced pool, epochs that don't increase,
// live members that stay listed as dead, and traffic above the byte budget.
TEST(Randomised, InvariantsHoldUnderRandomFaults) {
  const int requested_seed = IntegerFromEnvironment("CASSIAUSHER_SEED", 0);
  const int first = std::max(1, requested_seed);
  const int runs = IntegerFromEnvironment("CASSIAUSHER_RUNS",
                                          requested_seed > 0 ? 1 : kRuns);
  Duration membership{0};
  Duration ownership{0};
  int failures = 0;
  for (int seed = first; seed < first + runs; ++seed) {
    RandomisedRun run(seed);
    const std::string violation = run.Run();
    membership = std::max(membership, run.membership_took);
    ownership = std::max(ownership, run.ownership_took);
    if (violation.empty()) continue;
    ++failures;
    if (failures <= 10) fmt::print("seed {}: {}\n", seed, violation);
  }
  fmt::print(
      "{} runs, {} failed; after healing, membership converged within "
      "{:.1f} s and ownership within {:.1f} s\n",
      runs, failures, ToSeconds(membership), ToSeconds(ownership));
  LONGS_EQUAL(0, failures);
}
