#include "servers/control/endpoint_registry.h"

#include <algorithm>

namespace cassiausher {
namespace {

// Whether `a` started after `b` at the same address. Endpoints send heartbeats
// at the same rate, so that the later one has sent fewer.
bool StartedLater(const EndpointRecord& a, const EndpointRecord& b) {
  if (a.incarnation != b.incarnation) return a.incarnation > b.incarnation;
  return a.sequence < b.sequence;
}

}  // namespace

bool EndpointRegistry::Update(const EndpointRecord& received, Time seen_at) {
  if (!HasRoomFor(received.id)) return false;
  const auto [found, added] =
      entries_.try_emplace(received.id, Entry{.record = received});
  Entry& entry = found->second;
  const EndpointRecord before = entry.record;
  const bool changed = added || Merge(received, &entry.record);
  const bool newer = received.incarnation > before.incarnation ||
                     (received.incarnation == before.incarnation &&
                      received.sequence > before.sequence);
  const bool expired = entry.record.expired && !before.expired;
  if (added || newer || expired) {
    entry.last_seen = std::max(entry.last_seen, seen_at);
  }
  const bool moved = entry.record.address != before.address ||
                     entry.record.incarnation != before.incarnation;
  if (added || moved) entry.order_at_address = OrderAtAddress(entry.record);
  if (changed) entry.changed_at = ++revision_;
  return changed;
}

int EndpointRegistry::OrderAtAddress(const EndpointRecord& record) const {
  int order = 0;
  for (const auto& [id, other] : entries_) {
    if (id == record.id || other.record.address != record.address) continue;
    order = StartedLater(record, other.record)
                ? std::max(order, other.order_at_address + 1)
                : std::min(order, other.order_at_address - 1);
  }
  return order;
}

std::vector<EndpointRecord> EndpointRegistry::ExpireReplaced(
    const EndpointId& by, Time now) {
  const auto found = entries_.find(by);
  if (found == entries_.end() || IsGone(found->second.record)) return {};
  const Entry& successor = found->second;
  std::vector<EndpointRecord> expired;
  for (auto& [id, entry] : entries_) {
    if (id == by || entry.record.address != successor.record.address) continue;
    const bool is_replaced =
        !IsGone(entry.record) && entry.last_seen <= successor.last_seen &&
        entry.order_at_address < successor.order_at_address;
    if (!is_replaced) continue;
    entry.record.expired = true;
    entry.last_seen = now;
    entry.changed_at = ++revision_;
    expired.push_back(entry.record);
  }
  return expired;
}

bool EndpointRegistry::HasRoomFor(const EndpointId& id) const {
  return entries_.size() < options_.max_records || entries_.contains(id);
}

bool EndpointRegistry::MarkDeparted(const EndpointId& id, Incarnation latest,
                                    Time now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return Update(DepartureOf(id, latest), now);
  Entry& entry = found->second;
  if (entry.record.state == EndpointLifecycle::kDeparted) return false;
  entry.record.state = EndpointLifecycle::kDeparted;
  entry.last_seen = now;
  entry.changed_at = ++revision_;
  return true;
}

std::vector<EndpointRecord> EndpointRegistry::Expire(Time now) {
  const auto is_due = [&](const auto& item) {
    return now - item.second.last_seen >= options_.expire_after;
  };
  std::erase_if(entries_, [&](const auto& item) {
    return IsGone(item.second.record) && is_due(item);
  });
  std::vector<EndpointRecord> expired;
  for (auto& item : entries_) {
    if (!is_due(item)) continue;
    Entry& entry = item.second;
    entry.record.expired = true;
    entry.last_seen = now;
    entry.changed_at = ++revision_;
    expired.push_back(entry.record);
  }
  return expired;
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
    if (record.service != service || record.expired) continue;
    if (record.state == EndpointLifecycle::kReady) ready.push_back(&record);
  }
  return ready;
}

Time EndpointRegistry::LastSeen(const EndpointId& id) const {
  return entries_.at(id).last_seen;
}

std::vector<EndpointRecord> EndpointRegistry::SeenSince(Time since) const {
  std::vector<EndpointRecord> seen;
  for (const auto& [id, entry] : entries_) {
    if (entry.last_seen >= since) seen.push_back(entry.record);
  }
  return seen;
}

std::vector<EndpointId> EndpointRegistry::Silent(Time now) const {
  std::vector<EndpointId> silent;
  for (const auto& [id, entry] : entries_) {
    if (entry.record.state == EndpointLifecycle::kDeparted) continue;
    const bool late = now - entry.last_seen >= options_.silent_after;
    if (late || entry.record.expired) silent.push_back(id);
  }
  return silent;
}

const EndpointRecord* EndpointRegistry::Find(const EndpointId& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second.record;
}

}  // namespace cassiausher
