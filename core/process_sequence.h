// Tells the messages of an instance's current process from late ones of the
// processes before it.
#ifndef CORE_PROCESS_SEQUENCE_H_
#define CORE_PROCESS_SEQUENCE_H_

#include "core/time.h"
#include "core/units.h"

namespace cassiausher {

/// An incarnation is the time of day at which a process started. The time of
/// day may step back, so that a process may have a lower one than the process
/// before it. Not thread safe.
class ProcessSequence {
 public:
  /// No message of a process arrives this long after its last one was sent, as
  /// its connections end with it. A process that is silent for as long may have
  /// been replaced by one with a lower incarnation.
  static constexpr Duration kMaxMessageDelay = Milliseconds(1500);

  /// A message of `process` has arrived. Returns whether it is the current
  /// process, as far as known.
  bool Accept(Incarnation process, Time now) {
    const bool may_be_late =
        process < current_ && now - heard_at_ < kMaxMessageDelay;
    if (may_be_late) return false;
    current_ = process;
    heard_at_ = now;
    return true;
  }

  /// 0 before the first message.
  Incarnation current() const { return current_; }
  /// When the last message of the current process arrived.
  Time heard_at() const { return heard_at_; }

 private:
  Incarnation current_{0};
  Time heard_at_{};
};

}  // namespace cassiausher

#endif  // CORE_PROCESS_SEQUENCE_H_
