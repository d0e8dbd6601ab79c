// Queue of one class with fair sharing among client accounts.
#ifndef MODULES_POLICY_RESERVING_FAIR_QUEUE_H_
#define MODULES_POLICY_RESERVING_FAIR_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

#include "core/ids.h"
#include "core/time.h"

namespace cassiausher {

/// Serves requests in the order in which they must start and drops them by fair
/// share. Each request is tagged with the virtual time at which the work of its
/// account's earlier requests ends (start-time fair queueing). An account that
/// sends more than its share gets later tags, and its requests are dropped
/// first; of those kept, the one that must start first is served first.
/// Operations take logarithmic time in the length of the queue, except when
/// expired accounts are erased.
class FairQueue {
 public:
  /// `cost` is the slot time that the request is expected to use, in seconds;
  /// `start_by` is the latest start that meets its deadline.
  void Push(const RequestId& id, const AccountId& account, double cost,
            Time start_by);
  /// Adds a request whose earlier attempt was interrupted; it is dropped last.
  void PushInterrupted(const RequestId& id, Time start_by);
  void Remove(const RequestId& id);
  /// Removes a request that is being served and advances the virtual time to
  /// its tag.
  void Serve(const RequestId& id);

  bool empty() const { return by_tag_.empty(); }
  std::size_t size() const { return by_tag_.size(); }
  const RequestId& next_served() const { return by_start_.begin()->second; }
  const RequestId& next_dropped() const {
    return std::prev(by_tag_.end())->second;
  }

 private:
  struct Key {
    double tag = 0;
    std::uint64_t sequence = 0;
    auto operator<=>(const Key&) const = default;
  };
  /// With more accounts than this, those whose tags are not ahead of the
  /// virtual time are erased.
  static constexpr std::size_t kMaxAccounts = 4096;

  struct Position {
    Key key;
    Time start_by{};
  };

  void Insert(const RequestId& id, double tag, Time start_by);
  /// Returns the tag of the account's next request and adds `cost` to the
  /// account's finish tag.
  double StartTag(const AccountId& account, double cost);

  double virtual_time_ = 0;
  std::uint64_t next_sequence_ = 0;
  std::map<Key, RequestId> by_tag_;
  std::map<std::pair<Time, std::uint64_t>, RequestId> by_start_;
  std::unordered_map<RequestId, Position> positions_;
  std::unordered_map<AccountId, double> finish_tags_;
};

}  // namespace cassiausher

#endif  // MODULES_POLICY_RESERVING_FAIR_QUEUE_H_
