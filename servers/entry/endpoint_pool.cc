#include "servers/entry/endpoint_pool.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <utility>

namespace cassiausher {
namespace {

// Costs assumed until some are observed. A decode runner prefills a prompt at
// half the speed of a prefill runner.
constexpr double kPrefillTokenUs = 18;
constexpr double kDecodeTokenUs = 36;
constexpr double kPlainRequestUs = 15000;
// Decoding from a fetched KV cache is assumed to take the time of prefilling
// this fraction of the prompt.
constexpr std::int64_t kDecodeCostDivisor = 8;
// The slowest requests of a healthy endpoint take five times the mean, so a
// call that takes more than this many times its expected time was held up.
constexpr double kHeldUpFactor = 6;
// Weight of the newest observation in moving averages.
constexpr double kObservationWeight = 0.25;
// Weight of a server error as a failure, where a broken connection counts 1.
// Lower, since some requests fail at any endpoint.
constexpr double kServerErrorWeight = 0.25;
// An endpoint that fails again this soon after it recovered is unreliable. A
// sound one may fall silent again after a few seconds.
constexpr Duration kRelapseTime = Seconds(1);
// A runner whose streams all have had no event for this long gets no new ones
// until the next event, if another runner can take them.
constexpr Duration kQuietTime = Milliseconds(500);
// Loads of other instances are valid for this long without an update.
constexpr Duration kLoadLifetime = Seconds(2);
// An endpoint whose address another endpoint has is excluded for this long,
// until the registry has learned of the change.
constexpr Duration kMisplacedExclusion = Seconds(5);
// A runner that rejected a request counts as full for this long.
constexpr Duration kFullBackoff = Milliseconds(150);
// Penalty for occupancy, as the latency that full occupancy is worth: a highly
// loaded runner generates tokens slowly and preempts requests.
constexpr double kOccupancyPenaltyUs = 120000;
// Penalty for a runner that counts as full. An endpoint whose score reaches it
// for any reason is picked only if its score is the lowest.
constexpr double kFullPenaltyUs = 2e6;
// Minimum occupancy reported for a runner that just rejected a request.
constexpr double kOverFull = 1.01;
// Penalty for endpoints that are used only if there is no other; above any
// expected time.
constexpr double kLastResortPenaltyUs = 1e9;

constexpr CircuitBreakerOptions kBreakerOptions = {
    // One failure is enough: connections to a healthy endpoint rarely fail.
    .consecutive_failures = 1,
    .failure_ratio = 0.6,
    .window_calls = 6,
    .window = Seconds(3),
    // Short, since a sound endpoint may be silent for up to kToleratedSilence
    // and should get work again within a second after that.
    .backoff_minimum = Milliseconds(700),
    .backoff_maximum = Milliseconds(700),
    .trials = 1,
    .trial_timeout = Seconds(2),
};

// For answers that exceed a limit: no sound endpoint sends one, so that one
// that goes on doing so is tried more and more seldom.
constexpr CircuitBreakerOptions kExcessBreakerOptions = {
    .consecutive_failures = 1,
    .backoff_minimum = Milliseconds(700),
    .backoff_maximum = Seconds(4),
    .trials = 1,
    .trial_timeout = Seconds(2),
};

CircuitBreakerOptions WithSeed(CircuitBreakerOptions options,
                               std::uint64_t seed) {
  options.random_seed = seed;
  return options;
}

double DefaultUnitCost(EndpointRole role) {
  switch (role) {
    case EndpointRole::kPrefill:
      return kPrefillTokenUs;
    case EndpointRole::kDecode:
      return kDecodeTokenUs;
    case EndpointRole::kPlain:
      return kPlainRequestUs;
  }
  return kPlainRequestUs;
}

}  // namespace

void AddLoads(const EndpointLoads& more, EndpointLoads* sum) {
  for (const auto& [endpoint, load] : more) {
    EndpointLoad& total = (*sum)[endpoint];
    total.requests += load.requests;
    total.memory += load.memory;
  }
}

EndpointPool::Entry::Entry(const EndpointRecord& update, std::uint64_t seed)
    : record(update),
      breaker(WithSeed(kBreakerOptions, seed)),
      excess_breaker(WithSeed(kExcessBreakerOptions, seed + 1)) {}

EndpointPool::EndpointPool(EndpointPoolOptions options)
    : options_(std::move(options)), random_(options_.random_seed) {}

void EndpointPool::Merge(const EndpointRecord& update, Time now) {
  const std::uint64_t seed = std::hash<std::string>{}(update.id.value());
  const auto [found, added] =
      entries_.try_emplace(update.id, Entry(update, seed));
  Entry& entry = found->second;
  if (added) {
    versions_.try_emplace(update.service, VersionHistory{.known_since = now});
    entry.changed_at = now;
    return;
  }
  const Incarnation old_incarnation = entry.record.incarnation;
  const std::optional<SoftwareVersion> old_version = entry.record.version;
  if (!cassiausher::Merge(update, &entry.record)) return;
  entry.changed_at = now;
  // Observations of the old incarnation don't apply to the new one; work in
  // flight and reservations are kept.
  if (entry.record.incarnation == old_incarnation) return;
  if (old_version) versions_[update.service].replaced_at[*old_version] = now;
  const int in_flight = entry.in_flight;
  const int streaming = entry.streaming;
  const Time last_event_at = entry.last_event_at;
  const int reserved = entry.reserved;
  const Tokens tokens = entry.in_flight_tokens;
  const MemoryForecast memory = entry.memory;
  entry = Entry(entry.record, seed);
  entry.changed_at = now;
  entry.in_flight = in_flight;
  entry.streaming = streaming;
  entry.last_event_at = last_event_at;
  entry.reserved = reserved;
  entry.in_flight_tokens = tokens;
  entry.memory = memory;
}

void EndpointPool::SetSilent(const std::string& control,
                             std::set<EndpointId> silent, Time now) {
  silent_[control] = {std::move(silent), now};
}

void EndpointPool::SetChanging(const EndpointId& id, Time until) {
  const auto found = entries_.find(id);
  if (found != entries_.end()) found->second.changing_until = until;
}

void EndpointPool::Expire(Time now) {
  std::erase_if(entries_, [&](const auto& item) {
    return item.second.record.state == EndpointLifecycle::kDeparted &&
           item.second.in_flight == 0 && item.second.reserved == 0 &&
           now - item.second.changed_at >= options_.tombstone_lifetime;
  });
  std::erase_if(silent_, [&](const auto& item) {
    return now - item.second.reported_at >= options_.tombstone_lifetime;
  });
}

bool EndpointPool::IsSilent(const EndpointId& id, Time now) const {
  bool reported = false;
  for (const auto& [control, report] : silent_) {
    if (now - report.reported_at >= options_.silence_lifetime) continue;
    // This control instance still receives its heartbeats.
    if (!report.endpoints.contains(id)) return false;
    reported = true;
  }
  return reported;
}

Tokens EndpointPool::PrefillCost(const WorkSpec& work) {
  if (!work.prompt_is_prefilled) return work.prompt;
  return Tokens(work.prompt.value() / kDecodeCostDivisor);
}

double EndpointPool::ObservationDecay(const Entry& entry, Time now) const {
  const double age = ToSeconds(now - entry.observed_at);
  return std::exp2(-age / ToSeconds(options_.observation_half_life));
}

double EndpointPool::UnitCost(const Entry& entry, Time now) const {
  const double assumed = DefaultUnitCost(entry.record.role);
  if (entry.unit_cost_us <= 0) return assumed;
  const double decay = ObservationDecay(entry, now);
  return decay * entry.unit_cost_us + (1 - decay) * assumed;
}

Duration EndpointPool::ExpectedTime(const Entry& entry, const WorkSpec& work,
                                    Time now) const {
  const double unit = UnitCost(entry, now);
  if (work.prompt.value() > 0) {
    Tokens tokens = entry.in_flight_tokens + PrefillCost(work);
    // Prompts that other instances sent to a prefill runner are queued ahead.
    if (entry.record.role == EndpointRole::kPrefill) {
      tokens += OtherLoad(entry, now).memory.Now();
    }
    return Duration(
        static_cast<std::int64_t>(unit * static_cast<double>(tokens.value())));
  }
  const int slots = std::max(1, entry.record.slots);
  const double rounds = 1 + static_cast<double>(entry.in_flight) / slots;
  return Duration(static_cast<std::int64_t>(unit * rounds));
}

double EndpointPool::Score(const Entry& entry, const WorkSpec& work,
                           Time now) const {
  double score = static_cast<double>(ExpectedTime(entry, work, now).count());
  if (entry.record.data_centre != options_.data_centre) {
    score += static_cast<double>(options_.remote_penalty.count());
  }
  const double occupancy = Occupancy(entry, work, now);
  score += kOccupancyPenaltyUs * occupancy;
  const bool full = occupancy > work.full_occupancy || now < entry.full_until;
  if (full) score += kFullPenaltyUs;
  score += ObservationDecay(entry, now) * entry.failure_share *
           static_cast<double>(options_.failure_penalty.count());
  if (IsLastResort(entry, now)) score += kLastResortPenaltyUs;
  return score;
}

bool EndpointPool::Admits(const Entry& entry, Time now) {
  return entry.breaker.Admits(now) && entry.excess_breaker.Admits(now);
}

bool EndpointPool::IsQuiet(const Entry& entry, Time now) {
  return entry.streaming > 0 && now - entry.last_event_at >= kQuietTime;
}

bool EndpointPool::IsLastResort(const Entry& entry, Time now) const {
  return IsSilent(entry.record.id, now) || IsQuiet(entry, now) ||
         !Admits(entry, now);
}

const EndpointPool::Entry* EndpointPool::BetterOfTwo(
    const std::vector<const Entry*>& candidates, const WorkSpec& work,
    Time now) {
  const std::size_t first = random_.Below(candidates.size());
  // Distinct from the first.
  const std::size_t step = 1 + random_.Below(candidates.size() - 1);
  const std::size_t second = (first + step) % candidates.size();
  const bool second_is_better = Score(*candidates[second], work, now) <
                                Score(*candidates[first], work, now);
  return candidates[second_is_better ? second : first];
}

std::optional<Placement> EndpointPool::Pick(const WorkSpec& work, Time now) {
  const Entry* best = nullptr;
  double best_score = std::numeric_limits<double>::max();
  std::vector<const Entry*> usable;
  for (const auto& [id, entry] : entries_) {
    if (entry.record.service != work.service) continue;
    if (entry.record.role != work.role) continue;
    if (entry.record.state != EndpointLifecycle::kReady) continue;
    if (work.excluded.contains(id)) continue;
    if (work.version && entry.record.version != work.version) continue;
    if (now < entry.misplaced_until || now < entry.changing_until) continue;
    const double score = Score(entry, work, now);
    if (score < kFullPenaltyUs) usable.push_back(&entry);
    if (score >= best_score) continue;
    best = &entry;
    best_score = score;
  }
  if (best == nullptr) return std::nullopt;
  for (const Entry* entry : usable) {
    if (entry->record.id == work.reserved_at) return Place(*entry, work, now);
  }
  const bool is_model = work.role != EndpointRole::kPlain;
  if (is_model && usable.size() > 2) best = BetterOfTwo(usable, work, now);
  return Place(*best, work, now);
}

Placement EndpointPool::Place(const Entry& entry, const WorkSpec& work,
                              Time now) const {
  double occupancy = Occupancy(entry, work, now);
  if (now < entry.full_until) occupancy = std::max(occupancy, kOverFull);
  return {.endpoint = entry.record,
          .expected = ExpectedTime(entry, work, now),
          .occupancy = occupancy,
          .last_resort = IsLastResort(entry, now),
          .trial = entry.breaker.state(now) != CircuitState::kClosed};
}

EndpointLoad EndpointPool::OtherLoad(const Entry& entry, Time now) const {
  if (now - other_loads_at_ < kLoadLifetime) {
    const auto found = other_loads_.find(entry.record.id);
    return found == other_loads_.end() ? EndpointLoad{} : found->second;
  }
  // No current loads from a control instance: assumes that every other instance
  // has the same load as this one.
  return {(entry.in_flight + entry.reserved) * other_instances_,
          entry.memory.Scaled(other_instances_, 1)};
}

double EndpointPool::Occupancy(const Entry& entry, const WorkSpec& work,
                               Time now) const {
  const EndpointLoad other = OtherLoad(entry, now);
  double occupancy = 0;
  if (work.kv_capacity.value() > 0) {
    MemoryForecast used = entry.memory;
    used += work.memory;
    used += other.memory;
    occupancy = static_cast<double>(used.Peak().value()) /
                static_cast<double>(work.kv_capacity.value());
  }
  if (work.slots > 0) {
    const double used = entry.in_flight + entry.reserved + 1 + other.requests;
    occupancy = std::max(occupancy, used / work.slots);
  }
  return occupancy;
}

void EndpointPool::SetOtherLoads(EndpointLoads loads, int others, Time now) {
  other_loads_ = std::move(loads);
  other_loads_at_ = now;
  other_instances_ = others;
}

void EndpointPool::AddOtherLoads(const EndpointLoads& placed) {
  AddLoads(placed, &other_loads_);
}

EndpointLoads EndpointPool::OwnLoads() const {
  EndpointLoads loads;
  for (const auto& [id, entry] : entries_) {
    const int requests = entry.in_flight + entry.reserved;
    if (requests == 0) continue;
    loads[id] = {requests, entry.memory};
  }
  return loads;
}

void EndpointPool::OnStart(const EndpointId& id, const WorkSpec& work,
                           Time now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  // Registers the trial request of a half-open circuit.
  found->second.breaker.Allow(now);
  found->second.excess_breaker.Allow(now);
  if (!found->second.unanswered_since) found->second.unanswered_since = now;
  ++found->second.in_flight;
  found->second.in_flight_tokens += PrefillCost(work);
  found->second.memory += work.memory;
  if (work.role != EndpointRole::kPlain && work.reserved_at != id) {
    AddLoads({{id, {1, work.memory}}}, &placed_);
  }
}

void EndpointPool::Reserve(const EndpointId& id, const MemoryForecast& memory,
                           bool known_to_others) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  ++found->second.reserved;
  found->second.memory += memory;
  if (!known_to_others) AddLoads({{id, {1, memory}}}, &placed_);
}

