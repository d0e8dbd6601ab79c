#include "main/node/client_limits.h"

#include <algorithm>

namespace cassiausher {
namespace {

constexpr std::int64_t kMegabyte = 1000 * 1000;
// Of a process without clients: code, libraries, configuration, connections to
// other instances (19 to 25 MB measured), and the unused part of the heap.
constexpr std::int64_t kBaseBytes = 30 * kMegabyte;
// 17.6 MB of 88, which is more than the largest answer; less on smaller
// machines.
constexpr std::int64_t kUnfinishedPercent = 20;
constexpr std::int64_t kMaxUnfinishedBytes = 18 << 20;
// Upper bound for answers that callers haven't read.
constexpr std::int64_t kMaxUnsentBytes = 18 << 20;
constexpr std::int64_t kReserveShare = 4;

}  // namespace

ClientLimits MakeClientLimits(std::int64_t memory_mb) {
  const std::int64_t memory = memory_mb * kMegabyte;
  const std::int64_t unfinished =
      std::min(kMaxUnfinishedBytes, memory * kUnfinishedPercent / 100);
  const std::int64_t limit = memory - kBaseBytes - unfinished;
  return {.memory = std::make_shared<MemoryBudget>(MemoryBudgetOptions{
              .limit_bytes = limit, .reserve_bytes = limit / kReserveShare}),
          .unfinished_bytes = unfinished,
          .unsent_bytes = std::min(kMaxUnsentBytes, limit / 2)};
}

}  // namespace cassiausher
