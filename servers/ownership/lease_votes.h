// The votes of this instance as a voter: each one promises a pool to one holder
// until a time. They are not persisted, so after a restart no vote goes to a
// new holder until every promise made before has run out.
#ifndef SERVERS_OWNERSHIP_LEASE_VOTES_H_
#define SERVERS_OWNERSHIP_LEASE_VOTES_H_

#include <cstdint>
#include <map>

#include "core/ids.h"
#include "core/time.h"
#include "core/units.h"
#include "servers/ownership/electorate.h"

namespace cassiausher {

/// One run of an instance.
struct LeaseHolder {
  InstanceId id;
  Incarnation started{0};

  bool operator==(const LeaseHolder&) const = default;
};

/// A request for a vote.
struct LeaseClaim {
  PoolId pool;
  LeaseHolder holder;
  Epoch epoch{0};
  /// The pool's endpoints reject orders with an older epoch.
  bool fenced = false;
  /// The claimant holds a valid lease of the pool.
  bool holding = false;
  /// The owner that hands the pool over, and its epoch; empty without a
  /// hand-over.
  InstanceId predecessor;
  Epoch predecessor_epoch{0};
};

struct LeaseVote {
  LeaseHolder holder;
  Epoch epoch{0};
  /// End of the promise.
  Time until{};
};

class LeaseVotes {
 public:
  /// `floor` is at least as high as any epoch granted before this instance
  /// started. Claims below it by instances without a valid lease are refused,
  /// since the promises that would show them to be stale are lost.
  LeaseVotes(Duration lease, Epoch floor, Time now)
      : lease_(lease), floor_(floor), grants_from_(now + lease) {}

  /// Defers grants to new holders after a change of the electorate: promises
  /// that others gave under the old one may stay in force for one lease.
  void Settle(Time now) { grants_from_ = now + lease_; }
  /// True once those promises have run out.
  bool Settled(Time now) const { return now >= grants_from_; }

  /// `holder_live`: whether the present holder of the pool is live in this
  /// instance's view; only fenced pools depend on it.
  bool Grant(const LeaseClaim& claim, bool holder_live, Time now);
  /// Ends the promise if it is still the one for this epoch: a delayed release
  /// must not end a later promise.
  void Release(const PoolId& pool, const LeaseHolder& holder, Epoch epoch,
               Time now);
  Epoch floor() const { return floor_; }
  /// Null if no vote was granted for the pool.
  const LeaseVote* Find(const PoolId& pool) const;

 private:
  bool MayGrant(const LeaseClaim& claim, bool holder_live, Time now) const;

  Duration lease_;
  Epoch floor_;
  Time grants_from_;
  std::map<PoolId, LeaseVote> votes_;
};

}  // namespace cassiausher

#endif  // SERVERS_OWNERSHIP_LEASE_VOTES_H_
