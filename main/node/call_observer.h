// Passes on what the course of a request's call shows of its endpoint: to the
// pool, to the permits of limited endpoints, as evidence of crashes, and of
// whether endpoints are within reach. A call to another entry instance shows
// nothing of an endpoint.
#ifndef MAIN_NODE_CALL_OBSERVER_H_
#define MAIN_NODE_CALL_OBSERVER_H_

#include "core/ids.h"
#include "core/metrics.h"
#include "core/time.h"
#include "main/node/crash_client.h"
#include "main/node/permit_client.h"
#include "main/node/relay_client.h"
#include "platform/request_headers.h"
#include "servers/entry/endpoint_pool.h"

namespace cassiausher {

/// Used on the entry node's task only; all objects must outlive it.
class CallObserver {
 public:
  CallObserver(EndpointPool* pool, PermitClient* permits, CrashClient* crashes,
               RelayClient* relays, Metrics* metrics)
      : pool_(pool),
        permits_(permits),
        crashes_(crashes),
        relays_(relays),
        metrics_(metrics) {}

  /// The connection is established, but no answer has begun.
  void OnConnected(const ObservedCall& call, Time now) {
    if (call.relayed) return;
    relays_->OnConnected(call.endpoint, call.began, now);
  }
  /// No connection could be established in time.
  void OnConnectTimeout(const ObservedCall& call, Time now) {
    if (call.relayed) return;
    relays_->OnUnreachable(call.endpoint, now);
  }

  /// The head of an answer has arrived.
  void OnAnswer(const ObservedCall& call, const WorkSpec& work,
                const EndpointAnswer& answer, Time now);
  /// The connection ended without a whole answer, or, if not `sent`, none could
  /// be established.
  void OnConnectionLost(const ObservedCall& call, bool sent, Time now);
  /// The instance ended the call.
  void OnGivenUp(const ObservedCall& call, Time now) {
    if (!call.relayed) crashes_->OnGivenUp(call, now);
  }
  /// The answer has been arriving for kSoundAnswerTime. Call it once.
  void OnLongAnswer(const ObservedCall& call, Time now) {
    if (!call.relayed) crashes_->OnLongAnswer(call, now);
  }
  /// A run of the request was answered completely.
  void OnComplete(const ObservedCall& call, const EndpointAnswer& answer,
                  Time now);

 private:
  void ObserveRateLimit(const ObservedCall& call, const EndpointAnswer& answer,
                        Time now);
  void ObserveReadiness(const ObservedCall& call, const EndpointAnswer& answer,
                        Time now);

  EndpointPool* pool_;
  PermitClient* permits_;
  CrashClient* crashes_;
  RelayClient* relays_;
  Metrics* metrics_;
};

}  // namespace cassiausher

#endif  // MAIN_NODE_CALL_OBSERVER_H_
