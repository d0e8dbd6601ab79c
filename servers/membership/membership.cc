// Failure detection and gossip.
#include "servers/membership/membership.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "core/hash.h"
#include "servers/membership/membership_records.h"

namespace cassiausher {

namespace {

using proto::MemberRecord;

// Confirmations that shorten a suspicion to its minimum.
constexpr std::size_t kExpectedConfirmations = 2;
constexpr std::size_t kJoinFanout = 3;
// Members of another data centre that a representative probes in turn.
constexpr std::size_t kCrossProbeCandidates = 3;
// Share of acknowledgement_timeout: a relayed probe must end before the
// requester's own timeout.
constexpr double kRelayedTimeoutShare = 0.6;
// Probability of a join attempt per reconnect interval, once another live
// member of this data centre is known.
constexpr double kJoinedReconnectProbability = 0.25;
// Added to the health score after a pause.
constexpr int kPauseHealthPenalty = 2;

}  // namespace

Membership::Membership(MembershipOptions options, Time now)
    : options_(std::move(options)),
      random_(options_.random_seed ^ HashText(options_.self.value(), 7)),
      deployment_hash_(ShortHash(options_.deployment)),
      self_hash_(ShortHash(options_.self.value())),
      next_probe_round_(
          now + Duration(random_.Below(options_.probe_interval.count()))),
      next_cross_probe_(
          now + Duration(random_.Below(options_.cross_probe_interval.count()))),
      next_reconnect_(now),
      next_reclaim_(now + Seconds(1)),
      next_sync_(now),
      budget_bytes_(static_cast<double>(options_.burst_bytes)),
      budget_updated_(now) {
  table_.Put({.id = options_.self,
              .data_centre = options_.data_centre,
              .address = options_.address,
              .incarnation = options_.incarnation,
              .started = options_.incarnation,
              .since = now,
              .payload_version = 1,
              .payload = options_.payload});
  std::vector<MembershipSeed> seeds = options_.seeds;
  std::shuffle(seeds.begin(), seeds.end(), random_.engine());
  if (seeds.size() > kJoinFanout) seeds.resize(kJoinFanout);
  for (const MembershipSeed& seed : seeds) SendJoin(seed, now);
}

void Membership::Merge(const MemberRecord& record,
                       const DataCentreId& sender_data_centre, Time now) {
  if (record.name() == options_.self.value()) return MergeSelf(record, now);
  Member incoming{.id = InstanceId(record.name()),
                  .data_centre = record.data_centre().empty()
                                     ? sender_data_centre
                                     : DataCentreId(record.data_centre()),
                  .address = record.address(),
                  .incarnation = Incarnation(record.incarnation()),
                  .started = Incarnation(record.started()),
                  .state = StateOf(record),
                  .since = now,
                  .payload_version = record.payload_version(),
                  .payload = PayloadOf(record)};
  const Member* known = table_.Find(incoming.id);
  if (known == nullptr) {
    if (!incoming.live()) return;
    if (incoming.address.empty()) return;
    incoming.state = MemberState::kAlive;
    return AddMember(incoming, now);
  }
  if (incoming.incarnation < known->incarnation) return;
  if (incoming.incarnation > known->incarnation) {
    return ReplaceMember(*known, std::move(incoming), now);
  }
  if (known->live() && incoming.payload_version > known->payload_version) {
    Member updated = *known;
    updated.payload_version = incoming.payload_version;
    updated.payload = incoming.payload;
    table_.Put(std::move(updated));
    Announce(incoming.id, false, now);
    Report(MembershipEventKind::kPayloadChanged, incoming.id,
           incoming.data_centre, now);
    known = table_.Find(incoming.id);
  }
  if (incoming.state == MemberState::kSuspect) {
    return MergeSuspicion(*known, record, now);
  }
  if (incoming.state > known->state)
    DeclareGone(incoming.id, incoming.state, now);
}

void Membership::MergeSelf(const MemberRecord& record, Time now) {
  const Member& self = Self();
  if (record.incarnation() < self.incarnation.value()) return;
  const bool same_run = record.started() == self.started.value();
  const bool up_to_date = record.incarnation() == self.incarnation.value() &&
                          same_run && StateOf(record) == MemberState::kAlive;
  if (up_to_date) return;
  Refute(record.incarnation(), now);
}

void Membership::MergeSuspicion(const Member& known, const MemberRecord& record,
                                Time now) {
  if (!known.live() || known.data_centre != options_.data_centre) return;
  const InstanceId id = known.id;
  for (const std::string& accuser : record.accusers()) {
    Suspect(id, InstanceId(accuser), now);
  }
}

void Membership::AddMember(const Member& incoming, Time now) {
  if (table_.members().size() >= options_.members_maximum) {
    ++counters_.over_capacity;
    return;
  }
  table_.Put(incoming);
  if (incoming.data_centre != options_.data_centre) {
    links_.try_emplace(incoming.data_centre, Link{.last_answer = now});
  }
  Announce(incoming.id, false, now);
  Report(MembershipEventKind::kJoined, incoming.id, incoming.data_centre, now);
}

void Membership::ReplaceMember(const Member& known, Member incoming, Time now) {
  const Member before = known;
  if (incoming.state == MemberState::kSuspect) {
    incoming.state = MemberState::kAlive;
  }
  if (incoming.address.empty()) {
    incoming.address = before.address;
    incoming.payload = before.payload;
    incoming.payload_version = before.payload_version;
  }
  const bool restarted = incoming.started != before.started;
  const bool payload_changed = incoming.payload != before.payload;
  const MemberState state = incoming.state;
  if (state == before.state) incoming.since = before.since;
  if (restarted) peers_[incoming.id].introduced = false;
  const InstanceId id = incoming.id;
  const DataCentreId data_centre = incoming.data_centre;
  suspicions_.erase(id);
  table_.Put(std::move(incoming));
  if (data_centre != options_.data_centre) {
    links_.try_emplace(data_centre, Link{.last_answer = now});
  }
  Announce(id, state != before.state, now);
  if (restarted) {
    Report(MembershipEventKind::kRestarted, id, data_centre, now);
  }
  if (payload_changed) {
    Report(MembershipEventKind::kPayloadChanged, id, data_centre, now);
  }
  if (state == before.state) return;
  if (state == MemberState::kAlive) {
    Report(MembershipEventKind::kAlive, id, data_centre, now);
  } else {
    Report(state == MemberState::kDead ? MembershipEventKind::kDead
                                       : MembershipEventKind::kLeft,
           id, data_centre, now);
  }
}

void Membership::Suspect(const InstanceId& id, const InstanceId& accuser,
                         Time now) {
  const Member* known = table_.Find(id);
  if (known == nullptr || !known->live()) return;
  if (known->accusers.size() >= kAccusersMaximum) return;
  if (known->accusers.count(accuser) > 0) return;
  Member suspect = *known;
  const bool first = suspect.state == MemberState::kAlive;
  if (first) {
    suspect.state = MemberState::kSuspect;
    suspect.since = now;
    suspect.accusers.clear();
    suspicions_[id] = now;
  }
  suspect.accusers.insert(accuser);
  const DataCentreId data_centre = suspect.data_centre;
  table_.Put(std::move(suspect));
  Announce(id, first || accuser == options_.self, now);
  if (first) Report(MembershipEventKind::kSuspect, id, data_centre, now);
}

void Membership::DeclareGone(const InstanceId& id, MemberState state,
                             Time now) {
  Member member = *table_.Find(id);
  member.state = state;
  member.since = now;
  member.accusers.clear();
  const DataCentreId data_centre = member.data_centre;
  suspicions_.erase(id);
  table_.Put(std::move(member));
  Announce(id, true, now);
  Report(state == MemberState::kDead ? MembershipEventKind::kDead
                                     : MembershipEventKind::kLeft,
         id, data_centre, now);
}

void Membership::Refute(std::uint64_t above, Time now) {
  Member self = Self();
  self.incarnation = Incarnation(above + 1);
  table_.Put(std::move(self));
  ++counters_.refutations;
  Announce(options_.self, true, now);
}

void Membership::Announce(const InstanceId& id, bool urgent, Time now) {
  const int all = static_cast<int>(std::ceil(
      options_.retransmit_factor * std::log2(LocalLiveMembers().size() + 1.0)));
  pending_gossip_[id] =
      urgent ? all : std::min(all, options_.non_urgent_retransmits_maximum);
  if (!urgent) return;
  for (const InstanceId& to :
       RandomLocalLiveMembers(options_.urgent_fanout, {id})) {
    Message push = NewMessage(Message::PUSH);
    AttachGossip(&push, to, now);
    if (push.records_size() == 0) continue;
    SendWithinBudget(to, table_.Find(to)->address, std::move(push),
                     options_.probe_reserve_bytes, now);
  }
}

Time Membership::SuspicionDeadline(const Member& member) const {
  const Time start = suspicions_.at(member.id);
  const std::size_t live = LocalLiveMembers().size();
  const std::size_t expected =
      std::min(kExpectedConfirmations, live > 2 ? live - 2 : 0);
  const double confirmations =
      static_cast<double>(std::min(expected, member.accusers.size() - 1));
  const double share =
      expected == 0 ? 0 : std::log1p(confirmations) / std::log1p(expected);
  const double span = static_cast<double>(
      (options_.suspicion_maximum - options_.suspicion_minimum).count());
  const Duration timeout =
      options_.suspicion_maximum - Duration(std::int64_t(span * share));
  return start + ScaledByHealth(timeout);
}

// Timers and probes.

void Membership::DetectPause(Time now) {
  const Time due = NextWakeup();
  if (now <= due + options_.pause_threshold) return;
  // Messages that arrived during the pause are still queued, so missing answers
  // during it don't count as failures.
  const Duration gap = now - due;
  ++counters_.pauses;
  probes_.clear();
  for (auto& [id, start] : suspicions_) start += gap;
  for (auto& [id, link] : links_) link.last_answer += gap;
  health_score_ = std::min(options_.health_score_maximum,
                           health_score_ + kPauseHealthPenalty);
  next_probe_round_ = std::max(next_probe_round_, now);
  next_cross_probe_ = std::max(next_cross_probe_, now);
  next_reconnect_ = std::max(next_reconnect_, now);
  next_reclaim_ = std::max(next_reclaim_, now);
}

void Membership::Tick(Time now) {
  if (has_left_) return;
  DetectPause(now);
  AdvanceProbes(now);
  ExpireSuspicions(now);
  if (now >= next_probe_round_) ProbeRound(now);
  if (now >= next_cross_probe_) ProbeDataCentres(now);
  if (now >= next_reconnect_) Reconnect(now);
  if (now >= next_reclaim_) Reclaim(now);
}

Time Membership::NextWakeup() const {
  if (has_left_) return Time::max();
  Time next = std::min(
      {next_probe_round_, next_cross_probe_, next_reconnect_, next_reclaim_});
  for (const auto& [id, probe] : probes_) next = std::min(next, probe.deadline);
  for (const auto& [id, start] : suspicions_) {
    next = std::min(next, SuspicionDeadline(*table_.Find(id)));
  }
  return next;
}

void Membership::ProbeRound(Time now) {
  next_probe_round_ = now + options_.probe_interval;
  std::set<InstanceId> targets;
  if (const auto next = NextInProbeOrder()) targets.insert(*next);
  const std::vector<InstanceId>& here = LocalLiveMembers();
  const auto self = std::find(here.begin(), here.end(), options_.self);
  const std::size_t position = self - here.begin();
  for (std::size_t i = 1; i <= options_.ring_probes && i < here.size(); ++i) {
    targets.insert(here[(position + i) % here.size()]);
  }
  for (const auto& [id, probe] : probes_) {
    if (probe.kind == ProbeKind::kDirect) targets.erase(probe.target);
  }
  for (const InstanceId& target : targets) {
    StartProbe(target, ProbeKind::kDirect, now);
  }
}

std::optional<InstanceId> Membership::NextInProbeOrder() {
  for (int pass = 0; pass < 2; ++pass) {
    while (probe_order_position_ < probe_order_.size()) {
      const InstanceId& id = probe_order_[probe_order_position_++];
      const Member* member = table_.Find(id);
      if (member == nullptr || !member->live()) continue;
      if (id != options_.self) return id;
    }
    probe_order_ = LocalLiveMembers();
    probe_order_position_ = 0;
    std::shuffle(probe_order_.begin(), probe_order_.end(), random_.engine());
  }
  return std::nullopt;
}

void Membership::StartProbe(const InstanceId& target, ProbeKind kind,
                            Time now) {
  const std::uint32_t id = next_probe_id_++;
  Duration timeout = ScaledByHealth(options_.acknowledgement_timeout);
  if (kind == ProbeKind::kCrossDataCentre) {
    timeout = options_.cross_acknowledgement_timeout;
  }
  if (kind == ProbeKind::kRelayed) {
    timeout = Duration(static_cast<std::int64_t>(
        kRelayedTimeoutShare *
        static_cast<double>(options_.acknowledgement_timeout.count())));
  }
  probes_[id] = {.kind = kind, .target = target, .deadline = now + timeout};
  Message ping = NewMessage(Message::PING);
  ping.set_probe(id);
  ping.set_roster_hash(table_.hash());
  if (!peers_[target].introduced) *ping.mutable_self() = Record(Self(), true);
  AttachLinks(&ping, target);
  AttachGossip(&ping, target, now);
  SendTo(target, std::move(ping), now);
}

void Membership::AdvanceProbes(Time now) {
  std::vector<std::pair<std::uint32_t, Probe>> due;
  for (const auto& [id, probe] : probes_) {
    if (now >= probe.deadline) due.emplace_back(id, probe);
  }
  for (auto& [id, probe] : due) AdvanceProbe(id, std::move(probe), now);
}

void Membership::AdvanceProbe(std::uint32_t id, Probe probe, Time now) {
  const Member* target = table_.Find(probe.target);
  if (target == nullptr || probe.kind != ProbeKind::kDirect) {
    probes_.erase(id);
    if (target != nullptr && probe.kind == ProbeKind::kCrossDataCentre) {
      ++links_[target->data_centre].unanswered_probes;
    }
    if (probe.kind != ProbeKind::kRelayed) return;
    Message nack = NewMessage(Message::NACK);
    nack.set_probe(probe.requester_probe);
    SendTo(probe.requester, std::move(nack), now);
    return;
  }
  if (probe.indirect) {
    probes_.erase(id);
    if (probe.helpers > 0 && !probe.nacked) {
      // Neither the target nor any helper answered: the fault may be local.
      health_score_ =
          std::min(options_.health_score_maximum, health_score_ + 1);
    }
    return Suspect(probe.target, options_.self, now);
  }
  probe.indirect = true;
  probe.deadline = now + ScaledByHealth(options_.acknowledgement_timeout);
  const auto helpers =
      RandomLocalLiveMembers(options_.indirect_probes, {probe.target});
  probe.helpers = helpers.size();
  probes_[id] = probe;
  for (const InstanceId& helper : helpers) {
    Message request = NewMessage(Message::PING_REQUEST);
    request.set_probe(id);
    request.set_subject(probe.target.value());
    SendTo(helper, std::move(request), now);
  }
  Message ping = NewMessage(Message::PING);
  ping.set_probe(id);
  ping.set_roster_hash(table_.hash());
  SendTo(probe.target, std::move(ping), now);
}

void Membership::ExpireSuspicions(Time now) {
  std::vector<InstanceId> expired;
  for (const auto& [id, start] : suspicions_) {
    if (now >= SuspicionDeadline(*table_.Find(id))) expired.push_back(id);
  }
  for (const InstanceId& id : expired) DeclareGone(id, MemberState::kDead, now);
}

void Membership::ProbeDataCentres(Time now) {
  next_cross_probe_ = now + options_.cross_probe_interval;
  const bool representative = IsRepresentative();
  if (representative && !was_representative_) {
    for (auto& [data_centre, link] : links_) link.last_answer = now;
  }
  was_representative_ = representative;
  if (!representative) return;
  CheckLinks(now);
  for (auto& [data_centre, link] : links_) {
    const std::vector<InstanceId> there = table_.LiveByScore(data_centre);
    if (there.empty()) continue;
    const std::size_t candidates =
        std::min(kCrossProbeCandidates, there.size());
    StartProbe(there[link.unanswered_probes % candidates],
               ProbeKind::kCrossDataCentre, now);
  }
}

void Membership::CheckLinks(Time now) {
  for (auto& [data_centre, link] : links_) {
    if (table_.LiveCount(data_centre) == 0) continue;
    if (link.version % 2 == 1) continue;
    if (now - link.last_answer <= options_.unreachable_after) continue;
    ++link.version;
    Report(MembershipEventKind::kDataCentreUnreachable, InstanceId(),
           data_centre, now);
  }
}

void Membership::Reconnect(Time now) {
  next_reconnect_ = now + options_.reconnect_interval;
  std::vector<MembershipSeed> candidates;
  std::set<std::string> live_addresses;
  for (const auto& [id, member] : table_.members()) {
    if (member.live()) live_addresses.insert(member.address);
    if (member.state != MemberState::kDead) continue;
    const bool here = member.data_centre == options_.data_centre;
    const bool lost = table_.LiveCount(member.data_centre) == 0;
    if (here || (lost && IsRepresentative())) {
      candidates.push_back({id, member.address});
    }
  }
  for (const MembershipSeed& seed : options_.seeds) {
    if (live_addresses.count(seed.address) > 0) continue;
    const Member* known = table_.Find(seed.id);
    if (known != nullptr && known->live()) continue;
    candidates.push_back(seed);
  }
  if (candidates.empty()) return;
  // Instances that have joined their data centre try less often, to limit the
  // load on seeds.
  const bool joined = LocalLiveMembers().size() > 1;
  if (joined && random_.Chance(1 - kJoinedReconnectProbability)) return;
  SendJoin(candidates[random_.Below(candidates.size())], now);
}

void Membership::Reclaim(Time now) {
  next_reclaim_ = now + Seconds(1);
  std::vector<InstanceId> expired;
  for (const auto& [id, member] : table_.members()) {
    if (member.live()) continue;
    if (now - member.since >= options_.reclaim_after) expired.push_back(id);
  }
  for (const InstanceId& id : expired) {
    table_.Remove(id);
    peers_.erase(id);
    pending_gossip_.erase(id);
  }
}

bool Membership::SetPayload(MemberPayload payload, Time now) {
  if (PayloadBytes(payload) > options_.payload_bytes_maximum) return false;
  for (const auto& [key, value] : payload) {
    if (!IsPrintable(key + value)) return false;
  }
  Member self = Self();
  if (payload == self.payload) return true;
  self.payload = std::move(payload);
  ++self.payload_version;
  table_.Put(std::move(self));
  Announce(options_.self, true, now);
  return true;
}

void Membership::Leave(Time now) {
  if (has_left_) return;
  Member self = Self();
  self.state = MemberState::kLeft;
  self.since = now;
  table_.Put(std::move(self));
  Announce(options_.self, true, now);
  has_left_ = true;
}

// Events and views.

void Membership::Report(MembershipEventKind kind, const InstanceId& id,
                        const DataCentreId& data_centre, Time now) {
  outputs_.events.push_back({kind, id, data_centre, now});
}

MembershipOutputs Membership::TakeOutputs() {
  return std::exchange(outputs_, {});
}

std::vector<MemberRow> Membership::Members() const {
  std::vector<MemberRow> rows;
  for (const auto& [id, member] : table_.members()) {
    rows.push_back({.id = id,
                    .data_centre = member.data_centre,
                    .address = member.address,
                    .incarnation = member.incarnation,
                    .started = member.started,
                    .state = member.state,
                    .since = member.since,
                    .payload = member.payload,
                    .data_centre_reachable = Reachable(member.data_centre)});
  }
  return rows;
}

bool Membership::IsRepresentative() const {
  const std::vector<InstanceId>& here = LocalLiveMembers();
  return !here.empty() && here.front() == options_.self;
}

bool Membership::Reachable(const DataCentreId& data_centre) const {
  const auto found = links_.find(data_centre);
  return found == links_.end() || found->second.version % 2 == 0;
}

const std::vector<InstanceId>& Membership::LocalLiveMembers() const {
  if (local_live_version_ != table_.live_version()) {
    local_live_members_ = table_.LiveByScore(options_.data_centre);
    local_live_version_ = table_.live_version();
  }
  return local_live_members_;
}

std::vector<InstanceId> Membership::RandomLocalLiveMembers(
    std::size_t count, const std::vector<InstanceId>& excluded) {
  std::vector<InstanceId> candidates;
  for (const InstanceId& id : LocalLiveMembers()) {
    if (id == options_.self) continue;
    if (std::find(excluded.begin(), excluded.end(), id) != excluded.end()) {
      continue;
    }
    candidates.push_back(id);
  }
  std::shuffle(candidates.begin(), candidates.end(), random_.engine());
  if (candidates.size() > count) candidates.resize(count);
  return candidates;
}

}  // namespace cassiausher
