// Time types of the decision code, which gets the current time as an argument.
// Nothing in core/ or servers/ reads a clock, except for the timestamps of log
// lines, so the same code runs in the daemon and in virtual time.
#ifndef CORE_TIME_H_
#define CORE_TIME_H_

#include <chrono>
#include <cstdint>

namespace cassiausher {

/// Microseconds.
using Duration = std::chrono::microseconds;

/// Clock tag of `Time`. It has no now(); drivers/clock.h reads the real clock.
struct MonotonicClock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;  // NOLINT: name fixed by <chrono>
};

/// A point in the monotonic time of one process. Values of two processes are
/// not comparable.
using Time = MonotonicClock::time_point;

constexpr Duration Milliseconds(std::int64_t count) {
  return std::chrono::duration_cast<Duration>(std::chrono::milliseconds(count));
}

constexpr Duration Seconds(std::int64_t count) {
  return std::chrono::duration_cast<Duration>(std::chrono::seconds(count));
}

/// Converts fractional seconds, rounding towards zero.
constexpr Duration FromSeconds(double seconds) {
  return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

constexpr double ToSeconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

constexpr double ToMilliseconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e3;
}

}  // namespace cassiausher

#endif  // CORE_TIME_H_
