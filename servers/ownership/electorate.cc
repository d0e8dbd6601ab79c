// Electorate of a data centre, and rendezvous scores of its pools.
#include "servers/ownership/electorate.h"

#include <algorithm>
#include <utility>

#include "core/hash.h"

namespace cassiausher {

OwnershipView ViewOf(const std::vector<MemberRow>& rows,
                     const DataCentreId& data_centre) {
  OwnershipView view;
  for (const MemberRow& row : rows) {
    if (row.data_centre != data_centre) continue;
    view.members.push_back({.id = row.id,
                            .started = row.started,
                            .live = row.state == MemberState::kAlive ||
                                    row.state == MemberState::kSuspect,
                            .leaving = row.payload.count(kDrainingKey) > 0});
  }
  return view;
}

InstanceId WitnessOf(const DataCentreId& data_centre,
                     const std::set<InstanceId>& remote_instances) {
  const auto order = ByScore({data_centre, ServiceId()}, remote_instances);
  return order.empty() ? InstanceId() : order.front();
}

std::uint64_t PoolScore(const PoolId& pool, const InstanceId& instance) {
  const std::uint64_t pool_hash =
      HashText(pool.service.value(), HashText(pool.data_centre.value(), 0));
  return HashText(instance.value(), pool_hash);
}

std::vector<InstanceId> ByScore(const PoolId& pool,
                                const std::set<InstanceId>& candidates) {
  std::vector<std::pair<std::uint64_t, InstanceId>> scored;
  for (const InstanceId& id : candidates) {
    scored.emplace_back(PoolScore(pool, id), id);
  }
  std::sort(scored.begin(), scored.end());
  std::vector<InstanceId> ids;
  for (auto& [score, id] : scored) ids.push_back(std::move(id));
  return ids;
}

Electorate::Electorate(const InstanceId& self,
                       const std::set<InstanceId>& voters, InstanceId witness)
    : live_({self}), witness_(std::move(witness)) {
  std::set<InstanceId> members = voters;
  members.insert(self);
  Replace(std::move(members));
}

bool Electorate::Update(const OwnershipView& view, bool starting) {
  std::set<InstanceId> present;
  live_.clear();
  for (const OwnershipMember& member : view.members) {
    present.insert(member.id);
    if (member.live) live_.insert(member.id);
  }
  seen_.insert(present.begin(), present.end());
  std::set<InstanceId> next = members_;
  if (starting || HasLiveMajority()) {
    next.insert(present.begin(), present.end());
    for (const InstanceId& id : members_) {
      const bool reclaimed = seen_.count(id) > 0 && present.count(id) == 0;
      if (!reclaimed) continue;
      next.erase(id);
      reclaimed_.insert(id);
    }
  }
  for (const InstanceId& id : live_) reclaimed_.erase(id);
  return Replace(std::move(next));
}

bool Electorate::Merge(const std::set<InstanceId>& others, bool starting) {
  if (!starting && !HasLiveMajority()) return false;
  std::set<InstanceId> next = members_;
  for (const InstanceId& id : others) {
    if (reclaimed_.count(id) == 0) next.insert(id);
  }
  return Replace(std::move(next));
}

bool Electorate::HasLiveMajority() const {
  const auto live = std::count_if(
      members_.begin(), members_.end(),
      [this](const InstanceId& id) { return live_.count(id) > 0; });
  return static_cast<std::size_t>(live) * 2 > members_.size();
}

bool Electorate::Replace(std::set<InstanceId> members) {
  std::set<InstanceId> voters = members;
  if (members.size() == 2 && !witness_.empty()) voters.insert(witness_);
  members_ = std::move(members);
  if (voters == voters_) return false;
  voters_ = std::move(voters);
  std::uint64_t hash = 0;
  for (const InstanceId& id : voters_) hash ^= HashText(id.value(), 2);
  hash_ = static_cast<std::uint32_t>(hash);
  return true;
}

}  // namespace cassiausher
