// Quarantine, and comparison of delayed load reports with the placed work.
#include "servers/routing/pool_endpoint.h"

#include <algorithm>

namespace cassiausher {

namespace {

/// For endpoints that announce no rate; the rate of a slow engine.
constexpr double kDefaultPrefillTokensPerSecond = 5000;

}  // namespace

Duration PoolEndpoint::PrefillTime(Tokens tokens) const {
  const double rate = info.prefill_tokens_per_second > 0
                          ? info.prefill_tokens_per_second
                          : kDefaultPrefillTokensPerSecond;
  return FromSeconds(static_cast<double>(tokens.value()) / rate);
}

bool PoolEndpoint::RecordFailure(Time now) {
  ++failures_;
  const bool on_trial = quarantines_ > 0;
  if (failures_ < kFailuresToQuarantine && !on_trial) return false;
  if (quarantined(now)) return false;
  Quarantine(now);
  return true;
}

void PoolEndpoint::RecordSuccess() {
  failures_ = 0;
  quarantines_ = 0;
}

void PoolEndpoint::Quarantine(Time now) {
  const int doublings = std::min(quarantines_, 6);
  const Duration backoff =
      std::min(kMaxBackoff, kFirstBackoff * (1 << doublings));
  ++quarantines_;
  failures_ = 0;
  quarantined_until_ = now + backoff;
}

void PoolEndpoint::RecordHeld(Time now) {
  const std::int64_t index = now.time_since_epoch() / kHistoryBucket;
  HeldBucket& bucket =
      held_history_[static_cast<std::size_t>(index) % kHistoryBuckets];
  if (bucket.index != index) bucket = {index, held};
  bucket.max_held = std::max(bucket.max_held, held);
}

void PoolEndpoint::UpdateUntrackedSlots(Time now) {
  untracked_slots_ = 0;
  if (!has_report || now - reported_at > kHistoryBucket * kHistoryBuckets / 2)
    return;
  const Time written_at = reported_at - report.age;
  if (now - written_at > kHistoryBucket * (kHistoryBuckets - 1)) return;
  const std::int64_t first_index =
      written_at.time_since_epoch() / kHistoryBucket - 1;
  int max_held = held;
  for (const HeldBucket& bucket : held_history_) {
    if (bucket.index >= first_index)
      max_held = std::max(max_held, bucket.max_held);
  }
  const int reported = report.running + report.waiting;
  untracked_slots_ = std::clamp(reported - max_held, 0, info.slots);
}

}  // namespace cassiausher
