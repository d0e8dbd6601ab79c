// Tags and ordering of the fair queue.
#include "modules/policy_reserving/fair_queue.h"

#include <algorithm>

namespace cassiausher {

double FairQueue::StartTag(const AccountId& account, double cost) {
  if (finish_tags_.size() > kMaxAccounts) {
    std::erase_if(finish_tags_, [this](const auto& item) {
      return item.second <= virtual_time_;
    });
    // All accounts are ahead of the virtual time: reset the tags of all.
    if (finish_tags_.size() > kMaxAccounts) finish_tags_.clear();
  }
  double& finish = finish_tags_[account];
  const double start = std::max(virtual_time_, finish);
  finish = start + cost;
  return start;
}

void FairQueue::Insert(const RequestId& id, double tag, Time start_by) {
  const Key key{tag, next_sequence_++};
  by_tag_[key] = id;
  by_start_[{start_by, key.sequence}] = id;
  positions_[id] = {key, start_by};
}

void FairQueue::Push(const RequestId& id, const AccountId& account, double cost,
                     Time start_by) {
  Insert(id, StartTag(account, cost), start_by);
}

void FairQueue::PushInterrupted(const RequestId& id, Time start_by) {
  Insert(id, 0, start_by);
}

void FairQueue::Serve(const RequestId& id) {
  const auto found = positions_.find(id);
  if (found == positions_.end()) return;
  virtual_time_ = std::max(virtual_time_, found->second.key.tag);
  Remove(id);
}

void FairQueue::Remove(const RequestId& id) {
  const auto found = positions_.find(id);
  if (found == positions_.end()) return;
  const Position& position = found->second;
  by_tag_.erase(position.key);
  by_start_.erase({position.start_by, position.key.sequence});
  positions_.erase(found);
}

}  // namespace cassiausher
