#include "servers/crashes/crash_guard.h"

#include <algorithm>
#include <utility>

namespace cassiausher {
namespace {

constexpr Duration kExpiryPeriod = Seconds(1);

}  // namespace

CrashGuard::CrashGuard(CrashGuardOptions options, CrashEvidence* evidence)
    : options_(options),
      evidence_(evidence),
      sound_({.lifetime = options.memory}),
      tally_(options.memory),
      unconfirmed_({}),
      given_up_({}),
      random_(options.random_seed) {}

Admission CrashGuard::Admit(const CallTraits& traits, Time now) {
  const Verdict* verdict = FindByTraits(traits);
  if (verdict == nullptr) return {};
  const auto [next, added] =
      next_trial_.try_emplace(verdict->id, verdict->retry_at);
  if (added || next->second < verdict->retry_at) {
    next->second =
        verdict->retry_at +
        FromSeconds(random_.Unit() * ToSeconds(options_.trial_spread));
  }
  if (now < next->second) {
    return {
        .admitted = false, .verdict = verdict->id, .retry_at = next->second};
  }
  next->second = now + options_.trial_period;
  return {.trial = true, .verdict = verdict->id};
}

const Verdict* CrashGuard::FindByTraits(const CallTraits& traits) const {
  const auto found = std::find_if(
      verdicts_.begin(), verdicts_.end(), [&](const Verdict& verdict) {
        return ContainsAll(traits, verdict.cause.traits);
      });
  return found == verdicts_.end() ? nullptr : &*found;
}

void CrashGuard::OnBroken(const EndpointRun& run, const ServiceId& service,
                          const CallTraits& traits, Time now) {
  CountBroken(run, ServiceTrait(service), traits, now);
  CountGivenUp(run, now);
}

void CrashGuard::CountBroken(const EndpointRun& run, TraitId service,
                             const CallTraits& traits, Time now) {
  tally_.OnBroken(service, run, now);
  if (traits.empty()) return;
  evidence_->AddCall(run, service, traits, now);
}

void CrashGuard::CountGivenUp(const EndpointRun& run, Time now) {
  for (const UnsettledCall& call : given_up_.Take(run, now)) {
    CountBroken(run, call.service, call.traits, call.ended_at);
  }
}

void CrashGuard::OnAnswer(const EndpointRun& run, Time began, Time now) {
  evidence_->OnAlive(run, began);
  given_up_.Take(run, began);
  for (const UnsettledCall& answer : unconfirmed_.Take(run, began)) {
    CountSound(answer.service, answer.traits, now);
  }
}

void CrashGuard::OnRefusedConnection(const EndpointRun& run, Time now) {
  CountGivenUp(run, now);
  evidence_->OnRefusedConnection(run);
}

void CrashGuard::OnGivenUp(const EndpointRun& run, const ServiceId& service,
                           const CallTraits& traits, Time now) {
  given_up_.Add(
      run,
      {.service = ServiceTrait(service), .traits = traits, .ended_at = now});
}

void CrashGuard::OnUnconfirmed(const EndpointRun& run, const ServiceId& service,
                               const CallTraits& traits, Time now) {
  unconfirmed_.Add(
      run,
      {.service = ServiceTrait(service), .traits = traits, .ended_at = now});
}

void CrashGuard::OnSound(const ServiceId& service, const CallTraits& traits,
                         Time now) {
  CountSound(ServiceTrait(service), traits, now);
}

void CrashGuard::CountSound(TraitId service, const CallTraits& traits,
                            Time now) {
  tally_.OnSound(service, now);
  sound_.OnSound(traits, now);
  for (const TraitId trait : traits) evidence_->OnSound(trait, now);
}

void CrashGuard::MarkSuspects() {
  for (const TraitId trait : evidence_->suspects()) {
    const auto sound_at = sound_.LastSound(trait);
    if (sound_at.has_value()) evidence_->OnSound(trait, *sound_at);
  }
}

void CrashGuard::Expire(Time now) {
  if (now < next_expiry_) return;
  next_expiry_ = now + kExpiryPeriod;
  evidence_->Expire(now);
  tally_.Expire(now);
  unconfirmed_.Expire(now);
  given_up_.Expire(now);
}

void CrashGuard::Search(Time now) {
  if (evidence_->revision() != searched_revision_) {
    searched_revision_ = evidence_->revision();
    search_until_ = now + 2 * options_.search.settling_time;
  }
  if (now >= search_until_) return;
  MarkSuspects();
  const std::vector<Cause> causes =
      FindCauses(*evidence_, tally_, options_.search, now);
  for (const Cause& cause : causes) evidence_->AddCause(cause);
}

std::vector<VerdictChange> CrashGuard::Update(Time now) {
  Expire(now);
  Search(now);
  std::vector<Verdict> verdicts =
      VerdictsOf(evidence_->ActiveCauses(), options_.verdicts);
  std::vector<VerdictChange> changes = Compare(verdicts);
  verdicts_ = std::move(verdicts);
  std::erase_if(next_trial_, [this](const auto& item) {
    return FindVerdict(verdicts_, item.first) == nullptr;
  });
  return changes;
}

std::vector<VerdictChange> CrashGuard::Compare(
    const std::vector<Verdict>& verdicts) const {
  std::vector<VerdictChange> changes;
  for (const Verdict& verdict : verdicts) {
    if (FindVerdict(verdicts_, verdict.id) != nullptr) continue;
    changes.push_back({.verdict = verdict});
  }
  for (const Verdict& verdict : verdicts_) {
    if (FindVerdict(verdicts, verdict.id) != nullptr) continue;
    changes.push_back({.verdict = verdict, .ended = true});
  }
  return changes;
}

}  // namespace cassiausher
