#include "main/node/permit_client.h"

#include <utility>

#include "core/log.h"

namespace cassiausher {
namespace {

// Limits that change with each answer are reported no more often than this.
constexpr Duration kReportPeriod = Milliseconds(100);
// Control instances are told of limits that were named within this time.
constexpr Duration kOwnLifetime = Seconds(10);

}  // namespace

PermitClient::PermitClient(std::uint64_t random_seed, Metrics& metrics,
                           NodeLink* link)
    : link_(link),
      asked_(metrics.counter("permits_asked_total")),
      refused_(metrics.counter("permits_refused_total")),
      holder_({.random_seed = random_seed}, &limits_) {}

void PermitClient::Await(PermitTicket ticket, Callback callback, Time now) {
  callbacks_[ticket] = std::move(callback);
  SendAsks(now);
}

void PermitClient::OnAnswer(const EndpointRecord& endpoint,
                            std::optional<RequestRate> limit, bool complete,
                            Time call_started, Time now) {
  const RateLimitObservation* known = limits_.FindObservation(endpoint.id);
  if (!limit.has_value()) {
    if (known == nullptr || !known->limit.has_value() || !complete) return;
    // Answers overtake each other: this one may be older than the limit.
    if (call_started < known->observed_at) return;
  }
  const RateLimitObservation observation{.endpoint = endpoint.id,
                                         .incarnation = endpoint.incarnation,
                                         .limit = limit,
                                         .observed_at = now};
  own_[endpoint.id] = observation;
  Observe(observation, "answer");
}

void PermitClient::Observe(const RateLimitObservation& observation,
                           std::string_view source) {
  const RateLimitChange change = limits_.Observe(observation);
  if (change == RateLimitChange::kNone) return;
  report_due_ |= source == "answer";
  Log(LogLevel::kInfo, "rate_limit_changed",
      {{"endpoint", observation.endpoint.value()},
       {"limited", observation.limit.has_value()},
       {"per_second", observation.limit.value_or(RequestRate(0)).value()},
       {"learned_from", source},
       {"issuer", holder_.issuer().value()}});
}

void PermitClient::OnRateLimits(const RateLimitMessages& messages, Time now) {
  for (const proto::RateLimit& message : messages) {
    const auto observation = ReadRateLimit(message, now);
    if (observation.has_value()) Observe(*observation, "control");
  }
}

void PermitClient::OnPermitAnswer(const InstanceId& from,
                                  const proto::PermitAnswer& answer, Time now) {
  const auto observation = ReadRateLimit(answer.rate_limit(), now);
  if (!observation.has_value()) return;
  if (answer.not_issuer()) {
    holder_.OnNotIssuer(from, now);
  } else {
    Observe(*observation, "issuer");
    const auto retry_after =
        Milliseconds(static_cast<std::int64_t>(answer.retry_after_ms()));
    holder_.OnReply(from,
                    {.number = answer.number(),
                     .endpoint = observation->endpoint,
                     .granted = static_cast<int>(answer.granted()),
                     .retry_after = retry_after},
                    now);
  }
  DeliverOutcomes();
  SendAsks(now);
}

void PermitClient::SetIssuer(const InstanceId& issuer,
                             std::uint32_t entry_instances, Time now) {
  if (issuer != holder_.issuer()) {
    Log(LogLevel::kInfo, "permit_issuer_changed", {{"issuer", issuer.value()}});
  }
  holder_.SetEntryInstances(entry_instances);
  holder_.SetIssuer(issuer, now);
  DeliverOutcomes();
  SendAsks(now);
}

void PermitClient::Tick(Time now) {
  holder_.CheckTimeouts(now);
  DeliverOutcomes();
  SendAsks(now);
  SendReport(now);
}

void PermitClient::SendAsks(Time now) {
  for (const PermitAsk& ask : holder_.TakeAsks(now)) {
    asked_.Add(static_cast<std::uint64_t>(ask.calls));
    proto::NodeMessage message;
    proto::PermitRequest* request = message.mutable_permit_request();
    request->set_number(ask.number);
    request->set_calls(static_cast<std::uint32_t>(ask.calls));
    WriteRateLimit(*limits_.FindObservation(ask.endpoint), now,
                   request->mutable_rate_limit());
    link_->Send(holder_.issuer(), std::move(message));
  }
}

void PermitClient::SendReport(Time now) {
  if (!report_due_ || holder_.issuer().empty()) return;
  if (now - reported_at_ < kReportPeriod) return;
  report_due_ = false;
  reported_at_ = now;
  proto::NodeMessage message;
  WriteOwnLimits(now,
                 message.mutable_rate_limit_report()->mutable_rate_limits());
  link_->Send(holder_.issuer(), std::move(message));
}

void PermitClient::WriteOwnLimits(Time now, RateLimitMessages* messages) const {
  for (const auto& [endpoint, observation] : own_) {
    if (now - observation.observed_at >= kOwnLifetime) continue;
    WriteRateLimit(observation, now, messages->Add());
  }
}

void PermitClient::Expire(const EndpointPool& pool, Time now) {
  limits_.Expire(
      [&](const EndpointId& endpoint, Incarnation incarnation) {
        const EndpointRecord* record = pool.Find(endpoint);
        return record != nullptr && record->incarnation <= incarnation &&
               record->state != EndpointLifecycle::kDeparted;
      },
      now);
  std::erase_if(own_, [&](const auto& item) {
    return now - item.second.observed_at >= kOwnLifetime;
  });
}

void PermitClient::DeliverOutcomes() {
  for (const PermitOutcome& outcome : holder_.TakeOutcomes()) {
    const auto found = callbacks_.find(outcome.ticket);
    if (!outcome.permit.has_value()) refused_.Add();
    if (found == callbacks_.end()) {
      if (outcome.permit.has_value()) holder_.Return(*outcome.permit);
      continue;
    }
    const Callback callback = std::move(found->second);
    callbacks_.erase(found);
    callback(outcome.permit);
  }
}

}  // namespace cassiausher
