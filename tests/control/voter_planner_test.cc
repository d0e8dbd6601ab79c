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

/// A learner that answers and has the log.
void AddReadyLearner(const ReplicaId& learner, VoterView* view) {
  view->configuration.learners.insert(learner);
  view->configuration.admissions[learner] = 10;
  view->silence[learner] = Milliseconds(100);
  view->caught_up.insert(learner);
}

/// Also in the group: d and e.
VoterView FiveVoters() {
  VoterView view = ThreeVoters();
  for (const char* name : {"d", "e"}) {
    view.configuration.voters.insert(Replica(name));
    view.silence[Replica(name)] = Milliseconds(100);
  }
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
  AddReadyLearner(Replica("d"), &view);
  CHECK_TRUE(Is<NoStep>(PlanVoters(options, view)));
  AddReadyLearner(Replica("e"), &view);
  CHECK_TRUE(Is<PromoteStep>(PlanVoters(options, view)));

  view.configuration.learners.erase(Replica("d"));
  view.configuration.voters.insert(Replica("d"));
  const VoterStep step = PlanVoters(options, view);
  CHECK_TRUE(Is<PromoteStep>(step));
  CHECK_TRUE(std::get<PromoteStep>(step).learner == Replica("e"));
}

// Issue 62: a single spare got no data until a voter had been silent for 2 s.
TEST(VoterPlanner, EachSpareGetsTheDataAtOnce) {
  VoterView view = ThreeVoters();
  view.unconfigured[Replica("d")] = Milliseconds(100);
  const VoterStep step = PlanVoters(options, view);
  CHECK_TRUE(Is<AddLearnerStep>(step));
  CHECK_TRUE(std::get<AddLearnerStep>(step).learner == Replica("d"));
  // It goes on sending hellos until it has heard of that.
  view.configuration.learners.insert(Replica("d"));
  CHECK_TRUE(Is<NoStep>(PlanVoters(options, view)));
}

// Issue 62: a voter that is stopped kept its vote.
TEST(VoterPlanner, AStoppingVoterHandsItsVoteToALearnerWithTheData) {
  VoterView view = ThreeVoters();
  view.stopping.insert(Replica("c"));
  view.configuration.learners.insert(Replica("d"));
  view.silence[Replica("d")] = Milliseconds(100);
  CHECK_TRUE(Is<NoStep>(PlanVoters(options, view)));
  CHECK_FALSE(KeepsVote(options, view, Replica("c")));
  view.caught_up.insert(Replica("d"));
  const VoterStep step = PlanVoters(options, view);
  CHECK_TRUE(Is<HandOverStep>(step));
  CHECK_TRUE(std::get<HandOverStep>(step).from == Replica("c"));
  CHECK_TRUE(std::get<HandOverStep>(step).to == Replica("d"));
}

// Guards against a vote that goes to an instance which is about to end, and
// against one that waits for a replica that will never come.
TEST(VoterPlanner, AStoppingLearnerTakesNoVoteOver) {
  VoterView view = ThreeVoters();
  view.stopping = {Replica("c"), Replica("d")};
  AddReadyLearner(Replica("d"), &view);
  CHECK_TRUE(Is<NoStep>(PlanVoters(options, view)));
  CHECK_TRUE(KeepsVote(options, view, Replica("c")));
  view.live_instances = {InstanceId("b"), InstanceId("d")};
  CHECK_TRUE(KeepsVote(options, view, Replica("c")));
  // The replica of this one isn't known yet.
  view.live_instances.insert(InstanceId("e"));
  CHECK_FALSE(KeepsVote(options, view, Replica("c")));
}

// Guards against a vote that is given to an instance which has ended by then.
TEST(VoterPlanner, AReplacementThatStopsIsAbandonedAtOnce) {
  VoterView view = ThreeVoters();
  AddReadyLearner(Replica("d"), &view);
  view.configuration.replacement = {Replica("c"), Replica("d"), true};
  CHECK_TRUE(Is<NoStep>(PlanVoters(options, view)));
  view.stopping.insert(Replica("d"));
  CHECK_TRUE(Is<AbandonReplacementStep>(PlanVoters(options, view)));
}

// With 3 of 5 voters left, the next loss would end the group.
TEST(VoterPlanner, AGroupShrinksByWhatCannotBeReplaced) {
  VoterView view = FiveVoters();
  view.stopping.insert(Replica("e"));
  CHECK_FALSE(KeepsVote(options, view, Replica("e")));
  VoterStep step = PlanVoters(options, view);
  CHECK_TRUE(Is<DemoteStep>(step));
  CHECK_TRUE(std::get<DemoteStep>(step).voter == Replica("e"));
  view = FiveVoters();
  view.silence[Replica("d")] = Seconds(3);
  step = PlanVoters(options, view);
  CHECK_TRUE(Is<RemoveVoterStep>(step));
  CHECK_TRUE(std::get<RemoveVoterStep>(step).lost == Replica("d"));
}

