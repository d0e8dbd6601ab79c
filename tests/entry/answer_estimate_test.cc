// Guards the size of reservations: one wrong estimate of a caller must not fill
// or overfill a runner.
#include "servers/entry/answer_estimate.h"

#include <CppUTest/TestHarness.h>

namespace cassiausher {

TEST_GROUP(AnswerEstimate) { AnswerEstimate estimate; };

TEST(AnswerEstimate, TakesWhatTheCallerSaysAtFirst) {
  LONGS_EQUAL(5000, estimate.Estimate(Tokens(5000)).value());
  LONGS_EQUAL(0, estimate.Estimate(Tokens(0)).value());
}

TEST(AnswerEstimate, DrawsEstimatesTowardsWhatWasSeen) {
  for (int i = 0; i < 100; ++i) estimate.Observe(Tokens(4000), Tokens(4000));
  LONGS_EQUAL(4000, estimate.Estimate(Tokens(0)).value());
  LONGS_EQUAL(4000, estimate.Estimate(Tokens(4000)).value());
  LONGS_EQUAL(2000, estimate.Estimate(Tokens(1000)).value());
  LONGS_EQUAL(8000, estimate.Estimate(Tokens(16000)).value());
}

// Runners keep memory free for answers that grow beyond what was expected: too
// little makes them preempt streams, too much turns callers away.
TEST(AnswerEstimate, KnowsHowFarAnswersDiffer) {
  CHECK_FALSE(estimate.StandardDeviation().has_value());
  for (int i = 0; i < 100; ++i) {
    estimate.Observe(Tokens(i % 2 == 0 ? 3000 : 5000), Tokens(4000));
  }
  LONGS_EQUAL(1000, estimate.StandardDeviation()->value());
}

TEST(AnswerEstimate, AnEmptyAnswerSaysNothing) {
  estimate.Observe(Tokens(0), Tokens(100));
  LONGS_EQUAL(700, estimate.Estimate(Tokens(700)).value());
}

}  // namespace cassiausher
