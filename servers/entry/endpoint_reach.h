// Whether an entry instance can connect to the endpoints of each service.
//
// The network between the instance and all endpoints may fail while its
// callers, control instances and peers still reach it. Only new connections
// tell: open ones may live on, and a silent endpoint still accepts.
#ifndef SERVERS_ENTRY_ENDPOINT_REACH_H_
#define SERVERS_ENTRY_ENDPOINT_REACH_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/endpoint_role.h"
#include "core/ids.h"
#include "core/time.h"
#include "servers/control/endpoint_record.h"
#include "servers/entry/endpoint_pool.h"

namespace cassiausher {

struct EndpointReachOptions {
  /// Endpoints, or all if there are fewer, to which connections must have
  /// failed since the last one that was established.
  std::size_t min_endpoints = 3;
  /// Failed connections, since one endpoint may restart.
  int min_failures = 3;
};

enum class Reach {
  kReached,
  /// Only runners that decode; they could prefill prompts themselves.
  kWithoutPrefill,
  kNone,
};

/// Not thread safe; the pool must outlive it.
class EndpointReach {
 public:
  EndpointReach(EndpointReachOptions options, const EndpointPool* pool)
      : options_(options), pool_(pool) {}

  /// A connection that was begun at `began` was established.
  void OnConnected(const EndpointRecord& endpoint, Time began);
  /// None could be established.
  void OnUnreachable(const EndpointRecord& endpoint, Time now);

  Reach Of(const ServiceId& service) const;
  /// Since when not all of the service's endpoints are within reach; null if
  /// they are.
  std::optional<Time> OutOfReachSince(const ServiceId& service) const;
  /// Whether some endpoint that isn't within reach was never tried since.
  bool HasUntried(const ServiceId& service) const;
  std::set<ServiceId> OutOfReach() const;
  /// Services with a failed connection since the last one that was established.
  std::set<ServiceId> Doubtful() const;
  /// Endpoints one of which a connection should be tried to, to see whether the
  /// service is within reach again.
  std::vector<EndpointRecord> ToTry(const ServiceId& service) const;

 private:
  /// Failed connections to endpoints of one service, or of one role in it,
  /// without an established one in between.
  struct Failures {
    std::set<EndpointId> endpoints;
    int count = 0;
    Time began{};
  };
  struct ServiceReach {
    Failures all;
    std::map<EndpointRole, Failures> by_role;
    /// Set while Of() isn't kReached.
    std::optional<Time> out_of_reach_since;
  };
  using Endpoints = std::vector<const EndpointRecord*>;

  bool IsBroken(const Failures& failures, std::size_t known) const;
  Reach ReachOf(const ServiceId& service, const ServiceReach& state) const;
  /// Endpoints in all that is out of reach, and the failures there.
  std::vector<std::pair<Endpoints, const Failures*>> BrokenParts(
      const ServiceId& service, const ServiceReach& state) const;

  EndpointReachOptions options_;
  const EndpointPool* pool_;
  /// Services with failures only.
  std::map<ServiceId, ServiceReach> services_;
};

}  // namespace cassiausher

#endif  // SERVERS_ENTRY_ENDPOINT_REACH_H_
