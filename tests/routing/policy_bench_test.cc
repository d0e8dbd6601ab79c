// Checks the targets of the design page, section 5, on short runs of the policy
// bench. The runs use virtual time, so that a seed always gives the same
// result; decision times are measured in real time and are not checked here.
#include <string>

#include "tests/routing/policy_driver.h"
#include "tools/policy_bench/simulation.h"

// CppUTest redefines operator new, so its header comes last.
#include <CppUTest/TestHarness.h>

using namespace cassiausher;  // NOLINT: test file

namespace {

constexpr std::uint64_t kSeeds = 3;

BenchResult RunBench(const std::string& deployment, double load,
                     std::uint64_t seed, FaultKind fault = FaultKind::kNone,
                     const std::string& policy = "reserving") {
  BenchOptions options;
  CHECK(FindDeployment(deployment, &options.deployment));
  options.load = load;
  options.seed = seed;
  options.fault = fault;
  options.policy = policy;
  return Simulation(options, TestPolicies()).Run();
}

double Goodput(const BenchResult& result) {
  return static_cast<double>(result.good) / static_cast<double>(result.offered);
}

double Waste(const BenchResult& result) {
  return static_cast<double>(result.wasted_tokens -
                             result.cancelled_after_prefill_tokens) /
         static_cast<double>(result.prefilled_tokens);
}

template <typename Check>
void ForEachRun(Check check) {
  for (const char* deployment : {"kaewmanee", "association"}) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed)
      check(deployment, seed);
  }
}

}  // namespace

TEST_GROUP(PolicyBench){};

// Guards against requests that miss their targets although there is capacity.
TEST(PolicyBench, GoodputMeetsTargetBelowFullLoad) {
  ForEachRun([](const char* deployment, std::uint64_t seed) {
    CHECK(Goodput(RunBench(deployment, 0.8, seed)) >= 0.99);
    CHECK(Goodput(RunBench(deployment, 0.95, seed)) >= 0.95);
  });
}

// Guards against congestion collapse under overload, and against starving a
// class.
TEST(PolicyBench, GoodputStaysNearCapacityUnderOverload) {
  ForEachRun([](const char* deployment, std::uint64_t seed) {
    for (const double load : {1.5, 3.0}) {
      const BenchResult result = RunBench(deployment, load, seed);
      CHECK(Goodput(result) * load >= 0.9);
      for (const ClassResult& of_class : result.classes) {
        const auto offered = static_cast<double>(of_class.offered);
        CHECK(static_cast<double>(of_class.good) * load >= 0.5 * offered);
      }
    }
  });
}

// Guards against prefill work whose result is never used.
TEST(PolicyBench, WastedPrefillStaysLowUnderFaults) {
  ForEachRun([](const char* deployment, std::uint64_t seed) {
    CHECK(Waste(RunBench(deployment, 0.9, seed)) <= 0.01);
    for (const FaultKind fault :
         {FaultKind::kDecodeDeath, FaultKind::kCancelStorm}) {
      CHECK(Waste(RunBench(deployment, 0.9, seed, fault)) <= 0.05);
    }
  });
}

// Guards against missing and duplicate decisions and leaked reservations, also
// in the baselines, since a comparison with faulty ones would not be fair.
TEST(PolicyBench, NoViolationsUnderAnyFault) {
  for (const std::string policy :
       {"round_robin", "least_loaded", "greedy_no_reservation", "reserving"}) {
    for (const FaultKind fault :
         {FaultKind::kNone, FaultKind::kDecodeDeath, FaultKind::kPrefillDeath,
          FaultKind::kLinkStall, FaultKind::kCancelStorm,
          FaultKind::kStaleLoad}) {
      LONGS_EQUAL(0, RunBench("kaewmanee", 1.5, 1, fault, policy).violations);
    }
  }
}

// Guards against a default policy without an advantage over simpler ones.
TEST(PolicyBench, ReservingPolicyBeatsEveryBaseline) {
  ForEachRun([](const char* deployment, std::uint64_t seed) {
    for (const double load : {0.95, 1.5}) {
      const BenchResult reserving = RunBench(deployment, load, seed);
      for (const std::string baseline :
           {"round_robin", "least_loaded", "greedy_no_reservation"}) {
        const BenchResult other =
            RunBench(deployment, load, seed, FaultKind::kNone, baseline);
        CHECK(Goodput(reserving) > Goodput(other));
        CHECK(Waste(reserving) <= Waste(other) / 2);
      }
    }
  });
}
