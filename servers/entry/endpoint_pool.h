// Endpoints that one entry instance can send requests to: their records from
// the control instances, the load on them, and the outcomes that this instance
// observed.
#ifndef SERVERS_ENTRY_ENDPOINT_POOL_H_
#define SERVERS_ENTRY_ENDPOINT_POOL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/ids.h"
#include "core/random.h"
#include "core/time.h"
#include "core/units.h"
#include "servers/control/endpoint_record.h"
#include "servers/crashes/crash_evidence.h"
#include "servers/entry/endpoint_health.h"
#include "servers/entry/endpoint_pace.h"
#include "servers/loads/endpoint_loads.h"
#include "servers/loads/memory_forecast.h"
#include "servers/loads/pace_outcomes.h"
#include "servers/loads/placement_rate.h"

namespace cassiausher {

struct EndpointPoolOptions {
  DataCentreId data_centre;
  /// Cost of using another data centre, as latency: the round trip and the
  /// traffic that the operator pays for.
  Duration remote_penalty = Milliseconds(8);
  /// Cost of a request that is sure to fail, as latency.
  Duration failure_penalty = Milliseconds(1000);
  /// Half-life of observed costs and failures of an endpoint.
  Duration observation_half_life = Seconds(3);
  /// A control instance's report of silent endpoints, which have sent it no
  /// heartbeat lately, is valid for this long.
  Duration silence_lifetime = Seconds(3);
  /// A departed endpoint is kept this long, so that a stale record from a
  /// control instance that lost its registry can't restore it.
  Duration tombstone_lifetime = Seconds(120);
  std::uint64_t random_seed = 1;
};

/// Forecast share of a runner's KV memory above which it counts as full while
/// the deviation of output lengths is unknown. Below 1, since a runner that
/// runs out of memory has to prefill a request again.
inline constexpr double kDefaultFullOccupancy = 0.84;

/// Requirements of a call that is to be placed on an endpoint.
struct WorkSpec {
  ServiceId service;
  /// Only endpoints with this role are considered.
  EndpointRole role = EndpointRole::kPlain;
  /// Prompt length; 0 for plain services.
  Tokens prompt{0};
  /// Another runner prefilled the prompt, and its KV cache is fetched.
  bool prompt_is_prefilled = false;
  /// KV memory that the request is expected to hold on its runner.
  MemoryForecast memory;
  /// KV memory of a runner; 0 for no limit.
  Tokens kv_capacity{0};
  /// Share of `kv_capacity` and of `slots` above which a runner is full.
  double full_occupancy = kDefaultFullOccupancy;
  /// Requests that a runner runs concurrently; 0 for no limit.
  int slots = 0;
  std::set<EndpointId> excluded;
  /// Runner whose memory was reserved for this request, which the other
  /// instances already know; preferred if it has capacity. Empty for none.
  EndpointId reserved_at;
  /// Only endpoints with this software version are considered; null for all.
  std::optional<SoftwareVersion> version;
  /// A runner whose streams all have had no event lately isn't the last resort:
  /// a sound one goes on soon.
  bool accepts_quiet = false;
  /// The request can wait while others that wait are placed.
  bool can_wait = false;
  /// The call is a stream whose first event has arrived.
  bool streaming = false;
  /// Incarnation of the endpoint that the call was placed at. Null for the
  /// current one.
  std::optional<Incarnation> incarnation;
  /// When the call started, set by its caller. Without it, the time to a
  /// stream's first event is counted only at its end.
  std::optional<Time> started_at;
  /// The time to the stream's first event has been counted.
  bool is_timed = false;
};

/// Slow start of an endpoint began or ended.
struct PaceChange {
  EndpointId endpoint;
  bool began = false;
  /// Requests that all instances together may have in progress there.
  double limit = 0;
  std::string_view reason;
};

struct Placement {
  EndpointRecord endpoint;
  /// Expected time until the work is done, or until its first event.
  Duration expected{};
  /// Share of the endpoint's KV memory that is in use with this work, or of its
  /// slots if that is larger; 0 if neither is limited.
  double occupancy = 0;
  /// Requests in progress, of all instances and with this one, for each slot of
  /// the endpoint.
  double requests_per_slot = 0;
  /// The endpoint is silent or its circuit blocks it, and so it is for all
  /// others that come into question.
  bool last_resort = false;
  /// The work is the trial of a circuit that isn't closed.
  bool trial = false;
};

/// Not thread safe. An entry instance doesn't see the whole load of an
/// endpoint, so expected times are corrected by observed ones.
class EndpointPool {
 public:
  explicit EndpointPool(EndpointPoolOptions options);

