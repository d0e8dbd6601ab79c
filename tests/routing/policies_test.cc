// Invariants and error handling that all routing policies share.
#include "tests/routing/policy_driver.h"

// CppUTest redefines operator new, so its header comes last.
#include <CppUTest/TestHarness.h>

#include <chrono>
#include <cstdlib>
#include <string>

using namespace cassiausher;  // NOLINT: test file

namespace {

constexpr Time kStart{Seconds(100)};
constexpr const char* kPolicies[] = {"round_robin", "least_loaded",
                                     "greedy_no_reservation", "reserving"};

std::unique_ptr<RoutingPolicy> MakePool(const std::string& policy) {
  auto pool = TestPolicies().Create(policy, TestOptions());
  pool->UpsertEndpoint(TestEndpoint("p", EndpointRole::kPrefill), kStart);
  pool->UpsertEndpoint(TestEndpoint("d", EndpointRole::kDecode), kStart);
  return pool;
}

template <typename Output>
int CountOf(const std::vector<RouteOutput>& outputs) {
  int count = 0;
  for (const RouteOutput& output : outputs) {
    if (std::holds_alternative<Output>(output)) ++count;
  }
  return count;
}

bool EnforcesSlots(const std::string& policy) { return policy == "reserving"; }

void RunSeed(const std::string& policy, std::uint64_t seed, int steps) {
  PolicyDriver driver(policy, seed, EnforcesSlots(policy));
  driver.Run(steps);
  driver.CancelAll();
  CHECK(driver.granted() > 0);
  for (const std::string& violation : driver.violations()) {
    FAIL(("policy " + policy + ", seed " + std::to_string(seed) + ": " +
          violation)
             .c_str());
  }
}

}  // namespace

TEST_GROUP(Policies){};

// Guards against missing and duplicate decisions, work placed on endpoints that
// accept none, and reservations that are never released.
TEST(Policies, RandomInputsKeepTheInvariants) {
  for (const char* policy : kPolicies) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed)
      RunSeed(policy, seed, 3000);
  }
}

// The same check for as long as `make soak SEED=… SECONDS=…` asks for; without
// that, the test does nothing.
TEST(Policies, Soak) {
  const char* seconds = std::getenv("CASSIAUSHER_SOAK_SECONDS");
  if (!seconds) return;
  const char* seed_text = std::getenv("CASSIAUSHER_SOAK_SEED");
  std::uint64_t seed = seed_text ? std::strtoull(seed_text, nullptr, 10) : 1;
  const auto end =
      std::chrono::steady_clock::now() + std::chrono::seconds(atoi(seconds));
  while (std::chrono::steady_clock::now() < end) {
    for (const char* policy : kPolicies) RunSeed(policy, seed, 20000);
    ++seed;
  }
}

// Guards against requests of another service that are placed in this pool.
TEST(Policies, UnknownServiceIsRefused) {
  for (const char* policy : kPolicies) {
    auto pool = MakePool(policy);
    RouteRequest request = TestRequest("q", 1000, kStart);
    request.service = ServiceId("other");
    pool->Admit(request, kStart);
    const auto outputs = pool->TakeOutputs();
    LONGS_EQUAL(1, outputs.size());
    const auto& refusal = std::get<RouteRefusal>(outputs[0]);
    CHECK(refusal.reason == RefusalReason::kUnknownService);
  }
}

// Guards against queueing a prompt that fits on no engine until its deadline.
TEST(Policies, PromptBeyondTheKvCapacityIsRefused) {
  for (const char* policy : kPolicies) {
    auto pool = MakePool(policy);
    pool->Admit(TestRequest("q", 40001, kStart), kStart);
    const auto outputs = pool->TakeOutputs();
    LONGS_EQUAL(1, outputs.size());
    const auto& refusal = std::get<RouteRefusal>(outputs[0]);
    CHECK(refusal.reason == RefusalReason::kPromptTooLong);
  }
}

// Guards against sessions that stay on engines, and keep their memory, after
// their entry instance has died.
TEST(Policies, LostEntryInstanceCancelsItsRequestsOnAllEngines) {
  for (const char* policy : kPolicies) {
    auto pool = MakePool(policy);
    pool->Admit(TestRequest("q", 1000, kStart), kStart);
    LONGS_EQUAL(1, CountOf<Grant>(pool->TakeOutputs()));
    pool->OnEntryLost(InstanceId("entry"), kStart);
    LONGS_EQUAL(2, CountOf<CancelOrder>(pool->TakeOutputs()));
    CHECK(pool->Requests(kStart).empty());
  }
}