void EndpointPool::Release(const EndpointId& id, const MemoryForecast& memory) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  --found->second.reserved;
  found->second.memory -= memory;
}

void EndpointPool::OnProgress(const EndpointId& id,
                              const MemoryForecast& memory, WorkSpec* work) {
  const auto found = entries_.find(id);
  if (found != entries_.end()) {
    found->second.memory -= work->memory;
    found->second.memory += memory;
  }
  work->memory = memory;
}

void EndpointPool::OnEvent(const EndpointId& id, Time now, WorkSpec* work) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  found->second.last_event_at = now;
  found->second.unanswered_since = now;
  if (!std::exchange(work->streaming, true)) ++found->second.streaming;
}

void EndpointPool::OnPaused(const EndpointId& id, WorkSpec* work) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  if (std::exchange(work->streaming, false)) --found->second.streaming;
}

void EndpointPool::OnResponse(const EndpointId& id, Time now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  ObserveResponse(found->second.in_flight_tokens, now, &found->second);
}

void EndpointPool::ObserveResponse(Tokens queued, Time now,
                                   Entry* entry) const {
  const Time unanswered_since = entry->unanswered_since.value_or(now);
  if (now - unanswered_since > SlowTime(*entry, queued, now)) {
    entry->resumed_at = now;
  }
  entry->unanswered_since.reset();
  if (entry->in_flight > 0) entry->unanswered_since = now;
  const bool was_closed = entry->breaker.state(now) == CircuitState::kClosed;
  entry->breaker.OnSuccess(now);
  const bool is_closed = entry->breaker.state(now) == CircuitState::kClosed;
  if (is_closed && !was_closed) entry->recovered_at = now;
}

