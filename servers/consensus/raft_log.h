// In-memory part of the replicated log: the entries since the last compaction.
#ifndef SERVERS_CONSENSUS_RAFT_LOG_H_
#define SERVERS_CONSENSUS_RAFT_LOG_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "servers/consensus/raft_types.h"

namespace cassiausher {

/// Invariants: element i of `entries_` has index `base_index_ + 1 + i`, and
/// terms never decrease along the log.
class RaftLog {
 public:
  /// Index of the last compacted entry, the one before the first in memory.
  LogIndex base_index() const { return base_index_; }
  LogIndex LastIndex() const { return base_index_ + entries_.size(); }
  Term LastTerm() const;

  /// Term of the entry at `index`, which may be the base index; nullopt if the
  /// entry is not in memory.
  std::optional<Term> TermAt(LogIndex index) const;
  /// The entry at `index` must be in memory.
  const LogEntry& At(LogIndex index) const;

  /// Entries from `first` on with at most `max_bytes` of data in total, but at
  /// least one.
  std::vector<LogEntry> Slice(LogIndex first, std::size_t max_bytes) const;

  /// Lowest index such that the entries after it, up to `last`, hold at most
  /// `max_bytes` of data.
  LogIndex IndexBefore(LogIndex last, std::size_t max_bytes) const;

  void Append(LogEntry entry);
  void TruncateFrom(LogIndex first_removed);
  /// Removes the entries up to and including `index`, which must be in memory.
  void CompactTo(LogIndex index);
  /// Removes all entries; the next one follows (`index`, `term`).
  void Reset(LogIndex index, Term term);

  /// Largest index up to `limit` whose term is at most `term`, but at least the
  /// base index. Leader and follower use it to back up by a whole term per
  /// rejected append.
  LogIndex LastIndexWithTermAtMost(Term term, LogIndex limit) const;

 private:
  LogIndex base_index_ = 0;
  Term base_term_ = 0;
  std::deque<LogEntry> entries_;
};

}  // namespace cassiausher

#endif  // SERVERS_CONSENSUS_RAFT_LOG_H_
