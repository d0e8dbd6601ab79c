// The reserving policy and its components.
#include <string>
#include <vector>

#include "core/random.h"
#include "modules/policy_reserving/class_statistics.h"
#include "modules/policy_reserving/fair_queue.h"
#include "modules/policy_reserving/link_calendar.h"
#include "modules/policy_reserving/prefix_index.h"
#include "tests/routing/policy_driver.h"

// CppUTest redefines operator new, so its header comes last.
#include <CppUTest/TestHarness.h>

using namespace cassiausher;  // NOLINT: test file

namespace {

constexpr Time kStart{Seconds(100)};

/// A reserving policy with one prefill and one decode engine, and helpers for
/// its inputs and outputs.
struct Pool {
  explicit Pool(int slots = 4, const RoutingOptions& options = TestOptions())
      : policy(TestPolicies().Create("reserving", options)) {
    policy->UpsertEndpoint(TestEndpoint("p", EndpointRole::kPrefill), kStart);
    policy->UpsertEndpoint(TestEndpoint("d", EndpointRole::kDecode, slots),
                           kStart);
  }
  void Admit(const std::string& id, std::int64_t prompt,
             const std::string& class_id = "long",
             const std::string& account = "account", Time now = kStart) {
    RouteRequest request = TestRequest(id, prompt, now, class_id);
    request.account = AccountId(account);
    policy->Admit(request, now);
  }
  /// Takes `slots` decode slots with granted requests "fill0", "fill1", ...
  void FillSlots(int slots) {
    for (int i = 0; i < slots; ++i)
      Admit("fill" + std::to_string(i), 100, "short");
    granted.clear();
    TakeOutputs();
    granted.clear();
  }
  void TakeOutputs() {
    for (const RouteOutput& output : policy->TakeOutputs()) {
      if (const auto* grant = std::get_if<Grant>(&output))
        granted.push_back(grant->request.value());
      if (const auto* refusal = std::get_if<RouteRefusal>(&output))
        refused.push_back(refusal->request.value());
    }
  }

  std::unique_ptr<RoutingPolicy> policy;
  std::vector<std::string> granted;
  std::vector<std::string> refused;
};

}  // namespace

TEST_GROUP(ReservingPolicy){};

// Guards against refusing a request only after its first-token target has
// passed in the queue.
TEST(ReservingPolicy, RefusesAtOnceWhenTheTargetCannotBeMet) {
  Pool pool(2);
  pool.FillSlots(2);
  for (int i = 0; i < 50; ++i) pool.Admit("q" + std::to_string(i), 1000);
  pool.TakeOutputs();
  CHECK(pool.granted.empty());
  CHECK(pool.refused.size() >= 45);
}

// Guards against head-of-line blocking of short requests by long ones.
TEST(ReservingPolicy, ShortClassIsServedBeforeTheLongClass) {
  Pool pool(20);
  pool.FillSlots(20);
  pool.Admit("long", 1000, "long");
  pool.Admit("short", 100, "short");
  pool.TakeOutputs();
  CHECK(pool.refused.empty());
  pool.policy->OnFinished(RequestId("fill0"), Tokens(10), kStart);
  pool.TakeOutputs();
  LONGS_EQUAL(1, pool.granted.size());
  STRCMP_EQUAL("short", pool.granted[0].c_str());
}

// Guards against delaying a short prompt by the link or a prefill engine.
TEST(ReservingPolicy, ShortPromptIsPrefilledByTheDecodeEngine) {
  Pool pool;
  pool.Admit("short", 100, "short");
  pool.Admit("long", 1000, "long");
  for (const RouteOutput& output : pool.policy->TakeOutputs()) {
    const auto& grant = std::get<Grant>(output);
    CHECK_EQUAL(grant.request.value() == "short", grant.prefill.empty());
  }
}

