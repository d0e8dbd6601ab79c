// Failure detection and gossip.
#include "servers/membership/membership.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "core/hash.h"

namespace cassiausher {

namespace {

using proto::MemberRecord;
using proto::MembershipMessage;

// A higher incarnation can only be an error, and accepting it would leave no
// higher one for a refutation.
constexpr std::uint64_t kIncarnationMaximum = std::uint64_t{1} << 62;
// A link's version goes up by one at each change of reachability: even is
// reachable, odd is unreachable.
constexpr std::uint32_t kLinkVersionMaximum = 1u << 30;
constexpr std::size_t kAccusersMaximum = 3;
// Confirmations that shorten a suspicion to its minimum.
constexpr std::size_t kExpectedConfirmations = 2;
constexpr std::size_t kJoinFanout = 3;
// Members of the joiner's data centre that the answer to a join contains.
constexpr std::size_t kJoinSampleMembers = 3;
// Members of another data centre that a representative probes in turn.
constexpr std::size_t kCrossProbeCandidates = 3;
// Sequence numbers; one bit each of Peer::window.
constexpr std::uint32_t kReplayWindow = 64;
// Tag and length of a record in a repeated protobuf field.
constexpr std::size_t kRecordOverheadBytes = 3;
constexpr std::size_t kRecordBytesMinimum = 20;
// Share of acknowledgement_timeout: a relayed probe must end before the
// requester's own timeout.
constexpr double kRelayedTimeoutShare = 0.6;
// Probability of a join attempt per reconnect interval, once another live
// member of this data centre is known.
constexpr double kJoinedReconnectProbability = 0.25;
// The records in a sync reply leave at least probe_reserve_bytes /
// kSyncReserveDivisor of the byte budget unused.
constexpr int kSyncReserveDivisor = 2;
// Added to the health score after a pause.
constexpr int kPauseHealthPenalty = 2;

std::uint32_t ShortHash(const std::string& text) {
  const auto hash = static_cast<std::uint32_t>(HashText(text, 0));
  return hash == 0 ? 1 : hash;
}

// Names and payloads appear in logs and JSON, so only printable ASCII is
// accepted.
bool IsPrintable(const std::string& text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c >= ' ' && c <= '~'; });
}

MemberState StateOf(const MemberRecord& record) {
  return static_cast<MemberState>(record.state());
}

MemberPayload PayloadOf(const MemberRecord& record) {
  MemberPayload payload;
  for (const auto& item : record.payload()) payload[item.key()] = item.value();
  return payload;
}

std::size_t PayloadBytes(const MemberPayload& payload) {
  std::size_t bytes = 0;
  for (const auto& [key, value] : payload) bytes += key.size() + value.size();
  return bytes;
}

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

// Received messages.

bool Membership::IsWellFormed(const MemberRecord& record) const {
  const std::size_t limit = options_.name_bytes_maximum;
  if (record.name().empty() || record.name().size() > limit) return false;
  if (record.data_centre().size() > limit) return false;
  if (record.address().size() > limit) return false;
  if (!IsPrintable(record.name() + record.data_centre() + record.address())) {
    return false;
  }
  if (record.incarnation() == 0) return false;
  if (record.incarnation() > kIncarnationMaximum) return false;
  if (record.started() > record.incarnation()) return false;
  if (record.state() < 0 || record.state() > proto::MEMBER_LEFT) return false;
  if (record.accusers_size() > static_cast<int>(kAccusersMaximum)) return false;
  for (const std::string& accuser : record.accusers()) {
    if (accuser.size() > limit || !IsPrintable(accuser)) return false;
  }
  for (const auto& item : record.payload()) {
    if (!IsPrintable(item.key() + item.value())) return false;
  }
  return PayloadBytes(PayloadOf(record)) <= options_.payload_bytes_maximum;
}