  /// Adds an endpoint, or updates it if `update` is newer than its record. An
  /// expired record adds none.
  void Merge(const EndpointRecord& update, Time now);
  /// Replaces the set of endpoints that `control` reports as silent.
  void SetSilent(const std::string& control, std::set<EndpointId> silent,
                 Time now);
  /// Replaces the runs of endpoints that broke off calls lately and refuse
  /// connections, as any instance observed. They are the last resort until
  /// their heartbeats tell more.
  void SetRefusing(const std::set<EndpointRun>& runs);
  /// An answer of this run of the endpoint says that it is about to end. It
  /// gets no more work, whatever control instances report.
  void OnLeaving(const EndpointId& id, Incarnation incarnation, Time now);
  /// This run of the endpoint turned a request of this instance away and wants
  /// no other until `until`.
  void OnTurnedAway(const EndpointId& id, Incarnation incarnation, Time until);
  /// This run of the endpoint turned a request of this instance away for
  /// `backoff`. If other instances see the same, it starts slowly afterwards.
  void OnBackoff(const EndpointId& id, Incarnation incarnation,
                 Duration backoff, Time now);
  bool IsBackingOff(const EndpointId& id, Time now) const;
  /// When the first of the service's endpoints that turned requests away takes
  /// work again; null if all do.
  std::optional<Time> BackoffEnd(const ServiceId& service, EndpointRole role,
                                 Time now) const;
  /// Whether every control instance that reported lately hasn't heard of the
  /// endpoint for a while.
  bool IsSilent(const EndpointId& id, Time now) const;
  /// The runner is changing its role and takes no work until `until`.
  void SetChanging(const EndpointId& id, Time until);
  /// Replaces the combined load of the `others` other entry instances, as of
  /// `now`.
  void SetOtherLoads(EndpointLoads loads, int others, Time now);
  /// Adds what other entry instances placed since SetOtherLoads().
  void AddOtherLoads(const EndpointLoads& placed, Time now);
  /// Load that this instance has in progress or reserved.
  EndpointLoads OwnLoads() const;
  /// Returns and clears the load that this instance placed on model runners
  /// and that the others don't know yet.
  EndpointLoads TakePlaced() { return std::exchange(placed_, {}); }
  /// Returns and clears the outcomes that the other instances don't know yet:
  /// of endpoints in slow start, and recoveries. Ends slow starts.
  EndpointPaceOutcomes TakeOutcomes(Time now);
  /// Adds outcomes of other entry instances.
  void AddOtherOutcomes(const EndpointPaceOutcomes& outcomes, Time now);
  /// Returns and clears the slow starts that began or ended.
  std::vector<PaceChange> TakePaceChanges() {
    return std::exchange(pace_changes_, {});
  }
  std::size_t InSlowStart() const { return paced_.size(); }
  /// Drops departed endpoints and reports of silent ones that are out of date,
  /// and expired endpoints without work in progress.
  void Expire(Time now);

  /// Picks `work.reserved_at` if it is usable, that is, has a score below the
  /// penalty for a full runner. Otherwise, for work of a model runner, picks
  /// the better of two random usable runners (power of two choices) if there
  /// are more than two: loads of other instances are known late, so all
  /// instances would send their work to the same best runner. In all other
  /// cases picks the endpoint with the lowest score. Endpoints that are silent,
  /// whose circuit is open, or whose circuit is half-open with a trial request
  /// in flight come last. One at the limit of its slow start counts as full.
  /// Null if there is none.
  std::optional<Placement> Pick(const WorkSpec& work, Time now);

  void OnStart(const EndpointId& id, const WorkSpec& work, Time now);
  /// Reserves a decode runner's memory for a stream while its prompt is
  /// prefilled, until Release(). `known_to_others`: the other instances have
  /// counted it already.
  void Reserve(const EndpointId& id, const MemoryForecast& memory,
               bool known_to_others);
  void Release(const EndpointId& id, const MemoryForecast& memory);
  /// Replaces the memory forecast of work in progress, here and in `work`.
  void OnProgress(const EndpointId& id, const MemoryForecast& memory,
                  WorkSpec* work);
  /// An event of a stream arrived; marks `work` as streaming.
  void OnEvent(const EndpointId& id, Time now, WorkSpec* work);
  /// The stream isn't read until its caller has taken what it was sent, so that
  /// its silence says nothing of the endpoint.
  void OnPaused(const EndpointId& id, WorkSpec* work);
  /// The endpoint began to respond to a call.
  void OnResponse(const EndpointId& id, const WorkSpec& work, Time now);
  /// `took` is the time to the response, or to the first event of a stream.
  void OnFinish(const EndpointId& id, const WorkSpec& work, WorkOutcome outcome,
                Duration took, Time now);

