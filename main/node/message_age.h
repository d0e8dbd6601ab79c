// Ages of times in messages between instances, whose clocks differ.
#ifndef MAIN_NODE_MESSAGE_AGE_H_
#define MAIN_NODE_MESSAGE_AGE_H_

#include <algorithm>
#include <cstdint>

#include "core/time.h"

namespace cassiausher {

/// A larger age could overflow a time.
inline constexpr std::uint64_t kMaxAgeMs = 3600 * 1000;

/// Milliseconds, rounded down; 0 for a time to come.
inline std::uint64_t AgeInMs(Time time, Time now) {
  const Duration age = std::max(Duration(0), now - time);
  return static_cast<std::uint64_t>(age / Milliseconds(1));
}

inline Time TimeOfAge(std::uint64_t age_ms, Time now) {
  return now -
         Milliseconds(static_cast<std::int64_t>(std::min(age_ms, kMaxAgeMs)));
}

}  // namespace cassiausher

#endif  // MAIN_NODE_MESSAGE_AGE_H_
