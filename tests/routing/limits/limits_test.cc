// Account limits, the retry budget and the circuit breaker.
#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include "servers/routing/account_limits.h"
#include "servers/routing/circuit_breaker.h"
#include "servers/routing/retry_budget.h"

using namespace cassiausher;  // NOLINT

namespace {

AccountId Shop() { return AccountId("shop"); }
AccountId Hall() { return AccountId("hall"); }

Time At(std::int64_t milliseconds) { return Time(Milliseconds(milliseconds)); }

}  // namespace

TEST_GROUP(AccountLimits){};

// Guards against instances that each enforce the whole limit, so that an
// account exceeds its rate by spreading its calls over them.
TEST(AccountLimits, RateIsDividedAmongInstances) {
  AccountLimits limits({});
  limits.Configure({{Shop(), {.requests_per_second = 20, .burst = 8}}});
  limits.SetInstances(4);
  int admitted = 0;
  for (int ms = 0; ms <= 10000; ms += 10) {
    if (limits.Acquire(Shop(), At(ms)).verdict != LimitVerdict::kAdmitted) {
      continue;
    }
    ++admitted;
    CHECK(limits.Release(Shop(), At(ms)));
  }
  // A burst of 2 plus 5 requests per second for 10 s.
  LONGS_EQUAL(52, admitted);
  const LimitDecision refused = limits.Acquire(Shop(), At(10001));
  CHECK(refused.verdict == LimitVerdict::kRate);
  CHECK(refused.retry_after > Duration(0));
  CHECK(refused.retry_after <= Milliseconds(200));
  CHECK(limits.Acquire(Shop(), At(10001) + refused.retry_after + Duration(1))
            .verdict == LimitVerdict::kAdmitted);
}

// Guards against locking out an account whose limit is below the number of
// instances.
TEST(AccountLimits, ConcurrencyShareIsAtLeastOne) {
  AccountLimits limits({});
  limits.Configure({{Shop(), {.concurrency = 2}}});
  limits.SetInstances(7);
  CHECK(limits.Acquire(Shop(), At(0)).verdict == LimitVerdict::kAdmitted);
  CHECK(limits.Acquire(Shop(), At(0)).verdict == LimitVerdict::kConcurrency);
  CHECK(limits.Release(Shop(), At(1)));
  CHECK(!limits.Release(Shop(), At(1)));
}

// Guards against one account that takes the whole capacity of an instance.
TEST(AccountLimits, InstanceNearCapacityIsSharedByWeight) {
  AccountLimits limits(
      {.default_limit = {.burst = 1000}, .instance_concurrency = 100});
  limits.Configure({{Hall(), {.burst = 1000, .weight = 3}}});
  while (limits.Acquire(Shop(), At(0)).verdict == LimitVerdict::kAdmitted) {
  }
  LONGS_EQUAL(100, limits.InProgress());
  for (int i = 0; i < 20; ++i) limits.Release(Shop(), At(1));
  CHECK(limits.Acquire(Hall(), At(1)).verdict == LimitVerdict::kAdmitted);
  CHECK(limits.Acquire(Shop(), At(1)).verdict == LimitVerdict::kFairShare);
  for (int i = 0; i < 19; ++i) limits.Acquire(Hall(), At(1));
  LONGS_EQUAL(20, limits.InProgress(Hall()));
  CHECK(limits.Acquire(Hall(), At(1)).verdict == LimitVerdict::kInstanceFull);
}

// Guards against counts of requests in progress that diverge from the admitted
// and released requests, for any order of calls.
TEST(AccountLimits, CountsMatchTheModelInRandomisedRuns) {
  const bool passed = rc::check([](std::vector<std::uint8_t> calls) {
    AccountLimits limits({.default_limit = {.burst = 50, .concurrency = 8},
                          .instance_concurrency = 20});
    int held[4] = {0, 0, 0, 0};
    Time now = At(0);
    for (const std::uint8_t call : calls) {
      now += Milliseconds(call % 16);
      const int index = call % 4;
      const AccountId account(std::to_string(index));
      if (call & 0x80) {
        RC_ASSERT(limits.Release(account, now) == (held[index] > 0));
        if (held[index] > 0) --held[index];
      } else if (limits.Acquire(account, now).verdict ==
                 LimitVerdict::kAdmitted) {
        ++held[index];
      }
      RC_ASSERT(held[index] <= 8);
      RC_ASSERT(limits.InProgress(account) == held[index]);
      RC_ASSERT(limits.InProgress() == held[0] + held[1] + held[2] + held[3]);
      RC_ASSERT(limits.InProgress() <= 20);
    }
  });
  CHECK(passed);
}

TEST_GROUP(RetryBudget){};