// A machine that restarts in place brings its disk back: below that size its
// vote may be the one that is missing after the next loss.
TEST(VoterPlanner, AGroupKeepsTheVotesThatItsToleranceNeeds) {
  VoterView view = ThreeVoters();
  view.stopping.insert(Replica("c"));
  CHECK_TRUE(Is<NoStep>(PlanVoters(options, view)));
  CHECK_TRUE(KeepsVote(options, view, Replica("c")));
  options.tolerated_losses = 2;
  view = FiveVoters();
  view.stopping.insert(Replica("e"));
  CHECK_TRUE(Is<NoStep>(PlanVoters(options, view)));
  CHECK_TRUE(KeepsVote(options, view, Replica("e")));
  view.stopping.clear();
  view.silence[Replica("d")] = Seconds(3);
  CHECK_TRUE(Is<NoStep>(PlanVoters(options, view)));
}

// Guards against the loss of the group when a machine is removed without a
// warning after its successor has caught up, and a disk is lost beside it.
TEST(VoterPlanner, ASuccessorTakesTheVoteOfItsDataCentreOver) {
  VoterView view = ThreeVoters();
  for (const char* name : {"a", "b", "c"}) {
    view.data_centres[InstanceId(name)] = DataCentreId(name);
  }
  view.data_centres[InstanceId("d")] = DataCentreId("b");
  AddReadyLearner(Replica("d"), &view);
  const VoterStep step = PlanVoters(options, view);
  CHECK_TRUE(Is<HandOverStep>(step));
  CHECK_TRUE(std::get<HandOverStep>(step).from == Replica("b"));
  CHECK_TRUE(std::get<HandOverStep>(step).to == Replica("d"));
  // Not back again.
  view.configuration.voters.erase(Replica("b"));
  view.configuration.voters.insert(Replica("d"));
  view.configuration.learners = {Replica("b")};
  view.caught_up = {Replica("b")};
  CHECK_TRUE(Is<NoStep>(PlanVoters(options, view)));
}

// The loss of a data centre must not cost two of three votes.
TEST(VoterPlanner, VotesAreSpreadOverTheDataCentres) {
  VoterView view = ThreeVoters();
  for (const char* name : {"a", "b", "c"}) {
    view.data_centres[InstanceId(name)] = DataCentreId(name);
  }
  view.data_centres[InstanceId("d")] = DataCentreId("a");
  view.data_centres[InstanceId("e")] = DataCentreId("c");
  AddReadyLearner(Replica("d"), &view);
  AddReadyLearner(Replica("e"), &view);
  view.stopping.insert(Replica("c"));
  const VoterStep step = PlanVoters(options, view);
  CHECK_TRUE(std::get<HandOverStep>(step).to == Replica("e"));
}

// A voter of another data centre was lost and replaced by what was there.
TEST(VoterPlanner, AVoteReturnsToADataCentreThatHasNone) {
  VoterView view = ThreeVoters();
  view.data_centres = {{InstanceId("a"), DataCentreId("x")},
                       {InstanceId("b"), DataCentreId("y")},
                       {InstanceId("c"), DataCentreId("y")},
                       {InstanceId("d"), DataCentreId("z")},
                       {InstanceId("e"), DataCentreId("x")}};
  options.max_voters = 3;
  AddReadyLearner(Replica("d"), &view);
  const VoterStep step = PlanVoters(options, view);
  CHECK_TRUE(Is<HandOverStep>(step));
  CHECK_TRUE(std::get<HandOverStep>(step).from == Replica("b"));
  CHECK_TRUE(std::get<HandOverStep>(step).to == Replica("d"));
  // From two of one to two of another nothing would be gained.
  view.configuration.voters = {Replica("a"), Replica("c"), Replica("d")};
  view.configuration.learners.clear();
  view.caught_up.clear();
  AddReadyLearner(Replica("b"), &view);
  view.configuration.admissions.clear();
  CHECK_TRUE(Is<NoStep>(PlanVoters(options, view)));
}

// Its data is gone for sure, so nothing is gained by waiting for it.
TEST(VoterPlanner, AVoterWhoseInstanceHasOtherStorageIsLostSooner) {
  VoterView view = ThreeVoters();
  view.silence[Replica("c")] = Milliseconds(700);
  CHECK_TRUE(Is<NoStep>(PlanVoters(options, view)));
  AddReadyLearner(Replica("c", 2), &view);
  const VoterStep step = PlanVoters(options, view);
  CHECK_TRUE(Is<ReplaceStep>(step));
  CHECK_TRUE(std::get<ReplaceStep>(step).lost == Replica("c"));
  CHECK_TRUE(std::get<ReplaceStep>(step).replacement == Replica("c", 2));
}

TEST(VoterPlanner, GroupDoesNotGrowBeyondTheMaximum) {
  options.max_voters = 3;
  VoterView view = ThreeVoters();
  AddReadyLearner(Replica("d"), &view);
  AddReadyLearner(Replica("e"), &view);
  CHECK_TRUE(Is<NoStep>(PlanVoters(options, view)));
  options.max_learners = 2;
  view.unconfigured[Replica("f")] = Milliseconds(100);
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
