// Messages that a member receives: probes, joins, comparisons of rosters.
#include <algorithm>
#include <tuple>
#include <utility>

#include "servers/membership/membership_records.h"

namespace cassiausher {

namespace {

using proto::MemberRecord;

// A higher incarnation can only be an error, and accepting it would leave no
// higher one for a refutation.
constexpr std::uint64_t kIncarnationMaximum = std::uint64_t{1} << 62;
// A link's version goes up by one at each change of reachability: even is
// reachable, odd is unreachable.
constexpr std::uint32_t kLinkVersionMaximum = 1u << 30;
// Members of the joiner's data centre that the answer to a join contains.
constexpr std::size_t kJoinSampleMembers = 3;
// Sequence numbers; one bit each of Peer::window.
constexpr std::uint32_t kReplayWindow = 64;
// The records in a sync reply leave at least probe_reserve_bytes /
// kSyncReserveDivisor of the byte budget unused.
constexpr int kSyncReserveDivisor = 2;

}  // namespace

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

}  // namespace cassiausher
