// Guards the split of runners between reading and writing: it follows a lasting
// imbalance, doesn't flap, and leaves runners to each stage.
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

std::vector<RunnerLoad> Runners(int prefill, int decode, int reading,
                                std::int64_t kv_tokens) {
  std::vector<RunnerLoad> runners;
  for (int i = 0; i < prefill; ++i) {
    runners.push_back({EndpointId("p" + std::to_string(i)),
                       EndpointRole::kPrefill, reading, Tokens(0)});
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

  // Steps each 600 ms; returns the first order.
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

// Pattern: a burst of long answers fills the decode runners while prefill
// runners idle.
TEST(StageBalancer, AnIdlePrefillRunnerHelpsFullDecodeRunners) {
  const auto order = Run(Runners(3, 5, 0, 79000), kStart, Seconds(20));
  CHECK_TRUE(order.has_value());
  CHECK_TRUE(order->role == EndpointRole::kDecode);
  CHECK_EQUAL('p', order->endpoint.value().front());
}

// Pattern: the traffic shifts to long prompts.
TEST(StageBalancer, ADecodeRunnerHelpsBusyPrefillRunners) {
  const auto order = Run(Runners(2, 7, 3, 10000), kStart, Seconds(20));
  CHECK_TRUE(order.has_value());
  CHECK_TRUE(order->role == EndpointRole::kPrefill);
}

// Pattern: a burst comes faster than a change of stage, so a prefill runner
// that nobody needs has to change before it.
TEST(StageBalancer, ASparePrefillRunnerChangesBeforeAnOverload) {
  const auto order = Run(Runners(4, 5, 0, 45000), kStart, Seconds(8));
  CHECK_TRUE(order.has_value());
  CHECK_TRUE(order->role == EndpointRole::kDecode);
}

// Pattern: a prefill runner crashes; the others must still read all prompts.
TEST(StageBalancer, PrefillRunnersForTheLossOfOneRemain) {
  CHECK_FALSE(Run(Runners(3, 5, 0, 60000), kStart, Seconds(60)).has_value());
  CHECK_FALSE(Run(Runners(10, 30, 0, 60000), kStart, Seconds(60)).has_value());
}

TEST(StageBalancer, BusyPrefillRunnersAreNotSpare) {
  std::vector<RunnerLoad> runners = Runners(4, 5, 0, 45000);
  runners[0].requests = 1;
  runners[1].requests = 1;
  CHECK_FALSE(Run(runners, kStart, Seconds(60)).has_value());
}

// Pattern: the first burst comes seconds after the first request.
TEST(StageBalancer, AnIdleServiceStartsWithAThirdOfItsRunnersReading) {
  const auto order = Run(Runners(4, 5, 0, 0), kStart, Seconds(4));
  CHECK_TRUE(order.has_value());
  CHECK_TRUE(order->role == EndpointRole::kDecode);
  StageBalancer balanced{StageBalancerOptions{}};
  for (Time now = kStart; now < kStart + Seconds(60);
       now += Milliseconds(600)) {
    CHECK_FALSE(balanced.Step(Runners(3, 6, 0, 0), kCapacity, now).has_value());
  }
}

// Pattern: all callers come back after a loss of power. Prompts wait for each
// other for a while, and decode runners are nearly full.
TEST(StageBalancer, WaitingPromptsTakeNoFullDecodeRunner) {
  CHECK_FALSE(Run(Runners(4, 4, 2, 72000), kStart, Seconds(60)).has_value());
}

// Pattern: a burst fills both stages. The third prefill runner given away would
// leave prompts waiting beyond the latency target.
TEST(StageBalancer, ABurstTakesNoPrefillRunnerThatItNeeds) {
  std::vector<RunnerLoad> runners = Runners(3, 6, 1, 75000);
  runners[0].requests = 0;
  CHECK_FALSE(Run(runners, kStart, Seconds(60)).has_value());
}

// Pattern: the runners of a service are replaced one after the other, and those
// that come read fewer prompts. One prefill runner is left for all.
TEST(StageBalancer, ALossOfPrefillRunnersIsMadeUpForSoon) {
  CHECK_FALSE(Run(Runners(3, 6, 1, 40000), kStart, Seconds(20)).has_value());
  const Time lost = kStart + Seconds(20);
  const auto order = Run(Runners(1, 8, 12, 30000), lost, Milliseconds(3500));
  CHECK_TRUE(order.has_value());
  CHECK_TRUE(order->role == EndpointRole::kPrefill);
}

// Pattern: a zone is cut off while its runner is ordered to change.
TEST(StageBalancer, AnOrderThatIsNotDeliveredGoesToAnotherRunner) {
  const auto runners = Runners(1, 8, 12, 30000);
  const auto first = Run(runners, kStart, Seconds(10));
  CHECK_TRUE(first.has_value());
  balancer.OnOrderUndelivered(*first);
  const auto second = Run(runners, kStart + Seconds(10), Seconds(1));
  CHECK_TRUE(second.has_value());
  CHECK_TRUE(second->endpoint != first->endpoint);
}

TEST(StageBalancer, AQuietServiceStays) {
  CHECK_FALSE(Run(Runners(3, 6, 0, 10000), kStart, Seconds(60)).has_value());
}

TEST(StageBalancer, ABalancedServiceStays) {
  CHECK_FALSE(Run(Runners(3, 6, 1, 70000), kStart, Seconds(60)).has_value());
}

TEST(StageBalancer, AShortPeakChangesNothing) {
  CHECK_FALSE(Run(Runners(3, 5, 0, 70000), kStart, Seconds(1)).has_value());
  CHECK_FALSE(
      Run(Runners(3, 5, 0, 0), kStart + Seconds(1), Seconds(9)).has_value());
}

TEST(StageBalancer, EachStageKeepsRunners) {
  CHECK_FALSE(Run(Runners(2, 5, 0, 79000), kStart, Seconds(60)).has_value());
}

TEST(StageBalancer, OrdersOfAServiceArePaused) {
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

// Demand that swings faster than a change takes must not make runners swing.
TEST(StageBalancer, FastSwingsDoNotMakeItFlap) {
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    Random random(seed);
    StageBalancer swinging{StageBalancerOptions{}};
    std::map<EndpointId, int> orders;
    for (Time now = kStart; now < kStart + Seconds(60);
         now += Milliseconds(600)) {
      const bool decode_peak = (now - kStart) / Seconds(2) % 2 == 0;
      const auto runners =
          decode_peak ? Runners(3, 6, 0, 70000) : Runners(3, 6, 2, 10000);
      const auto order = swinging.Step(runners, kCapacity, now);
      if (!order.has_value()) continue;
      swinging.OnOrderSent(*order, now);
      ++orders[order->endpoint];
    }
    for (const auto& [id, count] : orders) CHECK_TRUE(count <= 2);
  }
}

}  // namespace cassiausher
