// Guards against requests admitted under a configuration that others have left
// behind, and against a deployment that stops because its log has no leader.
#include "servers/configuration/admission_gate.h"

#include <CppUTest/TestHarness.h>

using namespace cassiausher;  // NOLINT: test file

namespace {

constexpr AdmissionInputs kLeased{true, true, true};
constexpr AdmissionInputs kUnleased{true, false, true};
constexpr AdmissionInputs kAlone{true, false, false};

struct Gate {
  /// Updates every 50 ms for `duration`.
  AdmissionState After(Duration duration, const AdmissionInputs& inputs) {
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

TEST(AdmissionGate, ReturnedInstanceAdmitsNothingBeforeItHasFollowed) {
  Gate gate;
  CHECK(gate.After(Seconds(1), {false, false, true}) ==
        AdmissionState::kStarting);
  CHECK(!gate.gate.MayAdmit());
  CHECK(gate.After(Seconds(1), kLeased) == AdmissionState::kCurrent);
  // The lease ends before membership notices the cut.
  CHECK(gate.After(Seconds(1), kUnleased) == AdmissionState::kLeaderless);
  CHECK(gate.After(Seconds(60), kAlone) == AdmissionState::kPartitioned);
  CHECK(gate.gate.MayAdmit());
  CHECK(gate.After(Seconds(4), kUnleased) == AdmissionState::kRejoining);
  CHECK(!gate.gate.MayAdmit());
  CHECK(gate.After(Milliseconds(50), kLeased) == AdmissionState::kCurrent);
  CHECK(gate.gate.MayAdmit());
}

TEST(AdmissionGate, StoppedProcessAdmitsNothingWhenItGoesOn) {
  Gate gate;
  gate.After(Seconds(1), kLeased);
  gate.now += Seconds(100);
  CHECK(gate.After(Milliseconds(50), kUnleased) == AdmissionState::kRejoining);
  // Its first failed probes look like a cut.
  CHECK(gate.After(Seconds(1), kAlone) == AdmissionState::kRejoining);
  CHECK(gate.After(Seconds(5), kAlone) == AdmissionState::kPartitioned);
}

TEST(AdmissionGate, DeploymentWithoutALeaderGoesOnServing) {
  Gate gate;
  gate.After(Seconds(1), kLeased);
  gate.After(Seconds(10), kAlone);
  CHECK(gate.After(Seconds(6), kUnleased) == AdmissionState::kLeaderless);
  CHECK(gate.gate.MayAdmit());
}
