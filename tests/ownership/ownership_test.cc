// Pool ownership on failover, hand-over, pause, flapping members, partitions
// and stale epochs.
#include "servers/ownership/ownership.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <algorithm>

#include "tests/ownership/ownership_cluster.h"

using namespace cassiausher;  // NOLINT

namespace {

DataCentreId Home() { return DataCentreId("centre-0"); }

void CheckNoViolation(const OwnershipCluster& deployment) {
  STRCMP_EQUAL("", deployment.violation.c_str());
}

/// Time until another instance than `old` holds the pool; `limit` if none.
Duration UntilNewHolder(OwnershipCluster& deployment, const ServiceId& service,
                        const InstanceId& old, Duration limit) {
  const Time start = deployment.cluster.now;
  while (deployment.cluster.now < start + limit) {
    const InstanceId holder = deployment.Holder(Home(), service);
    if (!holder.empty() && holder != old) break;
    deployment.cluster.Run(Milliseconds(1));
  }
  return deployment.cluster.now - start;
}

}  // namespace

TEST_GROUP(Ownership){};

// Guards against a pool that stays without an owner after its owner crashed,
// and against a new owner of an unfenced pool that doesn't wait until the lease
// has run out.
TEST(Ownership, CrashedOwnerIsReplacedWithinTheLimit) {
  struct Shape {
    std::vector<int> sizes;
    bool unfenced_fails_over;
  };
  for (const Shape& shape : {Shape{{2, 2}, true}, Shape{{3}, true},
                             Shape{{5}, true}, Shape{{2}, false}}) {
    Duration worst[2] = {Duration(0), Duration(0)};
    for (int seed = 1; seed <= 10; ++seed) {
      for (const ServiceId& service : {FencedService(), UnfencedService()}) {
        OwnershipCluster deployment(shape.sizes, seed);
        deployment.StartAll();
        CHECK(deployment.RunUntilSettled(Seconds(20)));
        deployment.cluster.Run(
            Duration(deployment.cluster.random.Below(1'000'000)));
        const InstanceId old = deployment.Holder(Home(), service);
        deployment.Crash(old);
        const Duration taken =
            UntilNewHolder(deployment, service, old, Seconds(10));
        Duration& most = worst[service == UnfencedService() ? 1 : 0];
        most = std::max(most, taken);
        CheckNoViolation(deployment);
      }
    }
    fmt::print(
        "failover, {} instances in {} data centres: fenced {:.0f} ms, "
        "unfenced {:.0f} ms\n",
        shape.sizes[0], shape.sizes.size(), ToMilliseconds(worst[0]),
        ToMilliseconds(worst[1]));
    CHECK(worst[0] <= Milliseconds(2500));
    // Detection, then at most the rest of the lease and one attempt to claim.
    CHECK((worst[1] <= Milliseconds(5500)) == shape.unfenced_fails_over);
  }
}

// Guards against a planned hand-over that leaves a pool without an owner for
// longer than one message takes, or with two owners.
TEST(Ownership, PlannedHandoverGapIsOneMessagePerPool) {
  Duration longest{0};
  for (int seed = 1; seed <= 20; ++seed) {
    OwnershipCluster deployment({3}, seed);
    deployment.StartAll();
    CHECK(deployment.RunUntilSettled(Seconds(20)));
    const InstanceId old = deployment.Holder(Home(), UnfencedService());
    deployment.Leave(old);
    Duration gap{0};
    const Time start = deployment.cluster.now;
    while (deployment.cluster.now < start + Seconds(8)) {
      deployment.cluster.Run(Duration(100));
      for (const ServiceId& service : {FencedService(), UnfencedService()}) {
        if (deployment.Holder(Home(), service).empty()) gap += Duration(100);
      }
    }
    longest = std::max(longest, gap);
    CHECK(deployment.At(old).HoldsNoPools(deployment.cluster.now));
    CHECK(deployment.Holder(Home(), UnfencedService()) != old);
    CheckNoViolation(deployment);
  }
  fmt::print(
      "hand-over: at most {:.1f} ms without an owner, two pools, "
      "delays up to 2 ms\n",
      ToMilliseconds(longest));
  // One message for each of the two pools.
  CHECK(longest <= Milliseconds(5));
}

// Guards against a paused owner that acts under its lease after another
// instance has taken the pool over.
TEST(Ownership, PausedOwnerLosesItsLease) {
  OwnershipCluster deployment({3}, 5);
  deployment.StartAll();
  CHECK(deployment.RunUntilSettled(Seconds(20)));
  const InstanceId old = deployment.Holder(Home(), UnfencedService());
  deployment.cluster.Pause(old, Seconds(10));
  deployment.cluster.Run(Seconds(9));
  CHECK(deployment.Holder(Home(), UnfencedService()) != old);
  CHECK(!deployment.Holder(Home(), UnfencedService()).empty());
  CHECK(
      !deployment.At(old).HeldEpoch(UnfencedService(), deployment.cluster.now));
  CHECK(deployment.RunUntilSettled(Seconds(20)));
  CheckNoViolation(deployment);
}

