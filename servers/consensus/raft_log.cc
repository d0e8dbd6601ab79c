#include "servers/consensus/raft_log.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "core/check_invariant.h"

namespace cassiausher {

Term RaftLog::LastTerm() const {
  return entries_.empty() ? base_term_ : entries_.back().term;
}

std::optional<Term> RaftLog::TermAt(LogIndex index) const {
  if (index == base_index_) return base_term_;
  if (index < base_index_ || index > LastIndex()) return std::nullopt;
  return At(index).term;
}

const LogEntry& RaftLog::At(LogIndex index) const {
  CheckInvariant(index > base_index_ && index <= LastIndex(),
                 "the log entry is in memory");
  return entries_[index - base_index_ - 1];
}

std::vector<LogEntry> RaftLog::Slice(LogIndex first,
                                     std::size_t max_bytes) const {
  std::vector<LogEntry> result;
  std::size_t bytes = 0;
  for (LogIndex index = first; index <= LastIndex(); ++index) {
    const LogEntry& entry = At(index);
    bytes += entry.data.size();
    if (!result.empty() && bytes > max_bytes) break;
    result.push_back(entry);
  }
  return result;
}

LogIndex RaftLog::IndexBefore(LogIndex last, std::size_t max_bytes) const {
  std::size_t bytes = 0;
  LogIndex index = last;
  while (index > base_index_) {
    bytes += At(index).data.size();
    if (bytes > max_bytes) break;
    --index;
  }
  return index;
}

void RaftLog::Append(LogEntry entry) {
  CheckInvariant(entry.index == LastIndex() + 1, "log indexes are consecutive");
  CheckInvariant(entry.term >= LastTerm(), "log terms never decrease");
  entries_.push_back(std::move(entry));
}

void RaftLog::TruncateFrom(LogIndex first_removed) {
  CheckInvariant(first_removed > base_index_,
                 "truncation does not reach compacted entries");
  while (LastIndex() >= first_removed) entries_.pop_back();
}

void RaftLog::CompactTo(LogIndex index) {
  if (index <= base_index_) return;
  base_term_ = At(index).term;
  entries_.erase(
      entries_.begin(),
      entries_.begin() + static_cast<std::ptrdiff_t>(index - base_index_));
  base_index_ = index;
}

void RaftLog::Reset(LogIndex index, Term term) {
  entries_.clear();
  base_index_ = index;
  base_term_ = term;
}

LogIndex RaftLog::LastIndexWithTermAtMost(Term term, LogIndex limit) const {
  LogIndex index = std::min(limit, LastIndex());
  while (index > base_index_ && At(index).term > term) --index;
  return std::max(index, base_index_);
}

}  // namespace cassiausher
