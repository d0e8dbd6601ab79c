// Randomised simulation. Guards against violations of Raft's safety properties
// under any combination of faults, and against a group that does not recover
// once the faults end. CASSIAUSHER_CONSENSUS_SEEDS sets the number of seeds of
// the first test, and of the others in proportion;
// CASSIAUSHER_CONSENSUS_FIRST_SEED sets the first one.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "tests/consensus/linearizability.h"
#include "tests/consensus/simulation.h"

using namespace cassiausher;  // NOLINT: test file

namespace {

constexpr std::uint64_t kSeeds = 4000;
constexpr std::uint64_t kPowerLossSeeds = 2000;
constexpr std::uint64_t kEightInstancesSeeds = 500;
constexpr std::uint64_t kDepartureSeeds = 500;
constexpr int kThreads = 4;

std::uint64_t FromEnvironment(const char* name, std::uint64_t default_value) {
  const char* text = std::getenv(name);
  return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

void Add(const SimulationCounts& from, SimulationCounts& to) {
  to.elections += from.elections;
  to.committed += from.committed;
  to.crashes += from.crashes;
  to.replacements += from.replacements;
  to.snapshots_installed += from.snapshots_installed;
  to.failed_syncs += from.failed_syncs;
  to.reads += from.reads;
  to.writes += from.writes;
  to.kills += from.kills;
  to.power_losses += from.power_losses;
  to.lost_disks += from.lost_disks;
  to.losses_after_write += from.losses_after_write;
  to.losses_during_change += from.losses_during_change;
  to.planned_departures += from.planned_departures;
  to.unannounced_departures += from.unannounced_departures;
  to.restarts_in_place += from.restarts_in_place;
  to.disturbed_departures += from.disturbed_departures;
  to.ended_with_vote += from.ended_with_vote;
}

struct Outcome {
  std::uint64_t seeds = 0;
  SimulationCounts total;
  std::vector<std::string> violations;
};

/// Runs `default_seeds` seeds, or a part of them or more if the environment
/// tells.
Outcome RunSeeds(std::uint64_t default_seeds,
                 const SimulationOptions& options) {
  const std::uint64_t first =
      FromEnvironment("CASSIAUSHER_CONSENSUS_FIRST_SEED", 1);
  const std::uint64_t wanted =
      FromEnvironment("CASSIAUSHER_CONSENSUS_SEEDS", kSeeds);
  Outcome outcome;
  outcome.seeds = std::max<std::uint64_t>(1, default_seeds * wanted / kSeeds);
  std::atomic<std::uint64_t> next{first};
  std::mutex mutex;
  const auto run_seeds = [&] {
    for (std::uint64_t seed = next++; seed < first + outcome.seeds;
         seed = next++) {
      Simulation simulation(seed, options);
      const std::string violation = simulation.Run();
      const std::lock_guard lock(mutex);
      Add(simulation.counts(), outcome.total);
      if (violation.empty()) continue;
      outcome.violations.push_back("seed " + std::to_string(seed) + ": " +
                                   violation);
    }
  };
  std::vector<std::thread> threads;
  for (int i = 0; i < kThreads; ++i) threads.emplace_back(run_seeds);
  for (std::thread& thread : threads) thread.join();
  return outcome;
}

void PrintViolations(const Outcome& outcome) {
  for (std::size_t i = 0; i < outcome.violations.size() && i < 10; ++i) {
    std::printf("%s\n", outcome.violations[i].c_str());
  }
}

void CheckPowerLosses(std::uint64_t default_seeds,
                      const SimulationOptions& options) {
  const Outcome outcome = RunSeeds(default_seeds, options);
  const SimulationCounts& total = outcome.total;
  std::printf(
      "%d instances, %lu seeds: %lu power losses (%lu after a write, %lu "
      "during a change), %lu disks lost, %lu replacements, %lu kills, %lu "
      "crashes, %lu failed syncs, %lu writes, %zu violations\n",
      options.instances, outcome.seeds, total.power_losses,
      total.losses_after_write, total.losses_during_change, total.lost_disks,
      total.replacements, total.kills, total.crashes, total.failed_syncs,
      total.writes, outcome.violations.size());
  PrintViolations(outcome);
  CHECK(outcome.violations.empty());
  // Ensures that the faults occurred and that operations completed.
  if (outcome.seeds < default_seeds) return;
  const std::uint64_t seeds = outcome.seeds;
  CHECK(total.power_losses == seeds * options.days);
  CHECK(total.losses_after_write > seeds / 4);
  CHECK(total.losses_during_change > seeds / 20);
  CHECK(total.kills > seeds / 2 && total.failed_syncs > seeds / 4);
  CHECK(total.replacements > seeds && total.writes > 10 * seeds);
}

void CheckDepartures(std::uint64_t default_seeds, int instances,
                     int tolerated_disks) {
  const Outcome outcome =
      RunSeeds(default_seeds, {.instances = instances,
                               .days = 2,
                               .tolerated_disks = tolerated_disks,
                               .departures = true});
  const SimulationCounts& total = outcome.total;
  std::printf(
      "%d instances, %lu seeds: %lu planned departures, %lu unannounced, %lu "
      "restarts in place, %lu disturbed, %lu ended with a vote, %lu disks "
      "lost, %lu writes, %zu violations\n",
      instances, outcome.seeds, total.planned_departures,
      total.unannounced_departures, total.restarts_in_place,
      total.disturbed_departures, total.ended_with_vote, total.lost_disks,
      total.writes, outcome.violations.size());
  PrintViolations(outcome);
  CHECK(outcome.violations.empty());
  // Ensures that the departures occurred and that operations completed.
  if (outcome.seeds < default_seeds) return;
  const std::uint64_t seeds = outcome.seeds;
  CHECK(total.planned_departures > seeds / 2);
  CHECK(total.unannounced_departures > seeds / 2);
  CHECK(total.restarts_in_place > seeds / 2);
  CHECK(total.disturbed_departures > seeds / 4);
  CHECK(total.lost_disks > seeds && total.writes > 10 * seeds);
  // No disk is lost beside a machine that ended with its vote.
  CHECK(total.ended_with_vote * 20 <
        total.planned_departures + total.restarts_in_place);
}

}  // namespace

TEST_GROUP(RaftRandom){};

TEST(RaftRandom, SafetyAndRecoveryOverManySeeds) {
  const Outcome outcome = RunSeeds(kSeeds, {});
  const std::uint64_t seeds = outcome.seeds;
  const SimulationCounts& total = outcome.total;
  std::printf(
      "%lu seeds: %lu elections, %lu entries, %lu crashes, %lu replacements, "
      "%lu snapshots installed, %lu failed syncs, %lu reads, %lu writes, "
      "%zu violations\n",
      seeds, total.elections, total.committed, total.crashes,
      total.replacements, total.snapshots_installed, total.failed_syncs,
      total.reads, total.writes, outcome.violations.size());
  PrintViolations(outcome);
  CHECK(outcome.violations.empty());
  // Ensures that the faults occurred and that operations completed.
  if (seeds >= kSeeds) {
    CHECK(total.crashes > seeds && total.replacements > seeds / 4);
    CHECK(total.snapshots_installed > seeds / 4);
    CHECK(total.failed_syncs > seeds / 4);
    CHECK(total.reads > 10 * seeds && total.writes > 10 * seeds);
  }
}

// Guards against acknowledged changes that are lost, reads of an older state
// and a group that does not recover when as many disks as tolerated are lost
// while all other machines lose power, after other faults of any kind.
TEST(RaftRandom, AcknowledgedChangesSurviveLostDisksAndLossOfPower) {
  CheckPowerLosses(kPowerLossSeeds,
                   {.instances = 3, .days = 2, .tolerated_disks = 1});
}

TEST(RaftRandom, AcknowledgedChangesOfEightSurviveTwoLostDisksAndLossOfPower) {
  CheckPowerLosses(kEightInstancesSeeds,
                   {.instances = 8, .days = 2, .tolerated_disks = 2});
}

// Issue 62: guards against the loss of the group, and of what it acknowledged,
// when a disk is lost right after machines have left or restarted.
TEST(RaftRandom, ADiskLostAfterDeparturesCostsThreeNothing) {
  CheckDepartures(kDepartureSeeds, 3, 1);
}

TEST(RaftRandom, ADiskLostAfterDeparturesCostsFourNothing) {
  CheckDepartures(kDepartureSeeds, 4, 1);
}

TEST(RaftRandom, ADiskLostAfterDeparturesCostsFiveNothing) {
  CheckDepartures(kDepartureSeeds, 5, 1);
}

TEST(RaftRandom, ADiskLostAfterDeparturesCostsSixNothing) {
  CheckDepartures(kDepartureSeeds, 6, 2);
}

TEST_GROUP(Linearizability){};

TEST(Linearizability, StaleReadIsNotLinearizable) {
  CHECK(!IsLinearizable({{true, 1, 0, 1}, {true, 2, 2, 3}, {false, 1, 4, 5}}));
  CHECK(IsLinearizable({{true, 1, 0, 1}, {true, 2, 2, 5}, {false, 1, 4, 5}}));
}

TEST(Linearizability, WriteOfUnknownOutcomeMayTakeEffectLaterButOnlyOnce) {
  constexpr auto kNever = RegisterOperation::kNever;
  CHECK(IsLinearizable(
      {{true, 1, 0, kNever}, {false, 0, 2, 3}, {false, 1, 4, 5}}));
  CHECK(!IsLinearizable({{true, 1, 0, kNever},
                         {false, 1, 2, 3},
                         {true, 2, 4, 5},
                         {false, 1, 6, 7}}));
}
