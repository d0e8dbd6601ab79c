// The electorate: the instances that vote on the leases of a data centre's
// pools.
//
// Dead and departed instances stay in it until membership reclaims them, so
// that one side of a partition can't become a majority by declaring the other
// side dead. It changes when members join or are reclaimed, and only while a
// majority of it is live in this instance's view.
#ifndef SERVERS_OWNERSHIP_ELECTORATE_H_
#define SERVERS_OWNERSHIP_ELECTORATE_H_

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "core/units.h"
#include "servers/membership/membership.h"

namespace cassiausher {

/// A pool is a service in a data centre.
struct PoolId {
  DataCentreId data_centre;
  ServiceId service;

  auto operator<=>(const PoolId&) const = default;
};

/// An instance of this data centre as membership sees it.
struct OwnershipMember {
  InstanceId id;
  Incarnation started{0};
  bool live = true;
  /// Drains or shuts down, so it gets no pools.
  bool leaving = false;
};

/// The part of a membership view that Ownership uses.
struct OwnershipView {
  /// Every member of this data centre that is not yet reclaimed. One that left
  /// counts as dead: it may start again on the other side of a partition.
  std::vector<OwnershipMember> members;
};

/// Payload key that an instance sets while it drains.
inline constexpr char kDrainingKey[] = "draining";

OwnershipView ViewOf(const std::vector<MemberRow>& rows,
                     const DataCentreId& data_centre);

/// Chooses the witness of a data centre among the instances of other data
/// centres named in the settings. All instances of the data centre must name
/// the same ones. Empty if none is named.
InstanceId WitnessOf(const DataCentreId& data_centre,
                     const std::set<InstanceId>& remote_instances);

/// Rendezvous score of an instance for a pool; the lowest is the preferred
/// owner.
std::uint64_t PoolScore(const PoolId& pool, const InstanceId& instance);

/// `candidates` in ascending order of score.
std::vector<InstanceId> ByScore(const PoolId& pool,
                                const std::set<InstanceId>& candidates);

class Electorate {
 public:
  /// `voters` are the instances of the data centre named in the settings. The
  /// witness votes while there are exactly two members; it comes from the
  /// settings as well, since two members that chose different witnesses from
  /// their views could each reach a majority. It may be empty.
  Electorate(const InstanceId& self, const std::set<InstanceId>& voters,
             InstanceId witness);

  /// Returns true if the voters changed. While `starting`, no live majority is
  /// needed.
  bool Update(const OwnershipView& view, bool starting);
  /// Adds the members that another instance counts; returns true if the voters
  /// changed.
  bool Merge(const std::set<InstanceId>& others, bool starting);

  /// The members, and the witness if there are exactly two members.
  const std::set<InstanceId>& voters() const { return voters_; }
  const std::set<InstanceId>& members() const { return members_; }
  /// Hash of the voters, to detect that two instances count different ones.
  std::uint32_t hash() const { return hash_; }

 private:
  bool HasLiveMajority() const;
  bool Replace(std::set<InstanceId> members);

  std::set<InstanceId> members_;
  std::set<InstanceId> voters_;
  std::set<InstanceId> live_;
  /// Reclaimed members, which Merge() must not add again from an instance that
  /// hasn't reclaimed them yet.
  std::set<InstanceId> reclaimed_;
  /// Members that any view contained; only these are removed when the view no
  /// longer does.
  std::set<InstanceId> seen_;
  InstanceId witness_;
  std::uint32_t hash_ = 0;
};

}  // namespace cassiausher

#endif  // SERVERS_OWNERSHIP_ELECTORATE_H_