// Guards against an allowance that is divided once, by the number of instances
// known at the first request: an entry instance that starts beside a restarted
// control instance knows a few of 74, and all would keep several times their
// part.
TEST(RetryBudget, ThePartOfTheAllowanceFollowsTheNumberOfInstances) {
  RetryBudget budget({.ratio = 0, .floor_per_second = 0.5});
  CHECK(budget.Remaining(At(0)) == 5);
  budget.SetFloorPerSecond(0.1);
  CHECK(budget.TryRetry(At(0)));
  CHECK(!budget.TryRetry(At(0)));
}

// Guards against retries that multiply the load during an outage.
TEST(RetryBudget, RetriesAreLimitedToAShareOfRequests) {
  RetryBudget budget({});
  int retries = 0;
  for (int ms = 0; ms < 10000; ++ms) {
    budget.OnRequest(At(ms));
    if (budget.TryRetry(At(ms))) ++retries;
  }
  // A tenth of 10,000 requests plus floor_per_second times the window of 10 s.
  LONGS_EQUAL(1010, retries);
  CHECK(!budget.TryRetry(At(9999)));
  // After the window has passed, only floor_per_second remains.
  for (int i = 0; i < 10; ++i) CHECK(budget.TryRetry(At(60000)));
  CHECK(!budget.TryRetry(At(60000)));
  CHECK(budget.Remaining(At(75000)) == 10);
}

TEST_GROUP(CircuitBreaker){};

// Guards against calls to a failing endpoint, and against concurrent trial
// calls while half-open.
TEST(CircuitBreaker, OpensOnFailuresAndClosesAfterTwoTrials) {
  CircuitBreaker breaker({});
  for (int i = 0; i < 5; ++i) {
    CHECK(breaker.Allow(At(0)));
    breaker.OnFailure(At(0));
  }
  CHECK(breaker.state(At(0)) == CircuitState::kOpen);
  CHECK(!breaker.Allow(At(340)));
  CHECK(breaker.retry_at() >= At(350));
  CHECK(breaker.retry_at() <= At(650));
  CHECK(breaker.Allow(At(650)));
  CHECK(!breaker.Allow(At(651)));
  breaker.OnSuccess(At(660));
  CHECK(breaker.state(At(660)) == CircuitState::kHalfOpen);
  CHECK(breaker.Allow(At(661)));
  breaker.OnSuccess(At(670));
  CHECK(breaker.state(At(670)) == CircuitState::kClosed);
}

// Guards against a backoff that doesn't grow or is unbounded, and against a
// trial call without a result that blocks the endpoint forever.
TEST(CircuitBreaker, BackoffGrowsUpToItsMaximum) {
  CircuitBreaker breaker({.consecutive_failures = 1});
  Time now = At(0);
  breaker.OnFailure(now);
  Duration last_backoff{0};
  for (int i = 0; i < 12; ++i) {
    last_backoff = breaker.retry_at() - now;
    CHECK(last_backoff <= Seconds(39));
    now = breaker.retry_at();
    CHECK(breaker.Allow(now));
    if (i % 2 == 0) {
      breaker.OnFailure(now);
    } else {
      now += Seconds(5);
      CHECK(!breaker.Allow(now));
    }
  }
  CHECK(last_backoff >= Seconds(21));
}

// Guards against an endpoint that admits no trial after one whose result
// remains unknown, and against a second trial while one runs.
TEST(CircuitBreaker, ACancelledTrialIsFollowedByAnother) {
  CircuitBreaker breaker({.consecutive_failures = 1, .trials = 1});
  breaker.OnFailure(At(0));
  CHECK(!breaker.Admits(At(340)));
  CHECK(breaker.Admits(At(650)));
  CHECK(breaker.Allow(At(650)));
  CHECK(!breaker.Admits(At(651)));
  breaker.OnCancelled();
  CHECK(breaker.Admits(At(652)));
  CHECK(breaker.Allow(At(652)));
  breaker.OnSuccess(At(660));
  CHECK(breaker.state(At(660)) == CircuitState::kClosed);
}

// Guards against an endpoint that is never tried again since a trial's result
// didn't come.
TEST(CircuitBreaker, ATrialWithoutAResultDoesNotBlockForEver) {
  CircuitBreaker breaker({.consecutive_failures = 1});
  breaker.OnFailure(At(0));
  CHECK(breaker.Allow(At(650)));
  CHECK(!breaker.Admits(At(650 + 4999)));
  CHECK(breaker.Admits(At(650 + 5000)));
}

// Guards against using an endpoint that fails half of its calls, but never
// several in a row.
TEST(CircuitBreaker, OpensOnTheFailureRatio) {
  CircuitBreaker breaker({});
  for (int i = 0; i < 10; ++i) {
    breaker.OnSuccess(At(i));
    breaker.OnFailure(At(i));
  }
  CHECK(breaker.state(At(10)) == CircuitState::kOpen);
}
