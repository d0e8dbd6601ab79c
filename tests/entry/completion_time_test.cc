// Guards against an instance that stops and accepts requests whose answers it
// can't complete, and against one that refuses those it can.
#include "servers/entry/completion_time.h"

#include <CppUTest/TestHarness.h>

namespace cassiausher {

TEST_GROUP(CompletionTime) { CompletionTime time; };

TEST(CompletionTime, IsUnknownAtFirst) {
  for (int i = 0; i < 4; ++i) time.Observe(Seconds(5));
  CHECK_FALSE(time.UpperBound().has_value());
  time.Observe(Seconds(5));
  CHECK(time.UpperBound() == Duration(Seconds(5)));
}

TEST(CompletionTime, CoversMostAnswers) {
  for (int i = 0; i < 200; ++i) time.Observe(Milliseconds(i % 2 ? 3000 : 5000));
  const Duration bound = *time.UpperBound();
  CHECK(bound > Milliseconds(5000));
  CHECK(bound < Milliseconds(6500));
}

TEST(CompletionTime, FollowsAChange) {
  for (int i = 0; i < 200; ++i) time.Observe(Seconds(1));
  for (int i = 0; i < 200; ++i) time.Observe(Seconds(4));
  CHECK(*time.UpperBound() > Milliseconds(3900));
}

}  // namespace cassiausher
