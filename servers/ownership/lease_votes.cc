// Votes of this instance as a voter.
#include "servers/ownership/lease_votes.h"

namespace cassiausher {

namespace {

// Limits the memory that claims for invented pools can take; far above the
// number of pools of a deployment.
constexpr std::size_t kPoolsMaximum = 10000;

}  // namespace

const LeaseVote* LeaseVotes::Find(const PoolId& pool) const {
  const auto found = votes_.find(pool);
  return found == votes_.end() ? nullptr : &found->second;
}

bool LeaseVotes::MayGrant(const LeaseClaim& claim, bool holder_live,
                          Time now) const {
  if (claim.epoch < floor_ && !claim.holding) return false;
  const LeaseVote* vote = Find(claim.pool);
  if (vote == nullptr) {
    // A claimant that holds a valid lease excludes any other holder, also one
    // promised before this instance started.
    return claim.fenced || claim.holding || Settled(now);
  }
  if (claim.epoch < vote->epoch) return false;
  if (claim.holder == vote->holder) return true;
  if (claim.epoch == vote->epoch) return false;
  const bool handed_over = claim.predecessor == vote->holder.id &&
                           claim.predecessor_epoch == vote->epoch;
  if (handed_over) return true;
  if (claim.fenced && !holder_live) return true;
  if (now < vote->until) return false;
  return claim.fenced || claim.holding || Settled(now);
}

bool LeaseVotes::Grant(const LeaseClaim& claim, bool holder_live, Time now) {
  if (!MayGrant(claim, holder_live, now)) return false;
  const bool known = votes_.count(claim.pool) > 0;
  if (!known && votes_.size() >= kPoolsMaximum) return false;
  votes_[claim.pool] = {claim.holder, claim.epoch, now + lease_};
  return true;
}

void LeaseVotes::Release(const PoolId& pool, const LeaseHolder& holder,
                         Epoch epoch, Time now) {
  const auto found = votes_.find(pool);
  if (found == votes_.end()) return;
  LeaseVote& vote = found->second;
  if (vote.holder == holder && vote.epoch == epoch) vote.until = now;
}

}  // namespace cassiausher
