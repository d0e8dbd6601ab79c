// Finds what the calls that ended with endpoints have in common.
#ifndef SERVERS_CRASHES_CAUSE_SEARCH_H_
#define SERVERS_CRASHES_CAUSE_SEARCH_H_

#include <vector>

#include "core/time.h"
#include "servers/crashes/call_tally.h"
#include "servers/crashes/crash_evidence.h"

namespace cassiausher {

struct CauseSearchOptions {
  /// Crashes with a trait until it may be a cause.
  int min_crashes = 3;
  /// With as many crashes a trait is a cause although another one explains as
  /// many.
  int decisive_crashes = 5;
  /// A trait is a cause if all its calls would have ended with their endpoints
  /// by chance with less than this probability.
  double max_chance = 0.0005;
  /// A call that broke off counts after this time, in which other instances
  /// report sound answers to calls with its traits, and whether the endpoint is
  /// alive.
  Duration settling_time = Milliseconds(600);
  /// The same if the endpoint refuses connections, so that it has ended.
  Duration short_settling_time = Milliseconds(150);
  /// A crash that follows the one before by more than this renews its cause.
  Duration renewal_time = Seconds(60);
};

/// Returns the causes that the evidence shows as of `now`, the one with most
/// crashes first. A crash that one cause, new or known, explains doesn't count
/// for others. A known cause is returned again if it has new crashes.
std::vector<Cause> FindCauses(const CrashEvidence& evidence,
                              const CallTally& tally,
                              const CauseSearchOptions& options, Time now);

}  // namespace cassiausher

#endif  // SERVERS_CRASHES_CAUSE_SEARCH_H_