bool Membership::IsWellFormed(const Message& message) const {
  if (message.kind() <= Message::UNKNOWN) return false;
  if (message.kind() > Message::PUSH) return false;
  if (message.sender().empty() || !IsPrintable(message.sender())) return false;
  if (message.sender().size() > options_.name_bytes_maximum) return false;
  if (message.incarnation() == 0) return false;
  if (message.incarnation() > kIncarnationMaximum) return false;
  if (message.kind() == Message::JOIN && !message.has_self()) return false;
  if (message.kind() == Message::PING_REQUEST && message.subject().empty()) {
    return false;
  }
  if (message.kind() == Message::SYNC_REQUEST &&
      message.buckets_size() != static_cast<int>(kRosterBuckets)) {
    return false;
  }
  if (message.has_self()) {
    if (!IsWellFormed(message.self())) return false;
    if (message.self().name() != message.sender()) return false;
    if (message.self().data_centre().empty()) return false;
    if (message.self().address().empty()) return false;
    if (StateOf(message.self()) != MemberState::kAlive) return false;
  }
  return std::all_of(
      message.records().begin(), message.records().end(),
      [this](const auto& record) { return IsWellFormed(record); });
}

bool Membership::AcceptMessage(const Message& message) {
  if (message.deployment() != deployment_hash_ ||
      (message.target() != 0 && message.target() != self_hash_) ||
      message.sender() == options_.self.value()) {
    ++counters_.foreign;
    return false;
  }
  if (message.ByteSizeLong() > options_.message_bytes ||
      !IsWellFormed(message)) {
    ++counters_.malformed;
    return false;
  }
  const Member* sender = table_.Find(InstanceId(message.sender()));
  if (sender == nullptr && !message.has_self()) {
    ++counters_.unknown_sender;
    return false;
  }
  if (sender == nullptr &&
      table_.members().size() >= options_.members_maximum) {
    ++counters_.over_capacity;
    return false;
  }
  // A stale join is answered too: the answer makes a process that restarted
  // with its clock set back raise its incarnation.
  if (message.kind() == Message::JOIN) return true;
  if (sender != nullptr &&
      message.incarnation() < sender->incarnation.value()) {
    ++counters_.stale;
    return false;
  }
  return AcceptSequence(message);
}

bool Membership::AcceptSequence(const Message& message) {
  Peer& peer = peers_[InstanceId(message.sender())];
  if (message.incarnation() < peer.incarnation) {
    ++counters_.stale;
    return false;
  }
  if (message.incarnation() > peer.incarnation) {
    peer.incarnation = message.incarnation();
    peer.highest_sequence = message.sequence();
    peer.window = 1;
    return true;
  }
  if (message.sequence() > peer.highest_sequence) {
    const std::uint32_t step = message.sequence() - peer.highest_sequence;
    peer.window = step >= kReplayWindow ? 0 : peer.window << step;
    peer.window |= 1;
    peer.highest_sequence = message.sequence();
    return true;
  }
  const std::uint32_t behind = peer.highest_sequence - message.sequence();
  const std::uint64_t bit = std::uint64_t{1} << (behind % kReplayWindow);
  if (behind >= kReplayWindow || (peer.window & bit) != 0) {
    ++counters_.replayed;
    return false;
  }
  peer.window |= bit;
  return true;
}

void Membership::OnMessage(const Message& message, Time now) {
  if (has_left_) return;
  DetectPause(now);
  counters_.bytes_received += message.ByteSizeLong();
  if (!AcceptMessage(message)) return;
  const InstanceId sender(message.sender());
  if (message.has_self()) Merge(message.self(), DataCentreId(), now);
  const Member* known = table_.Find(sender);
  if (known == nullptr) return;
  const DataCentreId sender_data_centre = known->data_centre;
  if (message.kind() != Message::SYNC_REPLY) {
    for (const auto& record : message.records())
      Merge(record, sender_data_centre, now);
  }
  if (sender_data_centre == options_.data_centre) MergeLinks(message, now);
  switch (message.kind()) {
    case Message::PING:
      return OnPing(message, now);
    case Message::ACK:
      return OnAck(message, now);
    case Message::NACK:
      return OnNack(message);
    case Message::PING_REQUEST:
      return OnPingRequest(message, now);
    case Message::JOIN:
      return OnJoin(message, now);
    case Message::SYNC_REQUEST:
      return OnSyncRequest(message, now);
    case Message::SYNC_REPLY:
      return OnSyncReply(message, now);
    default:
      return;
  }
}

