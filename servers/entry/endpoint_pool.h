// The endpoints that one entry instance can send requests to: what the control
// instances say of them, what this instance sent and how it went.
#ifndef SERVERS_ENTRY_ENDPOINT_POOL_H_
#define SERVERS_ENTRY_ENDPOINT_POOL_H_

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
#include "core/units.h"
#include "servers/control/endpoint_record.h"
#include "servers/entry/memory_forecast.h"
#include "servers/routing/circuit_breaker.h"

namespace cassiausher {

struct EndpointPoolOptions {
  DataCentreId data_centre;
  /// Cost of leaving the data centre, as waiting time: the round trip and the
  /// bytes that the operator pays for.
  Duration remote_penalty = Milliseconds(8);
  /// Waiting time that a certain failure is worth.
  Duration failure_penalty = Milliseconds(1000);
  /// Half-life of what was observed of an endpoint.
  Duration memory_half_life = Seconds(3);
  /// A control instance's word on silent endpoints counts this long.
  Duration silence_lifetime = Seconds(3);
  /// A departed endpoint is remembered this long, so that a control instance
  /// that lost its registry can't bring it back.
  Duration tombstone_lifetime = Seconds(120);
  std::uint64_t random_seed = 1;
};

/// Forecast share of a runner's memory above which it counts as full, as long
/// as nothing is known of how far answers differ from what is expected. Below
/// 1, since a runner out of memory reads a request anew.
inline constexpr double kDefaultFullOccupancy = 0.84;

/// Work that is placed on an endpoint.
struct WorkSpec {
  ServiceId service;
  /// Endpoints of another stage are left out.
  EndpointRole role = EndpointRole::kPlain;
  /// Prompt of the request; 0 for plain services.
  Tokens prompt{0};
  /// The prompt was read elsewhere and its KV cache is fetched.
  bool prompt_is_read = false;
  /// KV memory that the request is expected to hold at its runner.
  MemoryForecast memory;
  /// Memory of a runner; 0 if it doesn't bound what is placed.
  Tokens kv_capacity{0};
  /// Share of the memory above which a runner is full.
  double full_occupancy = kDefaultFullOccupancy;
  /// Requests that a runner runs at once; 0 if it doesn't bound what is placed.
  int slots = 0;
  /// Endpoints not to be used.
  std::set<EndpointId> excluded;
  /// Used if it has room; empty for none. Memory is reserved there, which the
  /// other instances know.
  EndpointId reserved_at;
};

struct Placement {
  EndpointRecord endpoint;
  /// Expected time until the work is done, or until its first event.
  Duration expected{};
  /// Share of the endpoint's KV memory that is in use with this work; 0 where
  /// memory doesn't matter.
  double occupancy = 0;
};

/// Work in progress at an endpoint.
struct EndpointLoad {
  int requests = 0;
  MemoryForecast memory;
};

using EndpointLoads = std::map<EndpointId, EndpointLoad>;

void AddLoads(const EndpointLoads& more, EndpointLoads* sum);

enum class WorkOutcome {
  kDone,
  kServerError,  ///< The endpoint answered that it failed.
  kUnreachable,  ///< No connection.
  kBroken,       ///< No answer or half of one.
  kMisplaced,    ///< Another endpoint has the address.
  kRejected,     ///< The endpoint had no room.
  kAbandoned,    ///< Given up here, for example since the caller left.
};

/// Not thread safe. Times of an instance that doesn't see the whole load are
/// corrected by what it observes.
class EndpointPool {
 public:
  explicit EndpointPool(EndpointPoolOptions options);

  void Merge(const EndpointRecord& heard, Time now);
  /// Replaces what `control` said of silent endpoints.
  void SetSilent(const std::string& control, std::set<EndpointId> silent,
                 Time now);
  /// A runner that changes its role takes no work until `until`.
  void SetChanging(const EndpointId& id, Time until);
  /// Replaces what the `others` other entry instances have in progress, as of
  /// `now`.
  void SetOtherLoads(EndpointLoads loads, int others, Time now);
  /// Others placed this since.
  void AddOtherLoads(const EndpointLoads& placed);
  /// What this instance has in progress.
  EndpointLoads OwnLoads() const;
  /// What this instance placed on model runners since the last call.
  EndpointLoads TakePlaced() { return std::exchange(placed_, {}); }
  void Expire(Time now);

