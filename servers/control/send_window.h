// Bounds the data on its way to one receiver, which acknowledges what it got by
// number. A receiver whose link is full gets no more until it has caught up, so
// the sender's memory stays bounded.
#ifndef SERVERS_CONTROL_SEND_WINDOW_H_
#define SERVERS_CONTROL_SEND_WINDOW_H_

#include <cstddef>
#include <cstdint>
#include <deque>

#include "core/time.h"

namespace cassiausher {

struct SendWindowOptions {
  /// Nothing more is sent while at least this many bytes are unacknowledged.
  std::size_t max_unacknowledged_bytes = std::size_t{128} << 10;
  /// Messages are taken for lost if none was acknowledged for this long after
  /// the last was sent.
  Duration loss_timeout = Seconds(2);
};

/// Not thread safe.
class SendWindow {
 public:
  explicit SendWindow(SendWindowOptions options) : options_(options) {}

  bool IsOpen(Time now) const;
  /// Counts a message that is about to be sent and returns its number, which
  /// starts at 1.
  std::uint64_t OnSend(std::size_t bytes, Time now);
  /// The receiver has the messages up to `number`; those that didn't arrive
  /// before it were lost.
  void OnAcknowledged(std::uint64_t number);
  /// The receiver has started anew, or has lost its connection.
  void Reset();

  std::size_t unacknowledged_bytes() const { return unacknowledged_bytes_; }

 private:
  struct Sent {
    std::uint64_t number = 0;
    std::size_t bytes = 0;
  };

  SendWindowOptions options_;
  std::uint64_t last_number_ = 0;
  /// Ascending by number.
  std::deque<Sent> unacknowledged_;
  /// Sum over `unacknowledged_`.
  std::size_t unacknowledged_bytes_ = 0;
  Time last_sent_at_{};
};

}  // namespace cassiausher

#endif  // SERVERS_CONTROL_SEND_WINDOW_H_
