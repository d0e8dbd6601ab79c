// Hand-over of a pool to its preferred owner: the owner prepares the successor,
// which collects votes, and releases the pool once these suffice.
#include <algorithm>

#include "servers/ownership/ownership.h"

namespace cassiausher {

void Ownership::StartHandover(const ServiceId& service, Pool& pool,
                              const InstanceId& successor, Time now) {
  pool.role = Role::kHandingOver;
  pool.successor = successor;
  pool.attempt_deadline = now + options_.handover_timeout;
  // Stops renewing, so that the successor can take over when the lease has run
  // out even if this instance no longer answers.
  pool.round = 0;
  pool.next_round = now + options_.claim_interval;
  SendItem(Message::PREPARE, successor, service, pool.epoch);
}

void Ownership::OnPrepare(const InstanceId& from, const proto::PoolItem& item,
                          Time now) {
  const ServiceId service(item.service());
  const auto found = pools_.find(service);
  if (found == pools_.end() || leaving_) return;
  Pool& pool = found->second;
  const Epoch epoch(item.epoch());
  pool.highest = std::max(pool.highest, epoch);
  if (pool.role == Role::kOwner || pool.role == Role::kHandingOver) return;
  const bool repeated = pool.role == Role::kReceiving &&
                        pool.predecessor == from &&
                        pool.predecessor_epoch == epoch;
  if (repeated) return;
  // A stale message: a newer owner is known.
  if (epoch < pool.owner_epoch) return;
  if (pool.role != Role::kNone) StepDown(service, pool, now);
  pool.role = Role::kReceiving;
  pool.predecessor = from;
  pool.predecessor_epoch = epoch;
  pool.predecessor_gone = now + options_.lease;
  pool.epoch = NextEpoch(pool);
  pool.attempt_deadline = now + 2 * options_.lease;
  StartRound(service, pool, now);
}

void Ownership::OnReady(const InstanceId& from, const proto::PoolItem& item,
                        Time now) {
  const ServiceId service(item.service());
  const auto found = pools_.find(service);
  if (found == pools_.end()) return;
  Pool& pool = found->second;
  const Epoch epoch(item.epoch());
  if (pool.successor != from) return;
  if (pool.role == Role::kNone && pool.successor_epoch == epoch) {
    // The successor asks again because the commit was lost.
    return SendItem(Message::COMMIT, from, service, epoch);
  }
  if (pool.role != Role::kHandingOver || epoch <= pool.epoch) return;
  const Epoch released = pool.held_epoch;
  pool.role = Role::kNone;
  pool.valid_until = now;
  pool.round = 0;
  pool.successor_epoch = epoch;
  pool.highest = std::max(pool.highest, epoch);
  ++counters_.handovers;
  outputs_.events.push_back({OwnershipEventKind::kReleased, PoolIdOf(service),
                             options_.self, released});
  NoteOwner(service, pool, {from, members_[from].started}, epoch, now);
  SendItem(Message::COMMIT, from, service, epoch);
}

void Ownership::OnCommit(const InstanceId& from, const proto::PoolItem& item,
                         Time now) {
  const ServiceId service(item.service());
  const auto found = pools_.find(service);
  if (found == pools_.end()) return;
  Pool& pool = found->second;
  if (pool.role != Role::kReceiving || pool.predecessor != from) return;
  if (pool.epoch != Epoch(item.epoch())) return;
  // The predecessor has stopped; without valid votes the next round decides.
  pool.predecessor_gone = now;
  if (now < pool.valid_until) BecomeOwner(service, pool, now);
}

void Ownership::AbortHandover(Pool& pool, Time now) {
  ++counters_.handovers_aborted;
  // A new epoch invalidates the votes that the successor may still collect as
  // successor of the old epoch.
  RaiseEpoch(pool, now);
  pool.role = Role::kOwner;
  pool.successor = InstanceId();
  pool.other_preferred_since = Time::max();
}

}  // namespace cassiausher
