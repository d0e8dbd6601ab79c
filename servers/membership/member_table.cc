// Member table with incremental roster hashes.
#include "servers/membership/member_table.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "core/hash.h"

namespace cassiausher {

namespace {

std::uint64_t RosterHash(const Member& member) {
  const std::uint64_t versions[] = {member.incarnation.value(),
                                    member.payload_version};
  return HashText(member.id.value(), XXH3_64bits(versions, sizeof(versions)));
}

}  // namespace

const Member* MemberTable::Find(const InstanceId& id) const {
  const auto found = members_.find(id);
  return found == members_.end() ? nullptr : &found->second;
}

void MemberTable::Put(Member member) {
  member.score =
      HashText(member.id.value(), HashText(member.data_centre.value(), 0));
  auto [entry, inserted] = members_.try_emplace(member.id);
  const bool was_live = !inserted && entry->second.live();
  if (was_live) UpdateRoster(entry->second, false);
  if (member.live()) UpdateRoster(member, true);
  const bool data_centre_changed =
      entry->second.data_centre != member.data_centre;
  if (was_live != member.live() || data_centre_changed) ++live_version_;
  entry->second = std::move(member);
}

void MemberTable::Remove(const InstanceId& id) {
  const auto found = members_.find(id);
  if (found == members_.end()) return;
  if (found->second.live()) {
    UpdateRoster(found->second, false);
    ++live_version_;
  }
  members_.erase(found);
}

void MemberTable::UpdateRoster(const Member& member, bool added) {
  const std::uint64_t hash = RosterHash(member);
  Roster& roster = rosters_[member.data_centre];
  hash_ ^= hash;
  roster.hash ^= hash;
  roster.buckets[BucketOf(member.id)] ^= hash;
  roster.live += added ? 1 : -1;
  if (roster.live == 0) rosters_.erase(member.data_centre);
}

std::map<DataCentreId, std::uint64_t> MemberTable::DataCentreHashes() const {
  std::map<DataCentreId, std::uint64_t> hashes;
  for (const auto& [id, roster] : rosters_) hashes[id] = roster.hash;
  return hashes;
}

std::uint64_t MemberTable::DataCentreHash(
    const DataCentreId& data_centre) const {
  const auto found = rosters_.find(data_centre);
  return found == rosters_.end() ? 0 : found->second.hash;
}

RosterBuckets MemberTable::Buckets(const DataCentreId& data_centre) const {
  RosterBuckets buckets{};
  const auto found = rosters_.find(data_centre);
  if (found == rosters_.end()) return buckets;
  for (std::size_t i = 0; i < kRosterBuckets; ++i) {
    buckets[i] = static_cast<std::uint32_t>(found->second.buckets[i]);
  }
  return buckets;
}

std::size_t MemberTable::BucketOf(const InstanceId& id) {
  return HashText(id.value(), 1) % kRosterBuckets;
}

std::vector<InstanceId> MemberTable::LiveByScore(
    const DataCentreId& data_centre) const {
  std::vector<const Member*> live;
  for (const auto& [id, member] : members_) {
    if (member.live() && member.data_centre == data_centre) {
      live.push_back(&member);
    }
  }
  std::sort(live.begin(), live.end(), [](const Member* a, const Member* b) {
    return std::pair(a->score, a->id) < std::pair(b->score, b->id);
  });
  std::vector<InstanceId> ids;
  for (const Member* member : live) ids.push_back(member->id);
  return ids;
}

std::size_t MemberTable::LiveCount(const DataCentreId& data_centre) const {
  const auto found = rosters_.find(data_centre);
  return found == rosters_.end() ? 0 : found->second.live;
}

}  // namespace cassiausher
