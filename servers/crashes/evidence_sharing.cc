#include "servers/crashes/evidence_sharing.h"

#include <algorithm>
#include <utility>

namespace cassiausher {

EvidenceSharing::Peer* EvidenceSharing::FindOrAdd(const InstanceId& instance,
                                                  Incarnation process,
                                                  Time now) {
  Peer& known = peers_[instance];
  ProcessSequence sequence = known.process;
  if (!sequence.Accept(process, now)) return nullptr;
  // What the process before had is lost with it.
  if (process != known.process.current()) known = {};
  known.process = sequence;
  return &known;
}

void EvidenceSharing::OnPeer(const InstanceId& peer, Incarnation process,
                             Time now) {
  FindOrAdd(peer, process, now);
}

void EvidenceSharing::OnMessage(const InstanceId& from, Incarnation process,
                                const EvidenceMessage& message, Time now) {
  Peer* sender = FindOrAdd(from, process, now);
  if (sender == nullptr) return;
  Peer& peer = *sender;
  const bool has_all = peer.acknowledged == evidence_->revision();
  evidence_->Merge(message.changes);
  // A peer that has all changes also has those that it sends.
  if (has_all) peer.acknowledged = evidence_->revision();
  // Else the sender took this process for its predecessor, and left out what
  // that one had.
  const bool is_addressed = message.acknowledged_process == options_.self;
  if (is_addressed) {
    peer.received = std::max(peer.received, message.changes.revision);
    peer.owes_acknowledgement |= !message.changes.empty();
    const std::uint64_t acknowledged =
        std::min(message.acknowledged_revision, evidence_->revision());
    peer.acknowledged = std::max(peer.acknowledged, acknowledged);
  }
  peer.sent = std::max(peer.sent, peer.acknowledged);
}

EvidenceChanges EvidenceSharing::TakeChanges(Peer& peer, Time now) const {
  const bool waits = peer.acknowledged < peer.sent;
  const Duration period = waits ? options_.resend_period : options_.min_period;
  const bool is_due =
      now - peer.sent_at >= period && peer.acknowledged < evidence_->revision();
  // Not up to `sent`: that message may have been lost.
  if (!is_due) return {.revision = peer.acknowledged};
  EvidenceChanges changes = evidence_->ChangedSince(
      peer.acknowledged, options_.max_traits_per_message, options_.scope);
  peer.sent = changes.revision;
  if (changes.empty()) {
    peer.acknowledged = peer.sent;
  } else {
    peer.sent_at = now;
  }
  return changes;
}

std::vector<OutgoingEvidence> EvidenceSharing::Tick(Time now) {
  std::erase_if(peers_, [&](const auto& item) {
    return now - item.second.process.heard_at() >= options_.peer_lifetime;
  });
  std::vector<OutgoingEvidence> outgoing;
  for (auto& [instance, peer] : peers_) {
    EvidenceMessage message{.changes = TakeChanges(peer, now),
                            .acknowledged_process = peer.process.current(),
                            .acknowledged_revision = peer.received};
    if (message.changes.empty() && !peer.owes_acknowledgement) continue;
    peer.owes_acknowledgement = false;
    outgoing.push_back({instance, std::move(message)});
  }
  return outgoing;
}

}  // namespace cassiausher