  /// An endpoint with little expected time: for plain work the best, for work
  /// of a model runner the better of two drawn at random, since what is known
  /// of other instances' work is old and the best would get it all. Endpoints
  /// that are silent or whose circuit is open come last. Null if there is none.
  std::optional<Placement> Pick(const WorkSpec& work, Time now);

  void OnStart(const EndpointId& id, const WorkSpec& work, Time now);
  /// Counts a stream whose prompt is read meanwhile, so that no other takes the
  /// room; ends with Release().
  void Reserve(const EndpointId& id, const MemoryForecast& memory,
               bool known_to_others);
  void Release(const EndpointId& id, const MemoryForecast& memory);
  /// The work in progress now holds `memory`, which replaces what `work` says.
  void OnProgress(const EndpointId& id, const MemoryForecast& memory,
                  WorkSpec* work);
  /// `took` is the time to the answer, or to the first event of a stream.
  void OnFinish(const EndpointId& id, const WorkSpec& work, WorkOutcome outcome,
                Duration took, Time now);

  /// Requests of this instance that wait for room.
  int waiting() const { return waiting_; }
  void ChangeWaiting(int difference) { waiting_ += difference; }

  /// Age of what is known of other instances' work.
  Duration LoadsAge(Time now) const { return now - other_loads_at_; }

  bool HasEndpoints() const { return !entries_.empty(); }
  std::size_t ReadyCount(const ServiceId& service) const;
  const EndpointRecord* Find(const EndpointId& id) const;

 private:
  struct Entry {
    explicit Entry(const EndpointRecord& heard, std::uint64_t seed);

    EndpointRecord record;
    Time changed_at{};
    int in_flight = 0;
    /// Streams whose prompt is still being read.
    int reserved = 0;
    Tokens in_flight_tokens{0};
    /// Of work in flight and of reservations.
    MemoryForecast memory;
    /// Another endpoint answered at the address; not used until then.
    Time misplaced_until{};
    /// Changes its role until then.
    Time changing_until{};
    /// Had no room for a request; others are preferred until then.
    Time full_until{};
    /// Observed microseconds for each prompt token, or for a request without
    /// a prompt; 0 until observed.
    double unit_cost_us = 0;
    /// Weighted share of failed requests, between 0 and 1.
    double failure_share = 0;
    Time observed_at{};
    CircuitBreaker breaker;
  };

  static Tokens TokensToRead(const WorkSpec& work);
  double UnitCost(const Entry& entry, const WorkSpec& work, Time now) const;
  double Memory(const Entry& entry, Time now) const;
  Duration Expected(const Entry& entry, const WorkSpec& work, Time now) const;
  double Score(const Entry& entry, const WorkSpec& work, Time now) const;
  bool IsSilent(const EndpointId& id, Time now) const;
  double Occupancy(const Entry& entry, const WorkSpec& work, Time now) const;
  EndpointLoad OtherLoad(const Entry& entry, Time now) const;
  Placement Place(const Entry& entry, const WorkSpec& work, Time now) const;
  const Entry* Draw(const std::vector<const Entry*>& candidates,
                    const WorkSpec& work, Time now);

  struct SilentView {
    std::set<EndpointId> endpoints;
    Time said_at{};
  };

  EndpointPoolOptions options_;
  std::map<EndpointId, Entry> entries_;
  std::map<std::string, SilentView> silent_;
  EndpointLoads other_loads_;
  EndpointLoads placed_;
  Time other_loads_at_{};
  int other_instances_ = 0;
  int waiting_ = 0;
  Random random_;
};

}  // namespace cassiausher

#endif  // SERVERS_ENTRY_ENDPOINT_POOL_H_
