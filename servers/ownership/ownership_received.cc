// Messages that other instances send about pools, but for those of a hand-over.
#include <algorithm>
#include <utility>

#include "servers/ownership/ownership.h"

namespace cassiausher {
namespace {

// Up to this, epochs are exact in a JSON number.
constexpr std::uint64_t kEpochMaximum = std::uint64_t{1} << 53;
constexpr std::size_t kNameBytesMaximum = 64;
constexpr int kItemsMaximum = 1000;
constexpr int kElectorateMaximum = 1000;
// Limits how often a competing claimant can make the owner raise its epoch.
constexpr Duration kEpochRaiseInterval = Seconds(10);

}  // namespace

bool Ownership::IsWellFormed(const Message& message) const {
  if (message.kind() <= Message::NO_KIND) return false;
  if (message.kind() > Message::ELECTORATE) return false;
  if (message.data_centre().empty()) return false;
  if (message.data_centre().size() > kNameBytesMaximum) return false;
  if (message.pools_size() > kItemsMaximum) return false;
  if (message.electorate_size() > kElectorateMaximum) return false;
  for (const auto& name : message.electorate()) {
    if (name.empty() || name.size() > kNameBytesMaximum) return false;
  }
  return std::all_of(message.pools().begin(), message.pools().end(),
                     [](const auto& item) {
                       if (item.service().empty()) return false;
                       if (item.service().size() > kNameBytesMaximum)
                         return false;
                       if (item.predecessor_epoch() > kEpochMaximum)
                         return false;
                       return item.epoch() <= kEpochMaximum;
                     });
}

void Ownership::OnMessage(const InstanceId& from, const Message& message,
                          Time now) {
  if (!IsWellFormed(message)) {
    ++counters_.malformed;
    return;
  }
  const bool here = message.data_centre() == options_.data_centre.value();
  // For pools of another data centre, this instance can only be the witness: it
  // gets claims and the release of its vote. A VOTE passes here as well, but
  // OnVote() ignores it.
  const bool across = message.kind() == Message::CLAIM ||
                      message.kind() == Message::VOTE ||
                      message.kind() == Message::RELEASE;
  if (from == options_.self || (!here && !across)) {
    ++counters_.foreign;
    return;
  }
  switch (message.kind()) {
    case Message::CLAIM:
      return OnClaim(from, message, now);
    case Message::VOTE:
      return OnVote(from, message, now);
    case Message::ANNOUNCE:
      return OnAnnounce(from, message, now);
    case Message::RELEASE:
      return OnRelease(from, message, now);
    case Message::ELECTORATE:
      return OnElectorate(message, now);
    default:
      break;
  }
  for (const auto& item : message.pools()) {
    if (message.kind() == Message::PREPARE) OnPrepare(from, item, now);
    if (message.kind() == Message::READY) OnReady(from, item, now);
    if (message.kind() == Message::COMMIT) OnCommit(from, item, now);
  }
}

void Ownership::OnClaim(const InstanceId& from, const Message& message,
                        Time now) {
  const DataCentreId data_centre(message.data_centre());
  const bool here = data_centre == options_.data_centre;
  const bool same_electorate =
      !here || message.electorate_hash() == electorate_.hash();
  Message answer = NewMessage(Message::VOTE);
  answer.set_data_centre(data_centre.value());
  answer.set_round(message.round());
  bool mismatch = false;
  for (const auto& item : message.pools()) {
    const PoolId id{data_centre, ServiceId(item.service())};
    const LeaseHolder holder{from, Incarnation(message.started())};
    const LeaseClaim claim{
        .pool = id,
        .holder = holder,
        .epoch = Epoch(item.epoch()),
        .fenced = item.fenced(),
        .holding = item.holding(),
        .predecessor = InstanceId(item.predecessor()),
        .predecessor_epoch = Epoch(item.predecessor_epoch())};
    const bool comparable = claim.fenced || same_electorate;
    if (!comparable) mismatch = true;
    const bool granted = comparable && CastVote(claim, now);
    ++(granted ? counters_.claims_granted : counters_.claims_refused);
    auto* vote = answer.add_pools();
    vote->set_service(item.service());
    vote->set_granted(granted);
    const LeaseVote* present = votes_.Find(id);
    if (present != nullptr) {
      vote->set_epoch(present->epoch.value());
      vote->set_holder(present->holder.id.value());
    }
    const Epoch known = KnownEpoch(id, granted);
    if (known.value() > vote->epoch()) {
      vote->set_epoch(known.value());
      vote->clear_holder();
    }
    const auto pool = pools_.find(id.service);
    if (!here || pool == pools_.end()) continue;
    pool->second.highest = std::max(pool->second.highest, claim.epoch);
    if (granted && claim.holding) {
      OnOtherOwner(id.service, pool->second, holder, claim.epoch, now);
    }
  }
  if (mismatch) {
    ++counters_.electorate_mismatches;
    AttachElectorate(&answer);
  }
  outputs_.messages.push_back({from, std::move(answer)});
}

bool Ownership::CastVote(const LeaseClaim& claim, Time now) {
  const bool here = claim.pool.data_centre == options_.data_centre;
  const bool outdated = claim.epoch < KnownEpoch(claim.pool, true);
  if (outdated && !claim.holding) return false;
  return votes_.Grant(claim, !here || HolderLive(claim.pool, now), now);
}

// The highest epoch that an owner is known to have used. After a refusal the
// claimant must also exceed the epochs used before this instance started.
Epoch Ownership::KnownEpoch(const PoolId& id, bool granted) const {
  Epoch known = granted ? Epoch(0) : votes_.floor();
  const auto pool = pools_.find(id.service);
  if (id.data_centre == options_.data_centre && pool != pools_.end()) {
    known = std::max(known, pool->second.owner_epoch);
  }
  return known;
}

bool Ownership::HolderLive(const PoolId& pool, Time now) const {
  const LeaseVote* vote = votes_.Find(pool);
  if (vote == nullptr || now >= vote->until) return false;
  const auto known = members_.find(vote->holder.id);
  if (known == members_.end() || !known->second.live) return false;
  return known->second.started == vote->holder.started;
}

void Ownership::OnVote(const InstanceId& from, const Message& message,
                       Time now) {
  if (message.data_centre() != options_.data_centre.value()) return;
  if (message.electorate_size() > 0) {
    OnElectorate(message, now);
    Message mine = NewMessage(Message::ELECTORATE);
    AttachElectorate(&mine);
    outputs_.messages.push_back({from, std::move(mine)});
  }
  for (const auto& item : message.pools()) {
    const ServiceId service(item.service());
    const auto found = pools_.find(service);
    if (found == pools_.end()) continue;
    Pool& pool = found->second;
    const Epoch seen(item.epoch());
    pool.highest = std::max(pool.highest, seen);
    if (pool.role == Role::kNone) continue;
    const bool used_elsewhere = item.granted() || item.holder().empty();
    if (pool.role == Role::kOwner && seen > pool.epoch && used_elsewhere) {
      RaiseEpoch(pool, now);
    }
    if (item.granted()) {
      if (message.round() != pool.round) continue;
      if (pool.round_voters.count(from) == 0) continue;
      pool.votes.insert(from);
      CountVotes(service, pool, now);
      continue;
    }
    // The voter has voted for another instance under a newer epoch. A fenced
    // pool has another owner then; for an unfenced one the majority decides.
    const bool newer = seen > pool.epoch && !item.holder().empty() &&
                       item.holder() != options_.self.value();
    const bool superseded = pool.role == Role::kReceiving ||
                            (pool.role == Role::kOwner && pool.fenced);
    if (newer && superseded) {
      StepDown(service, pool, now);
    } else if (newer && pool.role == Role::kOwner &&
               now - pool.epoch_raised_at > kEpochRaiseInterval) {
      // That claim may have failed; a higher epoch wins the voter back.
      RaiseEpoch(pool, now);
    }
  }
}

void Ownership::OnAnnounce(const InstanceId& from, const Message& message,
                           Time now) {
  for (const auto& item : message.pools()) {
    const ServiceId service(item.service());
    const auto found = pools_.find(service);
    if (found == pools_.end()) continue;
    Pool& pool = found->second;
    const Epoch epoch(item.epoch());
    pool.highest = std::max(pool.highest, epoch);
    if (epoch < pool.owner_epoch) {
      // Endpoints may already have seen the higher epoch. A vote that is not
      // granted and names no holder makes an owner raise its own epoch.
      SendItem(Message::VOTE, from, service, pool.owner_epoch);
      continue;
    }
    OnOtherOwner(service, pool, {from, Incarnation(message.started())}, epoch,
                 now);
  }
}

void Ownership::OnOtherOwner(const ServiceId& service, Pool& pool,
                             const LeaseHolder& owner, Epoch epoch, Time now) {
  if (pool.role != Role::kNone && epoch > pool.epoch) {
    StepDown(service, pool, now);
  }
  NoteOwner(service, pool, owner, epoch, now);
}

void Ownership::NoteOwner(const ServiceId& service, Pool& pool,
                          const LeaseHolder& owner, Epoch epoch, Time now) {
  if (epoch < pool.owner_epoch) return;
  pool.owner_last_heard = now;
  if (pool.owner == owner && pool.owner_epoch == epoch) return;
  pool.owner = owner;
  pool.owner_epoch = epoch;
  outputs_.events.push_back(
      {OwnershipEventKind::kOwnerChanged, PoolIdOf(service), owner.id, epoch});
}

void Ownership::OnElectorate(const Message& message, Time now) {
  std::set<InstanceId> others;
  for (const auto& name : message.electorate()) others.insert(InstanceId(name));
  ElectorateChanged(electorate_.Merge(others, Starting(now)), now);
}

void Ownership::OnRelease(const InstanceId& from, const Message& message,
                          Time now) {
  const DataCentreId data_centre(message.data_centre());
  for (const auto& item : message.pools()) {
    const ServiceId service(item.service());
    const Epoch epoch(item.epoch());
    votes_.Release({data_centre, service},
                   {from, Incarnation(message.started())}, epoch, now);
    if (data_centre != options_.data_centre) continue;
    const auto found = pools_.find(service);
    if (found == pools_.end()) continue;
    Pool& pool = found->second;
    if (pool.owner.id == from && pool.owner_epoch == epoch) {
      pool.owner_last_heard = Time::min();
    }
  }
}

void Ownership::OnStaleEpoch(const ServiceId& service, Epoch seen, Time now) {
  const auto found = pools_.find(service);
  if (found == pools_.end() || seen.value() > kEpochMaximum) return;
  Pool& pool = found->second;
  pool.highest = std::max(pool.highest, seen);
  if (pool.role != Role::kNone && seen > pool.epoch) {
    StepDown(service, pool, now);
  }
}

}  // namespace cassiausher
