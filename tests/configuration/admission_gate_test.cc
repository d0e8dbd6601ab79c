// Guards against requests admitted under an outdated configuration, and against
// a deployment that stops serving because its log has no leader.
#include "servers/configuration/admission_gate.h"

#include <CppUTest/TestHarness.h>

using namespace cassiausher;  // NOLINT: test file

namespace {

constexpr AdmissionInputs kLeased{true, true, true};
constexpr AdmissionInputs kUnleased{true, false, true};
constexpr AdmissionInputs kNoVoterReachable{true, false, false};

struct GateDriver {
  /// Updates every 50 ms for `duration`.
  AdmissionState RunFor(Duration duration, const AdmissionInputs& inputs) {
    for (const Time end = now + duration; now < end;) {
      gate.Update(inputs, now += Milliseconds(50));
    }
    return gate.state();
  }

  AdmissionGate gate;
  Time now{};
};

}  // namespace

TEST_GROUP(AdmissionGate){};

TEST(AdmissionGate, RejoiningInstanceAdmitsNothingUntilItHoldsALease) {
  GateDriver gate;
  CHECK(gate.RunFor(Seconds(1), {false, false, true}) ==
        AdmissionState::kStarting);
  CHECK(!gate.gate.MayAdmit());
  CHECK(gate.RunFor(Seconds(1), kLeased) == AdmissionState::kCurrent);
  // The lease expires before membership detects the partition.
  CHECK(gate.RunFor(Seconds(1), kUnleased) == AdmissionState::kLeaderless);
  CHECK(gate.RunFor(Seconds(60), kNoVoterReachable) ==
        AdmissionState::kPartitioned);
  CHECK(gate.gate.MayAdmit());
  CHECK(gate.RunFor(Seconds(4), kUnleased) == AdmissionState::kRejoining);
  CHECK(!gate.gate.MayAdmit());
  CHECK(gate.RunFor(Milliseconds(50), kLeased) == AdmissionState::kCurrent);
  CHECK(gate.gate.MayAdmit());
}

TEST(AdmissionGate, ResumedProcessAdmitsNothingBeforeRejoinTimeout) {
  GateDriver gate;
  gate.RunFor(Seconds(1), kLeased);
  gate.now += Seconds(100);
  CHECK(gate.RunFor(Milliseconds(50), kUnleased) == AdmissionState::kRejoining);
  // Its first failed probes look like a partition.
  CHECK(gate.RunFor(Seconds(1), kNoVoterReachable) ==
        AdmissionState::kRejoining);
  CHECK(gate.RunFor(Seconds(5), kNoVoterReachable) ==
        AdmissionState::kPartitioned);
}

TEST(AdmissionGate, InstanceWithoutALeaderAdmitsAfterRejoinTimeout) {
  GateDriver gate;
  gate.RunFor(Seconds(1), kLeased);
  gate.RunFor(Seconds(10), kNoVoterReachable);
  CHECK(gate.RunFor(Seconds(6), kUnleased) == AdmissionState::kLeaderless);
  CHECK(gate.gate.MayAdmit());
}
