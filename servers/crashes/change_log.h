// The keys of records in the order of their last change, so that what changed
// after a revision is found without a search through all records.
#ifndef SERVERS_CRASHES_CHANGE_LOG_H_
#define SERVERS_CRASHES_CHANGE_LOG_H_

#include <cstdint>
#include <map>

namespace cassiausher {

/// Not thread safe. `Key` is ordered.
template <typename Key>
class ChangeLog {
 public:
  struct Change {
    Key key;
    /// This instance observed the change itself, now or earlier; it didn't only
    /// learn of it.
    bool observed_here = false;
  };

  void Add(const Key& key, bool observed_here) {
    std::uint64_t& changed_at = revisions_[key];
    const auto earlier = changes_.find(changed_at);
    if (earlier != changes_.end()) {
      observed_here |= earlier->second.observed_here;
      changes_.erase(earlier);
    }
    changed_at = ++revision_;
    changes_.emplace(changed_at, Change{key, observed_here});
  }

  void Erase(const Key& key) {
    const auto found = revisions_.find(key);
    if (found == revisions_.end()) return;
    changes_.erase(found->second);
    revisions_.erase(found);
  }

  /// Increases with each change.
  std::uint64_t revision() const { return revision_; }
  /// By their revisions.
  const std::map<std::uint64_t, Change>& changes() const { return changes_; }

 private:
  std::uint64_t revision_ = 0;
  std::map<std::uint64_t, Change> changes_;
  /// Invariant: names exactly the keys and revisions of `changes_`.
  std::map<Key, std::uint64_t> revisions_;
};

}  // namespace cassiausher

#endif  // SERVERS_CRASHES_CHANGE_LOG_H_