// Guards against one account that fills the queue and starves the others.
TEST(ReservingPolicy, LightAccountIsServedWhileHeavyAccountFillsQueue) {
  Pool pool(20);
  pool.FillSlots(20);
  for (int i = 0; i < 100; ++i)
    pool.Admit("a" + std::to_string(i), 100, "short", "heavy");
  pool.Admit("b", 100, "short", "light");
  pool.TakeOutputs();
  for (const std::string& id : pool.refused) CHECK(id != "b");
  for (int i = 0; i < 4; ++i) {
    const RequestId id("fill" + std::to_string(i));
    pool.policy->OnFinished(id, Tokens(1), kStart);
  }
  pool.TakeOutputs();
  CHECK(std::find(pool.granted.begin(), pool.granted.end(), "b") !=
        pool.granted.end());
}

// Guards against cutting off a stream because its continuation on another
// endpoint is refused.
TEST(ReservingPolicy, InterruptedRequestIsServedFirstAndNotRefused) {
  Pool pool(20);
  pool.FillSlots(20);
  pool.Admit("waiting", 100, "short");
  pool.TakeOutputs();
  CHECK(pool.refused.empty());
  RouteRequest retry = TestRequest("retry", 100, kStart - Seconds(5), "short");
  retry.attempt = 1;
  retry.delivered_tokens = Tokens(7);
  pool.policy->Admit(retry, kStart);
  pool.policy->OnFinished(RequestId("fill0"), Tokens(10), kStart);
  pool.TakeOutputs();
  LONGS_EQUAL(1, pool.granted.size());
  STRCMP_EQUAL("retry", pool.granted[0].c_str());
}

// Guards against retries that multiply the load of a failing pool.
TEST(ReservingPolicy, RetriesBeyondTheBudgetAreRefused) {
  Pool pool(4);
  int budget_refusals = 0;
  for (int i = 0; i < 200; ++i) {
    RouteRequest retry = TestRequest("r" + std::to_string(i), 100, kStart);
    retry.attempt = 1;
    pool.policy->Admit(retry, kStart);
    for (const RouteOutput& output : pool.policy->TakeOutputs()) {
      const auto* refusal = std::get_if<RouteRefusal>(&output);
      if (refusal && refusal->reason == RefusalReason::kRetriesSpent)
        ++budget_refusals;
    }
    pool.policy->OnCancelled(retry.id, kStart);
  }
  CHECK(budget_refusals >= 150);
}

// Guards against granting slots that leaked engine sessions still occupy.
TEST(ReservingPolicy, UntrackedWorkOccupiesSlotsUntilAReportClearsIt) {
  Pool pool(4);
  LoadReport report;
  report.endpoint = EndpointId("d");
  report.incarnation = Incarnation(1);
  report.sequence = 1;
  report.running = 4;
  pool.policy->Report(report, kStart);
  pool.Admit("q", 100, "short");
  pool.TakeOutputs();
  CHECK(pool.granted.empty());
  report.sequence = 2;
  report.running = 0;
  pool.policy->Report(report, kStart + Milliseconds(10));
  pool.TakeOutputs();
  pool.Admit("r", 100, "short", "account", kStart + Milliseconds(10));
  pool.TakeOutputs();
  CHECK(!pool.granted.empty());
}

// Guards against prefills whose results would be lost on a stalled link.
TEST(ReservingPolicy, NoPrefillStartsWhileATransferIsOverdue) {
  RoutingOptions options = TestOptions();
  options.prefill_thrift = 1;
  Pool pool(4, options);
  pool.Admit("q", 1000);
  pool.policy->OnPrefillFinished(RequestId("q"), kStart + Milliseconds(25));
  pool.TakeOutputs();
  const Time later = kStart + Milliseconds(600);
  pool.Admit("r", 1000, "long", "account", later);
  pool.TakeOutputs();
  LONGS_EQUAL(1, pool.granted.size());
  pool.policy->OnFirstToken(RequestId("q"), later);
  pool.Admit("s", 1000, "long", "account", later);
  pool.TakeOutputs();
  LONGS_EQUAL(2, pool.granted.size());
}

TEST_GROUP(LinkCalendar){};

