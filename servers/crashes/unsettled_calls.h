// Calls of which it isn't known whether their endpoints ended under them, until
// the endpoint answers a later call or turns out to have ended.
#ifndef SERVERS_CRASHES_UNSETTLED_CALLS_H_
#define SERVERS_CRASHES_UNSETTLED_CALLS_H_

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

#include "core/time.h"
#include "servers/crashes/call_traits.h"
#include "servers/crashes/crash_evidence.h"

namespace cassiausher {

struct UnsettledCall {
  TraitId service{0};
  CallTraits traits;
  Time ended_at{};
};

struct UnsettledCallsOptions {
  /// Longer than endpoints are left aside before they are called again.
  Duration lifetime = Seconds(3);
  /// The oldest ones of a run are forgotten.
  std::size_t max_calls_of_run = 32;
  std::size_t max_runs = 256;
};

/// Not thread safe.
class UnsettledCalls {
 public:
  explicit UnsettledCalls(UnsettledCallsOptions options) : options_(options) {}

  void Add(const EndpointRun& run, UnsettledCall call);
  /// Removes and returns the calls of the run that ended before `time`.
  std::vector<UnsettledCall> Take(const EndpointRun& run, Time time);
  void Expire(Time now);

 private:
  UnsettledCallsOptions options_;
  /// Oldest first. Invariant: none is empty.
  std::map<EndpointRun, std::deque<UnsettledCall>> calls_;
};

}  // namespace cassiausher

#endif  // SERVERS_CRASHES_UNSETTLED_CALLS_H_
