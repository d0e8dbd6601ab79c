// Guards against a shutdown that takes its steps in another order, ends while
// an answer is unsent, or outlasts its limit.
#include "main/daemon/shutdown_sequence.h"

#include <CppUTest/TestHarness.h>

#include <random>
#include <vector>

using namespace cassiausher;  // NOLINT: test file

namespace {

constexpr Time kBegan{Seconds(1000)};
constexpr Duration kLimit = Seconds(10);
// As often as the daemon asks.
constexpr Duration kPollPeriod = Milliseconds(20);
constexpr ShutdownReport kBusy{};
constexpr ShutdownReport kDone{.handed_over = true,
                               .callers_answered = true,
                               .operators_answered = true,
                               .left = true};

}  // namespace

TEST_GROUP(ShutdownSequence) {
  ShutdownSequence sequence{kLimit};
  Time now = kBegan;

  void setup() override { CHECK(sequence.Begin(kBegan)); }

  ShutdownStep Poll(const ShutdownReport& report) {
    now += kPollPeriod;
    return sequence.Advance(now, report);
  }

  // Polls until the phase ends; returns the last step.
  ShutdownStep PollUntilAfter(ShutdownPhase phase,
                              const ShutdownReport& report) {
    ShutdownStep step;
    while (sequence.phase() == phase) step = Poll(report);
    return step;
  }

  // The time from the start to the end, if the tasks report what `report`
  // returns.
  template <typename Report>
  static Duration DurationOf(Duration limit, Report report) {
    ShutdownSequence sequence(limit);
    sequence.Begin(kBegan);
    Time now = kBegan;
    while (sequence.Advance(now, report()).action !=
           ShutdownAction::kEndProcess) {
      now += kPollPeriod;
    }
    return now - kBegan;
  }
};

TEST(ShutdownSequence, NothingIsDueBeforeItBegins) {
  ShutdownSequence idle(kLimit);
  const ShutdownStep step = idle.Advance(kBegan + 2 * kLimit, kDone);
  CHECK(step.action == ShutdownAction::kWait);
  CHECK_FALSE(step.end_requests);
}

// A second signal doesn't start the limit anew.
TEST(ShutdownSequence, BeginsOnce) {
  CHECK_FALSE(sequence.Begin(kBegan + Seconds(1)));
  CHECK(sequence.phase() == ShutdownPhase::kRequests);
  while (sequence.phase() != ShutdownPhase::kEnded) {
    Poll(kBusy);
    if (now - kBegan > kLimit / 2) CHECK_FALSE(sequence.Begin(now));
  }
  CHECK(now - kBegan < kLimit);
}

TEST(ShutdownSequence, StepsFollowInOrderOnceTheTasksAreDone) {
  std::vector<ShutdownAction> actions;
  while (sequence.phase() != ShutdownPhase::kEnded) {
    const ShutdownStep step = Poll(kDone);
    CHECK_FALSE(step.end_requests);
    if (step.action != ShutdownAction::kWait) actions.push_back(step.action);
  }
  CHECK(actions ==
        (std::vector{ShutdownAction::kStopAdmin, ShutdownAction::kLeave,
                     ShutdownAction::kEndProcess}));
  CHECK(now - kBegan < Milliseconds(400));
}

TEST(ShutdownSequence,
     AdminStaysOpenUntilCallersAreAnsweredAndPoolsHandedOver) {
  for (ShutdownReport report : {ShutdownReport{.handed_over = true},
                                ShutdownReport{.callers_answered = true}}) {
    CHECK(Poll(report).action == ShutdownAction::kWait);
  }
  CHECK(sequence.phase() == ShutdownPhase::kRequests);
}

TEST(ShutdownSequence, LeavesOnlyOnceOperatorsAreAnswered) {
  PollUntilAfter(ShutdownPhase::kRequests, kDone);
  ShutdownReport operator_waits = kDone;
  operator_waits.operators_answered = false;
  ShutdownReport caller_waits = kDone;
  caller_waits.callers_answered = false;
  ShutdownReport owns_pools = kDone;
  owns_pools.handed_over = false;
  for (const ShutdownReport& report :
       {operator_waits, caller_waits, owns_pools}) {
    CHECK(Poll(report).action == ShutdownAction::kWait);
    CHECK(sequence.phase() == ShutdownPhase::kAdmin);
  }
  CHECK(Poll(kDone).action == ShutdownAction::kLeave);
}

