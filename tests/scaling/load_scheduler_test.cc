// Tests the rate limit, the concurrency limit and the precedence of loads from
// the weight store.
#include "servers/scaling/load_scheduler.h"

#include <CppUTest/TestHarness.h>

#include "tests/scaling/scaling_pool.h"

using namespace cassiausher;  // NOLINT

namespace {

LoadRequest Load(const char* endpoint, std::int64_t size, double refused = 0) {
  return {.service = ServiceId("chat"),
          .endpoint = EndpointId(endpoint),
          .size = Bytes(size),
          .refused_tokens_per_second = refused};
}

}  // namespace

TEST_GROUP(LoadScheduler) {
  LoadScheduler scheduler{
      {.bytes_per_second = 100, .burst = Bytes(1000), .loads_at_once = 2}};
};

// Guards against loads that together exceed the weight store's rate.
TEST(LoadScheduler, LargeLoadDelaysTheNextUntilTheBucketRefills) {
  CHECK(scheduler.TryStart(Load("r1", 3000), At(0)));
  CHECK(!scheduler.TryStart(Load("r2", 1000), At(0)));
  CHECK(!scheduler.TryStart(Load("r2", 1000), At(29)));
  CHECK(scheduler.TryStart(Load("r2", 1000), At(30)));
}

// Guards against more concurrent loads than allowed, and two on one runner.
TEST(LoadScheduler, ConcurrentLoadsAreLimitedInTotalAndPerRunner) {
  CHECK(scheduler.TryStart(Load("r1", 1), At(0)));
  CHECK(!scheduler.TryStart(Load("r1", 1), At(0)));
  CHECK(scheduler.TryStart(Load("r2", 1), At(0)));
  CHECK(!scheduler.TryStart(Load("r3", 1), At(0)));
  scheduler.Finish(EndpointId("r1"));
  CHECK(scheduler.TryStart(Load("r3", 1), At(1)));
}

// Guards against loads for an idle service that delay those of a service with
// refused requests, and against the starvation of the former.
TEST(LoadScheduler, RefusedDemandTakesPrecedenceUntilAnotherLoadStarves) {
  CHECK(scheduler.TryStart(Load("r0", 1000), At(0)));
  CHECK(!scheduler.TryStart(Load("idle", 1000), At(0)));
  CHECK(!scheduler.TryStart(Load("refused", 1000, 50), At(1)));
  CHECK(!scheduler.TryStart(Load("idle", 1000), At(10)));
  CHECK(scheduler.TryStart(Load("refused", 1000, 50), At(10)));
  scheduler.Finish(EndpointId("r0"));
  scheduler.Finish(EndpointId("refused"));
  for (int second = 11; second < 1800; ++second) {
    CHECK(!scheduler.TryStart(Load("idle", 1000), At(second)));
    if (scheduler.TryStart(Load("other", 1000, 50), At(second))) {
      scheduler.Finish(EndpointId("other"));
    }
  }
  CHECK(!scheduler.TryStart(Load("other", 1000, 50), At(1800)));
  CHECK(scheduler.TryStart(Load("idle", 1000), At(1800)));
}

// Guards against a waiting load that blocks all others after its planner is
// gone, and against bytes that stay charged for loads that never started.
TEST(LoadScheduler, ExpiredAndCancelledLoadsFreeTheirShare) {
  CHECK(scheduler.TryStart(Load("r1", 1000), At(0)));
  CHECK(!scheduler.TryStart(Load("gone", 1, 50), At(0)));
  scheduler.Cancel(EndpointId("r1"));
  CHECK(!scheduler.TryStart(Load("r2", 1000), At(1)));
  CHECK(scheduler.TryStart(Load("r2", 1000), At(11)));
}

// Guards against a load whose end is never reported and that counts as running
// for ever.
TEST(LoadScheduler, AbandonedLoadCountsForItsExpectedDuration) {
  CHECK(scheduler.TryStart(Load("r1", 1000), At(0)));
  scheduler.Abandon(EndpointId("r1"), At(0));
  CHECK(!scheduler.TryStart(Load("r1", 100), At(19)));
  CHECK(scheduler.TryStart(Load("r1", 100), At(20)));
}