// Guards against reservations that exceed the link rate or are not released in
// full.
TEST(LinkCalendar, RandomReservationsStayWithinRateAndAreReleased) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Random random(seed);
    LinkCalendar calendar(1e9);
    std::vector<LinkCalendar::Reservation> held;
    Time now = kStart;
    for (int i = 0; i < 500; ++i) {
      now += Duration(static_cast<std::int64_t>(random.Below(20000)));
      if (!held.empty() && random.Chance(0.4)) {
        calendar.Release(held.back(), now);
        held.pop_back();
      } else {
        const Bytes bytes(static_cast<std::int64_t>(random.Below(50'000'000)));
        const Time from =
            now + Milliseconds(static_cast<std::int64_t>(random.Below(500)));
        const Time planned = calendar.EndOf(bytes, from, now);
        held.push_back(calendar.Reserve(bytes, from, now));
        if (planned != Time::max()) CHECK(planned == held.back().end);
        CHECK(held.back().end >= from);
      }
      // 256 intervals of 10 ms at 1e9 bytes per second.
      CHECK(calendar.Reserved(now) <= Bytes(2'560'000'000));
    }
    for (const auto& reservation : held) calendar.Release(reservation, now);
    CHECK(calendar.Reserved(now) == Bytes(0));
  }
}

// Guards against planning two transfers on the same link capacity.
TEST(LinkCalendar, SecondTransferEndsAfterTheFirst) {
  LinkCalendar calendar(1e9);
  calendar.Reserve(Bytes(100'000'000), kStart, kStart);
  const Time end = calendar.EndOf(Bytes(100'000'000), kStart, kStart);
  CHECK(end >= kStart + Milliseconds(190));
  CHECK(end <= kStart + Milliseconds(210));
}

TEST_GROUP(ReservingParts){};

// Guards against dropping the latest arrival rather than a request of the
// account that exceeds its share, and against entries left after Serve or
// Remove.
TEST(ReservingParts, FairQueueDropsAccountBeyondItsShareFirst) {
  FairQueue queue;
  queue.Push(RequestId("a1"), AccountId("a"), 1, kStart);
  queue.Push(RequestId("a2"), AccountId("a"), 1, kStart);
  queue.Push(RequestId("b1"), AccountId("b"), 1, kStart + Seconds(1));
  STRCMP_EQUAL("a2", queue.next_dropped().value().c_str());
  STRCMP_EQUAL("a1", queue.next_served().value().c_str());
  queue.Serve(RequestId("a1"));
  queue.Remove(RequestId("a2"));
  STRCMP_EQUAL("b1", queue.next_served().value().c_str());
  queue.Remove(RequestId("b1"));
  CHECK(queue.empty());
}

// Guards against unbounded growth, and against entries that stay because their
// removal event was missed.
TEST(ReservingParts, PrefixIndexIsBoundedAndExpiresEntries) {
  PrefixIndex index;
  for (std::uint64_t hash = 0; hash < 200000; ++hash)
    index.Store(hash, 1, kStart);
  CHECK(index.size() <= 65536);
  const auto found = index.Longest({199998, 199999}, kStart);
  LONGS_EQUAL(1, found.size());
  LONGS_EQUAL(512, found[0].tokens.value());
  CHECK(index.Longest({199999}, kStart + Seconds(61)).empty());
  index.Remove(199999, 1);
  CHECK(index.Longest({199999}, kStart).empty());
}

// Guards against KV cache reservations that don't follow the observed outputs.
TEST(ReservingParts, OutputQuantileFollowsObservedLengths) {
  ClassStatistics statistics;
  LONGS_EQUAL(500, statistics.OutputQuantile(0.9, Tokens(500)).value());
  for (int i = 1; i <= 1000; ++i)
    statistics.RecordOutput(Tokens(i % 100 + 1), Milliseconds(50));
  const Tokens p90 = statistics.OutputQuantile(0.9, Tokens(500));
  CHECK(p90 >= Tokens(85) && p90 <= Tokens(110));
}
