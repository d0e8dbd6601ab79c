// The appends that a leader has sent to one follower and that aren't
// acknowledged yet.
#ifndef SERVERS_CONSENSUS_INFLIGHT_APPENDS_H_
#define SERVERS_CONSENSUS_INFLIGHT_APPENDS_H_

#include <cstddef>
#include <deque>

#include "servers/consensus/raft_types.h"

namespace cassiausher {

class InflightAppends {
 public:
  /// `last_index` is that of the append's last entry; it must increase.
  void Add(LogIndex last_index, std::size_t bytes) {
    appends_.push_back({last_index, bytes});
    bytes_ += bytes;
  }

  /// The follower has all entries up to `match`.
  void OnMatch(LogIndex match) {
    while (!appends_.empty() && appends_.front().last_index <= match) {
      bytes_ -= appends_.front().bytes;
      appends_.pop_front();
    }
  }

  void Clear() {
    appends_.clear();
    bytes_ = 0;
  }

  std::size_t count() const { return appends_.size(); }
  /// Data of the entries in all appends.
  std::size_t bytes() const { return bytes_; }

 private:
  struct Append {
    LogIndex last_index = 0;
    std::size_t bytes = 0;
  };

  /// Ascending by index.
  std::deque<Append> appends_;
  /// Sum over `appends_`.
  std::size_t bytes_ = 0;
};

}  // namespace cassiausher

#endif  // SERVERS_CONSENSUS_INFLIGHT_APPENDS_H_
