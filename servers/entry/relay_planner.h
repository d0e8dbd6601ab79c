// Decides whether an entry instance relays the requests for a service to other
// entry instances, and to which one.
#ifndef SERVERS_ENTRY_RELAY_PLANNER_H_
#define SERVERS_ENTRY_RELAY_PLANNER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/ids.h"
#include "core/random.h"
#include "core/time.h"
#include "servers/entry/endpoint_reach.h"
#include "servers/relay/relay_types.h"

namespace cassiausher {

struct RelayPlannerOptions {
  /// A helper is used for this long after a control instance last named it.
  Duration helper_lifetime = Seconds(3);
  /// A helper that couldn't serve a request gets none for this long.
  Duration helper_backoff = Seconds(1);
  /// A helper that has answered nothing for this long while requests wait for
  /// it gets further ones only if there is no other: it may stand still.
  Duration quiet_time = Milliseconds(250);
  /// For this long after a service got out of reach, requests wait for helpers.
  /// Those that are named first may be cut off too and not know it yet.
  Duration answer_timeout = Milliseconds(300);
  std::uint64_t random_seed = 1;
};

/// How a request that was relayed fared at its helper.
enum class RelayEnd {
  kAnswered,
  kUnable,     ///< The helper couldn't serve it, or couldn't be reached.
  kAbandoned,  ///< Ended here.
};

/// What one control instance says of a service that is out of reach.
struct NamedHelpers {
  std::vector<RelayHelper> helpers;
  /// Entry instances that don't reach the service, this one included.
  std::uint32_t cut_off = 0;
};

/// Not thread safe; the pool must outlive it.
class RelayPlanner {
 public:
  RelayPlanner(RelayPlannerOptions options, const EndpointPool* pool)
      : options_(options), reach_({}, pool), random_(options.random_seed) {}

  EndpointReach& reach() { return reach_; }
  const EndpointReach& reach() const { return reach_; }

  /// Replaces what the control instance named for the service.
  void SetHelpers(const InstanceId& control, const ServiceId& service,
                  NamedHelpers named, Time now);
  /// The helper with the fewest relayed requests of this instance in progress.
  /// Null if none is known.
  std::optional<RelayHelper> Pick(const ServiceId& service,
                                  const std::set<std::string>& excluded,
                                  Time now);
  /// Whether a request that finds no helper should wait for one.
  bool AwaitsHelpers(const ServiceId& service, Time now) const;
  /// Entry instances that don't reach the service, as last named.
  std::uint32_t CutOff(const ServiceId& service) const;

  /// A request is being relayed to the helper with this address.
  void OnStart(const std::string& helper, Time now);
  /// Its answer has begun.
  void OnAnswer(const std::string& helper, Time now);
  /// `answered`: OnAnswer() was called for it.
  void OnEnd(const std::string& helper, RelayEnd end, bool answered, Time now);

 private:
  struct Naming {
    NamedHelpers named;
    Time named_at{};
  };

  std::vector<RelayHelper> Usable(const ServiceId& service,
                                  const std::set<std::string>& excluded,
                                  Time now) const;
  /// What the choice among helpers goes by; the lowest is the best.
  std::pair<bool, int> Rank(const RelayHelper& helper, Time now) const;

  RelayPlannerOptions options_;
  EndpointReach reach_;
  std::map<ServiceId, std::map<InstanceId, Naming>> named_;
  /// Relayed requests in progress at one helper.
  struct Work {
    int requests = 0;
    /// The part of `requests` whose answer hasn't begun.
    int unanswered = 0;
    /// Since when requests have been waiting without any answer.
    Time unanswered_since{};
  };
  /// By address; none without requests.
  std::map<std::string, Work> work_;
  /// Helpers that couldn't serve a request, until when they get none.
  std::map<std::string, Time> avoided_until_;
  Random random_;
};

}  // namespace cassiausher

#endif  // SERVERS_ENTRY_RELAY_PLANNER_H_
