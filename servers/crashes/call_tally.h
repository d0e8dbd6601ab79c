// Counts how calls of one instance ended lately, by service: the basis for how
// likely a call is to end with its endpoint by chance.
#ifndef SERVERS_CRASHES_CALL_TALLY_H_
#define SERVERS_CRASHES_CALL_TALLY_H_

#include <functional>
#include <map>

#include "core/time.h"
#include "servers/crashes/call_traits.h"
#include "servers/crashes/crash_evidence.h"

namespace cassiausher {

/// Not thread safe.
class CallTally {
 public:
  /// Calls that ended earlier than `window` ago don't count.
  explicit CallTally(Duration window) : half_window_(window / 2) {}

  void OnSound(TraitId service, Time now);
  void OnBroken(TraitId service, const EndpointRun& run, Time now);
  void Expire(Time now);

  /// Estimated probability that a call to the service ends with its endpoint,
  /// leaving out endpoint runs for which `is_explained` is true. One half
  /// without any observation.
  double CrashProbability(
      TraitId service,
      const std::function<bool(const EndpointRun&)>& is_explained) const;

 private:
  struct Sound {
    int current = 0;
    int previous = 0;
  };
  struct Broken {
    TraitId service{0};
    int calls = 0;
    Time last_at{};
  };

  Duration half_window_;
  Time rotated_at_{};
  std::map<TraitId, Sound> sound_;
  std::map<EndpointRun, Broken> broken_;
};

}  // namespace cassiausher

#endif  // SERVERS_CRASHES_CALL_TALLY_H_
