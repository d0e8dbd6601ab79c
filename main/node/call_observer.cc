#include "main/node/call_observer.h"

#include "core/log.h"

namespace cassiausher {

void CallObserver::OnAnswer(const ObservedCall& call, const WorkSpec& work,
                            const EndpointAnswer& answer, Time now) {
  if (call.relayed) return;
  OnConnected(call, now);
  ObserveRateLimit(call, answer, now);
  pool_->OnResponse(call.endpoint.id, work, now);
  // Another endpoint now has the address.
  if (answer.other_endpoint) return;
  ObserveReadiness(call, answer, now);
  crashes_->OnAnswer(call, now);
}

void CallObserver::ObserveRateLimit(const ObservedCall& call,
                                    const EndpointAnswer& answer, Time now) {
  if (answer.other_request || answer.other_endpoint) return;
  if (answer.rate_limit.has_value()) {
    metrics_->counter("answers_with_rate_limit_total").Add();
  }
  const bool complete = answer.has_server_stamp && answer.IsSuccess();
  permits_->OnAnswer(call.endpoint, answer.rate_limit, complete, call.began,
                     now);
}

void CallObserver::ObserveReadiness(const ObservedCall& call,
                                    const EndpointAnswer& answer, Time now) {
  const EndpointRecord& endpoint = call.endpoint;
  if (answer.leaving) {
    Log(LogLevel::kInfo, "endpoint_leaves",
        {{"endpoint", endpoint.id.value()}, {"request", call.request.value()}});
    pool_->OnLeaving(endpoint.id, endpoint.incarnation, now);
  }
  if (!answer.backoff.has_value()) return;
  Log(LogLevel::kInfo, "endpoint_turns_away",
      {{"endpoint", endpoint.id.value()},
       {"request", call.request.value()},
       {"for_ms", ToMilliseconds(*answer.backoff)}});
  metrics_->counter("answers_with_backoff_total").Add();
  pool_->OnTurnedAway(endpoint.id, endpoint.incarnation, now + *answer.backoff);
  pool_->OnBackoff(endpoint.id, endpoint.incarnation, *answer.backoff, now);
}

void CallObserver::OnConnectionLost(const ObservedCall& call, bool sent,
                                    Time now) {
  if (call.relayed) return;
  if (sent) {
    OnConnected(call, now);
    crashes_->OnBroken(call, now);
  } else {
    relays_->OnUnreachable(call.endpoint, now);
    crashes_->OnRefusedConnection(call.endpoint, now);
  }
}

void CallObserver::OnComplete(const ObservedCall& call,
                              const EndpointAnswer& answer, Time now) {
  if (call.relayed || !answer.IsSuccess()) return;
  crashes_->OnComplete(call, answer.ends_with_connection, now);
}

}  // namespace cassiausher