double EndpointPool::FailureWeight(const Entry& entry, WorkOutcome outcome,
                                   Time now) const {
  switch (outcome) {
    case WorkOutcome::kBroken:
      return 1;
    case WorkOutcome::kServerError:
      return kServerErrorWeight;
    case WorkOutcome::kUnreachable:
    case WorkOutcome::kSilent: {
      // The circuit keeps work away while this lasts. Only an endpoint that
      // fails again soon after it recovered is avoided for longer.
      const bool again = entry.recovered_at.has_value() &&
                         now - *entry.recovered_at < kRelapseTime &&
                         entry.breaker.state(now) == CircuitState::kClosed;
      return again ? 1 : 0;
    }
    default:
      return 0;
  }
}

void EndpointPool::OnFinish(const EndpointId& id, const WorkSpec& work,
                            WorkOutcome outcome, Duration took, Time now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  Entry& entry = found->second;
  const Tokens queued = entry.in_flight_tokens;
  --entry.in_flight;
  if (work.streaming) --entry.streaming;
  entry.in_flight_tokens -= PrefillCost(work);
  entry.memory -= work.memory;
  if (outcome == WorkOutcome::kAbandoned) {
    entry.breaker.OnCancelled();
    entry.excess_breaker.OnCancelled();
    return;
  }
  if (outcome == WorkOutcome::kMisplaced) {
    entry.misplaced_until = now + kMisplacedExclusion;
    return;
  }
  if (outcome == WorkOutcome::kRejected) entry.full_until = now + kFullBackoff;
  const double decay = ObservationDecay(entry, now);
  entry.failure_share = (1 - kObservationWeight) * decay * entry.failure_share +
                        kObservationWeight * FailureWeight(entry, outcome, now);
  ObserveCircuits(outcome, queued, now, &entry);
  if (outcome == WorkOutcome::kDone && !work.prompt_is_prefilled) {
    ObserveCost(queued, took, now, &entry);
  }
  entry.observed_at = now;
}

