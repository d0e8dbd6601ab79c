// Time as the decision code sees it: a value passed in by the caller. Nothing
// in core/ or servers/ reads a clock, so the same code runs in the daemon and
// in virtual time.
#ifndef CORE_TIME_H_
#define CORE_TIME_H_

#include <chrono>
#include <cstdint>

namespace cassiausher {

/// Microseconds.
using Duration = std::chrono::microseconds;

/// Tag clock of `Time`. It has no now(); drivers/clock.h reads the real one.
struct MonotonicClock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;  // NOLINT: name fixed by <chrono>
};

/// A point on the process's monotonic time line. Values of two processes are
/// not comparable.
using Time = MonotonicClock::time_point;

constexpr Duration Milliseconds(std::int64_t count) {
  return std::chrono::duration_cast<Duration>(std::chrono::milliseconds(count));
}

constexpr Duration Seconds(std::int64_t count) {
  return std::chrono::duration_cast<Duration>(std::chrono::seconds(count));
}

/// Converts seconds with a fraction, rounding towards zero.
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
