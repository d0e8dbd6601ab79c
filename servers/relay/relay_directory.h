// One control instance's view of which entry instances can serve the requests
// of others, from what each of them reports.
#ifndef SERVERS_RELAY_RELAY_DIRECTORY_H_
#define SERVERS_RELAY_RELAY_DIRECTORY_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "servers/relay/relay_types.h"

namespace cassiausher {

struct RelayDirectoryOptions {
  /// An entry instance is named as helper for this long after its last report.
  /// It reports every 500 ms.
  Duration report_lifetime = Milliseconds(1500);
  /// Helpers that are named to one entry instance.
  std::size_t helpers = 4;
};

/// What an entry instance says of itself.
struct RelayReport {
  /// How others reach it as their helper; null if it serves none.
  std::optional<RelayHelper> offer;
  DataCentreId data_centre;
  /// Services to whose endpoints its last connections failed. It is no helper
  /// for these.
  std::set<ServiceId> doubtful;
  /// Services whose endpoints it doesn't reach, so that it asks for helpers.
  std::set<ServiceId> out_of_reach;
};

/// Not thread safe.
class RelayDirectory {
 public:
  explicit RelayDirectory(RelayDirectoryOptions options) : options_(options) {}

  void OnReport(const InstanceId& from, RelayReport report, Time now);
  void Remove(const InstanceId& instance) { reports_.erase(instance); }

  /// Services that the entry instance asks for helpers for.
  std::set<ServiceId> OutOfReach(const InstanceId& instance) const;
  /// Helpers for the entry instance: some of its own data centre, the rest of
  /// others, each asking instance in an order of its own, so that the work is
  /// spread over all that can help.
  std::vector<RelayHelper> HelpersFor(const InstanceId& asking,
                                      const ServiceId& service, Time now) const;
  /// Entry instances that report the service as out of reach.
  std::size_t CutOff(const ServiceId& service, Time now) const;

 private:
  struct Report {
    RelayReport report;
    Time heard_at{};
  };

  bool IsFresh(const Report& report, Time now) const {
    return now - report.heard_at < options_.report_lifetime;
  }

  RelayDirectoryOptions options_;
  std::map<InstanceId, Report> reports_;
};

}  // namespace cassiausher

#endif  // SERVERS_RELAY_RELAY_DIRECTORY_H_
