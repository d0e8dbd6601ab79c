#include "servers/control/endpoint_registry.h"

namespace cassiausher {

bool EndpointRegistry::Update(const EndpointRecord& heard, Time now) {
  const auto [found, added] =
      entries_.try_emplace(heard.id, Entry{.record = heard});
  Entry& entry = found->second;
  const EndpointRecord before = entry.record;
  const bool changed = added || Merge(heard, &entry.record);
  const bool newer = heard.incarnation > before.incarnation ||
                     (heard.incarnation == before.incarnation &&
                      heard.sequence > before.sequence);
  if (added || newer) entry.heard_at = now;
  if (changed) entry.changed_at = ++revision_;
  return changed;
}

bool EndpointRegistry::MarkDeparted(const EndpointId& id, Time now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return false;
  Entry& entry = found->second;
  if (entry.record.state == EndpointLifecycle::kDeparted) return false;
  entry.record.state = EndpointLifecycle::kDeparted;
  entry.heard_at = now;
  entry.changed_at = ++revision_;
  return true;
}

void EndpointRegistry::Expire(Time now) {
  std::erase_if(entries_, [&](const auto& item) {
    return now - item.second.heard_at >= options_.forget_after;
  });
}

std::vector<EndpointRecord> EndpointRegistry::ChangedSince(
    std::uint64_t revision) const {
  std::vector<EndpointRecord> changed;
  for (const auto& [id, entry] : entries_) {
    if (entry.changed_at > revision) changed.push_back(entry.record);
  }
  return changed;
}

std::vector<const EndpointRecord*> EndpointRegistry::Ready(
    const ServiceId& service) const {
  std::vector<const EndpointRecord*> ready;
  for (const auto& [id, entry] : entries_) {
    const EndpointRecord& record = entry.record;
    if (record.service != service) continue;
    if (record.state == EndpointLifecycle::kReady) ready.push_back(&record);
  }
  return ready;
}

std::vector<EndpointRecord> EndpointRegistry::SeenSince(Time since) const {
  std::vector<EndpointRecord> heard;
  for (const auto& [id, entry] : entries_) {
    if (entry.heard_at >= since) heard.push_back(entry.record);
  }
  return heard;
}

std::vector<EndpointId> EndpointRegistry::Silent(Time now) const {
  std::vector<EndpointId> silent;
  for (const auto& [id, entry] : entries_) {
    if (entry.record.state == EndpointLifecycle::kDeparted) continue;
    if (now - entry.heard_at >= options_.silent_after) silent.push_back(id);
  }
  return silent;
}

const EndpointRecord* EndpointRegistry::Find(const EndpointId& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second.record;
}

}  // namespace cassiausher