void EndpointPool::ObserveCircuits(WorkOutcome outcome, Tokens queued, Time now,
                                   Entry* entry) const {
  const bool no_response =
      outcome == WorkOutcome::kUnreachable || outcome == WorkOutcome::kSilent;
  if (no_response) {
    entry->breaker.OnFailure(now);
    entry->excess_breaker.OnCancelled();
    return;
  }
  ObserveResponse(queued, now, entry);
  if (outcome == WorkOutcome::kExcessive) {
    entry->excess_breaker.OnFailure(now);
  } else {
    entry->excess_breaker.OnSuccess(now);
  }
}

Duration EndpointPool::OpenFor(const EndpointId& id, Time now) const {
  const auto found = entries_.find(id);
  Duration open{0};
  if (found == entries_.end()) return open;
  for (const CircuitBreaker* breaker :
       {&found->second.breaker, &found->second.excess_breaker}) {
    if (breaker->state(now) != CircuitState::kOpen) continue;
    open = std::max(open, breaker->retry_at() - now);
  }
  return open;
}

Duration EndpointPool::SlowTime(const Entry& entry, Tokens queued,
                                Time now) const {
  const auto units = std::max<std::int64_t>(1, queued.value());
  return FromSeconds(kHeldUpFactor * UnitCost(entry, now) *
                     static_cast<double>(units) / 1e6);
}

