#include "servers/control/leaving_endpoints.h"

#include <algorithm>

namespace cassiausher {

bool LeavingEndpoints::Apply(const LeavingEndpoint& leaving, Time now) {
  const EndpointRecord& record = leaving.record;
  if (record.state == EndpointLifecycle::kReady || Covers(record)) return false;
  const Time since = now - leaving.age;
  const auto [found, added] =
      entries_.try_emplace(record.id, Entry{.record = record, .since = since});
  if (added) return true;
  Entry& entry = found->second;
  entry.since = std::max(entry.since, since);
  return Merge(record, &entry.record);
}

bool LeavingEndpoints::Covers(const EndpointRecord& record) const {
  const auto found = entries_.find(record.id);
  if (found == entries_.end()) return false;
  const EndpointRecord& kept = found->second.record;
  if (kept.incarnation != record.incarnation) {
    return kept.incarnation > record.incarnation;
  }
  return kept.state >= record.state;
}

bool LeavingEndpoints::Expire(Time now) {
  return std::erase_if(entries_, [&](const auto& item) {
           return now - item.second.since >= options_.lifetime;
         }) > 0;
}

std::vector<LeavingEndpoint> LeavingEndpoints::All(Time now) const {
  std::vector<LeavingEndpoint> all;
  for (const auto& [id, entry] : entries_) {
    all.push_back({entry.record, std::max(Duration(0), now - entry.since)});
  }
  return all;
}

}  // namespace cassiausher
