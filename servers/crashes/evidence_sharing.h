// Keeps an instance's copy of the crash evidence and those of its peers alike:
// decides what to send to whom and when. A peer that has restarted, or that was
// out of touch, gets what it lacks.
//
// What is on its way to one peer is a single message of bounded size, and the
// next one waits for its acknowledgement. So neither the rate at which evidence
// appears nor a peer that doesn't read makes an instance hold or send more.
#ifndef SERVERS_CRASHES_EVIDENCE_SHARING_H_
#define SERVERS_CRASHES_EVIDENCE_SHARING_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "core/ids.h"
#include "core/process_sequence.h"
#include "core/time.h"
#include "core/units.h"
#include "servers/crashes/crash_evidence.h"

namespace cassiausher {

struct EvidenceSharingOptions {
  /// Incarnation of this process.
  Incarnation self{0};
  /// An instance that many others report to passes all on; the others report
  /// what they observed themselves.
  EvidenceScope scope = EvidenceScope::kAll;
  /// Between messages with changes to one peer. Shorter than the time after
  /// which a crash counts.
  Duration min_period = Milliseconds(100);
  /// A message that isn't acknowledged within this time is taken for lost.
  Duration resend_period = Seconds(1);
  /// A peer that hasn't been heard of for this long gets no messages. It gets
  /// all changes when it is heard of again.
  Duration peer_lifetime = Seconds(10);
  /// Some 10 bytes each.
  std::size_t max_traits_per_message = 1000;
};

struct EvidenceMessage {
  /// Those that the process below lacks, as far as the sender knows.
  EvidenceChanges changes;
  /// Process that the message is for, and its revision up to which the sender
  /// has its changes. A successor that receives it acknowledges nothing.
  Incarnation acknowledged_process{0};
  std::uint64_t acknowledged_revision = 0;
};

struct OutgoingEvidence {
  InstanceId to;
  EvidenceMessage message;
};

/// Not thread safe; `evidence` must outlive it.
class EvidenceSharing {
 public:
  EvidenceSharing(EvidenceSharingOptions options, CrashEvidence* evidence)
      : options_(options), evidence_(evidence) {}

  /// A message has arrived from an instance that takes part. `process` is its
  /// incarnation. Late messages of a process before the known one are ignored.
  void OnPeer(const InstanceId& peer, Incarnation process, Time now);
  void OnMessage(const InstanceId& from, Incarnation process,
                 const EvidenceMessage& message, Time now);
  /// What is due. Call every few ten milliseconds.
  std::vector<OutgoingEvidence> Tick(Time now);

 private:
  struct Peer {
    ProcessSequence process;
    /// Own revision up to which the peer has the changes, and up to which they
    /// were sent. Invariant: `acknowledged` <= `sent`.
    std::uint64_t acknowledged = 0;
    std::uint64_t sent = 0;
    Time sent_at{};
    /// Peer's revision up to which its changes were received.
    std::uint64_t received = 0;
    bool owes_acknowledgement = false;
  };

  /// Null if the process isn't the current one of the instance.
  Peer* FindOrAdd(const InstanceId& instance, Incarnation process, Time now);
  /// Takes the changes that the peer is sent now.
  EvidenceChanges TakeChanges(Peer& peer, Time now) const;

  EvidenceSharingOptions options_;
  CrashEvidence* evidence_;
  std::map<InstanceId, Peer> peers_;
};

}  // namespace cassiausher

#endif  // SERVERS_CRASHES_EVIDENCE_SHARING_H_
