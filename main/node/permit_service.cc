#include "main/node/permit_service.h"

#include <utility>

#include "core/log.h"

namespace cassiausher {
namespace {

// A leader that a quorum hasn't confirmed for this long may have been replaced,
// and its successor issues permits too.
constexpr Duration kConfirmationLifetime = Seconds(1);

}  // namespace

PermitService::PermitService(const NodeSettings& settings,
                             const ConfigurationLog* log,
                             const EndpointRegistry* registry, Metrics& metrics,
                             NodeLink* link)
    : self_(settings.ip),
      log_(log),
      registry_(registry),
      link_(link),
      granted_(metrics.counter("permits_granted_total")),
      refused_(metrics.counter("permits_refused_total")),
      limited_endpoints_(metrics.gauge("rate_limited_endpoints")),
      issuer_({}) {}

bool PermitService::Observe(const RateLimitMessages& messages, Time now) {
  bool appeared = false;
  for (const proto::RateLimit& message : messages) {
    const auto observation = ReadRateLimit(message, now);
    if (!observation.has_value()) continue;
    const RateLimitChange change = limits_.Observe(*observation);
    appeared |= change == RateLimitChange::kAppeared;
    if (change == RateLimitChange::kNone) continue;
    Log(LogLevel::kInfo, "rate_limit_changed",
        {{"endpoint", observation->endpoint.value()},
         {"limited", observation->limit.has_value()},
         {"per_second", observation->limit.value_or(RequestRate(0)).value()}});
  }
  return appeared;
}

bool PermitService::OnRequest(const InstanceId& from,
                              const proto::PermitRequest& request, Time now) {
  RateLimitMessages reported;
  *reported.Add() = request.rate_limit();
  const bool appeared = Observe(reported, now);
  Tick(now);
  const EndpointId endpoint(request.rate_limit().endpoint());
  const RateLimitObservation* known = limits_.FindObservation(endpoint);
  proto::NodeMessage message;
  proto::PermitAnswer* answer = message.mutable_permit_answer();
  answer->set_number(request.number());
  *answer->mutable_rate_limit() = request.rate_limit();
  const int wanted = static_cast<int>(request.calls());
  if (term_ == 0) {
    answer->set_not_issuer(true);
  } else if (known == nullptr || !known->limit.has_value()) {
    answer->set_granted(request.calls());
    if (known != nullptr) {
      WriteRateLimit(*known, now, answer->mutable_rate_limit());
    }
  } else {
    WriteRateLimit(*known, now, answer->mutable_rate_limit());
    const PermitGrant grant =
        issuer_.Grant(from, endpoint, *known->limit, wanted, now);
    granted_.Add(static_cast<std::uint64_t>(grant.granted));
    refused_.Add(static_cast<std::uint64_t>(wanted - grant.granted));
    answer->set_granted(static_cast<std::uint32_t>(grant.granted));
    answer->set_retry_after_ms(
        static_cast<std::uint64_t>(grant.retry_after / Milliseconds(1)) + 1);
  }
  link_->Send(from, std::move(message));
  return appeared;
}

bool PermitService::TakeForOwnCall(const EndpointId& endpoint, Time now) {
  const auto limit = limits_.Find(endpoint);
  if (!limit.has_value()) return true;
  Tick(now);
  if (term_ == 0) return false;
  return issuer_.Grant(self_, endpoint, *limit, 1, now).granted == 1;
}

std::uint64_t PermitService::IssuerTerm(Time now) const {
  const auto confirmed_at = log_->ConfirmedAt();
  if (!confirmed_at.has_value()) return 0;
  return now - *confirmed_at < kConfirmationLifetime ? log_->term() : 0;
}

bool PermitService::Tick(Time now) {
  const std::uint64_t term = IssuerTerm(now);
  if (term == term_) return false;
  term_ = term;
  if (term != 0) issuer_.Begin(now);
  Log(LogLevel::kInfo, "permit_issuer", {{"term", term}});
  return true;
}

void PermitService::WriteLimits(Time now, RateLimitMessages* messages) const {
  for (const RateLimitObservation& observation : limits_.All()) {
    WriteRateLimit(observation, now, messages->Add());
  }
}

void PermitService::Expire(Time now) {
  limits_.Expire(
      [this](const EndpointId& endpoint, Incarnation incarnation) {
        const EndpointRecord* record = registry_->Find(endpoint);
        return record != nullptr && record->incarnation <= incarnation &&
               !IsGone(*record);
      },
      now);
  limited_endpoints_.Set(static_cast<std::int64_t>(limits_.All().size()));
  issuer_.Expire(now);
}

}  // namespace cassiausher