void Membership::OnPing(const Message& message, Time now) {
  const InstanceId sender(message.sender());
  Message ack = NewMessage(Message::ACK);
  ack.set_probe(message.probe());
  const bool budget_left = AvailableBudget(now) > options_.probe_reserve_bytes;
  if (message.roster_hash() != table_.hash() && budget_left) {
    AttachDigests(&ack);
  }
  AttachLinks(&ack, sender);
  AttachGossip(&ack, sender, now);
  SendTo(sender, std::move(ack), now);
}

void Membership::OnAck(const Message& message, Time now) {
  const InstanceId sender(message.sender());
  const auto found = probes_.find(message.probe());
  const bool cross_data_centre =
      found != probes_.end() &&
      found->second.kind == ProbeKind::kCrossDataCentre;
  // A representative fetches records for its whole data centre, so its
  // comparisons with other data centres don't wait for sync_interval.
  if (cross_data_centre || now >= next_sync_) CompareRosters(message, now);
  if (message.probe() == 0) return;
  if (found == probes_.end()) {
    ++counters_.late_acknowledgements;
    return;
  }
  const Probe probe = found->second;
  const bool relayed =
      probe.indirect && message.subject() == probe.target.value();
  if (probe.target != sender && !relayed) {
    ++counters_.foreign;
    return;
  }
  probes_.erase(found);
  if (!relayed) peers_[sender].introduced = true;
  if (probe.kind == ProbeKind::kDirect && health_score_ > 0) --health_score_;
  if (probe.kind == ProbeKind::kRelayed) {
    Message answer = NewMessage(Message::ACK);
    answer.set_probe(probe.requester_probe);
    answer.set_subject(probe.target.value());
    SendTo(probe.requester, std::move(answer), now);
  }
  if (probe.kind == ProbeKind::kCrossDataCentre) {
    const Member* target = table_.Find(sender);
    Link& link = links_[target->data_centre];
    link.last_answer = now;
    link.unanswered_probes = 0;
    if (link.version % 2 == 1) {
      ++link.version;
      Report(MembershipEventKind::kDataCentreReachable, InstanceId(),
             target->data_centre, now);
    }
  }
}

void Membership::OnNack(const Message& message) {
  const auto found = probes_.find(message.probe());
  if (found == probes_.end()) return;
  if (!found->second.indirect) return;
  found->second.nacked = true;
}

void Membership::OnPingRequest(const Message& message, Time now) {
  const InstanceId subject(message.subject());
  const InstanceId requester(message.sender());
  const Member* known = table_.Find(subject);
  if (known == nullptr || subject == options_.self) {
    Message nack = NewMessage(Message::NACK);
    nack.set_probe(message.probe());
    SendTo(requester, std::move(nack), now);
    return;
  }
  StartProbe(subject, ProbeKind::kRelayed, now);
  Probe& probe = probes_.rbegin()->second;
  probe.requester = requester;
  probe.requester_probe = message.probe();
}

void Membership::OnJoin(const Message& message, Time now) {
  const InstanceId sender(message.sender());
  Message answer = NewMessage(Message::ACK);
  *answer.mutable_self() = Record(Self(), true);
  if (message.roster_hash() != table_.hash()) AttachDigests(&answer);
  const Member* known = table_.Find(sender);
  // The joiner refutes this record if it is listed here as not alive or with a
  // higher incarnation.
  if (known->state != MemberState::kAlive ||
      known->incarnation.value() > message.incarnation()) {
    *answer.add_records() = Record(*known, false);
  }
  AttachMemberSample(&answer, *known);
  SendWithinBudget(sender, known->address, std::move(answer), 0, now);
}

