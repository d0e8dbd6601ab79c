// Guards against reservations of the wrong size: a caller's wrong estimate must
// not occupy a whole runner or overfill it.
#include "servers/entry/answer_estimate.h"

#include <CppUTest/TestHarness.h>

namespace cassiausher {

TEST_GROUP(AnswerEstimate) { AnswerEstimate estimate; };

TEST(AnswerEstimate, UsesTheCallersEstimateBeforeAnyObservation) {
  LONGS_EQUAL(5000, estimate.Estimate(Tokens(5000)).value());
  LONGS_EQUAL(0, estimate.Estimate(Tokens(0)).value());
}

TEST(AnswerEstimate, ShrinksEstimatesTowardsTheObservedMean) {
  for (int i = 0; i < 100; ++i) estimate.Observe(Tokens(4000), Tokens(4000));
  LONGS_EQUAL(4000, estimate.Estimate(Tokens(0)).value());
  LONGS_EQUAL(4000, estimate.Estimate(Tokens(4000)).value());
  LONGS_EQUAL(2000, estimate.Estimate(Tokens(1000)).value());
  LONGS_EQUAL(8000, estimate.Estimate(Tokens(16000)).value());
}

// The deviation sets how much memory a runner keeps free for answers that
// exceed their expected length: too little and it preempts streams, too much
// and callers are rejected.
TEST(AnswerEstimate, ReportsTheDeviationAfterEnoughObservations) {
  CHECK_FALSE(estimate.StandardDeviation().has_value());
  for (int i = 0; i < 100; ++i) {
    estimate.Observe(Tokens(i % 2 == 0 ? 3000 : 5000), Tokens(4000));
  }
  LONGS_EQUAL(1000, estimate.StandardDeviation()->value());
}

TEST(AnswerEstimate, IgnoresAnEmptyAnswer) {
  estimate.Observe(Tokens(0), Tokens(100));
  LONGS_EQUAL(700, estimate.Estimate(Tokens(700)).value());
}

}  // namespace cassiausher
