// Leases of pools: claims, rounds of votes, and timers.
#include "servers/ownership/ownership.h"

#include <algorithm>
#include <utility>

#include "core/hash.h"

namespace cassiausher {

namespace {

// The low bits of an epoch are a hash of its instance's name, so that two
// instances that claim at once use different epochs.
constexpr int kInstanceBits = 16;
// Members besides the voters to which the owner announces itself at each
// renewal.
constexpr std::size_t kAnnouncementFanout = 2;

// The counter above the instance bits.
std::uint64_t Count(Epoch epoch) { return epoch.value() >> kInstanceBits; }

}  // namespace

Ownership::Ownership(OwnershipOptions options, Time now)
    : options_(std::move(options)),
      random_(options_.random_seed),
      start_(now),
      electorate_(options_.self, options_.voters, options_.witness),
      votes_(options_.lease, Epoch(options_.epoch_base << kInstanceBits), now) {
  members_[options_.self] = {
      .started = options_.started, .live = true, .stable_at = now};
}

// Configuration.

void Ownership::SetPools(const std::vector<OwnedPool>& pools, Time now) {
  std::set<ServiceId> wanted;
  for (const OwnedPool& item : pools) {
    wanted.insert(item.service);
    auto [entry, added] = pools_.try_emplace(item.service);
    Pool& pool = entry->second;
    if (added) {
      pool.next_round = std::max(now, start_ + options_.startup_wait);
    }
    if (pool.fenced != item.fenced) StepDown(item.service, pool, now);
    pool.fenced = item.fenced;
  }
  for (auto entry = pools_.begin(); entry != pools_.end();) {
    if (wanted.count(entry->first) > 0) {
      ++entry;
      continue;
    }
    StepDown(entry->first, entry->second, now);
    entry = pools_.erase(entry);
  }
}

void Ownership::SetView(const OwnershipView& view, Time now) {
  std::set<InstanceId> present;
  std::vector<InstanceId> appeared;
  for (const OwnershipMember& member : view.members) {
    present.insert(member.id);
    MemberStatus& state = members_[member.id];
    const bool restarted =
        state.live && member.live && state.started != member.started;
    if (state.live && (!member.live || restarted)) {
      if (now - state.last_loss > options_.flap_window) state.flaps = 0;
      ++state.flaps;
      state.last_loss = now;
    }
    if (member.live && (!state.live || restarted)) {
      Duration wait = options_.stable_after;
      for (int i = 1; i < state.flaps; ++i) {
        wait = std::min(2 * wait, options_.stable_maximum);
      }
      // Members present when this instance starts count as stable.
      const bool at_start = now < start_ + options_.stable_after;
      state.stable_at = at_start && state.flaps == 0 ? now : now + wait;
      if (member.id != options_.self) appeared.push_back(member.id);
    }
    state.live = member.live;
    state.leaving = member.leaving;
    state.started = member.started;
  }
  for (auto& [id, state] : members_) {
    if (present.count(id) == 0 && id != options_.self) state.live = false;
  }
  ElectorateChanged(electorate_.Update(view, Starting(now)), now);
  for (const auto& [service, pool] : pools_) {
    if (!HeldEpoch(service, now)) continue;
    for (const InstanceId& id : appeared) AnnounceTo(id, service, pool);
  }
}

void Ownership::ElectorateChanged(bool changed, Time now) {
  if (!changed) return;
  votes_.Settle(now);
  // Votes of the present round were cast under the old electorate.
  for (auto& [service, pool] : pools_) {
    if (pool.fenced || pool.role == Role::kNone) continue;
    pool.round = 0;
    pool.votes.clear();
    pool.next_round = now;
  }
}

// Leases.

Epoch Ownership::NextEpoch(const Pool& pool) const {
  const std::uint64_t count = std::max(
      Count(std::max(pool.highest, pool.epoch)) + 1, options_.epoch_base);
  const std::uint64_t instance_bits =
      HashText(options_.self.value(), 3) & ((1u << kInstanceBits) - 1);
  return Epoch((count << kInstanceBits) | instance_bits);
}

std::set<InstanceId> Ownership::LiveMembers() const {
  std::set<InstanceId> live;
  for (const auto& [id, state] : members_) {
    if (state.live) live.insert(id);
  }
  return live;
}

std::vector<InstanceId> Ownership::VotersOf(const ServiceId& service,
                                            const Pool& pool) const {
  std::vector<InstanceId> voters = ByScore(
      PoolIdOf(service), pool.fenced ? LiveMembers() : electorate_.voters());
  if (voters.size() > options_.voters_maximum) {
    voters.resize(options_.voters_maximum);
  }
  return voters;
}

InstanceId Ownership::PreferredOwner(const ServiceId& service, Time now) const {
  std::set<InstanceId> stable;
  std::set<InstanceId> live;
  for (const auto& [id, state] : members_) {
    const bool leaving = state.leaving || (id == options_.self && leaving_);
    if (!state.live || leaving) continue;
    live.insert(id);
    if (now >= state.stable_at) stable.insert(id);
  }
  const auto order = ByScore(PoolIdOf(service), stable.empty() ? live : stable);
  return order.empty() ? InstanceId() : order.front();
}

void Ownership::StartRound(const ServiceId& service, Pool& pool, Time now) {
  const bool holding =
      (pool.role == Role::kOwner || pool.role == Role::kHandingOver) &&
      now < pool.valid_until;
  pool.round = next_round_++;
  pool.round_sent = now;
  pool.votes.clear();
  pool.next_round = now + (pool.role == Role::kOwner ? options_.renew_interval
                                                     : options_.claim_interval);
  const std::vector<InstanceId> voters = VotersOf(service, pool);
  pool.round_voters = {voters.begin(), voters.end()};
  LeaseClaim claim{.pool = PoolIdOf(service),
                   .holder = {options_.self, options_.started},
                   .epoch = pool.epoch,
                   .fenced = pool.fenced,
                   .holding = holding};
  if (pool.role == Role::kReceiving) {
    claim.predecessor = pool.predecessor;
    claim.predecessor_epoch = pool.predecessor_epoch;
  }
  Message message = NewMessage(Message::CLAIM);
  message.set_round(pool.round);
  message.set_electorate_hash(electorate_.hash());
  auto* item = message.add_pools();
  item->set_service(service.value());
  item->set_epoch(pool.epoch.value());
  item->set_fenced(pool.fenced);
  item->set_holding(holding);
  item->set_predecessor(claim.predecessor.value());
  item->set_predecessor_epoch(claim.predecessor_epoch.value());
  for (const InstanceId& voter : voters) {
    if (voter == options_.self) continue;
    outputs_.messages.push_back({voter, message});
  }
  if (pool.round_voters.count(options_.self) == 0) return;
  // The own vote follows the same rules as those of other instances.
  if (!CastVote(claim, now)) return;
  pool.votes.insert(options_.self);
  CountVotes(service, pool, now);
}

void Ownership::CountVotes(const ServiceId& service, Pool& pool, Time now) {
  if (pool.round == 0) return;
  if (pool.votes.size() * 2 <= pool.round_voters.size()) return;
  const Duration counted(static_cast<std::int64_t>(
      options_.owner_share * static_cast<double>(options_.lease.count())));
  // Counted from the sending of the claims, so that every voter's promise ends
  // later.
  const Time until = pool.round_sent + counted;
  if (now >= until) return;
  switch (pool.role) {
    case Role::kOwner:
      pool.valid_until = std::max(pool.valid_until, until);
      if (pool.held_epoch != pool.epoch) BecomeOwner(service, pool, now);
      return;
    case Role::kClaiming:
      pool.valid_until = until;
      return BecomeOwner(service, pool, now);
    case Role::kReceiving:
      pool.valid_until = until;
      if (now >= pool.predecessor_gone) return BecomeOwner(service, pool, now);
      return SendItem(Message::READY, pool.predecessor, service, pool.epoch);
    default:
      return;
  }
}

void Ownership::BecomeOwner(const ServiceId& service, Pool& pool, Time now) {
  pool.role = Role::kOwner;
  pool.held_epoch = pool.epoch;
  pool.successor = InstanceId();
  pool.highest = std::max(pool.highest, pool.epoch);
  pool.other_preferred_since = Time::max();
  pool.next_round = now + options_.renew_interval;
  NoteOwner(service, pool, {options_.self, options_.started}, pool.epoch, now);
  outputs_.events.push_back({OwnershipEventKind::kAcquired, PoolIdOf(service),
                             options_.self, pool.epoch});
  AnnounceAll(service, pool);
}

void Ownership::StepDown(const ServiceId& service, Pool& pool, Time now) {
  const Role role = pool.role;
  pool.role = Role::kNone;
  pool.round = 0;
  pool.valid_until = now;
  pool.next_round = now + options_.claim_interval;
  if (role == Role::kNone) return;
  pool.highest = std::max(pool.highest, pool.epoch);
  // The promises to this successor replaced those to the owner, whose lease may
  // still run, so they must not be released early.
  if (role == Role::kReceiving) return;
  Message release = NewMessage(Message::RELEASE);
  auto* item = release.add_pools();
  item->set_service(service.value());
  item->set_epoch(pool.epoch.value());
  for (const InstanceId& voter : VotersOf(service, pool)) {
    if (voter != options_.self) outputs_.messages.push_back({voter, release});
  }
  votes_.Release(PoolIdOf(service), {options_.self, options_.started},
                 pool.epoch, now);
  if (pool.owner.id == options_.self) pool.owner_last_heard = Time::min();
  if (role != Role::kOwner && role != Role::kHandingOver) return;
  ++counters_.leases_lost;
  outputs_.events.push_back({OwnershipEventKind::kReleased, PoolIdOf(service),
                             options_.self, pool.epoch});
}

void Ownership::RaiseEpoch(Pool& pool, Time now) {
  pool.epoch_raised_at = now;
  pool.epoch = NextEpoch(pool);
  pool.highest = std::max(pool.highest, pool.epoch);
  pool.round = 0;
  pool.votes.clear();
  pool.next_round = now;
}

void Ownership::Leave(Time now) {
  leaving_ = true;
  Tick(now);
}

// Timers.

bool Ownership::OwnerGone(const Pool& pool, Time now) const {
  if (pool.owner.id.empty()) return true;
  if (pool.owner_last_heard == Time::min()) return true;
  if (now - pool.owner_last_heard > options_.owner_silence) return true;
  const auto found = members_.find(pool.owner.id);
  if (found == members_.end() || !found->second.live) return true;
  return found->second.started != pool.owner.started;
}

void Ownership::Tick(Time now) {
  for (auto& [service, pool] : pools_) TickPool(service, pool, now);
}

void Ownership::TickPool(const ServiceId& service, Pool& pool, Time now) {
  switch (pool.role) {
    case Role::kOwner:
    case Role::kHandingOver:
      return TickOwner(service, pool, now);
    case Role::kReceiving:
      if (now >= pool.attempt_deadline) return StepDown(service, pool, now);
      if (now < pool.next_round) return;
      if (pool.highest > pool.epoch) pool.epoch = NextEpoch(pool);
      return StartRound(service, pool, now);
    case Role::kClaiming:
      if (PreferredOwner(service, now) != options_.self ||
          !OwnerGone(pool, now)) {
        return StepDown(service, pool, now);
      }
      if (now >= pool.attempt_deadline) {
        // Two claimants with half of the votes each would block each other; a
        // random delay separates them.
        StepDown(service, pool, now);
        pool.next_round =
            now + Duration(random_.Below(options_.renew_interval.count()));
        return;
      }
      if (now < pool.next_round) return;
      // A voter may have seen a higher epoch than at the last attempt.
      if (pool.highest > pool.epoch) pool.epoch = NextEpoch(pool);
      return StartRound(service, pool, now);
    case Role::kNone:
      break;
  }
  if (now < pool.next_round) return;
  if (Starting(now)) {
    pool.next_round = start_ + options_.startup_wait;
    return;
  }
  pool.next_round = now + options_.claim_interval;
  if (!OwnerGone(pool, now)) return;
  if (PreferredOwner(service, now) != options_.self) return;
  pool.role = Role::kClaiming;
  // Never reuses a claimed epoch: a delayed release of that claim would end the
  // promise for this one.
  pool.epoch = NextEpoch(pool);
  pool.attempt_deadline = now + 2 * options_.lease;
  StartRound(service, pool, now);
}

void Ownership::TickOwner(const ServiceId& service, Pool& pool, Time now) {
  if (now >= pool.valid_until) return StepDown(service, pool, now);
  if (pool.role == Role::kHandingOver) {
    if (now >= pool.attempt_deadline) {
      AbortHandover(pool, now);
    } else if (now >= pool.next_round) {
      pool.next_round = now + options_.claim_interval;
      SendItem(Message::PREPARE, pool.successor, service, pool.epoch);
    }
    return;
  }
  pool.owner_last_heard = now;
  if (pool.owner_epoch > pool.epoch) RaiseEpoch(pool, now);
  // The rendezvous order of all members is computed only at renewals.
  if (now < pool.next_round && !leaving_) return;
  const InstanceId preferred = PreferredOwner(service, now);
  const bool misplaced = !preferred.empty() && preferred != options_.self;
  if (!misplaced) pool.other_preferred_since = Time::max();
  if (misplaced && pool.other_preferred_since == Time::max()) {
    pool.other_preferred_since = now;
  }
  const bool long_enough =
      misplaced && now - pool.other_preferred_since >= options_.stable_after;
  // Enough of the lease must be left for the hand-over.
  const bool fresh = pool.held_epoch == pool.epoch &&
                     pool.valid_until - now > options_.handover_timeout;
  if (misplaced && fresh && (leaving_ || long_enough)) {
    return StartHandover(service, pool, preferred, now);
  }
  if (now < pool.next_round) return;
  StartRound(service, pool, now);
  std::vector<InstanceId> others;
  for (const InstanceId& id : LiveMembers()) {
    if (id != options_.self) others.push_back(id);
  }
  std::shuffle(others.begin(), others.end(), random_.engine());
  if (others.size() > kAnnouncementFanout) others.resize(kAnnouncementFanout);
  if (misplaced) others.push_back(preferred);
  for (const InstanceId& id : others) AnnounceTo(id, service, pool);
}

Time Ownership::NextWakeup() const {
  Time next = Time::max();
  for (const auto& [service, pool] : pools_) {
    next = std::min(next, pool.next_round);
    if (pool.role == Role::kOwner || pool.role == Role::kHandingOver) {
      next = std::min(next, pool.valid_until);
    }
    if (pool.role == Role::kHandingOver) {
      next = std::min(next, pool.attempt_deadline);
    }
  }
  return next;
}

// Sending and events.

proto::OwnershipMessage Ownership::NewMessage(Message::Kind kind) const {
  Message message;
  message.set_kind(kind);
  message.set_data_centre(options_.data_centre.value());
  message.set_started(options_.started.value());
  return message;
}

void Ownership::SendItem(Message::Kind kind, const InstanceId& to,
                         const ServiceId& service, Epoch epoch) {
  Message message = NewMessage(kind);
  auto* item = message.add_pools();
  item->set_service(service.value());
  item->set_epoch(epoch.value());
  outputs_.messages.push_back({to, std::move(message)});
}

void Ownership::AnnounceTo(const InstanceId& to, const ServiceId& service,
                           const Pool& pool) {
  SendItem(Message::ANNOUNCE, to, service, pool.held_epoch);
}

void Ownership::AnnounceAll(const ServiceId& service, const Pool& pool) {
  for (const InstanceId& id : LiveMembers()) {
    if (id != options_.self) AnnounceTo(id, service, pool);
  }
}

void Ownership::AttachElectorate(Message* message) const {
  for (const InstanceId& id : electorate_.members()) {
    message->add_electorate(id.value());
  }
}

OwnershipOutputs Ownership::TakeOutputs() {
  return std::exchange(outputs_, {});
}

std::optional<Epoch> Ownership::HeldEpoch(const ServiceId& service,
                                          Time now) const {
  const auto found = pools_.find(service);
  if (found == pools_.end()) return std::nullopt;
  const Pool& pool = found->second;
  if (pool.role != Role::kOwner && pool.role != Role::kHandingOver) {
    return std::nullopt;
  }
  if (now >= pool.valid_until) return std::nullopt;
  return pool.held_epoch;
}

bool Ownership::HoldsNoPools(Time now) const {
  return std::none_of(pools_.begin(), pools_.end(), [&](const auto& entry) {
    return HeldEpoch(entry.first, now);
  });
}

bool Ownership::HandoverImpossible() const {
  return std::none_of(members_.begin(), members_.end(),
                      [this](const auto& entry) {
                        return entry.first != options_.self &&
                               entry.second.live && !entry.second.leaving;
                      });
}

InstanceId Ownership::Owner(const ServiceId& service) const {
  const auto found = pools_.find(service);
  return found == pools_.end() ? InstanceId() : found->second.owner.id;
}

std::vector<OwnershipRow> Ownership::Pools(Time now) const {
  std::vector<OwnershipRow> rows;
  for (const auto& [service, pool] : pools_) {
    const bool held = HeldEpoch(service, now).has_value();
    rows.push_back({.pool = PoolIdOf(service),
                    .owner = pool.owner.id,
                    .epoch = pool.owner_epoch,
                    .fenced = pool.fenced,
                    .held_here = held,
                    .lease_left = held ? pool.valid_until - now : Duration(0),
                    .handing_over = pool.role == Role::kHandingOver});
  }
  return rows;
}

}  // namespace cassiausher