// Gives a joiner other members to probe. One that knows only its seed would
// send all its probes there, and many joiners at once would exhaust the seed's
// byte budget.
void Membership::AttachMemberSample(Message* message, const Member& joiner) {
  std::vector<InstanceId> live = table_.LiveByScore(joiner.data_centre);
  std::shuffle(live.begin(), live.end(), random_.engine());
  std::size_t added = 0;
  for (const InstanceId& id : live) {
    if (id == joiner.id || id == options_.self) continue;
    *message->add_records() = Record(*table_.Find(id), true);
    if (++added == kJoinSampleMembers) return;
  }
}

void Membership::CompareRosters(const Message& message, Time now) {
  if (message.digests().empty()) return;
  std::vector<DataCentreId> differing;
  for (const auto& digest : message.digests()) {
    const DataCentreId data_centre(digest.data_centre());
    if (table_.DataCentreHash(data_centre) == digest.hash()) continue;
    differing.push_back(data_centre);
  }
  if (differing.empty()) return;
  // Prefers the sender's data centre: the sender knows that one best, and if it
  // is also this instance's, failure detection needs it.
  DataCentreId chosen = differing[random_.Below(differing.size())];
  for (const DataCentreId& data_centre : differing) {
    const Member* sender = table_.Find(InstanceId(message.sender()));
    if (data_centre == sender->data_centre) chosen = data_centre;
  }
  next_sync_ = now + options_.sync_interval;
  Message request = NewMessage(Message::SYNC_REQUEST);
  request.set_sync_data_centre(chosen.value());
  for (const auto hash : table_.Buckets(chosen)) request.add_buckets(hash);
  SendTo(InstanceId(message.sender()), std::move(request), now);
}

void Membership::OnSyncRequest(const Message& message, Time now) {
  const DataCentreId data_centre(message.sync_data_centre());
  const RosterBuckets own = table_.Buckets(data_centre);
  Message reply = NewMessage(Message::SYNC_REPLY);
  reply.set_sync_data_centre(data_centre.value());
  std::size_t bytes = reply.ByteSizeLong() + 64;
  // Roster comparisons may use more of the byte budget than gossip, so that a
  // representative that gossips up to its limit can still answer other data
  // centres.
  const double spare =
      AvailableBudget(now) -
      static_cast<double>(options_.probe_reserve_bytes) / kSyncReserveDivisor;
  const double limit =
      std::min(spare, static_cast<double>(options_.message_bytes));
  std::vector<std::vector<const Member*>> buckets(kRosterBuckets);
  for (const auto& [id, member] : table_.members()) {
    if (member.data_centre != data_centre) continue;
    buckets[MemberTable::BucketOf(id)].push_back(&member);
  }
  std::uint32_t complete = 0;
  const std::size_t first = random_.Below(kRosterBuckets);
  for (std::size_t i = 0; i < kRosterBuckets && !reply.more(); ++i) {
    const std::size_t bucket = (first + i) % kRosterBuckets;
    if (own[bucket] == message.buckets(static_cast<int>(bucket))) continue;
    // A bucket too large for one message is sent over several, in random order.
    std::shuffle(buckets[bucket].begin(), buckets[bucket].end(),
                 random_.engine());
    for (const Member* member : buckets[bucket]) {
      MemberRecord record = Record(*member, member->live());
      bytes += record.ByteSizeLong() + kRecordOverheadBytes;
      if (static_cast<double>(bytes) > limit) {
        reply.set_more(true);
        break;
      }
      *reply.add_records() = std::move(record);
    }
    if (!reply.more()) complete |= 1u << bucket;
  }
  reply.set_complete_buckets(complete);
  SendTo(InstanceId(message.sender()), std::move(reply), now);
}

