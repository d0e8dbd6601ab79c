// Discrete-event scheduler that keeps virtual time.
#ifndef TOOLS_POLICY_BENCH_SCHEDULER_H_
#define TOOLS_POLICY_BENCH_SCHEDULER_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "core/time.h"

namespace cassiausher {

/// Runs events in order of time; events with equal times run in the order in
/// which they were added.
class Scheduler {
 public:
  using Action = std::function<void()>;

  Time now() const { return now_; }
  /// A `time` in the past counts as now.
  void At(Time time, Action action) {
    events_.push(
        {time < now_ ? now_ : time, next_number_++, std::move(action)});
  }
  void After(Duration delay, Action action) {
    At(now_ + delay, std::move(action));
  }
  /// Runs the next event; returns false if there is none.
  bool RunOne() {
    if (events_.empty()) return false;
    // std::priority_queue::top() is const. Moving from it is safe because the
    // element is popped next.
    Event event = std::move(const_cast<Event&>(events_.top()));
    events_.pop();
    now_ = event.time;
    event.action();
    return true;
  }

 private:
  struct Event {
    Time time;
    std::uint64_t number = 0;
    Action action;
    bool operator<(const Event& other) const {
      return std::pair(time, number) > std::pair(other.time, other.number);
    }
  };
  std::priority_queue<Event> events_;
  Time now_{Seconds(1)};
  std::uint64_t next_number_ = 0;
};

}  // namespace cassiausher

#endif  // TOOLS_POLICY_BENCH_SCHEDULER_H_
