// Guards against changes that are lost, applied twice or in force only in part
// after message loss, duplication, reordering, crashes, leader changes or
// partitions.
#include "servers/configuration/change_coordinator.h"

#include <rapidcheck.h>

#include <map>
#include <string>

#include "servers/configuration/configuration_follower.h"
#include "tests/configuration/change_simulation.h"

// CppUTest last: its macros clash with the standard library's headers.
#include <CppUTest/TestHarness.h>

using namespace cassiausher;  // NOLINT: test file

namespace {

/// One leader whose proposals commit at once, and one follower in each of two
/// data centres. Messages are passed on directly, without a network.
struct Deployment {
  Deployment() {
    coordinator.BecomeLeader(now);
    coordinator.SetMembers({{DataCentreId("east"), {InstanceId("e")}},
                            {DataCentreId("west"), {InstanceId("w")}}},
                           now);
    RunFor(Seconds(2));
  }

  /// Delivers all messages for `duration` but those to or from `partitioned`.
  void RunFor(Duration duration, const std::string& partitioned = "") {
    for (const Time end = now + duration; now < end; now += Milliseconds(10)) {
      coordinator.OnQuorumContact(now);
      coordinator.Tick(now);
      for (auto& follower : followers) follower.Tick(now);
      for (int round = 0; round < 6; ++round) Exchange(partitioned);
    }
  }

  void Exchange(const std::string& partitioned) {
    for (auto& output : coordinator.TakeOutputs()) {
      if (const auto* propose = std::get_if<Propose>(&output)) {
        coordinator.OnApplied(state.Apply(++index, propose->entry), now);
      } else if (const auto* send = std::get_if<SendToInstance>(&output)) {
        if (send->to.value() == partitioned) continue;
        auto& follower = followers[send->to == InstanceId("w")];
        if (const auto* stage = std::get_if<Stage>(&send->message)) {
          follower.OnStage(InstanceId("e"), *stage, now);
        } else {
          follower.OnActivate(InstanceId("e"),
                              std::get<Activate>(send->message), now);
        }
      } else if (auto* answer = std::get_if<AnswerSubmission>(&output)) {
        answers[answer->submission] = ToJson(answer->answer).dump();
      }
    }
    for (int i = 0; i < 2; ++i) {
      for (auto& output : followers[i].TakeOutputs()) {
        if (i == 1 && partitioned == "w") continue;
        if (const auto* follow = std::get_if<SendFollow>(&output)) {
          coordinator.OnFollow(follow->follow, now);
        } else if (const auto* send = std::get_if<SendToInstance>(&output)) {
          if (const auto* staged = std::get_if<Staged>(&send->message)) {
            coordinator.OnStaged(*staged, now);
          } else {
            coordinator.OnActivated(std::get<Activated>(send->message), now);
          }
        }
      }
    }
  }

  void Submit(std::uint64_t submission, const char* id, const char* name) {
    Change change;
    change.id = ChangeId(id);
    change.text = name;
    change.operations = {
        {OperationKind::kCreate, ObjectKind::kClass, name, "", false, {1, 1}}};
    coordinator.Submit(submission, change, now);
  }

  Time now{Seconds(100)};
  std::uint64_t index = 0;
  ReplicatedState state;
  ChangeCoordinator coordinator{&state};
  ConfigurationFollower followers[2] = {
      ConfigurationFollower({.instance = InstanceId("e"),
                             .data_centre = DataCentreId("east"),
                             .incarnation = Incarnation(1)}),
      ConfigurationFollower({.instance = InstanceId("w"),
                             .data_centre = DataCentreId("west"),
                             .incarnation = Incarnation(1)})};
  std::map<std::uint64_t, std::string> answers;
};

}  // namespace

TEST_GROUP(ChangeCoordinator){};

// A change accepted without one data centre would be in force only in part.
TEST(ChangeCoordinator, PartitionedDataCentreAbortsTheChangeAndIsNamed) {
  Deployment deployment;
  deployment.Submit(1, "c-1", "long");
  deployment.RunFor(Milliseconds(1900), "w");
  CHECK(deployment.answers.empty());
  deployment.RunFor(Milliseconds(200), "w");
  const std::string expected =
      R"({"accepted":false,"findings":[{"message":"no acknowledgement within )"
      R"(2000 ms from: w","place":"data centre west"}],"in_force":false,)"
      R"("revision":0})";
  STRCMP_EQUAL(expected.c_str(), deployment.answers[1].c_str());
  CHECK(!deployment.state.staged());
  // The same id gets the same answer after the partition heals.
  deployment.Submit(2, "c-1", "long");
  deployment.RunFor(Seconds(1));
  STRCMP_EQUAL(expected.c_str(), deployment.answers[2].c_str());
  deployment.Submit(3, "c-1", "other");
  deployment.RunFor(Seconds(1));
  CHECK(deployment.answers[3].find("another text") != std::string::npos);
}

TEST(ChangeCoordinator, PartitionAfterStagingIsAnsweredAcceptedNotInForce) {
  Deployment deployment;
  deployment.Submit(1, "c-1", "long");
  // Both acknowledge; the partition starts before the activation is sent.
  while (deployment.state.active()->revision == Revision(0)) {
    deployment.Exchange(deployment.followers[1].has_staged() ? "w" : "");
    deployment.coordinator.Tick(deployment.now += Milliseconds(1));
  }
  deployment.RunFor(Milliseconds(2100), "w");
  STRCMP_EQUAL(
      R"({"accepted":true,"findings":[{"message":"revision 1 is not confirmed )"
      R"(by: w","place":"data centre west"}],"in_force":false,"revision":1})",
      deployment.answers[1].c_str());
  deployment.RunFor(Seconds(1));
  deployment.Submit(2, "c-1", "long");
  STRCMP_EQUAL(
      R"({"accepted":true,"findings":[],"in_force":true,"revision":1})",
      (deployment.Exchange(""), deployment.answers[2].c_str()));
}

