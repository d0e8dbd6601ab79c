// The loads of all entry instances, as a control instance passes them on: to
// each one what the others have in progress, and in between what they placed.
//
// What it costs doesn't grow with the square of the number of entry instances:
// the sum over all is kept, and the placements of one period are one batch for
// everyone.
#ifndef SERVERS_LOADS_SHARED_LOADS_H_
#define SERVERS_LOADS_SHARED_LOADS_H_

#include <map>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "servers/loads/endpoint_loads.h"
#include "servers/loads/pace_outcomes.h"

namespace cassiausher {

struct SharedLoadsOptions {
  /// Between batches of placements. A runner's memory hardly changes in it.
  Duration min_batch_period = Milliseconds(25);
  /// With more receivers, batches are less frequent.
  int max_messages_per_second = 1600;
};

/// Placements that these instances haven't been sent yet.
struct PlacementBatch {
  std::vector<InstanceId> receivers;
  EndpointLoads placed;
  EndpointPaceOutcomes paced{};
};

/// Not thread safe.
class SharedLoads {
 public:
  explicit SharedLoads(SharedLoadsOptions options) : options_(options) {}

  /// All that the instance has in progress.
  void OnReport(const InstanceId& instance, const EndpointLoads& loads,
                bool wants_placements);
  /// Requests that wait at the instance. Ignored before its first report.
  void OnWaiting(const InstanceId& instance, WaitingRequests waiting);
  /// What the instance placed since its last report. `lasting` is the part that
  /// is still in progress at its next report. Ignored before its first report.
  void OnPlacements(const InstanceId& instance, const EndpointLoads& placed,
                    const EndpointLoads& lasting);
  /// Outcomes at endpoints in slow start since the instance's last message.
  /// Ignored before its first report.
  void OnPaced(const InstanceId& instance, const EndpointPaceOutcomes& paced);
  void Remove(const InstanceId& instance);

  const EndpointLoads& Total() const { return total_; }
  /// Total() without the instance's own part.
  EndpointLoads TotalWithout(const InstanceId& instance) const;
  /// Requests that wait at the other instances.
  WaitingRequests WaitingWithout(const InstanceId& instance) const;

  /// Whether batches are due.
  bool IsDue(Time now) const { return now >= next_batch_; }
  /// The placements since the last call. Loads that are read afterwards include
  /// them.
  std::vector<PlacementBatch> TakeBatches(Time now);

 private:
  struct Instance {
    EndpointLoads loads;
    WaitingRequests waiting;
    bool wants_placements = false;
  };

  Duration BatchPeriod() const;

  SharedLoadsOptions options_;
  std::map<InstanceId, Instance> instances_;
  /// Sum over `instances_`.
  EndpointLoads total_;
  /// The same for requests that wait.
  WaitingRequests waiting_;
  /// Placements since the last batch: all, and each instance's own.
  EndpointLoads placed_;
  std::map<InstanceId, EndpointLoads> placed_by_;
  /// The same for outcomes at endpoints in slow start.
  EndpointPaceOutcomes paced_;
  std::map<InstanceId, EndpointPaceOutcomes> paced_by_;
  /// Number of `instances_` that want placements.
  int receivers_ = 0;
  Time next_batch_{};
};

}  // namespace cassiausher

#endif  // SERVERS_LOADS_SHARED_LOADS_H_
