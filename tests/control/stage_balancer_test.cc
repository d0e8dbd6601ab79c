// Guards against a split of runners between prefill and decode that doesn't
// follow a lasting imbalance, flaps, or leaves a stage with too few runners.
#include "servers/control/stage_balancer.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

#include "core/random.h"

namespace cassiausher {
namespace {

constexpr Time kStart{Seconds(100)};
constexpr Tokens kCapacity{100000};

std::vector<RunnerLoad> Runners(int prefill, int decode, int prefill_requests,
                                std::int64_t kv_tokens) {
  std::vector<RunnerLoad> runners;
  for (int i = 0; i < prefill; ++i) {
    runners.push_back({EndpointId("p" + std::to_string(i)),
                       EndpointRole::kPrefill, prefill_requests, Tokens(0)});
  }
  for (int i = 0; i < decode; ++i) {
    runners.push_back({EndpointId("d" + std::to_string(i)),
                       EndpointRole::kDecode, 5, Tokens(kv_tokens)});
  }
  return runners;
}

}  // namespace

TEST_GROUP(StageBalancer) {
  StageBalancer balancer{StageBalancerOptions{}};

  // Calls Step() every 600 ms for `time`; returns the first order.
  std::optional<StageOrder> Run(const std::vector<RunnerLoad>& runners,
                                Time from, Duration time) {
    for (Time now = from; now < from + time; now += Milliseconds(600)) {
      if (auto order = balancer.Step(runners, kCapacity, now)) {
        balancer.OnOrderSent(*order, now);
        return order;
      }
    }
    return std::nullopt;
  }
};

// A burst of long responses fills the decode runners while prefill runners are
// idle.
TEST(StageBalancer, IdlePrefillRunnerSwitchesWhenDecodeIsFull) {
  const auto order = Run(Runners(3, 5, 0, 79000), kStart, Seconds(20));
  CHECK_TRUE(order.has_value());
  CHECK_TRUE(order->role == EndpointRole::kDecode);
  CHECK_EQUAL('p', order->endpoint.value().front());
}

// Traffic shifts to long prompts.
TEST(StageBalancer, DecodeRunnerSwitchesWhenPrefillIsOverloaded) {
  const auto order = Run(Runners(2, 7, 3, 10000), kStart, Seconds(20));
  CHECK_TRUE(order.has_value());
  CHECK_TRUE(order->role == EndpointRole::kPrefill);
}

// A burst builds up faster than a runner can switch, so a spare prefill runner
// has to switch before it.
TEST(StageBalancer, SparePrefillRunnerSwitchesBeforeAnOverload) {
  const auto order = Run(Runners(4, 5, 0, 45000), kStart, Seconds(8));
  CHECK_TRUE(order.has_value());
  CHECK_TRUE(order->role == EndpointRole::kDecode);
}

// A prefill runner crashes; the remaining ones must still handle all prompts.
TEST(StageBalancer, EnoughPrefillRunnersRemainToLoseOne) {
  CHECK_FALSE(Run(Runners(3, 5, 0, 60000), kStart, Seconds(60)).has_value());
  CHECK_FALSE(Run(Runners(10, 30, 0, 60000), kStart, Seconds(60)).has_value());
}

TEST(StageBalancer, BusyPrefillRunnersAreNotSpare) {
  std::vector<RunnerLoad> runners = Runners(4, 5, 0, 45000);
  runners[0].requests = 1;
  runners[1].requests = 1;
  CHECK_FALSE(Run(runners, kStart, Seconds(60)).has_value());
}

// The first burst follows the first request within seconds.
TEST(StageBalancer, IdleServiceKeepsAThirdOfItsRunnersInPrefill) {
  const auto order = Run(Runners(4, 5, 0, 0), kStart, Seconds(4));
  CHECK_TRUE(order.has_value());
  CHECK_TRUE(order->role == EndpointRole::kDecode);
  StageBalancer balanced{StageBalancerOptions{}};
  for (Time now = kStart; now < kStart + Seconds(60);
       now += Milliseconds(600)) {
    CHECK_FALSE(balanced.Step(Runners(3, 6, 0, 0), kCapacity, now).has_value());
  }
}

// All callers reconnect after a power failure. Prompts queue for a while, and
// decode runners are nearly full.
TEST(StageBalancer, NearlyFullDecodeRunnersStayWhenPromptsQueue) {
  CHECK_FALSE(Run(Runners(4, 4, 2, 72000), kStart, Seconds(60)).has_value());
}

// A burst loads both stages. Without the third prefill runner, prompts would
// wait beyond the latency target.
TEST(StageBalancer, NeededPrefillRunnerStaysDuringABurst) {
  std::vector<RunnerLoad> runners = Runners(3, 6, 1, 75000);
  runners[0].requests = 0;
  CHECK_FALSE(Run(runners, kStart, Seconds(60)).has_value());
}

// A rolling replacement of a service's runners adds fewer prefill runners than
// it removes, until a single one is left for all prompts.
TEST(StageBalancer, LostPrefillRunnersAreReplacedWithinSeconds) {
  CHECK_FALSE(Run(Runners(3, 6, 1, 40000), kStart, Seconds(20)).has_value());
  const Time lost = kStart + Seconds(20);
  const auto order = Run(Runners(1, 8, 12, 30000), lost, Milliseconds(3500));
  CHECK_TRUE(order.has_value());
  CHECK_TRUE(order->role == EndpointRole::kPrefill);
}

// Streams that wait for the only prefill runner that is left have reserved
// their memory already, so that decode looks too busy to give up a runner.
// Their callers waited for the rest of the day.
TEST(StageBalancer, MemoryOfStreamsThatWaitForPrefillDoesNotKeepRunners) {
  const auto order = Run(Runners(1, 7, 15, 60000), kStart, Seconds(6));
  CHECK_TRUE(order.has_value());
  CHECK_TRUE(order->role == EndpointRole::kPrefill);
}

// The more streams wait, the busier decode looks, up to being the busier stage.
TEST(StageBalancer, PrefillIsRelievedThoughItsWaitingStreamsFillDecode) {
  const auto order = Run(Runners(1, 7, 15, 85000), kStart, Seconds(6));
  CHECK_TRUE(order.has_value());
  CHECK_TRUE(order->role == EndpointRole::kPrefill);
}

// The streams in decode alone need all decode runners.
TEST(StageBalancer, DecodeRunnersThatAreFullOfRunningStreamsStay) {
  CHECK_FALSE(Run(Runners(1, 7, 3, 75000), kStart, Seconds(60)).has_value());
}

// A zone is partitioned off while its runner is ordered to switch.
TEST(StageBalancer, UndeliveredOrderIsSentToAnotherRunner) {
  const auto runners = Runners(1, 8, 12, 30000);
  const auto first = Run(runners, kStart, Seconds(10));
  CHECK_TRUE(first.has_value());
  balancer.OnOrderUndelivered(*first);
  const auto second = Run(runners, kStart + Seconds(10), Seconds(1));
  CHECK_TRUE(second.has_value());
  CHECK_TRUE(second->endpoint != first->endpoint);
}

TEST(StageBalancer, ServiceWithLowLoadGetsNoOrder) {
  CHECK_FALSE(Run(Runners(3, 6, 0, 10000), kStart, Seconds(60)).has_value());
}

TEST(StageBalancer, BalancedServiceGetsNoOrder) {
  CHECK_FALSE(Run(Runners(3, 6, 1, 70000), kStart, Seconds(60)).has_value());
}

TEST(StageBalancer, ShortPeakGetsNoOrder) {
  CHECK_FALSE(Run(Runners(3, 5, 0, 70000), kStart, Seconds(1)).has_value());
  CHECK_FALSE(
      Run(Runners(3, 5, 0, 0), kStart + Seconds(1), Seconds(9)).has_value());
}

TEST(StageBalancer, StageKeepsItsMinimumOfRunners) {
  CHECK_FALSE(Run(Runners(2, 5, 0, 79000), kStart, Seconds(60)).has_value());
}

TEST(StageBalancer, OrdersOfAServiceAreACooldownApart) {
  const auto overloaded = Runners(5, 3, 0, 79000);
  std::vector<Time> orders;
  for (Time now = kStart; now < kStart + Seconds(60);
       now += Milliseconds(600)) {
    const auto order = balancer.Step(overloaded, kCapacity, now);
    if (!order.has_value()) continue;
    balancer.OnOrderSent(*order, now);
    orders.push_back(now);
  }
  CHECK_TRUE(orders.size() >= 2);
  for (std::size_t i = 1; i < orders.size(); ++i) {
    CHECK_TRUE(orders[i] - orders[i - 1] >=
               StageBalancerOptions{}.service_cooldown);
  }
}

// Load that oscillates faster than a runner can switch must not make runners
// flap.
TEST(StageBalancer, FastOscillationDoesNotMakeRunnersFlap) {
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    Random random(seed);
    StageBalancer oscillating{StageBalancerOptions{}};
    std::map<EndpointId, int> orders;
    for (Time now = kStart; now < kStart + Seconds(60);
         now += Milliseconds(600)) {
      const bool decode_peak = (now - kStart) / Seconds(2) % 2 == 0;
      const auto runners =
          decode_peak ? Runners(3, 6, 0, 70000) : Runners(3, 6, 2, 10000);
      const auto order = oscillating.Step(runners, kCapacity, now);
      if (!order.has_value()) continue;
      oscillating.OnOrderSent(*order, now);
      ++orders[order->endpoint];
    }
    for (const auto& [id, count] : orders) CHECK_TRUE(count <= 2);
  }
}

}  // namespace cassiausher