// A leader that dies between staging and activation must not leave a change
// that blocks all others.
TEST(ChangeCoordinator, NewLeaderActivatesAStagedChange) {
  Deployment deployment;
  Change change;
  change.id = ChangeId("c-1");
  deployment.state.Apply(++deployment.index, StageEntry{change});
  deployment.coordinator.BecomeLeader(deployment.now);
  deployment.RunFor(Milliseconds(100));
  CHECK(deployment.state.active()->revision == Revision(1));
  LONGS_EQUAL(2, deployment.index);
}

TEST_GROUP(ConfigurationFollower){};

// A restarted instance would consider itself current although the leader
// doesn't account for its lease.
TEST(ConfigurationFollower, ReplyToAnEarlierIncarnationRenewsNoLease) {
  const ReplicatedState state;
  const auto run = [&](std::uint64_t incarnation, Time now) {
    ConfigurationFollower follower({.instance = InstanceId("e"),
                                    .data_centre = DataCentreId("east"),
                                    .incarnation = Incarnation(incarnation)});
    follower.Tick(now);
    return follower;
  };
  ConfigurationFollower previous = run(1, Time(Seconds(1)));
  const auto sent = previous.TakeOutputs();
  Activate answer = AnswerFollow(state, std::get<SendFollow>(sent[0]).follow);
  answer.lease = Seconds(2);
  ConfigurationFollower next = run(2, Time(Seconds(2)));
  next.OnActivate(InstanceId("w"), answer, Time(Seconds(2)));
  CHECK(next.active() != nullptr);
  CHECK(!next.LeaseValid(Time(Seconds(2))));
  previous.OnActivate(InstanceId("w"), answer, Time(Seconds(2)));
  CHECK(previous.LeaseValid(Time(Seconds(3) - Duration(1))));
  CHECK(!previous.LeaseValid(Time(Seconds(3))));
}

// Two attempts at one revision differ; only the committed one may be activated.
TEST(ConfigurationFollower, AbortedStageIsNotActivatedByTheNextAttempt) {
  Deployment deployment;
  deployment.Submit(1, "c-1", "long");
  deployment.RunFor(Seconds(3), "w");
  Change next;
  next.id = ChangeId("c-2");
  next.operations = {
      {OperationKind::kCreate, ObjectKind::kClass, "short", "", false, {1, 1}}};
  const auto stage = deployment.index + 1;
  deployment.state.Apply(stage, StageEntry{next});
  deployment.state.Apply(stage + 1, ActivateEntry{stage});
  // "e" still holds the aborted change; it gets the activation only.
  CHECK(deployment.followers[0].has_staged());
  Activate activate;
  activate.revision = Revision(1);
  activate.stage_index = stage;
  activate.hash = deployment.state.active_hash();
  deployment.followers[0].OnActivate(InstanceId("e"), activate, deployment.now);
  CHECK(deployment.followers[0].active()->revision == Revision(0));
}

TEST_GROUP(ReplicatedState){};

TEST(ReplicatedState, SnapshotKeepsTheLastTwentyThousandIds) {
  ReplicatedState state;
  Change change;
  const int count = 30000;
  for (int i = 1; i <= count; ++i) {
    change.id = ChangeId(std::to_string(i));
    // Every second one is refused.
    change.expected_revision = Revision(i / 2 + i % 2 * 7);
    const auto applied = state.Apply(2 * i, StageEntry{change});
    if (applied.kind == AppliedKind::kStaged) {
      state.Apply(2 * i + 1, ActivateEntry{2u * i});
    }
  }
  ReplicatedState restored;
  CHECK(restored.Restore(state.Snapshot()).empty());
  CHECK(restored.Snapshot() == state.Snapshot());
  LONGS_EQUAL(25000, restored.Records().size());
  for (int i = count - 20000 + 1; i <= count; ++i) {
    CHECK(restored.FindRecord(ChangeId(std::to_string(i))) != nullptr);
  }
}

TEST(ReplicatedState, MalformedBytesGiveFindingsAndLeaveTheState) {
  ReplicatedState state;
  CHECK(std::holds_alternative<Findings>(state.ApplyBytes(1, "\xff\xff")));
  CHECK(std::holds_alternative<Findings>(state.ApplyBytes(1, "")));
  CHECK(std::holds_alternative<Findings>(DecodeMessage("\x0a\xff")));
  CHECK(!state.Restore("\x0a").empty());
  LONGS_EQUAL(0, state.applied_index());
}

TEST(ChangeCoordinator, InvariantsHoldUnderFaults) {
  int accepted = 0;
  int in_force = 0;
  int refused = 0;
  const auto run = [&] {
    const auto seed =
        *rc::gen::noShrink(rc::gen::inRange<std::uint64_t>(0, 1u << 31));
    ChangeSimulation simulation(seed);
    simulation.Run(Seconds(30));
    simulation.CheckConvergence();
    for (const auto& violation : simulation.violations()) RC_FAIL(violation);
    accepted += simulation.accepted();
    in_force += simulation.in_force();
    refused += simulation.refused();
  };
  CHECK(rc::check("changes under faults", run));
  std::printf("accepted %d, answered in force %d, refused %d\n", accepted,
              in_force, refused);
  // A run in which nothing is accepted or refused would check nothing.
  CHECK(accepted > 100);
  CHECK(in_force > 100);
  CHECK(refused > 100);
}