  /// How long the endpoint's circuits stay open; 0 if none is.
  Duration OpenFor(const EndpointId& id, Time now) const;

  /// Requests of this instance that wait for capacity.
  const WaitingRequests& waiting() const { return waiting_; }
  int WaitingFor(const ServiceId& service) const;
  void ChangeWaiting(const ServiceId& service, int difference);
  /// Replaces the requests that wait at the other entry instances.
  void SetOtherWaiting(WaitingRequests waiting) {
    other_waiting_ = std::move(waiting);
  }

  /// Time since the last SetOtherLoads().
  Duration LoadsAge(Time now) const { return now - other_loads_at_; }

  bool HasEndpoints() const { return !entries_.empty(); }
  /// `version`: only endpoints with this software version; null for all.
  std::size_t ReadyCount(const ServiceId& service,
                         const std::optional<SoftwareVersion>& version) const;
  /// The software version of all endpoints of the service that this instance
  /// knows or knew lately, if there is one only and the service has been known
  /// for `known_for`; else null.
  std::optional<SoftwareVersion> SoleVersion(const ServiceId& service,
                                             Duration known_for,
                                             Time now) const;
  /// Software versions of the ready endpoints of the service with this role.
  std::set<SoftwareVersion> ReadyVersions(const ServiceId& service,
                                          EndpointRole role) const;
  /// Ready endpoints of the service that haven't expired, silent or not.
  /// `role`: only those with this role; null for all. The pointers are valid
  /// until the next change of the pool.
  std::vector<const EndpointRecord*> ReadyEndpoints(
      const ServiceId& service, std::optional<EndpointRole> role) const;
  const EndpointRecord* Find(const EndpointId& id) const;

 private:
  /// What was known of the software versions of one service.
  struct VersionHistory {
    Time known_since{};
    /// Versions that an endpoint no longer runs, and since when.
    std::map<SoftwareVersion, Time> replaced_at;
  };
  struct Entry {
    Entry(const EndpointRecord& update, Duration half_life);

    EndpointRecord record;
    Time changed_at{};
    int in_flight = 0;
    /// The part of `in_flight` that are streams with a first event.
    int streaming = 0;
    /// When the last event of any stream arrived.
    Time last_event_at{};
    /// Streams whose prompt is still being prefilled.
    int reserved = 0;
    Tokens in_flight_tokens{0};
    /// Sum over work in flight and reservations.
    MemoryForecast memory;
    /// Another endpoint responded at the address; excluded until then.
    Time misplaced_until{};
    /// The runner is changing its role; excluded until then.
    Time changing_until{};
    /// Turned a request away and wants no other; excluded until then.
    Time backoff_until{};
    /// Rejected a request for lack of capacity; counts as full until then.
    Time full_until{};
    EndpointHealth health;
    /// Null unless in slow start.
    std::optional<EndpointPace> pace;
    /// Instances that lately saw it recover, and the last time.
    int recoveries = 0;
    Time recovered_at{};
  };
  /// Endpoints of one service and role that aren't in slow start.
  using Peers = std::pair<ServiceId, EndpointRole>;
  struct PeerTimes {
    /// Moving average of the time per unit of work; 0 until observed.
    double unit_time_us = 0;
    int samples = 0;
    /// Calls that this instance starts, as of `starts_at`.
    double starts_per_second = 0;
    Time starts_at{};
  };

