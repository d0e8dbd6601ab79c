// Guards against a Raft group that keeps a lost voter, so that the loss of
// another one costs the quorum, or that stays at an even number of voters.
#include "servers/control/voter_planner.h"

#include <CppUTest/TestHarness.h>

#include <string>

namespace cassiausher {
namespace {

ReplicaId Replica(const char* instance, std::uint64_t storage = 1) {
  return {InstanceId(instance), storage};
}

VoterView ThreeVoters() {
  VoterView view;
  view.configuration.group = 1;
  for (const char* name : {"a", "b", "c"}) {
    view.configuration.voters.insert(Replica(name));
  }
  view.silence[Replica("b")] = Milliseconds(100);
  view.silence[Replica("c")] = Milliseconds(100);
  return view;
}

template <typename Step>
bool Is(const VoterStep& step) {
  return std::holds_alternative<Step>(step);
}

}  // namespace

TEST_GROUP(VoterPlanner) { VoterPlannerOptions options; };

TEST(VoterPlanner, HealthyGroupIsNotChanged) {
  CHECK_TRUE(Is<NoStep>(PlanVoters(options, ThreeVoters())));
}

// A machine is lost for good and another one joins at a new address.
TEST(VoterPlanner, SilentVoterIsReplacedByASpare) {
  VoterView view = ThreeVoters();
  view.silence[Replica("c")] = Seconds(3);
  CHECK_TRUE(Is<NoStep>(PlanVoters(options, view)));
  view.unconfigured[Replica("d")] = Milliseconds(100);
  const VoterStep step = PlanVoters(options, view);
  CHECK_TRUE(Is<ReplaceStep>(step));
  CHECK_TRUE(std::get<ReplaceStep>(step).lost == Replica("c"));
  CHECK_TRUE(std::get<ReplaceStep>(step).replacement == Replica("d"));
}

// An instance that lost its disk comes back with new storage.
TEST(VoterPlanner, LostVoterIsReplacedByItsOwnInstance) {
  VoterView view = ThreeVoters();
  view.silence[Replica("c")] = Seconds(3);
  view.unconfigured[Replica("a0")] = Milliseconds(100);
  view.unconfigured[Replica("c", 2)] = Milliseconds(100);
  const VoterStep step = PlanVoters(options, view);
  CHECK_TRUE(std::get<ReplaceStep>(step).replacement == Replica("c", 2));
}

TEST(VoterPlanner, SilentSpareIsNotUsed) {
  VoterView view = ThreeVoters();
  view.silence[Replica("c")] = Seconds(3);
  view.unconfigured[Replica("d")] = Seconds(30);
  CHECK_TRUE(Is<NoStep>(PlanVoters(options, view)));
}

TEST(VoterPlanner, GroupGrowsByTwoVoters) {
  VoterView view = ThreeVoters();
  view.unconfigured[Replica("d")] = Milliseconds(100);
  CHECK_TRUE(Is<NoStep>(PlanVoters(options, view)));
  view.unconfigured[Replica("e")] = Milliseconds(100);
  CHECK_TRUE(Is<AddLearnerStep>(PlanVoters(options, view)));

  view.unconfigured.erase(Replica("d"));
  view.configuration.learners.insert(Replica("d"));
  CHECK_TRUE(Is<AddLearnerStep>(PlanVoters(options, view)));
  view.unconfigured.clear();
  view.configuration.learners.insert(Replica("e"));
  CHECK_TRUE(Is<PromoteStep>(PlanVoters(options, view)));

  view.configuration.learners.erase(Replica("d"));
  view.configuration.voters.insert(Replica("d"));
  CHECK_TRUE(Is<PromoteStep>(PlanVoters(options, view)));
}

TEST(VoterPlanner, GroupDoesNotGrowBeyondTheMaximum) {
  options.max_voters = 3;
  VoterView view = ThreeVoters();
  view.unconfigured[Replica("d")] = Milliseconds(100);
  view.unconfigured[Replica("e")] = Milliseconds(100);
  CHECK_TRUE(Is<NoStep>(PlanVoters(options, view)));
}

// Guards against a group that can replace no lost voter any more because the
// replacement of one lost its disk or its power.
TEST(VoterPlanner, SilentReplacementIsAbandoned) {
  VoterView view = ThreeVoters();
  view.configuration.replacement = {Replica("c"), Replica("d")};
  view.configuration.learners.insert(Replica("d"));
  view.silence[Replica("d")] = Milliseconds(100);
  view.unconfigured[Replica("d", 2)] = Milliseconds(100);
  CHECK_TRUE(Is<NoStep>(PlanVoters(options, view)));
  view.silence[Replica("d")] = Seconds(3);
  VoterStep step = PlanVoters(options, view);
  CHECK_TRUE(Is<AbandonReplacementStep>(step));
  CHECK_TRUE(std::get<AbandonReplacementStep>(step).replacement ==
             Replica("d"));
  // It may have become a voter before it was lost.
  view.configuration.learners.clear();
  view.configuration.voters.insert(Replica("d"));
  step = PlanVoters(options, view);
  CHECK_TRUE(Is<AbandonReplacementStep>(step));
}

// Guards against a lost voter that stays a member although an instance that
// could replace it was added as a learner shortly before.
TEST(VoterPlanner, SilentVoterIsReplacedByALearnerThatAnswers) {
  VoterView view = ThreeVoters();
  view.silence[Replica("c")] = Seconds(3);
  view.configuration.learners.insert(Replica("d"));
  view.silence[Replica("d")] = Milliseconds(100);
  const VoterStep step = PlanVoters(options, view);
  CHECK_TRUE(Is<ReplaceStep>(step));
  CHECK_TRUE(std::get<ReplaceStep>(step).lost == Replica("c"));
  CHECK_TRUE(std::get<ReplaceStep>(step).replacement == Replica("d"));
  view.silence[Replica("d")] = Seconds(3);
  CHECK_FALSE(Is<ReplaceStep>(PlanVoters(options, view)));
}

// A lost learner would block every later membership change.
TEST(VoterPlanner, SilentLearnerIsRemoved) {
  VoterView view = ThreeVoters();
  view.configuration.learners.insert(Replica("d"));
  view.silence[Replica("d")] = Seconds(5);
  CHECK_TRUE(Is<RemoveLearnerStep>(PlanVoters(options, view)));
}

}  // namespace cassiausher
