// Simulated deployment with Ownership.
#include "tests/ownership/ownership_cluster.h"

#include <fmt/format.h>

namespace cassiausher {

OwnershipCluster::OwnershipCluster(const std::vector<int>& sizes,
                                   std::uint64_t seed)
    : cluster(sizes, seed) {
  cluster.on_step = [this](Node& node, const MembershipOutputs& outputs) {
    const auto found = ownerships.find(node.id);
    if (found == ownerships.end() || outputs.events.empty()) return;
    found->second->SetView(ViewOf(node.membership->Members(), node.data_centre),
                           cluster.now);
    ProcessOutputs(node.id);
  };
}

void OwnershipCluster::Start(const InstanceId& id) {
  cluster.Start(id);
  const Node& node = cluster.nodes.at(id);
  OwnershipOptions options{.self = id,
                           .data_centre = node.data_centre,
                           .started = Incarnation(node.incarnation),
                           .random_seed = cluster.random.Below(1u << 30)};
  options.epoch_base = static_cast<std::uint64_t>(
      cluster.now.time_since_epoch() / Milliseconds(100));
  options.voters = cluster.InstancesIn(node.data_centre);
  std::set<InstanceId> remote_instances;
  for (const auto& [other, instance] : cluster.nodes) {
    if (options.voters.count(other) == 0) remote_instances.insert(other);
  }
  options.witness = WitnessOf(node.data_centre, remote_instances);
  ++generation_[id];
  tick_at_.erase(id);
  ownerships[id] = std::make_unique<Ownership>(options, cluster.now);
  ownerships[id]->SetPools(
      {{FencedService(), true}, {UnfencedService(), false}}, cluster.now);
  ownerships[id]->SetView(ViewOf(node.membership->Members(), node.data_centre),
                          cluster.now);
  ProcessOutputs(id);
}

void OwnershipCluster::StartAll() {
  for (const auto& [id, node] : cluster.nodes) Start(id);
}

void OwnershipCluster::Crash(const InstanceId& id) {
  ownerships.erase(id);
  cluster.Crash(id);
}

void OwnershipCluster::Leave(const InstanceId& id) {
  At(id).Leave(cluster.now);
  ProcessOutputs(id);
}

void OwnershipCluster::ProcessOutputs(const InstanceId& id) {
  Ownership& ownership = *ownerships.at(id);
  OwnershipOutputs outputs = ownership.TakeOutputs();
  const DataCentreId data_centre = cluster.nodes.at(id).data_centre;
  for (const OwnershipEvent& event : outputs.events) {
    if (event.kind != OwnershipEventKind::kAcquired) continue;
    ++acquisitions[event.pool];
    if (!used_epochs_.insert({event.pool, event.epoch}).second) {
      violation = fmt::format("epoch {} used twice", event.epoch.value());
    }
    Epoch& instance_epoch = last_epoch_of_[{id, event.pool}];
    Epoch& pool_epoch = last_epoch_[event.pool];
    const bool fenced = event.pool.service == FencedService();
    if (event.epoch <= instance_epoch ||
        (!fenced && event.epoch <= pool_epoch)) {
      violation =
          fmt::format("epoch {} of {} after {}", event.epoch.value(),
                      id.value(), std::max(instance_epoch, pool_epoch).value());
    }
    instance_epoch = event.epoch;
    pool_epoch = std::max(pool_epoch, event.epoch);
  }
  for (OwnershipSend& send : outputs.messages) {
    cluster.Deliver(
        id, send.to,
        [this, id, to = send.to, message = std::move(send.message)] {
          const auto found = ownerships.find(to);
          if (found == ownerships.end()) return;
          found->second->OnMessage(id, message, cluster.now);
          ProcessOutputs(to);
        });
  }
  CheckOneUnfencedHolder();
  ScheduleTick(id);
}

void OwnershipCluster::ScheduleTick(const InstanceId& id) {
  const Time due = ownerships.at(id)->NextWakeup();
  if (due == Time::max()) return;
  const auto planned = tick_at_.find(id);
  if (planned != tick_at_.end() && planned->second <= due) return;
  tick_at_[id] = due;
  const std::uint64_t generation = generation_[id];
  cluster.Post(due, [this, id, due, generation] {
    if (ownerships.count(id) == 0 || generation_[id] != generation) return;
    const auto current = tick_at_.find(id);
    if (current == tick_at_.end() || current->second != due) return;
    tick_at_.erase(current);
    const Time resumed = cluster.nodes.at(id).paused_until;
    if (resumed > cluster.now) {
      cluster.Post(resumed, [this, id, generation] {
        if (ownerships.count(id) == 0) return;
        if (generation_[id] != generation) return;
        ownerships.at(id)->Tick(cluster.now);
        ProcessOutputs(id);
      });
      return;
    }
    ownerships.at(id)->Tick(cluster.now);
    ProcessOutputs(id);
  });
}

void OwnershipCluster::CheckOneUnfencedHolder() {
  std::map<DataCentreId, InstanceId> holders;
  for (const auto& [id, ownership] : ownerships) {
    if (!ownership->HeldEpoch(UnfencedService(), cluster.now)) continue;
    const auto [place, first] =
        holders.emplace(cluster.nodes.at(id).data_centre, id);
    if (first || !violation.empty()) continue;
    violation = fmt::format("{} and {} both hold the unfenced pool at {} ms",
                            place->second.value(), id.value(),
                            ToMilliseconds(cluster.now.time_since_epoch()));
  }
}

InstanceId OwnershipCluster::Holder(const DataCentreId& data_centre,
                                    const ServiceId& service) const {
  for (const auto& [id, ownership] : ownerships) {
    if (cluster.nodes.at(id).data_centre != data_centre) continue;
    if (ownership->HeldEpoch(service, cluster.now)) return id;
  }
  return InstanceId();
}

bool OwnershipCluster::Settled() const {
  for (const auto& [id, ownership] : ownerships) {
    const DataCentreId data_centre = cluster.nodes.at(id).data_centre;
    for (const ServiceId& service : {FencedService(), UnfencedService()}) {
      const InstanceId holder = Holder(data_centre, service);
      if (holder.empty() || ownership->Owner(service) != holder) return false;
      for (const auto& [other, instance] : ownerships) {
        if (cluster.nodes.at(other).data_centre != data_centre) continue;
        if (other == holder) continue;
        if (instance->HeldEpoch(service, cluster.now)) return false;
      }
    }
  }
  return true;
}

bool OwnershipCluster::RunUntilSettled(Duration limit) {
  const Time end = cluster.now + limit;
  while (cluster.now < end) {
    cluster.Run(Milliseconds(100));
    if (Settled()) return true;
  }
  return false;
}

}  // namespace cassiausher
