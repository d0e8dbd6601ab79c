// Invariant checks that are enabled in every build type.
#ifndef CORE_CHECK_INVARIANT_H_
#define CORE_CHECK_INVARIANT_H_

#include <cstdlib>

#include "core/log.h"

namespace cassiausher {

/// Aborts the process when an invariant is violated: an instance that continued
/// could overwrite committed entries, propagate a reverted configuration or
/// remove the last runner of a role. `invariant` states what must hold.
inline void CheckInvariant(bool holds, const char* invariant) {
  if (holds) [[likely]] {
    return;
  }
  Log(LogLevel::kError, "invariant_broken", {{"invariant", invariant}});
  std::abort();
}

}  // namespace cassiausher

#endif  // CORE_CHECK_INVARIANT_H_
