#include "main/node/crash_client.h"

#include "core/log.h"

namespace cassiausher {
namespace {

constexpr Duration kUpdatePeriod = Milliseconds(100);
// An endpoint that crashed is left aside for this long. Control instances
// report it as silent by then, unless it sends heartbeats.
constexpr Duration kRefusalLifetime = Seconds(4);

EndpointRun RunOf(const EndpointRecord& endpoint) {
  return {endpoint.id, endpoint.incarnation};
}

bool IsAnsweringForLong(const ObservedCall& call, Time now) {
  return call.answering_since.has_value() &&
         now - *call.answering_since >= kSoundAnswerTime;
}

}  // namespace

CrashClient::CrashClient(Incarnation self, std::uint64_t random_seed,
                         Metrics& metrics, EndpointPool* pool, NodeLink* link)
    : pool_(pool),
      broken_(metrics.counter("calls_broken_off_total")),
      active_(metrics.gauge("crash_verdicts")),
      evidence_({}),
      guard_({.random_seed = random_seed}, &evidence_),
      exchange_({.self = self, .scope = EvidenceScope::kObservedHere},
                &evidence_, link) {}

bool CrashClient::Leaves(const EndpointRecord& endpoint) const {
  const EndpointRecord* record = pool_->Find(endpoint.id);
  return record != nullptr && record->state != EndpointLifecycle::kReady;
}

void CrashClient::OnBroken(const ObservedCall& call, Time now) {
  broken_.Add();
  if (IsAnsweringForLong(call, now) || Leaves(call.endpoint)) return;
  guard_.OnBroken(RunOf(call.endpoint), call.endpoint.service, call.traits,
                  now);
}

void CrashClient::OnAnswer(const ObservedCall& call, Time now) {
  guard_.OnAnswer(RunOf(call.endpoint), call.began, now);
}

void CrashClient::OnRefusedConnection(const EndpointRecord& endpoint,
                                      Time now) {
  guard_.OnRefusedConnection(RunOf(endpoint), now);
}

void CrashClient::OnGivenUp(const ObservedCall& call, Time now) {
  if (IsAnsweringForLong(call, now) || Leaves(call.endpoint)) return;
  guard_.OnGivenUp(RunOf(call.endpoint), call.endpoint.service, call.traits,
                   now);
}

void CrashClient::OnComplete(const ObservedCall& call,
                             bool ends_with_connection, Time now) {
  if (ends_with_connection) {
    guard_.OnUnconfirmed(RunOf(call.endpoint), call.endpoint.service,
                         call.traits, now);
    return;
  }
  guard_.OnSound(call.endpoint.service, call.traits, now);
}

void CrashClient::OnLongAnswer(const ObservedCall& call, Time now) {
  guard_.OnSound(call.endpoint.service, call.traits, now);
}

void CrashClient::Tick(Time now) {
  exchange_.Tick(now);
  if (now < next_update_) return;
  next_update_ = now + kUpdatePeriod;
  for (const VerdictChange& change : guard_.Update(now)) {
    const Verdict& verdict = change.verdict;
    Log(LogLevel::kWarning, "verdict_changed",
        {{"verdict", ToString(verdict.id)},
         {"ended", change.ended},
         {"traits", ToString(verdict.cause.traits)},
         {"crashes", verdict.cause.crashes},
         {"last_crash_ms_ago",
          ToMilliseconds(now - verdict.cause.last_crash_at)},
         {"retry_in_ms", ToMilliseconds(verdict.retry_at - now)}});
  }
  pool_->SetRefusing(evidence_.RefusingSince(now - kRefusalLifetime));
  active_.Set(static_cast<std::int64_t>(guard_.verdicts().size()));
}

}  // namespace cassiausher
