// Table of the known members, with incremental hashes that two instances
// compare to find the members on which they differ.
#ifndef SERVERS_MEMBERSHIP_MEMBER_TABLE_H_
#define SERVERS_MEMBERSHIP_MEMBER_TABLE_H_

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "core/units.h"

namespace cassiausher {

/// Ordered by precedence: at an equal incarnation a higher state overrides a
/// lower one. The values are those of proto::MemberStateCode.
enum class MemberState { kAlive, kSuspect, kDead, kLeft };

/// Key/value metadata that a member gossips about itself.
using MemberPayload = std::map<std::string, std::string>;

struct Member {
  InstanceId id;
  DataCentreId data_centre;
  std::string address;
  Incarnation incarnation{0};
  /// Incarnation at the start of the member's process; a refutation raises only
  /// `incarnation`.
  Incarnation started{0};
  MemberState state = MemberState::kAlive;
  /// When this instance set `state`.
  Time since{};
  std::uint64_t payload_version = 0;
  MemberPayload payload;
  /// While suspect: the members whose own probes of it failed.
  std::set<InstanceId> accusers;
  /// Rendezvous score within its data centre; the live member with the lowest
  /// score is the representative.
  std::uint64_t score = 0;

  bool live() const {
    return state == MemberState::kAlive || state == MemberState::kSuspect;
  }
};

/// Hash buckets for the members of a data centre in a roster comparison. At 67
/// members in a data centre, 16 buckets hold about four records each.
inline constexpr std::size_t kRosterBuckets = 16;
using RosterBuckets = std::array<std::uint32_t, kRosterBuckets>;

/// Not thread safe. The hashes cover live members only, since instances remove
/// dead ones at different times.
class MemberTable {
 public:
  const std::map<InstanceId, Member>& members() const { return members_; }
  const Member* Find(const InstanceId& id) const;

  /// Adds or replaces a member; updates its score and the hashes.
  void Put(Member member);
  void Remove(const InstanceId& id);

  /// Hash over all live members.
  std::uint64_t hash() const { return hash_; }
  /// Hash of each data centre that has live members.
  std::map<DataCentreId, std::uint64_t> DataCentreHashes() const;
  std::uint64_t DataCentreHash(const DataCentreId& data_centre) const;
  RosterBuckets Buckets(const DataCentreId& data_centre) const;
  static std::size_t BucketOf(const InstanceId& id);

  /// Live members of a data centre in ascending order of rendezvous score.
  std::vector<InstanceId> LiveByScore(const DataCentreId& data_centre) const;
  std::size_t LiveCount(const DataCentreId& data_centre) const;

  /// Increases whenever the set of live members or the data centre of one
  /// changes.
  std::uint64_t live_version() const { return live_version_; }

 private:
  struct Roster {
    std::uint64_t hash = 0;
    std::array<std::uint64_t, kRosterBuckets> buckets{};
    std::size_t live = 0;
  };

  /// Adds a live member to the hashes and counts, or removes it.
  void UpdateRoster(const Member& member, bool added);

  std::map<InstanceId, Member> members_;
  std::map<DataCentreId, Roster> rosters_;
  std::uint64_t hash_ = 0;
  std::uint64_t live_version_ = 1;
};

}  // namespace cassiausher

#endif  // SERVERS_MEMBERSHIP_MEMBER_TABLE_H_
