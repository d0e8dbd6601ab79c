// Reads the real clock. Only tasks call these functions; they pass the time on
// as an argument.
#ifndef DRIVERS_CLOCK_H_
#define DRIVERS_CLOCK_H_

#include <time.h>

#include <chrono>

#include "core/time.h"

namespace cassiausher {

inline Time MonotonicNow() {
  return Time(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

/// Like MonotonicNow(), but includes the time during which the machine was
/// suspended, so that received state also ages during a suspension.
inline Time BootTimeNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Time(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

}  // namespace cassiausher

#endif  // DRIVERS_CLOCK_H_
