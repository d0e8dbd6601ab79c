// The configuration that entry instances apply: routes, services and limits on
// callers. An adapter decodes it from the operator's document.
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
#include "servers/accounts/account_directory.h"
#include "servers/accounts/client_account.h"
#include "servers/accounts/priority_ranks.h"

namespace cassiausher {

/// How often a request may be executed, which decides whether it is retried.
enum class RouteKind {
  kIdempotent,     ///< May run more than once.
  kNonIdempotent,  ///< May run once at most.
  kStream,         ///< An event stream; runs once at most unless resumable.
};

/// One service of a route and the weight of its share of the requests.
struct RouteTarget {
  ServiceId service;
  std::int64_t weight = 1;
};

/// Maps a host and a path prefix to services.
struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  RouteKind kind = RouteKind::kNonIdempotent;
  /// Longest time that a caller waits.
  Duration timeout = Seconds(10);
  /// Target for the time to the response, or to the first event of a stream.
  Duration latency_target = Seconds(1);
  /// Target for the longest gap between two events of a stream.
  Duration gap_target = Seconds(1);
  /// 0 is the most urgent.
  int priority = 0;
  /// Number of endpoints that one request may be tried on.
  int attempts = 1;
  /// A broken stream may be resumed on another runner.
  bool resumable = false;
  /// Requests need no key of a client account.
  bool is_public = false;
  std::vector<RouteTarget> targets;
};

/// Model engine of a service's runners.
struct EngineSpec {
  int slots = 1;
  /// KV cache of one runner.
  Tokens kv_capacity{0};
  /// Output tokens in one event of a stream.
  int tokens_per_event = 1;
  /// How long a prefill runner keeps a prompt's KV cache for a decode runner to
  /// fetch.
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
  /// Null if requests need no key.
  std::optional<std::vector<ClientAccount>> accounts;
};

/// Reports faults that make a configuration unusable: a route to an unknown
/// service, two routes with the same host, in any case, and prefix, a weight
/// out of range, weights whose sum is not positive, a timeout that is not
/// positive, an account or key without text, two accounts of one name, a key
/// that stands twice.
Findings Validate(const ServingConfiguration& configuration);

/// Looks up the route of a request.
class RouteTable {
 public:
  RouteTable() = default;
  /// `key_seed`: random seed of the hashes of keys.
  explicit RouteTable(ServingConfiguration configuration,
                      std::uint64_t key_seed = 0);

  const ServingConfiguration& configuration() const { return configuration_; }
  Revision version() const { return configuration_.version; }
  const AccountDirectory& accounts() const { return accounts_; }
  const PriorityRanks& priority_ranks() const { return priority_ranks_; }
  /// Whether a request on the route needs the key of a client account.
  bool NeedsKey(const Route& route) const {
    return configuration_.accounts.has_value() && !route.is_public;
  }

  /// Returns the route of `host` with the longest prefix of `path`, or null.
  /// The result lives as long as the table.
  const Route* Find(std::string_view host, std::string_view path) const;

 private:
  ServingConfiguration configuration_;
  AccountDirectory accounts_;
  PriorityRanks priority_ranks_;
  /// Indices of the routes by canonical host, longest prefix first.
  std::map<std::string, std::vector<std::size_t>> by_host_;
};

/// Chooses a target at random by weight. `draw` is a random number, uniform in
/// [0, 1). A target of weight 0 is never chosen while another has weight.
const RouteTarget& PickTarget(const Route& route, double draw);

/// Decodes an operator's document into a configuration. Implemented by the
/// adapter for the document's format.
class ConfigurationCodec {
 public:
  virtual ~ConfigurationCodec() = default;
  /// Returns nullopt and adds findings if any part of the document can't be
  /// decoded.
  virtual std::optional<ServingConfiguration> Decode(
      std::string_view document, Findings* findings) const = 0;
};

}  // namespace cassiausher

#endif  // SERVERS_CONTROL_SERVING_CONFIGURATION_H_
