#include "main/daemon/remote_pools.h"

namespace cassiausher {
namespace {

constexpr Duration kSummaryMaxAge = Milliseconds(2500);

}  // namespace

std::pair<const RemotePool&, bool> RemotePools::Update(
    const proto::PoolSummary& summary, const InstanceId& owner, Time now) {
  const DataCentreId data_centre(summary.data_centre());
  const ServiceId service(summary.service());
  RemotePool& pool = pools_[{data_centre, service}];
  const bool owner_changed =
      !pool.address.owner.empty() && pool.address.owner != owner;
  pool.address = {data_centre, service, owner, Epoch(0)};
  pool.free_slots = summary.free_slots();
  pool.queued = summary.queued();
  pool.endpoints = summary.endpoints();
  pool.received = now;
  return {pool, owner_changed};
}

const RemotePool* RemotePools::Best(const ServiceId& service,
                                    const std::set<DataCentreId>& refused_by,
                                    Time now) const {
  const RemotePool* best = nullptr;
  for (const auto& [key, pool] : pools_) {
    if (key.second != service || pool.endpoints == 0) continue;
    if (now - pool.received > kSummaryMaxAge) continue;
    if (refused_by.contains(key.first)) continue;
    if (best == nullptr || pool.SpareSlots() > best->SpareSlots()) best = &pool;
  }
  return best;
}

std::set<InstanceId> RemotePools::Owners(const ServiceId& service,
                                         Duration max_age, Time now) const {
  std::set<InstanceId> owners;
  for (const auto& [key, pool] : pools_) {
    const bool recent = now - pool.received <= max_age;
    if (key.second == service && recent) owners.insert(pool.address.owner);
  }
  return owners;
}

}  // namespace cassiausher