TEST(ShutdownSequence, LastMessagesGetTheirTimeAfterTheLeave) {
  PollUntilAfter(ShutdownPhase::kRequests, kDone);
  PollUntilAfter(ShutdownPhase::kAdmin, kDone);
  ShutdownReport report = kDone;
  report.left = false;
  Poll(report);
  CHECK(sequence.phase() == ShutdownPhase::kLeaving);
  PollUntilAfter(ShutdownPhase::kLeaving, kDone);
  const Time left_at = now;
  const ShutdownStep last = PollUntilAfter(ShutdownPhase::kSending, kDone);
  CHECK(last.action == ShutdownAction::kEndProcess);
  CHECK(now - left_at >= Milliseconds(300));
}

// Requests on kept connections are refused until the end. The process ended
// without looking at the answers again after it had told others that it leaves.
TEST(ShutdownSequence, AnswersDueAfterTheLeaveAreSentBeforeTheEnd) {
  ShutdownReport caller_waits = kDone;
  caller_waits.callers_answered = false;
  ShutdownReport operator_waits = kDone;
  operator_waits.operators_answered = false;
  for (const ShutdownReport& report : {caller_waits, operator_waits}) {
    for (const ShutdownPhase read_in :
         {ShutdownPhase::kLeaving, ShutdownPhase::kSending}) {
      sequence = ShutdownSequence(kLimit);
      sequence.Begin(now);
      while (sequence.phase() != read_in) Poll(kDone);
      const Time read_at = now;
      while (now < read_at + Seconds(2)) {
        CHECK(Poll(report).action == ShutdownAction::kWait);
      }
      CHECK(Poll(kDone).action == ShutdownAction::kEndProcess);
    }
  }
}

// An instance that has left owns no pools that it could hand over.
TEST(ShutdownSequence, OnlyAnswersHoldTheLastPhaseUp) {
  while (sequence.phase() != ShutdownPhase::kSending) Poll(kDone);
  const Time began = now;
  const ShutdownStep last =
      PollUntilAfter(ShutdownPhase::kSending,
                     {.callers_answered = true, .operators_answered = true});
  CHECK(last.action == ShutdownAction::kEndProcess);
  CHECK(now - began <= Milliseconds(300) + kPollPeriod);
}

TEST(ShutdownSequence, OpenRequestsAreEndedOnceBeforeTheLimit) {
  int ended = 0;
  Time ended_at{};
  while (sequence.phase() != ShutdownPhase::kEnded) {
    if (!Poll(kBusy).end_requests) continue;
    ++ended;
    ended_at = now;
  }
  LONGS_EQUAL(1, ended);
  CHECK(ended_at - kBegan >= Seconds(7));
  CHECK(ended_at - kBegan < Seconds(7) + 2 * kPollPeriod);
}

TEST(ShutdownSequence, EndsBeforeItsLimitWhateverTheTasksReport) {
  std::mt19937 random(1);
  for (const Duration limit : {Milliseconds(500), Seconds(1), Seconds(3),
                               Seconds(6), Seconds(10), Seconds(600)}) {
    // Each combination of reports all the time, then changing ones.
    for (unsigned bits = 0; bits < 16; ++bits) {
      const ShutdownReport report{.handed_over = (bits & 1) != 0,
                                  .callers_answered = (bits & 2) != 0,
                                  .operators_answered = (bits & 4) != 0,
                                  .left = (bits & 8) != 0};
      CHECK(DurationOf(limit, [&] { return report; }) < limit);
    }
    for (int run = 0; run < 20; ++run) {
      std::bernoulli_distribution holds(0.05 * run);
      CHECK(DurationOf(limit, [&] {
              return ShutdownReport{.handed_over = holds(random),
                                    .callers_answered = holds(random),
                                    .operators_answered = holds(random),
                                    .left = holds(random)};
            }) < limit);
    }
  }
}