void Membership::OnSyncReply(const Message& message, Time now) {
  const InstanceId sender(message.sender());
  const DataCentreId sender_data_centre = table_.Find(sender)->data_centre;
  const DataCentreId data_centre(message.sync_data_centre());
  std::map<std::string, const MemberRecord*> received;
  for (const auto& record : message.records()) {
    received[record.name()] = &record;
    Merge(record, sender_data_centre, now);
  }
  // Pushes the records that the sender lacks or has in an older version.
  Message push = NewMessage(Message::PUSH);
  std::size_t bytes = push.ByteSizeLong() + 16;
  for (const auto& [id, member] : table_.members()) {
    if (member.data_centre != data_centre) continue;
    const auto bucket = MemberTable::BucketOf(id);
    if ((message.complete_buckets() >> bucket & 1u) == 0) continue;
    const auto found = received.find(id.value());
    if (found == received.end() && !member.live()) continue;
    if (found != received.end()) {
      const MemberRecord& record = *found->second;
      const bool newer =
          member.incarnation.value() > record.incarnation() ||
          (member.incarnation.value() == record.incarnation() &&
           (member.state > std::max(StateOf(record), MemberState::kSuspect) ||
            member.payload_version > record.payload_version()));
      if (!newer) continue;
    }
    MemberRecord record = Record(member, member.live());
    bytes += record.ByteSizeLong() + kRecordOverheadBytes;
    if (bytes > options_.message_bytes) break;
    *push.add_records() = std::move(record);
  }
  if (push.records_size() > 0) {
    SendWithinBudget(sender, table_.Find(sender)->address, std::move(push),
                     options_.probe_reserve_bytes, now);
  }
  const bool budget_left = AvailableBudget(now) > options_.probe_reserve_bytes;
  // While comparisons return records, the next one doesn't wait for
  // sync_interval.
  if (!message.records().empty() && budget_left) next_sync_ = now;
  if (!message.more() || message.records().empty() || !budget_left) return;
  Message request = NewMessage(Message::SYNC_REQUEST);
  request.set_sync_data_centre(data_centre.value());
  for (const auto hash : table_.Buckets(data_centre)) request.add_buckets(hash);
  SendTo(sender, std::move(request), now);
}

void Membership::MergeLinks(const Message& message, Time now) {
  for (const auto& state : message.links()) {
    const DataCentreId data_centre(state.data_centre());
    if (data_centre == options_.data_centre) continue;
    if (state.version() > kLinkVersionMaximum) {
      ++counters_.malformed;
      continue;
    }
    if (links_.count(data_centre) == 0 && table_.LiveCount(data_centre) == 0) {
      continue;
    }
    Link& link = links_[data_centre];
    if (state.version() <= link.version) continue;
    const bool changed = (state.version() - link.version) % 2 == 1;
    link.version = state.version();
    link.last_answer = now;
    if (!changed) continue;
    Report(link.version % 2 == 1 ? MembershipEventKind::kDataCentreUnreachable
                                 : MembershipEventKind::kDataCentreReachable,
           InstanceId(), data_centre, now);
  }
}

// Member table.

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

// Sending and events.

MembershipMessage Membership::NewMessage(Message::Kind kind) const {
  Message message;
  message.set_kind(kind);
  message.set_deployment(deployment_hash_);
  message.set_sender(options_.self.value());
  message.set_incarnation(Self().incarnation.value());
  return message;
}

MemberRecord Membership::Record(const Member& member, bool full) const {
  MemberRecord record;
  record.set_name(member.id.value());
  // The receiver takes an empty data centre for the sender's. The sender's own
  // record always names it, since the receiver may not know the sender yet.
  if (member.data_centre != options_.data_centre ||
      member.id == options_.self) {
    record.set_data_centre(member.data_centre.value());
  }
  record.set_incarnation(member.incarnation.value());
  record.set_started(member.started.value());
  record.set_state(static_cast<proto::MemberStateCode>(member.state));
  for (const InstanceId& accuser : member.accusers) {
    if (member.state != MemberState::kSuspect) break;
    record.add_accusers(accuser.value());
  }
  if (!full) return record;
  record.set_address(member.address);
  record.set_payload_version(member.payload_version);
  for (const auto& [key, value] : member.payload) {
    auto* item = record.add_payload();
    item->set_key(key);
    item->set_value(value);
  }
  return record;
}

void Membership::AttachDigests(Message* message) const {
  for (const auto& [data_centre, hash] : table_.DataCentreHashes()) {
    auto* digest = message->add_digests();
    digest->set_data_centre(data_centre.value());
    digest->set_hash(hash);
  }
}

