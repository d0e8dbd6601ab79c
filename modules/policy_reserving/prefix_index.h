// Index of the prompt prefixes that engines probably have in their caches.
#ifndef MODULES_POLICY_RESERVING_PREFIX_INDEX_H_
#define MODULES_POLICY_RESERVING_PREFIX_INDEX_H_

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/time.h"
#include "core/units.h"

namespace cassiausher {

/// Built from cache events, which are delayed and may be lost, and from the
/// policy's own placements, which are known at once. An entry that is not
/// confirmed for kEntryLifetime is ignored, since its removal event may have
/// been lost.
class PrefixIndex {
 public:
  struct Match {
    /// Ordinal of the endpoint.
    std::uint64_t endpoint = 0;
    /// Prompt tokens that the engine need not prefill again.
    Tokens tokens{0};
  };

  void Store(std::uint64_t hash, std::uint64_t endpoint, Time now);
  void Remove(std::uint64_t hash, std::uint64_t endpoint);
  /// Endpoints that hold the longest known prefix of the prompt, at most
  /// kMaxHoldersPerPrefix.
  std::vector<Match> Longest(const std::vector<std::uint64_t>& hashes,
                             Time now) const;
  std::size_t size() const { return holders_.size(); }

 private:
  struct Holder {
    std::uint64_t endpoint = 0;
    Time confirmed_at{};
  };

  static constexpr Duration kEntryLifetime = Seconds(60);
  static constexpr std::size_t kMaxHoldersPerPrefix = 3;
  /// Maximum number of prefixes; the oldest are evicted first. Each takes about
  /// 100 bytes.
  static constexpr std::size_t kMaxPrefixes = 65536;
  /// The shortest prefix has 1,024 characters, counted as 256 tokens; each next
  /// one is twice as long.
  static constexpr std::int64_t kShortestTokens = 256;

  std::unordered_map<std::uint64_t, std::vector<Holder>> holders_;
  std::deque<std::uint64_t> insertion_order_;
};

}  // namespace cassiausher

#endif  // MODULES_POLICY_RESERVING_PREFIX_INDEX_H_
