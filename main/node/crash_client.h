// Calls that make endpoints crash, at an entry instance: reports what its own
// calls show, exchanges the evidence with control instances, and logs verdicts.
#ifndef MAIN_NODE_CRASH_CLIENT_H_
#define MAIN_NODE_CRASH_CLIENT_H_

#include <cstdint>
#include <optional>

#include "core/metrics.h"
#include "core/time.h"
#include "core/units.h"
#include "main/node/evidence_exchange.h"
#include "main/node/node_link.h"
#include "proto/gen/node.pb.h"
#include "servers/control/endpoint_record.h"
#include "servers/crashes/crash_guard.h"
#include "servers/entry/endpoint_pool.h"

namespace cassiausher {

/// An answer that has been arriving for this long shows that its call doesn't
/// make the endpoint crash as it begins to answer.
inline constexpr Duration kSoundAnswerTime = Seconds(1);

/// A request's call to an endpoint.
struct ObservedCall {
  RequestId request;
  EndpointRecord endpoint;
  CallTraits traits;
  /// Another entry instance serves the request; `endpoint` is that instance.
  bool relayed = false;
  Time began{};
  /// When the first part of the answer arrived; null before.
  std::optional<Time> answering_since;
};

/// Used on the entry node's task only; `pool` and `link` must outlive it.
class CrashClient {
 public:
  CrashClient(Incarnation self, std::uint64_t random_seed, Metrics& metrics,
              EndpointPool* pool, NodeLink* link);

  CallGuard* guard() { return &guard_; }

  /// The call ended together with its connection, without a whole answer.
  void OnBroken(const ObservedCall& call, Time now);
  /// The endpoint sent the head of an answer.
  void OnAnswer(const ObservedCall& call, Time now);
  void OnRefusedConnection(const EndpointRecord& endpoint, Time now);
  /// The instance ended the call, which the endpoint had got.
  void OnGivenUp(const ObservedCall& call, Time now);
  /// A run of the request was answered completely and with success.
  /// `ends_with_connection`: so that it looks like an end of the endpoint.
  void OnComplete(const ObservedCall& call, bool ends_with_connection,
                  Time now);
  /// The answer has been arriving for kSoundAnswerTime.
  void OnLongAnswer(const ObservedCall& call, Time now);

  // Messages of control instances.
  void OnPeer(const InstanceId& from, Incarnation process, Time now) {
    exchange_.OnPeer(from, process, now);
  }
  void OnMessage(const InstanceId& from, Incarnation process,
                 const proto::CrashEvidence& message, Time now) {
    exchange_.OnMessage(from, process, message, now);
  }
  /// Sends what is due and judges the evidence again. Call every few ten
  /// milliseconds.
  void Tick(Time now);

 private:
  /// An endpoint that leaves may end with calls in progress.
  bool Leaves(const EndpointRecord& endpoint) const;

  EndpointPool* pool_;
  Counter& broken_;
  Gauge& active_;
  CrashEvidence evidence_;
  CrashGuard guard_;
  EvidenceExchange exchange_;
  Time next_update_{};
};

}  // namespace cassiausher

#endif  // MAIN_NODE_CRASH_CLIENT_H_