void Membership::AttachLinks(Message* message, const InstanceId& to) {
  const Member* receiver = table_.Find(to);
  if (receiver == nullptr) return;
  if (receiver->data_centre != options_.data_centre) return;
  for (const auto& [data_centre, link] : links_) {
    if (link.version == 0) continue;
    auto* state = message->add_links();
    state->set_data_centre(data_centre.value());
    state->set_version(link.version);
  }
}

void Membership::AttachGossip(Message* message, const InstanceId& to,
                              Time now) {
  const Member* receiver = table_.Find(to);
  // A receiver that is listed here as suspect, dead or left must learn so to
  // refute it.
  if (receiver != nullptr && receiver->state != MemberState::kAlive) {
    *message->add_records() = Record(*receiver, false);
  }
  if (pending_gossip_.empty()) return;
  std::size_t bytes = message->ByteSizeLong() + 16;
  const double spare = AvailableBudget(now) - options_.probe_reserve_bytes;
  const double limit =
      std::min(spare, static_cast<double>(options_.message_bytes));
  // Updates with the most transmissions left come first; no more than this fit
  // into a message.
  std::vector<std::pair<int, const InstanceId*>> order;
  for (const auto& [id, remaining] : pending_gossip_) {
    order.emplace_back(-remaining, &id);
  }
  const std::size_t records_maximum =
      std::min(order.size(), options_.message_bytes / kRecordBytesMinimum + 1);
  std::partial_sort(order.begin(), order.begin() + records_maximum, order.end(),
                    [](const auto& a, const auto& b) {
                      return std::tie(a.first, *a.second) <
                             std::tie(b.first, *b.second);
                    });
  order.resize(records_maximum);
  const bool other_data_centre =
      receiver != nullptr && receiver->data_centre != options_.data_centre;
  for (const auto& [negated_remaining, key] : order) {
    const InstanceId& id = *key;
    const Member* member = table_.Find(id);
    if (member == nullptr || id == to) continue;
    if (other_data_centre && member->state == MemberState::kSuspect) continue;
    MemberRecord record = Record(*member, member->state == MemberState::kAlive);
    bytes += record.ByteSizeLong() + kRecordOverheadBytes;
    if (static_cast<double>(bytes) > limit) break;
    *message->add_records() = std::move(record);
    if (--pending_gossip_[id] <= 0) pending_gossip_.erase(id);
  }
}

void Membership::SendTo(const InstanceId& to, Message message, Time now) {
  const Member* receiver = table_.Find(to);
  if (receiver == nullptr) return;
  SendWithinBudget(to, receiver->address, std::move(message), 0, now);
}

void Membership::SendJoin(const MembershipSeed& seed, Time now) {
  if (seed.id == options_.self || seed.address == options_.address) return;
  Message join = NewMessage(Message::JOIN);
  join.set_roster_hash(table_.hash());
  *join.mutable_self() = Record(Self(), true);
  SendWithinBudget(seed.id, seed.address, std::move(join), 0, now);
}

double Membership::AvailableBudget(Time now) const {
  const double refill = ToSeconds(now - budget_updated_) *
                        static_cast<double>(options_.bytes_per_second);
  return std::min(static_cast<double>(options_.burst_bytes),
                  budget_bytes_ + std::max(0.0, refill));
}

void Membership::SendWithinBudget(const InstanceId& to,
                                  const std::string& address, Message message,
                                  std::size_t reserve, Time now) {
  if (!to.empty()) {
    message.set_target(ShortHash(to.value()));
    message.set_sequence(++peers_[to].next_sequence);
  }
  const std::size_t bytes = message.ByteSizeLong();
  const double available = AvailableBudget(now);
  if (bytes > options_.message_bytes ||
      available < static_cast<double>(bytes + reserve)) {
    ++counters_.budget_drops;
    return;
  }
  budget_bytes_ = available - static_cast<double>(bytes);
  budget_updated_ = std::max(budget_updated_, now);
  ++counters_.messages_sent;
  counters_.bytes_sent += bytes;
  outputs_.messages.push_back({to, address, std::move(message)});
}

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
