// Passes on what the course of a request's call shows of its endpoint: to the
// pool, to the permits of limited endpoints, and as evidence of crashes.
#ifndef MAIN_NODE_CALL_OBSERVER_H_
#define MAIN_NODE_CALL_OBSERVER_H_

#include "core/ids.h"
#include "core/metrics.h"
#include "core/time.h"
#include "main/node/crash_client.h"
#include "main/node/permit_client.h"
#include "platform/request_headers.h"
#include "servers/entry/endpoint_pool.h"

namespace cassiausher {

/// Used on the entry node's task only; all objects must outlive it.
class CallObserver {
 public:
  CallObserver(EndpointPool* pool, PermitClient* permits, CrashClient* crashes,
               Metrics* metrics)
      : pool_(pool), permits_(permits), crashes_(crashes), metrics_(metrics) {}

  /// The head of an answer has arrived.
  void OnAnswer(const ObservedCall& call, const WorkSpec& work,
                const EndpointAnswer& answer, Time now);
  /// The connection ended without a whole answer, or, if not `sent`, none could
  /// be established.
  void OnConnectionLost(const ObservedCall& call, bool sent, Time now);
  /// The instance ended the call.
  void OnGivenUp(const ObservedCall& call, Time now) {
    crashes_->OnGivenUp(call, now);
  }
  /// The answer has been arriving for kSoundAnswerTime. Call it once.
  void OnLongAnswer(const ObservedCall& call, Time now) {
    crashes_->OnLongAnswer(call, now);
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
  Metrics* metrics_;
};

}  // namespace cassiausher

#endif  // MAIN_NODE_CALL_OBSERVER_H_
