// Keeps calls that make endpoints crash away from them: gathers evidence from
// the calls of this instance and from other instances, derives verdicts from it
// and withholds the calls that they concern.
//
// Each instance judges by its own copy of the evidence. An instance that is cut
// off goes on with what it has and sees.
#ifndef SERVERS_CRASHES_CRASH_GUARD_H_
#define SERVERS_CRASHES_CRASH_GUARD_H_

#include <cstdint>
#include <map>
#include <vector>

#include "core/ids.h"
#include "core/random.h"
#include "core/time.h"
#include "servers/crashes/call_guard.h"
#include "servers/crashes/call_tally.h"
#include "servers/crashes/call_traits.h"
#include "servers/crashes/cause_search.h"
#include "servers/crashes/crash_evidence.h"
#include "servers/crashes/sound_traits.h"
#include "servers/crashes/unsettled_calls.h"
#include "servers/crashes/verdict.h"

namespace cassiausher {

struct CrashGuardOptions {
  CauseSearchOptions search;
  VerdictOptions verdicts;
  /// How long sound answers and crashes of this instance's calls count.
  Duration memory = Seconds(60);
  /// Trials of several instances are spread over this time, so that the first
  /// one's result is known before the next.
  Duration trial_spread = Seconds(30);
  /// Between trials of one instance.
  Duration trial_period = Seconds(20);
  std::uint64_t random_seed = 1;
};

/// A verdict that is new, or no longer holds.
struct VerdictChange {
  Verdict verdict;
  bool ended = false;
};

/// Not thread safe; `evidence` must outlive it.
class CrashGuard : public CallGuard {
 public:
  CrashGuard(CrashGuardOptions options, CrashEvidence* evidence);

  // CallGuard.
  Admission Admit(const CallTraits& traits, Time now) override;

  // Observations of this instance.
  /// A call broke off together with its connection, before its answer had been
  /// arriving for long.
  void OnBroken(const EndpointRun& run, const ServiceId& service,
                const CallTraits& traits, Time now);
  /// The endpoint answered a call that began at `began`.
  void OnAnswer(const EndpointRun& run, Time began, Time now);
  void OnRefusedConnection(const EndpointRun& run, Time now);
  /// The instance ended the call before it had been answered for long.
  void OnGivenUp(const EndpointRun& run, const ServiceId& service,
                 const CallTraits& traits, Time now);
  /// A call was answered completely, or its answer has been arriving for long.
  void OnSound(const ServiceId& service, const CallTraits& traits, Time now);
  /// The same for an answer that the end of the endpoint may have ended.
  void OnUnconfirmed(const EndpointRun& run, const ServiceId& service,
                     const CallTraits& traits, Time now);

  /// Judges the evidence again, and returns what has changed. Call regularly.
  std::vector<VerdictChange> Update(Time now);
  /// As of the last Update().
  const std::vector<Verdict>& verdicts() const { return verdicts_; }

 private:
  /// Null if no verdict concerns such calls.
  const Verdict* FindByTraits(const CallTraits& traits) const;
  void CountBroken(const EndpointRun& run, TraitId service,
                   const CallTraits& traits, Time now);
  /// The run has ended.
  void CountGivenUp(const EndpointRun& run, Time now);
  void CountSound(TraitId service, const CallTraits& traits, Time now);
  void Expire(Time now);
  /// Adds the causes that the evidence shows since it last changed.
  void Search(Time now);
  /// Passes on what this instance observed of the suspects before.
  void MarkSuspects();
  std::vector<VerdictChange> Compare(
      const std::vector<Verdict>& verdicts) const;

  CrashGuardOptions options_;
  CrashEvidence* evidence_;
  SoundTraits sound_;
  CallTally tally_;
  /// Answers that the end of their endpoint may have ended.
  UnsettledCalls unconfirmed_;
  /// Calls that were given up, and that their endpoint may have ended under.
  UnsettledCalls given_up_;
  Random random_;
  std::vector<Verdict> verdicts_;
  Time next_expiry_{};
  std::uint64_t searched_revision_ = 0;
  /// The evidence shows nothing new from then on unless it changes.
  Time search_until_{};
  /// When this instance may make its next trial of a verdict.
  std::map<VerdictId, Time> next_trial_;
};

}  // namespace cassiausher

#endif  // SERVERS_CRASHES_CRASH_GUARD_H_
