// Carries an instance's crash evidence between its EvidenceSharing and its
// peers.
#ifndef MAIN_NODE_EVIDENCE_EXCHANGE_H_
#define MAIN_NODE_EVIDENCE_EXCHANGE_H_

#include "core/ids.h"
#include "core/time.h"
#include "core/units.h"
#include "main/node/node_link.h"
#include "proto/gen/node.pb.h"
#include "servers/crashes/evidence_sharing.h"

namespace cassiausher {

/// Used on one task only; `evidence` and `link` must outlive it.
class EvidenceExchange {
 public:
  EvidenceExchange(EvidenceSharingOptions options, CrashEvidence* evidence,
                   NodeLink* link)
      : sharing_(options, evidence), link_(link) {}

  /// See EvidenceSharing.
  void OnPeer(const InstanceId& peer, Incarnation process, Time now) {
    sharing_.OnPeer(peer, process, now);
  }
  void OnMessage(const InstanceId& from, Incarnation process,
                 const proto::CrashEvidence& message, Time now);
  /// Sends what is due. Call every few ten milliseconds.
  void Tick(Time now);

 private:
  EvidenceSharing sharing_;
  NodeLink* link_;
};

}  // namespace cassiausher

#endif  // MAIN_NODE_EVIDENCE_EXCHANGE_H_
