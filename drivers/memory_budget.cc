#include "drivers/memory_budget.h"

#include <utility>

namespace cassiausher {
namespace {

// Added to the time since the last progress, so that among holders that all
// progress the largest one is evicted.
constexpr Duration kLeastStall = Milliseconds(100);

}  // namespace

MemoryBudget::HolderId MemoryBudget::Add(std::function<void()> evict,
                                         Time now) {
  const HolderId id = next_id_++;
  holders_[id] = {.progress_at = now, .evict = std::move(evict)};
  return id;
}

void MemoryBudget::Remove(HolderId id) {
  const auto found = holders_.find(id);
  if (found == holders_.end()) return;
  held_ -= found->second.bytes;
  holders_.erase(found);
}

void MemoryBudget::Charge(HolderId id, std::int64_t bytes) {
  const auto found = holders_.find(id);
  if (found == holders_.end()) return;
  found->second.bytes += bytes;
  held_ += bytes;
}

void MemoryBudget::OnProgress(HolderId id, Time now) {
  const auto found = holders_.find(id);
  if (found != holders_.end()) found->second.progress_at = now;
}

void MemoryBudget::Pin(HolderId id) {
  const auto found = holders_.find(id);
  if (found != holders_.end()) found->second.evict = nullptr;
}

double MemoryBudget::Claim(const Holder& holder, std::int64_t more, Time now) {
  const Duration stall = now - holder.progress_at + kLeastStall;
  return static_cast<double>(holder.bytes + more) *
         static_cast<double>(stall.count());
}

MemoryBudget::Holders::iterator MemoryBudget::FindVictim(HolderId self,
                                                         double claim,
                                                         Time now) {
  auto victim = holders_.end();
  for (auto it = holders_.begin(); it != holders_.end(); ++it) {
    if (it->first == self || !it->second.evict) continue;
    const double other = Claim(it->second, 0, now);
    if (other <= claim) continue;
    victim = it;
    claim = other;
  }
  return victim;
}

bool MemoryBudget::Grow(HolderId id, std::int64_t bytes, Time now) {
  const auto found = holders_.find(id);
  if (found == holders_.end()) return false;
  const bool is_small = found->second.bytes + bytes <= options_.small_bytes;
  const std::int64_t ceiling =
      options_.limit_bytes - (is_small ? 0 : options_.reserve_bytes);
  while (held_ + bytes > ceiling) {
    const double claim = Claim(found->second, bytes, now);
    const auto victim = FindVictim(id, claim, now);
    if (victim == holders_.end()) {
      ++refusals_;
      return false;
    }
    ++evictions_;
    // Evicting removes the victim, or reduces what it holds. What it can't
    // release at once stays charged.
    std::exchange(victim->second.evict, nullptr)();
  }
  held_ += bytes;
  found->second.bytes += bytes;
  return true;
}

}  // namespace cassiausher