bool EndpointPool::WasHeldUp(Duration took, Duration slow, Time now,
                             Entry* entry) {
  const Time began = now - took;
  // Calls that were sent late in a silence take less than `slow`.
  if (took <= slow && began >= entry->resumed_at) {
    entry->slow_since.reset();
    return false;
  }
  const bool same_silence = began - entry->held_up_at <= kToleratedSilence;
  if (!entry->slow_since.has_value() || !same_silence) entry->slow_since = now;
  entry->held_up_at = now;
  // An endpoint that is slow for longer than a silence lasts is overloaded.
  return now - *entry->slow_since < kToleratedSilence;
}

void EndpointPool::ObserveCost(Tokens queued, Duration took, Time now,
                               Entry* entry) const {
  if (WasHeldUp(took, SlowTime(*entry, queued, now), now, entry)) return;
  const double units =
      static_cast<double>(std::max<std::int64_t>(1, queued.value()));
  const double sample = static_cast<double>(took.count()) / units;
  entry->unit_cost_us = (1 - kObservationWeight) * UnitCost(*entry, now) +
                        kObservationWeight * sample;
}

std::size_t EndpointPool::ReadyCount(
    const ServiceId& service,
    const std::optional<SoftwareVersion>& version) const {
  std::size_t count = 0;
  for (const auto& [id, entry] : entries_) {
    if (entry.record.service != service) continue;
    if (entry.record.state != EndpointLifecycle::kReady) continue;
    if (version && entry.record.version != version) continue;
    ++count;
  }
  return count;
}

std::optional<SoftwareVersion> EndpointPool::SoleVersion(
    const ServiceId& service, Duration known_for, Time now) const {
  const auto history = versions_.find(service);
  if (history == versions_.end()) return std::nullopt;
  if (now - history->second.known_since < known_for) return std::nullopt;
  std::optional<SoftwareVersion> sole;
  for (const auto& [id, entry] : entries_) {
    if (entry.record.service != service) continue;
    const std::optional<SoftwareVersion>& version = entry.record.version;
    if (!version || (sole && sole != version)) return std::nullopt;
    sole = version;
  }
  for (const auto& [version, replaced_at] : history->second.replaced_at) {
    const bool recent = now - replaced_at < known_for;
    if (recent && sole != version) return std::nullopt;
  }
  return sole;
}

std::set<SoftwareVersion> EndpointPool::ReadyVersions(const ServiceId& service,
                                                      EndpointRole role) const {
  std::set<SoftwareVersion> versions;
  for (const auto& [id, entry] : entries_) {
    if (entry.record.service != service || entry.record.role != role) continue;
    if (entry.record.state != EndpointLifecycle::kReady) continue;
    if (entry.record.version) versions.insert(*entry.record.version);
  }
  return versions;
}

const EndpointRecord* EndpointPool::Find(const EndpointId& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second.record;
}

}  // namespace cassiausher
