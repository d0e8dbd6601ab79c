// A policy's state of one endpoint: its announced properties, the work that the
// policy has placed on it, and its quarantine.
#ifndef SERVERS_ROUTING_POOL_ENDPOINT_H_
#define SERVERS_ROUTING_POOL_ENDPOINT_H_

#include <array>
#include <cstdint>

#include "core/time.h"
#include "servers/routing/router_types.h"

namespace cassiausher {

class PoolEndpoint {
 public:
  PoolEndpoint(const EndpointInfo& endpoint_info,
               std::uint64_t endpoint_ordinal)
      : info(endpoint_info), ordinal(endpoint_ordinal) {}

  EndpointInfo info;
  /// Registration order; breaks ties deterministically, so that a run can be
  /// reproduced.
  std::uint64_t ordinal;
  /// The endpoint died, restarted or changed its role. Requests placed on it
  /// still refer to it.
  bool removed = false;

  /// Requests that hold a decode slot. Never negative.
  int held = 0;
  /// Of those in `held`, the ones without a first token yet.
  int reserved = 0;
  /// Of those in `reserved`, the ones with a separate prefill engine.
  int prefilling_elsewhere = 0;
  /// Prompt tokens granted to this endpoint whose prefill has not finished.
  /// Never negative.
  Tokens queued_prompt_tokens{0};
  /// When the prefill of the queued prompts is expected to finish.
  Time prefill_busy_until{};

  /// Expected final size of the KV cache of the held requests.
  Bytes kv_committed{0};

  bool has_report = false;
  LoadReport report;
  Time reported_at{};
  std::uint64_t last_cache_sequence = 0;

  bool IsDecode() const { return info.role != EndpointRole::kPrefill; }
  bool quarantined(Time now) const { return now < quarantined_until_; }
  Time quarantined_until() const { return quarantined_until_; }
  /// Returns whether the endpoint may be given new work.
  bool Available(Time now) const {
    return !removed && !info.departing && !quarantined(now);
  }
  /// Whether the endpoint was quarantined and no request has succeeded since.
  bool on_trial() const { return quarantines_ > 0; }
  int free_slots() const { return info.slots - held - untracked_slots_; }

  /// Time that an idle engine needs to prefill `tokens`.
  Duration PrefillTime(Tokens tokens) const;

  /// Records a failure. Returns true if it starts a quarantine: after
  /// kFailuresToQuarantine consecutive failures, or at once if no request has
  /// succeeded since the previous quarantine.
  bool RecordFailure(Time now);
  /// Resets the count of consecutive failures and the backoff.
  void RecordSuccess();
  /// Starts a quarantine twice as long as the previous one, up to kMaxBackoff.
  void Quarantine(Time now);

  /// Records `held` for comparison with later reports.
  void RecordHeld(Time now);
  /// Slots that the last report shows in use beyond the work that the policy
  /// has placed.
  int untracked_slots() const { return untracked_slots_; }
  /// Recomputes untracked_slots() from the last report. Reports lag, so the
  /// reported work is compared with the maximum of `held` since the report was
  /// written. A report that arrived more than half the history ago, or was
  /// written before the history, counts as no untracked slots.
  void UpdateUntrackedSlots(Time now);

 private:
  /// Consecutive failures that start a quarantine.
  static constexpr int kFailuresToQuarantine = 3;
  static constexpr Duration kFirstBackoff = Seconds(1);
  static constexpr Duration kMaxBackoff = Seconds(60);
  /// The history of `held` covers kHistoryBuckets * kHistoryBucket; reports
  /// written before it are not used.
  static constexpr Duration kHistoryBucket = Milliseconds(500);
  static constexpr int kHistoryBuckets = 8;

  struct HeldBucket {
    std::int64_t index = -1;
    int max_held = 0;
  };

  int failures_ = 0;
  /// Quarantines since the last success.
  int quarantines_ = 0;
  Time quarantined_until_{};
  int untracked_slots_ = 0;
  std::array<HeldBucket, kHistoryBuckets> held_history_{};
};

}  // namespace cassiausher

#endif  // SERVERS_ROUTING_POOL_ENDPOINT_H_
