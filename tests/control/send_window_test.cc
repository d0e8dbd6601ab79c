// Guards against a sender whose memory grows with what a slow receiver hasn't
// read (incident inc1), and against a receiver that gets nothing more after a
// loss.
#include "servers/control/send_window.h"

#include <CppUTest/TestHarness.h>

namespace cassiausher {
namespace {

constexpr Time kStart{Seconds(100)};
constexpr SendWindowOptions kOptions{.max_unacknowledged_bytes = 1000,
                                     .loss_timeout = Seconds(2)};

}  // namespace

TEST_GROUP(SendWindow) { SendWindow window{kOptions}; };

// Incident inc1: the control instances queued updates for entry instances whose
// links were full until they exceeded their memory limit.
TEST(SendWindow, ClosesUntilTheReceiverAcknowledges) {
  LONGS_EQUAL(1, window.OnSend(600, kStart));
  CHECK_TRUE(window.IsOpen(kStart));
  LONGS_EQUAL(2, window.OnSend(600, kStart));
  CHECK_FALSE(window.IsOpen(kStart + Seconds(1)));
  window.OnAcknowledged(1);
  CHECK_TRUE(window.IsOpen(kStart + Seconds(1)));
  LONGS_EQUAL(600, window.unacknowledged_bytes());
}

TEST(SendWindow, MessageLostBeforeAnAcknowledgedOneIsNotWaitedFor) {
  window.OnSend(900, kStart);
  window.OnSend(200, kStart);
  window.OnAcknowledged(2);
  LONGS_EQUAL(0, window.unacknowledged_bytes());
}

TEST(SendWindow, ReopensWhenAllMessagesWereLost) {
  window.OnSend(2000, kStart);
  CHECK_FALSE(window.IsOpen(kStart + Milliseconds(1999)));
  CHECK_TRUE(window.IsOpen(kStart + Seconds(2)));
  LONGS_EQUAL(2, window.OnSend(10, kStart + Seconds(2)));
  LONGS_EQUAL(10, window.unacknowledged_bytes());
}

TEST(SendWindow, IsBoundedWhileNothingIsAcknowledged) {
  constexpr std::size_t kMessageBytes = 300;
  Time now = kStart;
  for (int i = 0; i < 1000; ++i, now += Milliseconds(25)) {
    if (window.IsOpen(now)) window.OnSend(kMessageBytes, now);
    CHECK_TRUE(window.unacknowledged_bytes() <
               kOptions.max_unacknowledged_bytes + kMessageBytes);
  }
}

}  // namespace cassiausher