// Guards against pools that move each time a flapping member fails or returns.
TEST(Ownership, FlappingMemberDoesNotMovePools) {
  OwnershipCluster deployment({5}, 8);
  deployment.StartAll();
  CHECK(deployment.RunUntilSettled(Seconds(20)));
  const InstanceId flapping = deployment.Holder(Home(), FencedService());
  const PoolId pool{Home(), FencedService()};
  const int before = deployment.acquisitions[pool];
  for (int i = 0; i < 10; ++i) {
    deployment.Crash(flapping);
    deployment.cluster.Run(Seconds(3));
    deployment.Start(flapping);
    deployment.cluster.Run(Seconds(4));
  }
  LONGS_EQUAL(before + 1, deployment.acquisitions[pool]);
  // The member gets the pool back once it is stable.
  deployment.cluster.Run(Seconds(80));
  CHECK(deployment.Holder(Home(), FencedService()) == flapping);
  CheckNoViolation(deployment);
}

// Guards against a data centre that loses its owner while it is cut off from
// the others, and against two owners of an unfenced pool when its two instances
// are cut off from each other.
TEST(Ownership, UnfencedPoolKeepsOneHolderInPartitions) {
  OwnershipCluster deployment({2, 2, 2}, 9);
  deployment.StartAll();
  CHECK(deployment.RunUntilSettled(Seconds(20)));
  const std::set<InstanceId> inside = deployment.cluster.InstancesIn(Home());
  std::set<InstanceId> outside;
  for (const auto& [id, node] : deployment.cluster.nodes) {
    if (inside.count(id) == 0) outside.insert(id);
  }
  const InstanceId holder = deployment.Holder(Home(), UnfencedService());
  deployment.cluster.Cut(inside, outside, true);
  for (int i = 0; i < 200; ++i) {
    deployment.cluster.Run(Milliseconds(100));
    CHECK(deployment.Holder(Home(), UnfencedService()) == holder);
  }
  deployment.cluster.Heal();
  deployment.cluster.Run(Seconds(5));
  // The two instances can't reach each other; the vote of the witness decides.
  deployment.cluster.Cut({*inside.begin()}, {*inside.rbegin()}, true);
  deployment.cluster.Run(Seconds(12));
  CHECK(!deployment.Holder(Home(), UnfencedService()).empty());
  deployment.cluster.Heal();
  CHECK(deployment.RunUntilSettled(Seconds(20)));
  CheckNoViolation(deployment);
}

// Guards against an owner that keeps acting after an endpoint has shown it a
// newer epoch, and against invalid messages that are acted on or crash the
// process.
TEST(Ownership, OwnerWithStaleEpochStepsDownAndInvalidMessagesAreCounted) {
  OwnershipCluster deployment({3}, 10);
  deployment.StartAll();
  CHECK(deployment.RunUntilSettled(Seconds(20)));
  const InstanceId holder = deployment.Holder(Home(), FencedService());
  Ownership& owner = deployment.At(holder);
  const Time now = deployment.cluster.now;
  const Epoch epoch = *owner.HeldEpoch(FencedService(), now);
  owner.OnStaleEpoch(FencedService(), Epoch(epoch.value() - 1), now);
  CHECK(owner.HeldEpoch(FencedService(), now).has_value());
  owner.OnStaleEpoch(FencedService(), Epoch(epoch.value() + 1), now);
  CHECK(!owner.HeldEpoch(FencedService(), now).has_value());
  proto::OwnershipMessage message;
  owner.OnMessage(InstanceId("x"), message, now);
  message.set_kind(proto::OwnershipMessage::CLAIM);
  message.set_data_centre("centre-0");
  message.add_pools()->set_service("fenced");
  message.mutable_pools(0)->set_epoch(std::uint64_t{1} << 60);
  owner.OnMessage(InstanceId("x"), message, now);
  LONGS_EQUAL(2, owner.counters().malformed);
  message.mutable_pools(0)->set_epoch(1);
  message.set_kind(proto::OwnershipMessage::PREPARE);
  message.set_data_centre("elsewhere");
  owner.OnMessage(InstanceId("x"), message, now);
  owner.OnMessage(holder, message, now);
  LONGS_EQUAL(2, owner.counters().foreign);
  CHECK(deployment.RunUntilSettled(Seconds(20)));
  CHECK(*deployment.At(deployment.Holder(Home(), FencedService()))
             .HeldEpoch(FencedService(), deployment.cluster.now) > epoch);
}
