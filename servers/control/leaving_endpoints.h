// The endpoints that have announced that they leave, as the replicated log
// keeps them. An acknowledged announcement must outlive the processes that
// heard it: a delayed heartbeat would make the endpoint ready again.
#ifndef SERVERS_CONTROL_LEAVING_ENDPOINTS_H_
#define SERVERS_CONTROL_LEAVING_ENDPOINTS_H_

#include <cstddef>
#include <map>
#include <vector>

#include "core/time.h"
#include "servers/control/endpoint_record.h"

namespace cassiausher {

struct LeavingEndpointsOptions {
  /// A record is forgotten after this time. Must exceed the longest delay of a
  /// heartbeat; as long as the registry keeps departed endpoints.
  Duration lifetime = Seconds(120);
};

/// An endpoint that leaves, and how long that has been known. The clocks of
/// instances differ, and a restart sets them back, so that a log holds ages.
struct LeavingEndpoint {
  EndpointRecord record;
  Duration age{0};

  bool operator==(const LeavingEndpoint&) const = default;
};

/// Not thread safe.
class LeavingEndpoints {
 public:
  explicit LeavingEndpoints(LeavingEndpointsOptions options)
      : options_(options) {}

  /// Keeps a record whose state isn't ready. Returns whether it says more than
  /// those before.
  bool Apply(const LeavingEndpoint& leaving, Time now);
  /// Whether what the record says of the endpoint's leaving is kept.
  bool Covers(const EndpointRecord& record) const;
  /// Returns whether any record was forgotten.
  bool Expire(Time now);
  Duration lifetime() const { return options_.lifetime; }

  /// All records, with their ages.
  std::vector<LeavingEndpoint> All(Time now) const;
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    EndpointRecord record;
    Time since{};
  };

  LeavingEndpointsOptions options_;
  /// Invariant: no record is in state ready.
  std::map<EndpointId, Entry> entries_;
};

}  // namespace cassiausher

#endif  // SERVERS_CONTROL_LEAVING_ENDPOINTS_H_
