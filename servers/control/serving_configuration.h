// The configuration that entry instances serve by: routes, services and limits
// on callers. Decoded from an operator's document by an adapter.
#ifndef SERVERS_CONTROL_SERVING_CONFIGURATION_H_
#define SERVERS_CONTROL_SERVING_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/findings.h"
#include "core/ids.h"
#include "core/time.h"
#include "core/units.h"

namespace cassiausher {

/// What may be repeated of a request.
enum class RouteKind {
  kIdempotent,     ///< May run more than once.
  kNonIdempotent,  ///< May run once at most.
  kStream,         ///< A stream of events; runs once unless resumable.
};

/// One service of a route and its share of the requests.
struct RouteTarget {
  ServiceId service;
  std::int64_t weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  RouteKind kind = RouteKind::kNonIdempotent;
  /// Longest time that a caller is kept waiting.
  Duration timeout = Seconds(10);
  /// Time to the answer, or to the first event of a stream.
  Duration latency_target = Seconds(1);
  /// Longest pause between two events of a stream.
  Duration gap_target = Seconds(1);
  /// 0 is the most urgent.
  int priority = 0;
  /// Endpoints that one request may run on.
  int attempts = 1;
  /// A broken stream may go on at another runner.
  bool resumable = false;
  std::vector<RouteTarget> targets;
};

/// Engine of a service's runners.
struct EngineSpec {
  int slots = 1;
  Tokens kv_capacity{0};
  /// Tokens of an answer that come in one event.
  int tokens_per_event = 1;
  /// Time for which a runner keeps a prompt that was read for another runner.
  Duration handle_lifetime = Milliseconds(500);
};

struct ServiceSpec {
  ServiceId id;
  /// Connections that one endpoint accepts from all callers together.
  int max_connections = 100;
  /// Absent for plain services.
  std::optional<EngineSpec> engine;
};

/// Limits on what a caller may send.
struct CallerLimits {
  std::int64_t max_header_bytes = 16 << 10;
  std::int64_t max_body_bytes = 4 << 20;
  Duration idle_timeout = Seconds(15);
};

struct ServingConfiguration {
  Revision version{0};
  std::vector<Route> routes;
  std::map<ServiceId, ServiceSpec> services;
  CallerLimits limits;
};

/// Faults that make a configuration unusable: a route to an unknown service,
/// two routes with one host and prefix, weights that add up to 0, a timeout
/// of 0.
Findings Validate(const ServingConfiguration& configuration);

/// Finds the route of a request.
class RouteTable {
 public:
  RouteTable() = default;
  explicit RouteTable(ServingConfiguration configuration);

  const ServingConfiguration& configuration() const { return configuration_; }
  Revision version() const { return configuration_.version; }

  /// The route of `host` with the longest prefix that begins `path`; null if
  /// there is none. The result lives as long as the table.
  const Route* Find(std::string_view host, std::string_view path) const;

 private:
  ServingConfiguration configuration_;
  /// Index into the routes by host, longest prefix first.
  std::map<std::string, std::vector<std::size_t>, std::less<>> by_host_;
};

/// Chooses a target by weight; `draw` is uniform in [0, 1). Targets of weight
/// 0 are never chosen.
const RouteTarget& PickTarget(const Route& route, double draw);

/// Turns an operator's document into a configuration. Implemented by the
/// adapter that knows the document's format.
class ConfigurationCodec {
 public:
  virtual ~ConfigurationCodec() = default;
  /// Null with findings if the document can't be read in full.
  virtual std::optional<ServingConfiguration> Decode(
      std::string_view document, Findings* findings) const = 0;
};

}  // namespace cassiausher

#endif  // SERVERS_CONTROL_SERVING_CONFIGURATION_H_
