// Messages that a member sends, and the byte budget that bounds them.
#include <algorithm>
#include <utility>

#include "servers/membership/membership_records.h"

namespace cassiausher {

namespace {

using proto::MemberRecord;
using proto::MembershipMessage;

constexpr std::size_t kRecordBytesMinimum = 20;

}  // namespace

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

}  // namespace cassiausher