// Guards against a failing engine that attracts all requests, and against a
// quarantine that never ends.
TEST(Policies, ThreeFailuresQuarantineEndpointUntilBackoffEnds) {
  for (const char* policy : kPolicies) {
    auto pool = MakePool(policy);
    for (int i = 0; i < 3; ++i) {
      const std::string id = "q" + std::to_string(i);
      pool->Admit(TestRequest(id, 1000, kStart), kStart);
      pool->OnFailed(RequestId(id), EndpointId("d"), kStart);
    }
    LONGS_EQUAL(1, CountOf<QuarantineNotice>(pool->TakeOutputs()));
    pool->Admit(TestRequest("r", 1000, kStart), kStart);
    LONGS_EQUAL(0, CountOf<Grant>(pool->TakeOutputs()));
    const Time later = pool->NextWakeup() + Seconds(1);
    pool->Tick(later);
    pool->TakeOutputs();
    pool->Admit(TestRequest("s", 1000, later), later);
    LONGS_EQUAL(1, CountOf<Grant>(pool->TakeOutputs()));
  }
}

// Guards against new work on an engine that may still run cancelled requests.
TEST(Policies, UnconfirmedCancelQuarantinesEndpoint) {
  for (const char* policy : kPolicies) {
    auto pool = MakePool(policy);
    pool->OnCancelUnconfirmed(EndpointId("d"), kStart);
    LONGS_EQUAL(1, CountOf<QuarantineNotice>(pool->TakeOutputs()));
    CHECK(pool->Endpoints(kStart)[0].quarantined);
  }
}

// Guards against a new owner that grants slots that are still in use, whether
// the adoption or the endpoint's announcement arrives first.
TEST(Policies, AdoptedRequestHoldsSlotUntilItFinishes) {
  for (const char* policy : kPolicies) {
    for (const bool announced_first : {true, false}) {
      auto pool = TestPolicies().Create(policy, TestOptions());
      const EndpointInfo engine = TestEndpoint("d", EndpointRole::kDecode);
      if (announced_first) pool->UpsertEndpoint(engine, kStart);
      AdoptedRequest adopted;
      adopted.request = TestRequest("q", 1000, kStart);
      adopted.decode = engine.id;
      pool->Adopt(adopted, kStart);
      if (!announced_first) pool->UpsertEndpoint(engine, kStart);
      LONGS_EQUAL(1, pool->Endpoints(kStart)[0].running);
      pool->OnFinished(RequestId("q"), Tokens(10), kStart);
      LONGS_EQUAL(0, pool->Endpoints(kStart)[0].running);
    }
  }
}

// Guards against refusing long prompts forever after the only prefill engine
// has gone, and against placing them on decode engines while it restarts.
TEST(Policies, DecodeEnginesPrefillOnlyAfterPrefillAbsenceTimeout) {
  for (const char* policy : kPolicies) {
    auto pool = MakePool(policy);
    pool->RemoveEndpoint(EndpointId("p"), kStart);
    pool->Admit(TestRequest("q", 1000, kStart), kStart);
    LONGS_EQUAL(1, CountOf<RouteRefusal>(pool->TakeOutputs()));
    const Time later = kStart + Seconds(61);
    pool->UpsertEndpoint(TestEndpoint("d", EndpointRole::kDecode), later);
    pool->Admit(TestRequest("r", 1000, later), later);
    const auto outputs = pool->TakeOutputs();
    LONGS_EQUAL(1, CountOf<Grant>(outputs));
    CHECK(std::get<Grant>(outputs[0]).prefill.empty());
  }
}

// Guards against running a request twice when its AdmitRequest is sent again.
TEST(Policies, RepeatedAdmitGetsSameGrantAndNoSecondSlot) {
  for (const char* policy : kPolicies) {
    auto pool = MakePool(policy);
    pool->Admit(TestRequest("q", 1000, kStart), kStart);
    pool->Admit(TestRequest("q", 1000, kStart), kStart);
    const auto outputs = pool->TakeOutputs();
    LONGS_EQUAL(2, CountOf<Grant>(outputs));
    CHECK(std::get<Grant>(outputs[0]).decode ==
          std::get<Grant>(outputs[1]).decode);
    LONGS_EQUAL(1, pool->Endpoints(kStart)[0].reserved);
  }
}