  /// Whether the work was placed at an earlier incarnation, whose results say
  /// nothing of the current one.
  static bool IsOfEarlierRun(const WorkSpec& work, const Entry& entry);
  static Tokens PrefillCost(const WorkSpec& work);
  Duration ExpectedTime(const Entry& entry, const WorkSpec& work,
                        Time now) const;
  /// Expected time plus penalties, in microseconds; the lowest is the best.
  double Score(const Entry& entry, const WorkSpec& work, Time now) const;
  bool IsRefusing(const EndpointRecord& record) const;
  /// Whether the record has expired and no control instance reports hearing the
  /// endpoint. The record of one that is cut off from it may expire while
  /// another instance receives its heartbeats and has no change to publish.
  bool HasExpired(const Entry& entry, Time now) const;
  /// Whether the endpoint may get work of its role at all.
  bool IsAvailable(const Entry& entry, Time now) const;
  /// Whether none of the endpoint's streams had an event lately.
  static bool IsQuiet(const Entry& entry, Time now);
  /// Whether the endpoint is used only if there is no other.
  bool IsLastResort(const Entry& entry, const WorkSpec& work, Time now) const;
  double Occupancy(const Entry& entry, const WorkSpec& work, Time now) const;
  double RequestsPerSlot(const Entry& entry, Time now) const;
  EndpointLoad OtherLoad(const Entry& entry, Time now) const;
  Placement Place(const Entry& entry, const WorkSpec& work, Time now) const;
  /// Share of a runner's memory that placements take on average which this
  /// instance doesn't know yet, if it can choose among so many runners.
  double UnseenOccupancy(const WorkSpec& work, std::size_t usable,
                         Time now) const;
  /// Whether the work may be placed now, although requests of other instances
  /// wait for the same room and place themselves before this one knows of it:
  /// by chance, so that as many are placed as there is room for.
  bool MayPlace(const WorkSpec& work, const std::vector<const Entry*>& usable,
                Time now);
  /// Share of a runner's memory that a stream of the service takes on average.
  double MeanStreamOccupancy(const WorkSpec& work, Time now) const;
  static Peers PeersOf(const EndpointRecord& record) {
    return {record.service, record.role};
  }
  void BeginPace(Entry* entry, PaceReason reason, Time now);
  /// This instance saw the endpoint recover.
  void OnRecovered(Entry* entry, Time now);
  /// Ends the slow start of an endpoint, with what it showed of its speed.
  void EndPace(Entry* entry, PaceEnd reason, Time now);
  void CountRecoveries(Entry* entry, int instances, Time now);
  /// Counts own outcomes at an endpoint in slow start.
  void CountOutcomes(Entry* entry, const PaceOutcomes& outcomes, Time now);
  /// Counts the time that a call took to its response or first event.
  void CountTime(Entry* entry, const WorkSpec& work, Duration took, Time now);
  void CountStart(Entry* entry, Time now);
  /// Work of the call, in units that take about the same time at each peer.
  double Units(const Entry& entry, const WorkSpec& work, Time now) const;
  /// Requests in progress, of all instances.
  double InProgress(const Entry& entry, Time now) const;
  /// Decides which endpoints in slow start count as full for this work.
  void HoldBack(const WorkSpec& work, Time now);
  /// Requests for endpoints of this kind that arrive at all instances before
  /// this one knows where they are placed.
  double UnseenRequests(const WorkSpec& work, Time now) const;
  bool HasPeers(const Entry& entry, Time now) const;
  const Entry* BetterOfTwo(const std::vector<const Entry*>& candidates,
                           const WorkSpec& work, Time now);

  /// Endpoints that one control instance reports as silent.
  struct SilentReport {
    std::set<EndpointId> endpoints;
    Time reported_at{};
  };

  EndpointPoolOptions options_;
  std::map<EndpointId, Entry> entries_;
  std::map<ServiceId, VersionHistory> versions_;
  /// By control instance.
  std::map<std::string, SilentReport> silent_;
  /// The latest run of each endpoint that refuses connections.
  std::map<EndpointId, Incarnation> refusing_;
  EndpointLoads other_loads_;
  EndpointLoads placed_;
  Time other_loads_at_{};
  int other_instances_ = 0;
  /// Placements of other instances at decode runners, by service.
  std::map<ServiceId, PlacementRate> placement_rates_;
  WaitingRequests waiting_;
  /// At the other entry instances, as old as `other_loads_`.
  WaitingRequests other_waiting_;
  /// Endpoints in slow start.
  std::set<EndpointId> paced_;
  /// Those that count as full for the work that is being placed.
  std::set<EndpointId> held_back_;
  /// Outcomes that the other instances don't know yet.
  EndpointPaceOutcomes outcomes_;
  std::vector<PaceChange> pace_changes_;
  std::map<Peers, PeerTimes> peer_times_;
  Random random_;
};

}  // namespace cassiausher

#endif  // SERVERS_ENTRY_ENDPOINT_POOL_H_
