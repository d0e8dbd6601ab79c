// Randomised simulation. Guards against violations of Raft's safety properties
// under any combination of faults, and against a group that does not recover
// once the faults end. CASSIAUSHER_CONSENSUS_SEEDS sets the number of seeds,
// CASSIAUSHER_CONSENSUS_FIRST_SEED the first one.
#include <CppUTest/TestHarness.h>

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
}

}  // namespace

TEST_GROUP(RaftRandom){};

TEST(RaftRandom, SafetyAndRecoveryOverManySeeds) {
  const std::uint64_t first =
      FromEnvironment("CASSIAUSHER_CONSENSUS_FIRST_SEED", 1);
  const std::uint64_t seeds =
      FromEnvironment("CASSIAUSHER_CONSENSUS_SEEDS", kSeeds);
  std::atomic<std::uint64_t> next{first};
  std::mutex mutex;
  SimulationCounts total;
  std::vector<std::string> violations;
  const auto run_seeds = [&] {
    for (std::uint64_t seed = next++; seed < first + seeds; seed = next++) {
      Simulation simulation(seed);
      const std::string violation = simulation.Run();
      const std::lock_guard lock(mutex);
      Add(simulation.counts(), total);
      if (!violation.empty()) {
        violations.push_back("seed " + std::to_string(seed) + ": " + violation);
      }
    }
  };
  std::vector<std::thread> threads;
  for (int i = 0; i < kThreads; ++i) threads.emplace_back(run_seeds);
  for (std::thread& thread : threads) thread.join();
  std::printf(
      "%lu seeds: %lu elections, %lu entries, %lu crashes, %lu replacements, "
      "%lu snapshots installed, %lu failed syncs, %lu reads, %lu writes, "
      "%zu violations\n",
      seeds, total.elections, total.committed, total.crashes,
      total.replacements, total.snapshots_installed, total.failed_syncs,
      total.reads, total.writes, violations.size());
  for (std::size_t i = 0; i < violations.size() && i < 10; ++i) {
    std::printf("%s\n", violations[i].c_str());
  }
  CHECK(violations.empty());
  // Ensures that the faults occurred and that operations completed.
  if (seeds >= kSeeds) {
    CHECK(total.crashes > seeds && total.replacements > seeds / 4);
    CHECK(total.snapshots_installed > seeds / 4);
    CHECK(total.failed_syncs > seeds / 4);
    CHECK(total.reads > 10 * seeds && total.writes > 10 * seeds);
  }
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
