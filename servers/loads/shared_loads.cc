#include "servers/loads/shared_loads.h"

#include <algorithm>
#include <utility>

namespace cassiausher {
namespace {

void AddWaiting(const WaitingRequests& waiting, int factor,
                WaitingRequests* sum) {
  for (const auto& [service, requests] : waiting) {
    int& total = (*sum)[service];
    total += factor * requests;
    if (total == 0) sum->erase(service);
  }
}

}  // namespace

void SharedLoads::OnReport(const InstanceId& instance,
                           const EndpointLoads& loads, bool wants_placements) {
  Instance& known = instances_[instance];
  SubtractLoads(known.loads, &total_);
  AddLoads(loads, &total_);
  receivers_ += static_cast<int>(wants_placements) -
                static_cast<int>(known.wants_placements);
  known.loads = loads;
  known.wants_placements = wants_placements;
}

void SharedLoads::OnWaiting(const InstanceId& instance,
                            WaitingRequests waiting) {
  const auto found = instances_.find(instance);
  if (found == instances_.end()) return;
  AddWaiting(found->second.waiting, -1, &waiting_);
  AddWaiting(waiting, 1, &waiting_);
  found->second.waiting = std::move(waiting);
}

WaitingRequests SharedLoads::WaitingWithout(const InstanceId& instance) const {
  WaitingRequests waiting = waiting_;
  const auto found = instances_.find(instance);
  if (found != instances_.end()) {
    AddWaiting(found->second.waiting, -1, &waiting);
  }
  return waiting;
}

void SharedLoads::OnPlacements(const InstanceId& instance,
                               const EndpointLoads& placed,
                               const EndpointLoads& lasting) {
  const auto found = instances_.find(instance);
  if (found == instances_.end()) return;
  AddLoads(lasting, &found->second.loads);
  AddLoads(lasting, &total_);
  AddLoads(placed, &placed_);
  AddLoads(placed, &placed_by_[instance]);
}

void SharedLoads::OnPaced(const InstanceId& instance,
                          const EndpointPaceOutcomes& paced) {
  if (paced.empty() || !instances_.contains(instance)) return;
  AddOutcomes(paced, &paced_);
  AddOutcomes(paced, &paced_by_[instance]);
}

void SharedLoads::Remove(const InstanceId& instance) {
  const auto found = instances_.find(instance);
  if (found == instances_.end()) return;
  SubtractLoads(found->second.loads, &total_);
  AddWaiting(found->second.waiting, -1, &waiting_);
  if (found->second.wants_placements) --receivers_;
  instances_.erase(found);
}

EndpointLoads SharedLoads::TotalWithout(const InstanceId& instance) const {
  EndpointLoads loads = total_;
  const auto found = instances_.find(instance);
  if (found != instances_.end()) SubtractLoads(found->second.loads, &loads);
  return loads;
}

Duration SharedLoads::BatchPeriod() const {
  const Duration for_all =
      Seconds(1) * receivers_ / options_.max_messages_per_second;
  return std::max(options_.min_batch_period, for_all);
}

std::vector<PlacementBatch> SharedLoads::TakeBatches(Time now) {
  next_batch_ = now + BatchPeriod();
  const EndpointLoads placed = std::exchange(placed_, {});
  const auto placed_by = std::exchange(placed_by_, {});
  const EndpointPaceOutcomes paced = std::exchange(paced_, {});
  const auto paced_by = std::exchange(paced_by_, {});
  std::vector<PlacementBatch> batches;
  if (placed.empty() && paced.empty()) return batches;
  PlacementBatch common{.placed = placed, .paced = paced};
  for (const auto& [id, instance] : instances_) {
    if (!instance.wants_placements) continue;
    const auto own = placed_by.find(id);
    const auto own_paced = paced_by.find(id);
    if (own == placed_by.end() && own_paced == paced_by.end()) {
      common.receivers.push_back(id);
      continue;
    }
    PlacementBatch others{.receivers = {id}, .placed = placed, .paced = paced};
    if (own != placed_by.end()) SubtractLoads(own->second, &others.placed);
    if (own_paced != paced_by.end()) {
      SubtractOutcomes(own_paced->second, &others.paced);
    }
    if (others.placed.empty() && others.paced.empty()) continue;
    batches.push_back(std::move(others));
  }
  if (!common.receivers.empty()) batches.push_back(std::move(common));
  return batches;
}

}  // namespace cassiausher
