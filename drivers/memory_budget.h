// Decides who may take memory for clients of a process: one budget for all of
// its HTTP servers, to which everything that a client makes the process hold is
// charged before it is read.
#ifndef DRIVERS_MEMORY_BUDGET_H_
#define DRIVERS_MEMORY_BUDGET_H_

#include <cstdint>
#include <functional>
#include <unordered_map>

#include "core/time.h"

namespace cassiausher {

struct MemoryBudgetOptions {
  std::int64_t limit_bytes = 0;
  /// Part of the limit that only small holders may use.
  std::int64_t reserve_bytes = 0;
  /// A holder is small up to this size.
  std::int64_t small_bytes = 64 << 10;
};

/// Not thread safe. Takes the time as an argument.
class MemoryBudget {
 public:
  using HolderId = std::uint64_t;

  explicit MemoryBudget(const MemoryBudgetOptions& options)
      : options_(options) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  /// Adds a holder without memory. `evict` ends it and releases what it can at
  /// once; it is called at most once, by Grow() of another holder. Without it
  /// the holder is never evicted.
  HolderId Add(std::function<void()> evict, Time now);
  /// Releases what the holder still holds.
  void Remove(HolderId id);
  /// Charges `bytes` to the holder, or returns false. If they don't fit, other
  /// holders are evicted first: those with the largest product of what they
  /// hold and the time since they progressed, as far as it exceeds that of this
  /// holder.
  bool Grow(HolderId id, std::int64_t bytes, Time now);
  /// Charges bytes that the holder has already taken, or negative ones that it
  /// has released.
  void Charge(HolderId id, std::int64_t bytes);
  void OnProgress(HolderId id, Time now);
  /// From now on the holder isn't evicted: its request runs.
  void Pin(HolderId id);

  /// Whether more is charged than the limit; Charge() doesn't refuse.
  bool IsExceeded() const { return held_ > options_.limit_bytes; }
  /// Charged to all holders.
  std::int64_t held() const { return held_; }
  std::int64_t limit() const { return options_.limit_bytes; }
  std::uint64_t evictions() const { return evictions_; }
  std::uint64_t refusals() const { return refusals_; }

 private:
  struct Holder {
    std::int64_t bytes = 0;
    Time progress_at{};
    std::function<void()> evict;
  };
  using Holders = std::unordered_map<HolderId, Holder>;

  static double Claim(const Holder& holder, std::int64_t more, Time now);
  /// The holder to evict in favour of one with this claim; end() if none.
  Holders::iterator FindVictim(HolderId self, double claim, Time now);

  MemoryBudgetOptions options_;
  Holders holders_;
  HolderId next_id_ = 1;
  /// Sum over `holders_`.
  std::int64_t held_ = 0;
  std::uint64_t evictions_ = 0;
  std::uint64_t refusals_ = 0;
};

}  // namespace cassiausher

#endif  // DRIVERS_MEMORY_BUDGET_H_
