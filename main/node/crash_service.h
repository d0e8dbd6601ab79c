// Calls that make endpoints crash, at a control instance: passes the evidence
// on between entry instances, and lets operators list verdicts and lift them.
#ifndef MAIN_NODE_CRASH_SERVICE_H_
#define MAIN_NODE_CRASH_SERVICE_H_

#include <string_view>

#include "core/time.h"
#include "core/units.h"
#include "drivers/http_server.h"
#include "main/node/evidence_exchange.h"
#include "main/node/node_link.h"
#include "proto/gen/node.pb.h"
#include "servers/crashes/crash_evidence.h"

namespace cassiausher {

/// Used on the control node's task only; `link` must outlive it.
class CrashService {
 public:
  CrashService(Incarnation self, NodeLink* link)
      : evidence_({}), exchange_({.self = self}, &evidence_, link) {}

  // Operators' calls.
  /// Answers with the verdicts that hold here, as JSON.
  void List(HttpExchange& exchange, Time now) const;
  /// Ends a verdict on all instances, until there are new crashes. Answers
  /// 404 if none has this id.
  void Lift(HttpExchange& exchange, std::string_view id, Time now);

  // Messages of other instances.
  void OnPeer(const InstanceId& from, Incarnation process, Time now) {
    exchange_.OnPeer(from, process, now);
  }
  void OnMessage(const InstanceId& from, Incarnation process,
                 const proto::CrashEvidence& message, Time now) {
    exchange_.OnMessage(from, process, message, now);
  }
  /// Call every few ten milliseconds.
  void Tick(Time now);

 private:
  CrashEvidence evidence_;
  EvidenceExchange exchange_;
  Time next_expiry_{};
};

}  // namespace cassiausher

#endif  // MAIN_NODE_CRASH_SERVICE_H_
