// Limits of what clients may make an instance hold, derived from the memory of
// its machine.
#ifndef MAIN_NODE_CLIENT_LIMITS_H_
#define MAIN_NODE_CLIENT_LIMITS_H_

#include <cstdint>
#include <memory>

#include "drivers/memory_budget.h"

namespace cassiausher {

/// Memory of the smallest machines in use, for each role.
inline constexpr std::int64_t kEntryMemoryMb = 88;
inline constexpr std::int64_t kControlMemoryMb = 256;

struct ClientLimits {
  /// Shared by all HTTP servers of the process.
  std::shared_ptr<MemoryBudget> memory;
  /// Answers that are held until they are complete.
  std::int64_t unfinished_bytes = 0;
  /// Answers of one server that callers haven't read; part of the budget.
  std::int64_t unsent_bytes = 0;
};

ClientLimits MakeClientLimits(std::int64_t memory_mb);

}  // namespace cassiausher

#endif  // MAIN_NODE_CLIENT_LIMITS_H_
