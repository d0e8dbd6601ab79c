// The process's real clock. Only tasks read it; they pass the value on.
#ifndef DRIVERS_CLOCK_H_
#define DRIVERS_CLOCK_H_

#include <chrono>

#include "core/time.h"

namespace cassiausher {

inline Time MonotonicNow() {
  return Time(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

}  // namespace cassiausher

#endif  // DRIVERS_CLOCK_H_
