// What entry instances tell each other of endpoints in slow start.
#ifndef SERVERS_LOADS_PACE_OUTCOMES_H_
#define SERVERS_LOADS_PACE_OUTCOMES_H_

#include <cstdint>
#include <map>

#include "core/ids.h"
#include "core/units.h"

namespace cassiausher {

/// Counts of calls to one run of an endpoint, summed over instances.
struct PaceOutcomes {
  /// Counts of other incarnations are not added to these.
  Incarnation incarnation{0};
  /// Instances whose circuit closed again, or that were told to come back
  /// later.
  int recoveries = 0;
  /// Instances at which the endpoint's slow start ended.
  int settled = 0;
  /// Calls that started and ended; only for plain endpoints.
  int started = 0;
  int ended = 0;
  /// Responses, or first events of streams, with a known relative time.
  int answered = 0;
  int refused = 0;
  int failed = 0;
  /// Sum over `answered` of the time taken, in thousandths of the time that the
  /// endpoint's peers take under this load.
  std::int64_t relative_time = 0;

  bool operator==(const PaceOutcomes&) const = default;
};

using EndpointPaceOutcomes = std::map<EndpointId, PaceOutcomes>;

/// Adds counts; a later incarnation replaces an earlier one.
void AddOutcomes(const EndpointPaceOutcomes& more, EndpointPaceOutcomes* sum);
/// Subtracts `part`, which was added to `sum`. Endpoints that are left without
/// counts are removed.
void SubtractOutcomes(const EndpointPaceOutcomes& part,
                      EndpointPaceOutcomes* sum);

}  // namespace cassiausher

#endif  // SERVERS_LOADS_PACE_OUTCOMES_H_
