// Tests each rule of the planner on its own.
#include "servers/scaling/pool_planner.h"

#include <CppUTest/TestHarness.h>

#include "tests/scaling/scaling_pool.h"

using namespace cassiausher;  // NOLINT

TEST_GROUP(PoolPlanner) {
  LoadScheduler scheduler{{}};
  PoolPlanner planner{{}, &scheduler};
  PoolObservation pool = Pool(2, 4);
  double second = 0;
  std::vector<ScalingOrder> orders;

  void setup() override {
    planner.SetLease(true, Epoch(5), At(0));
    // Load 1.5 of prefill and 0.52 of decode; 1.0 and 0.69 after one move.
    SetDemand(pool, 30'000, 1000);
  }
  /// Calls Step() every second until `end`, without responses to orders.
  void RunTo(double end) {
    for (; second <= end; ++second) {
      for (auto& order : planner.Step(pool, At(second)))
        orders.push_back(order);
    }
  }
  EndpointStatus& Changing() {
    const EndpointId id = planner.Row(At(second)).changing;
    for (EndpointStatus& endpoint : pool.endpoints) {
      if (endpoint.info.id == id) return endpoint;
    }
    FAIL("no endpoint changes");
    return pool.endpoints[0];
  }
  void Answer(OrderOutcome outcome) {
    planner.OnResult({.id = orders.back().id,
                      .endpoint = orders.back().endpoint,
                      .outcome = outcome},
                     At(second));
  }
  ScalingBlock Block() { return planner.Row(At(second)).block; }
};

// Guards against requests that a role change interrupts, and against an
// endpoint that stays drained after it.
TEST(PoolPlanner, RoleChangeDrainsOrdersAndConfirms) {
  pool.endpoints[3].slots_in_use = 1;
  for (int i : {2, 4, 5}) pool.endpoints[i].slots_in_use = 3;
  RunTo(140);
  CHECK(planner.Drained() == EndpointId("r4"));
  CHECK(orders.empty());
  Changing().slots_in_use = 0;
  RunTo(141);
  LONGS_EQUAL(1, orders.size());
  CHECK(orders[0].kind == OrderKind::kSetRole);
  CHECK(orders[0].role == EndpointRole::kPrefill);
  CHECK(orders[0].id.epoch == Epoch(5));
  CHECK(!orders[0].reason.empty());
  Answer(OrderOutcome::kDone);
  CHECK(planner.Drained() == EndpointId("r4"));
  Changing().info.role = EndpointRole::kPrefill;
  RunTo(142);
  CHECK(!planner.Drained());
  LONGS_EQUAL(1, planner.counters().role_changes_done);
}

// Guards against role changes caused by a burst.
TEST(PoolPlanner, ImbalanceMustLastForTheHold) {
  RunTo(100);
  SetDemand(pool, 1000, 1000);
  RunTo(101);
  SetDemand(pool, 30'000, 1000);
  RunTo(159);
  CHECK(Block() == ScalingBlock::kHolding);
  RunTo(162);
  CHECK(planner.Drained().has_value());
}

// Guards against a hold that includes time without observations.
TEST(PoolPlanner, GapInObservationsRestartsTheHold) {
  RunTo(100);
  second = 125;
  RunTo(184);
  CHECK(Block() == ScalingBlock::kHolding);
}

// Guards against a drain without benefit: in a pool with spare capacity, or for
// a role change that makes the other role the bottleneck.
TEST(PoolPlanner, RoleChangeNeedsLoadAndBenefit) {
  SetDemand(pool, 13'000, 300);
  RunTo(300);
  SetDemand(pool, 30'000, 2000);
  RunTo(600);
  LONGS_EQUAL(0, planner.counters().role_changes_started);
}

// Guards against refused and queued requests that are missing from the demand.
TEST(PoolPlanner, RefusalsAndQueuesCountAsDemand) {
  SetDemand(pool, 10'000, 1000);
  pool.demand[0].refused_prompt_tokens_per_second = 5000;
  pool.demand[0].queued_prompt_tokens = Tokens(600'000);
  RunTo(1);
  const ScalingRow row = planner.Row(At(second));
  DOUBLES_EQUAL(1.0, row.prefill_load, 1e-9);
  DOUBLES_EQUAL(1000 * 2 * 2 / (4 * 20 * 24.0), row.decode_load, 1e-9);
}

// Guards against a pool that loses the last endpoint of a role.
TEST(PoolPlanner, EachRoleKeepsItsMinimum) {
  pool = Pool(2, 1);
  // Without output, the predicted benefit alone would justify moving the last
  // decode runner.
  SetDemand(pool, 90'000, 0);
  pool.endpoints.push_back(Runner("r9", EndpointRole::kDecode));
  pool.endpoints.back().leaving = true;
  RunTo(400);
  CHECK(Block() == ScalingBlock::kMinimum);
  LONGS_EQUAL(0, planner.counters().role_changes_started);
}

// Guards against a drain that continues when the role's other endpoint dies.
TEST(PoolPlanner, DeathDuringDrainAbandonsTheChange) {
  pool = Pool(1, 2);
  SetDemand(pool, 30'000, 10);
  pool.endpoints[1].slots_in_use = 1;
  pool.endpoints[2].slots_in_use = 1;
  RunTo(125);
  CHECK(planner.Drained() == EndpointId("r2"));
  pool.endpoints[2].state = EndpointState::kDead;
  RunTo(126);
  CHECK(!planner.Drained());
  LONGS_EQUAL(0, planner.counters().orders_sent);
}

// Guards against role changes while the pool's capacity is uncertain.
TEST(PoolPlanner, SuspectOrQuarantinedEndpointBlocksRoleChanges) {
  pool.endpoints[0].state = EndpointState::kSuspect;
  RunTo(200);
  CHECK(Block() == ScalingBlock::kUnhealthyEndpoint);
  pool.endpoints[0].state = EndpointState::kAlive;
  pool.endpoints[5].quarantined = true;
  RunTo(400);
  LONGS_EQUAL(0, planner.counters().role_changes_started);
}

// Guards against a runner that stays drained because one of its requests
// doesn't end.
TEST(PoolPlanner, DrainTimeoutAbandonsTheChange) {
  for (EndpointStatus& endpoint : pool.endpoints) endpoint.slots_in_use = 1;
  RunTo(299);
  CHECK(planner.Drained() == EndpointId("r3"));
  RunTo(301);
  CHECK(!planner.Drained());
  RunTo(430);
  CHECK(planner.Drained() == EndpointId("r4"));
}

// Guards against an order that arrives while instances that don't know of the
// drain yet still send work.
TEST(PoolPlanner, IdleRunnerIsDrainedForTwoSecondsBeforeTheOrder) {
  RunTo(121);
  CHECK(planner.Drained() == EndpointId("r3"));
  CHECK(orders.empty());
  RunTo(122);
  LONGS_EQUAL(1, orders.size());
}

// Guards against retransmissions while the pool's state is uncertain, and
// against a runner that stays drained during another's long quarantine.
TEST(PoolPlanner, UnhealthyEndpointDelaysTheOrderThenEndsTheChange) {
  RunTo(122);
  pool.endpoints[0].quarantined = true;
  RunTo(302);
  LONGS_EQUAL(1, orders.size());
  CHECK(planner.Drained().has_value());
  RunTo(303);
  CHECK(!planner.Drained());
}

// Guards against lost orders, and against retransmissions that flood an
// endpoint or count as new orders.
TEST(PoolPlanner, OrderIsRetransmittedWithBackoffUnderOneId) {
  RunTo(122 + 2 + 4 + 8 + 16 + 32 + 60 + 60);
  LONGS_EQUAL(8, orders.size());
  for (const ScalingOrder& order : orders) CHECK(order.id == orders[0].id);
  LONGS_EQUAL(7, planner.counters().orders_repeated);
}

// Guards against an answered order that never takes effect.
TEST(PoolPlanner, UnconfirmedOrderIsRetransmitted) {
  RunTo(122);
  Answer(OrderOutcome::kDone);
  RunTo(136);
  LONGS_EQUAL(1, orders.size());
  RunTo(140);
  LONGS_EQUAL(2, orders.size());
}

// Guards against endless retries of an order that the endpoint can't execute.
TEST(PoolPlanner, RepeatedFailuresEndTheChange) {
  for (int i = 0; i < 5; ++i) {
    const std::size_t sent = orders.size();
    while (orders.size() == sent && second < 1000) RunTo(second);
    Answer(OrderOutcome::kFailed);
  }
  CHECK(!planner.Drained());
  CHECK(orders[1].id > orders[0].id);
  LONGS_EQUAL(1, planner.counters().abandoned);
}

// Guards against orders of two owners at once: an owner whose epoch is refused
// as stale stops until it has a higher one.
TEST(PoolPlanner, StaleRefusalStopsOrdersUntilAHigherEpoch) {
  RunTo(122);
  Answer(OrderOutcome::kStaleEpoch);
  CHECK(!planner.Drained());
  planner.SetLease(false, Epoch(5), At(second));
  planner.SetLease(true, Epoch(5), At(second));
  RunTo(1000);
  CHECK(Block() == ScalingBlock::kStaleEpoch);
  LONGS_EQUAL(1, orders.size());
  planner.SetLease(true, Epoch(6), At(second));
  RunTo(1200);
  CHECK(orders.back().id.epoch == Epoch(6));
}

// Guards against orders by an instance that isn't the owner, or under a lower
// epoch than it has used.
TEST(PoolPlanner, NoOrdersWithoutTheLeaseOrUnderALowerEpoch) {
  RunTo(122);
  planner.SetLease(false, Epoch(5), At(second));
  CHECK(!planner.Drained());
  RunTo(400);
  planner.SetLease(true, Epoch(4), At(second));
  RunTo(800);
  LONGS_EQUAL(1, orders.size());
  CHECK(Block() == ScalingBlock::kNoLease);
  LONGS_EQUAL(1, planner.counters().old_epochs_ignored);
}

// Guards against a load that interrupts requests, loads in the wrong order, and
// two runners that are drained at once.
TEST(PoolPlanner, RunnersLoadOneAtATimeVersionsBeforeAdapters) {
  SetDemand(pool, 1000, 100);
  planner.SetWanted({{.id = {ArtifactKind::kAdapter, "a"}, .size = Bytes(1)},
                     {.id = {ArtifactKind::kVersion, "v"}, .size = Bytes(9)}});
  int versions = 0;
  for (; second < 1000; ++second) {
    for (const ScalingOrder& order : planner.Step(pool, At(second))) {
      CHECK((order.kind == OrderKind::kLoadVersion) ==
            planner.Drained().has_value());
      if (order.kind == OrderKind::kLoadVersion) ++versions;
      if (order.kind == OrderKind::kLoadAdapter) LONGS_EQUAL(6, versions);
      Changing().loaded.insert(order.artifact);
      LONGS_EQUAL(1, scheduler.running());
    }
  }
  LONGS_EQUAL(12, planner.counters().loads_done);
  LONGS_EQUAL(0, scheduler.running());
  LONGS_EQUAL(0, planner.Row(At(second)).missing_artifacts);
}

// Guards against a pool in which no model is loaded and the minimum of usable
// endpoints prevents loading one.
TEST(PoolPlanner, DrainingLoadKeepsTheMinimumUnlessTheRunnerServesNothing) {
  pool = Pool(1, 1);
  planner.SetWanted({{.id = {ArtifactKind::kModel, "m"}, .size = Bytes(1)}});
  RunTo(200);
  CHECK(Block() == ScalingBlock::kMinimum);
  pool.endpoints[0].serving = false;
  RunTo(210);
  CHECK(orders.at(0).kind == OrderKind::kLoadModel);
  CHECK(orders[0].endpoint == EndpointId("r1"));
}

// Guards against a change that waits for a runner that restarted and lost it.
TEST(PoolPlanner, RunnerRestartEndsTheChange) {
  RunTo(122);
  Changing().info.incarnation = Incarnation(2);
  RunTo(123);
  CHECK(!planner.Drained());
  LONGS_EQUAL(1, planner.counters().abandoned);
}
