// Bounded map from prefix hashes to the engines that hold them.
#include "modules/policy_reserving/prefix_index.h"

#include <algorithm>

namespace cassiausher {

void PrefixIndex::Store(std::uint64_t hash, std::uint64_t endpoint, Time now) {
  const auto [found, added] = holders_.try_emplace(hash);
  if (added) insertion_order_.push_back(hash);
  std::vector<Holder>& holders = found->second;
  for (Holder& holder : holders) {
    if (holder.endpoint != endpoint) continue;
    holder.confirmed_at = now;
    return;
  }
  if (holders.size() >= kMaxHoldersPerPrefix) holders.erase(holders.begin());
  holders.push_back({endpoint, now});
  while (insertion_order_.size() > kMaxPrefixes) {
    holders_.erase(insertion_order_.front());
    insertion_order_.pop_front();
  }
}

void PrefixIndex::Remove(std::uint64_t hash, std::uint64_t endpoint) {
  const auto found = holders_.find(hash);
  if (found == holders_.end()) return;
  // An emptied entry stays until it is the oldest, because `insertion_order_`
  // still contains it.
  std::erase_if(found->second, [endpoint](const Holder& holder) {
    return holder.endpoint == endpoint;
  });
}

std::vector<PrefixIndex::Match> PrefixIndex::Longest(
    const std::vector<std::uint64_t>& hashes, Time now) const {
  std::vector<Match> matches;
  for (std::size_t i = hashes.size(); i > 0 && matches.empty(); --i) {
    const auto found = holders_.find(hashes[i - 1]);
    if (found == holders_.end()) continue;
    const Tokens tokens(kShortestTokens << (i - 1));
    for (const Holder& holder : found->second) {
      if (now - holder.confirmed_at < kEntryLifetime)
        matches.push_back({holder.endpoint, tokens});
    }
  }
  return matches;
}

}  // namespace cassiausher
