// Guards against an instance that nobody hears any more since the time of day
// stepped back before it restarted, and against late messages of a process that
// has ended.
#include "core/process_sequence.h"

#include <CppUTest/TestHarness.h>

namespace cassiausher {
namespace {

constexpr Time kStart{Seconds(100)};
constexpr Incarnation kFirst{2000};
constexpr Incarnation kLater{3000};

}  // namespace

TEST_GROUP(ProcessSequence) { ProcessSequence sequence; };

TEST(ProcessSequence, ALaterProcessReplacesTheKnownOne) {
  CHECK_TRUE(sequence.Accept(kFirst, kStart));
  CHECK_TRUE(sequence.Accept(kLater, kStart));
  CHECK_TRUE(sequence.current() == kLater);
}

TEST(ProcessSequence, LateMessagesOfTheProcessBeforeAreRejected) {
  CHECK_TRUE(sequence.Accept(kLater, kStart));
  CHECK_FALSE(sequence.Accept(kFirst, kStart + Milliseconds(1499)));
  CHECK_TRUE(sequence.current() == kLater);
}

TEST(ProcessSequence, AProcessThatStartedAfterAStepBackIsHeard) {
  CHECK_TRUE(sequence.Accept(kLater, kStart));
  CHECK_TRUE(sequence.Accept(kLater, kStart + Milliseconds(500)));
  CHECK_FALSE(sequence.Accept(kFirst, kStart + Milliseconds(1999)));
  CHECK_TRUE(sequence.Accept(kFirst, kStart + Milliseconds(2000)));
  CHECK_TRUE(sequence.Accept(kFirst, kStart + Milliseconds(2001)));
}

}  // namespace cassiausher
