#include "servers/entry/endpoint_pool.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <utility>

namespace cassiausher {
namespace {

// Decoding from a fetched KV cache is assumed to take the time of prefilling
// this fraction of the prompt.
constexpr std::int64_t kDecodeCostDivisor = 8;
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
// Until a placement is known to all instances: two batch periods and the way.
constexpr Duration kPlacementDelay = Milliseconds(60);
// Minimum occupancy reported for a runner that just rejected a request.
constexpr double kOverFull = 1.01;
// Penalty for endpoints that are used only if there is no other; above any
// expected time.
constexpr double kLastResortPenaltyUs = 1e9;
// An endpoint that appears this long after the first of its service has just
// started; the others were running before this instance knew of them.
constexpr Duration kServiceLearned = Seconds(5);
// One connection that fails at one instance is no recovery of the endpoint: two
// instances must have seen one within this time.
constexpr int kRecoveredInstances = 2;
constexpr Duration kRecoveryTime = Seconds(3);
// Endpoints that turn requests away for less are busy rather than recovering.
constexpr Duration kLongBackoff = Milliseconds(500);
// Weight of the newest time at peers. Low, since an instance sees single
// responses that vary by a factor of two.
constexpr double kPeerTimeWeight = 0.05;
constexpr int kMinPeerSamples = 3;
// Times above this multiple of the peers' count as this multiple.
constexpr double kMaxRelativeTime = 8;
// What a call costs beyond reading its prompt, in prompt tokens.
constexpr double kCallTokens = 500;
constexpr Duration kStartRateTime = Seconds(10);
// Until a start at an endpoint in slow start is known to all instances.
constexpr Duration kPaceDelay = Milliseconds(80);
// A waiting request chooses about this often within kPaceDelay.
constexpr double kChoicesOfWaiting = 2;

bool IsFailure(WorkOutcome outcome) {
  switch (outcome) {
    case WorkOutcome::kServerError:
    case WorkOutcome::kUnreachable:
    case WorkOutcome::kBroken:
    case WorkOutcome::kSilent:
    case WorkOutcome::kExcessive:
      return true;
    default:
      return false;
  }
}

}  // namespace

EndpointPool::Entry::Entry(const EndpointRecord& update, Duration half_life)
    : record(update),
      health(update.role, half_life,
             std::hash<std::string>{}(update.id.value())) {}

EndpointPool::EndpointPool(EndpointPoolOptions options)
    : options_(std::move(options)), random_(options_.random_seed) {}

void EndpointPool::Merge(const EndpointRecord& update, Time now) {
  if (update.expired && !entries_.contains(update.id)) return;
  const Duration half_life = options_.observation_half_life;
  const auto [found, added] =
      entries_.try_emplace(update.id, Entry(update, half_life));
  Entry& entry = found->second;
  if (added) {
    versions_.try_emplace(update.service, VersionHistory{.known_since = now});
    entry.changed_at = now;
    const Time known_since = versions_.at(update.service).known_since;
    if (now - known_since >= kServiceLearned) {
      BeginPace(&entry, PaceReason::kStarted, now);
    }
    return;
  }
  const Incarnation old_incarnation = entry.record.incarnation;
  const std::optional<SoftwareVersion> old_version = entry.record.version;
  if (!cassiausher::Merge(update, &entry.record)) return;
  entry.changed_at = now;
  entry.health.set_role(entry.record.role);
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
  entry = Entry(entry.record, half_life);
  entry.changed_at = now;
  entry.in_flight = in_flight;
  entry.streaming = streaming;
  entry.last_event_at = last_event_at;
  entry.reserved = reserved;
  entry.in_flight_tokens = tokens;
  entry.memory = memory;
  BeginPace(&entry, PaceReason::kStarted, now);
}

void EndpointPool::SetSilent(const std::string& control,
                             std::set<EndpointId> silent, Time now) {
  std::vector<EndpointId> reported;
  for (const EndpointId& id : silent_[control].endpoints) {
    if (!silent.contains(id) && IsSilent(id, now)) reported.push_back(id);
  }
  silent_[control] = {std::move(silent), now};
  for (const EndpointId& id : reported) {
    const auto found = entries_.find(id);
    if (found == entries_.end() || IsSilent(id, now)) continue;
    BeginPace(&found->second, PaceReason::kSilence, now);
  }
}

void EndpointPool::OnLeaving(const EndpointId& id, Incarnation incarnation,
                             Time now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  Entry& entry = found->second;
  const bool is_news = entry.record.incarnation == incarnation &&
                       entry.record.state == EndpointLifecycle::kReady;
  if (!is_news) return;
  entry.record.state = EndpointLifecycle::kDraining;
  entry.changed_at = now;
}

void EndpointPool::OnTurnedAway(const EndpointId& id, Incarnation incarnation,
                                Time until) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  Entry& entry = found->second;
  if (entry.record.incarnation != incarnation) return;
  entry.backoff_until = std::max(entry.backoff_until, until);
}

void EndpointPool::OnBackoff(const EndpointId& id, Incarnation incarnation,
                             Duration backoff, Time now) {
  const auto found = entries_.find(id);
  if (found == entries_.end() || backoff < kLongBackoff) return;
  if (found->second.record.incarnation != incarnation) return;
  OnRecovered(&found->second, now);
}

bool EndpointPool::IsBackingOff(const EndpointId& id, Time now) const {
  const auto found = entries_.find(id);
  return found != entries_.end() && now < found->second.backoff_until;
}

std::optional<Time> EndpointPool::BackoffEnd(const ServiceId& service,
                                             EndpointRole role,
                                             Time now) const {
  std::optional<Time> end;
  for (const auto& [id, entry] : entries_) {
    if (entry.record.service != service || entry.record.role != role) continue;
    if (entry.record.state != EndpointLifecycle::kReady) continue;
    if (now >= entry.backoff_until) continue;
    end = std::min(end.value_or(entry.backoff_until), entry.backoff_until);
  }
  return end;
}

void EndpointPool::SetChanging(const EndpointId& id, Time until) {
  const auto found = entries_.find(id);
  if (found != entries_.end()) found->second.changing_until = until;
}

void EndpointPool::Expire(Time now) {
  std::erase_if(entries_, [&](const auto& item) {
    const Entry& entry = item.second;
    const EndpointRecord& record = entry.record;
    if (entry.in_flight > 0 || entry.reserved > 0) return false;
    const bool is_forgotten =
        now - entry.changed_at >= options_.tombstone_lifetime;
    // Not before, so that a record that comes back doesn't make it ready.
    const bool must_stay =
        record.state != EndpointLifecycle::kReady || now < entry.backoff_until;
    if (HasExpired(entry, now) && (!must_stay || is_forgotten)) {
      // It may have run streams until now.
      if (record.version) {
        versions_[record.service].replaced_at[*record.version] = now;
      }
      paced_.erase(record.id);
      return true;
    }
    const bool is_departed = record.state == EndpointLifecycle::kDeparted;
    if (!is_departed || !is_forgotten) return false;
    if (record.version) {
      versions_[record.service].replaced_at[*record.version] = entry.changed_at;
    }
    paced_.erase(record.id);
    return true;
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

void EndpointPool::SetRefusing(const std::set<EndpointRun>& runs) {
  refusing_.clear();
  // In ascending order of the incarnations of an endpoint.
  for (const EndpointRun& run : runs) refusing_[run.endpoint] = run.incarnation;
}

bool EndpointPool::IsRefusing(const EndpointRecord& record) const {
  const auto found = refusing_.find(record.id);
  return found != refusing_.end() && found->second == record.incarnation;
}

bool EndpointPool::HasExpired(const Entry& entry, Time now) const {
  return entry.record.expired && IsSilent(entry.record.id, now);
}

bool EndpointPool::IsOfEarlierRun(const WorkSpec& work, const Entry& entry) {
  return work.incarnation && *work.incarnation != entry.record.incarnation;
}

Tokens EndpointPool::PrefillCost(const WorkSpec& work) {
  if (!work.prompt_is_prefilled) return work.prompt;
  return Tokens(work.prompt.value() / kDecodeCostDivisor);
}

Duration EndpointPool::ExpectedTime(const Entry& entry, const WorkSpec& work,
                                    Time now) const {
  const double unit = entry.health.UnitCost(now);
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
  const bool full = occupancy > work.full_occupancy || now < entry.full_until ||
                    held_back_.contains(entry.record.id);
  if (full) score += kFullPenaltyUs;
  score += entry.health.FailureShare(now) *
           static_cast<double>(options_.failure_penalty.count());
  if (IsLastResort(entry, work, now)) score += kLastResortPenaltyUs;
  return score;
}

bool EndpointPool::IsQuiet(const Entry& entry, Time now) {
  return entry.streaming > 0 && now - entry.last_event_at >= kQuietTime;
}

bool EndpointPool::IsAvailable(const Entry& entry, Time now) const {
  return entry.record.state == EndpointLifecycle::kReady &&
         !HasExpired(entry, now) && now >= entry.misplaced_until &&
         now >= entry.changing_until && now >= entry.backoff_until;
}

bool EndpointPool::IsLastResort(const Entry& entry, const WorkSpec& work,
                                Time now) const {
  const bool is_quiet = !work.accepts_quiet && IsQuiet(entry, now);
  return is_quiet || IsRefusing(entry.record) ||
         IsSilent(entry.record.id, now) || !entry.health.Admits(now);
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
  HoldBack(work, now);
  const Entry* best = nullptr;
  double best_score = std::numeric_limits<double>::max();
  std::vector<const Entry*> usable;
  for (const auto& [id, entry] : entries_) {
    if (entry.record.service != work.service) continue;
    if (entry.record.role != work.role) continue;
    if (work.excluded.contains(id) || !IsAvailable(entry, now)) continue;
    if (work.version && entry.record.version != work.version) continue;
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
  // All instances see the same few runners with room, so that another one may
  // have taken it meanwhile.
  const double unseen = UnseenOccupancy(work, usable.size(), now);
  const bool had_usable = !usable.empty();
  std::erase_if(usable, [&](const Entry* entry) {
    return Occupancy(*entry, work, now) + unseen > work.full_occupancy;
  });
  if (had_usable && usable.empty()) {
    Placement contested = Place(*best, work, now);
    contested.occupancy += unseen;
    return contested;
  }
  if (work.can_wait && !usable.empty() && !MayPlace(work, usable, now)) {
    Placement contested = Place(*best, work, now);
    contested.occupancy = std::max(contested.occupancy, kOverFull);
    return contested;
  }
  const bool is_model = work.role != EndpointRole::kPlain;
  if (is_model && usable.size() > 2) best = BetterOfTwo(usable, work, now);
  return Place(*best, work, now);
}

Placement EndpointPool::Place(const Entry& entry, const WorkSpec& work,
                              Time now) const {
  double occupancy = Occupancy(entry, work, now);
  const bool full =
      now < entry.full_until || held_back_.contains(entry.record.id);
  if (full) occupancy = std::max(occupancy, kOverFull);
  return {.endpoint = entry.record,
          .expected = ExpectedTime(entry, work, now),
          .occupancy = occupancy,
          .requests_per_slot = RequestsPerSlot(entry, now),
          .last_resort = IsLastResort(entry, work, now),
          .trial = entry.health.IsTrial(now)};
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

double EndpointPool::RequestsPerSlot(const Entry& entry, Time now) const {
  const double requests =
      entry.in_flight + entry.reserved + 1 + OtherLoad(entry, now).requests;
  return requests / std::max(1, entry.record.slots);
}

void EndpointPool::SetOtherLoads(EndpointLoads loads, int others, Time now) {
  other_loads_ = std::move(loads);
  other_loads_at_ = now;
  other_instances_ = others;
}

void EndpointPool::AddOtherLoads(const EndpointLoads& placed, Time now) {
  AddLoads(placed, &other_loads_);
  for (const auto& [id, load] : placed) {
    const EndpointRecord* record = Find(id);
    const bool decodes =
        record != nullptr && record->role == EndpointRole::kDecode;
    if (!decodes) continue;
    placement_rates_[record->service].OnPlacements(load.requests, now);
  }
}

double EndpointPool::UnseenOccupancy(const WorkSpec& work, std::size_t usable,
                                     Time now) const {
  const auto rate = placement_rates_.find(work.service);
  const bool limited = work.role == EndpointRole::kDecode &&
                       work.kv_capacity.value() > 0 && usable > 0;
  if (!limited || rate == placement_rates_.end()) return 0;
  const double unseen =
      rate->second.PerSecond(now) * ToSeconds(kPlacementDelay);
  const double stream = static_cast<double>(work.memory.Peak().value()) /
                        static_cast<double>(work.kv_capacity.value());
  return unseen / static_cast<double>(usable) * stream;
}

bool EndpointPool::MayPlace(const WorkSpec& work,
                            const std::vector<const Entry*>& usable, Time now) {
  const auto others = other_waiting_.find(work.service);
  const bool contested = others != other_waiting_.end() &&
                         work.kv_capacity.value() > 0 &&
                         now - other_loads_at_ < kLoadLifetime;
  if (!contested) return true;
  // In streams of the mean size, so that those with a long prompt have the same
  // chance.
  const double stream = MeanStreamOccupancy(work, now);
  double room = 0;
  for (const Entry* entry : usable) {
    const double left = work.full_occupancy - Occupancy(*entry, work, now);
    room += 1 + std::floor(left / stream);
  }
  return random_.Unit() * others->second < room;
}

double EndpointPool::MeanStreamOccupancy(const WorkSpec& work, Time now) const {
  std::int64_t streams = 1;
  std::int64_t tokens = std::max<std::int64_t>(1, work.memory.Peak().value());
  for (const auto& [id, entry] : entries_) {
    if (entry.record.service != work.service) continue;
    if (entry.record.role != work.role) continue;
    const EndpointLoad other = OtherLoad(entry, now);
    streams += entry.in_flight + entry.reserved + other.requests;
    tokens += entry.memory.Peak().value() + other.memory.Peak().value();
  }
  return static_cast<double>(tokens) / static_cast<double>(streams) /
         static_cast<double>(work.kv_capacity.value());
}

int EndpointPool::WaitingFor(const ServiceId& service) const {
  const auto found = waiting_.find(service);
  return found == waiting_.end() ? 0 : found->second;
}

void EndpointPool::ChangeWaiting(const ServiceId& service, int difference) {
  int& waiting = waiting_[service];
  waiting += difference;
  if (waiting == 0) waiting_.erase(service);
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
  found->second.health.OnStart(now);
  CountStart(&found->second, now);
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
  if (!IsOfEarlierRun(*work, found->second)) {
    found->second.health.OnEvent(now);
    const bool is_first = work->started_at && !work->is_timed;
    if (is_first) {
      CountTime(&found->second, *work, now - *work->started_at, now);
      work->is_timed = true;
    }
  }
  if (!std::exchange(work->streaming, true)) ++found->second.streaming;
}

void EndpointPool::OnPaused(const EndpointId& id, WorkSpec* work) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  if (std::exchange(work->streaming, false)) --found->second.streaming;
}

void EndpointPool::OnResponse(const EndpointId& id, const WorkSpec& work,
                              Time now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  Entry& entry = found->second;
  if (IsOfEarlierRun(work, entry)) return;
  const bool was_open = entry.health.IsTrial(now);
  entry.health.OnResponse({entry.in_flight, entry.in_flight_tokens}, now);
  if (was_open && !entry.health.IsTrial(now)) OnRecovered(&entry, now);
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
  if (IsOfEarlierRun(work, entry)) return;
  const bool is_plain = entry.record.role == EndpointRole::kPlain;
  PaceOutcomes counts{.ended = is_plain ? 1 : 0};
  counts.refused = outcome == WorkOutcome::kRejected ? 1 : 0;
  counts.failed = IsFailure(outcome) ? 1 : 0;
  CountOutcomes(&entry, counts, now);
  if (outcome == WorkOutcome::kDone && !work.is_timed) {
    CountTime(&entry, work, took, now);
  }
  if (outcome == WorkOutcome::kAbandoned) {
    entry.health.OnCancelled();
    return;
  }
  if (outcome == WorkOutcome::kMisplaced) {
    entry.misplaced_until = now + kMisplacedExclusion;
    return;
  }
  if (outcome == WorkOutcome::kRejected) entry.full_until = now + kFullBackoff;
  const bool was_open = entry.health.IsTrial(now);
  entry.health.OnOutcome(outcome, {entry.in_flight, queued}, now - took, now);
  if (was_open && !entry.health.IsTrial(now)) OnRecovered(&entry, now);
  if (outcome == WorkOutcome::kDone && !work.prompt_is_prefilled) {
    entry.health.OnCost(queued, took, now);
  }
}

void EndpointPool::BeginPace(Entry* entry, PaceReason reason, Time now) {
  const EndpointRecord& record = entry->record;
  if (record.state != EndpointLifecycle::kReady) return;
  entry->recoveries = 0;
  entry->pace.emplace(record.slots, now);
  paced_.insert(record.id);
  pace_changes_.push_back({.endpoint = record.id,
                           .began = true,
                           .limit = entry->pace->limit(),
                           .reason = Name(reason)});
}

void EndpointPool::OnRecovered(Entry* entry, Time now) {
  const PaceOutcomes counts{.incarnation = entry->record.incarnation,
                            .recoveries = 1};
  if (other_instances_ > 0)
    AddOutcomes({{entry->record.id, counts}}, &outcomes_);
  CountRecoveries(entry, 1, now);
}

void EndpointPool::CountRecoveries(Entry* entry, int instances, Time now) {
  if (instances == 0) return;
  if (now - entry->recovered_at >= kRecoveryTime) entry->recoveries = 0;
  entry->recovered_at = now;
  entry->recoveries += instances;
  if (entry->recoveries < std::min(kRecoveredInstances, 1 + other_instances_)) {
    return;
  }
  // While slow start lasts, its limit follows the failures themselves.
  if (!entry->pace.has_value()) BeginPace(entry, PaceReason::kRecoveries, now);
}

void EndpointPool::CountOutcomes(Entry* entry, const PaceOutcomes& outcomes,
                                 Time now) {
  if (!entry->pace.has_value()) return;
  PaceOutcomes counts = outcomes;
  counts.incarnation = entry->record.incarnation;
  entry->pace->OnOutcomes(counts, InProgress(*entry, now), now);
  if (counts == PaceOutcomes{.incarnation = counts.incarnation}) return;
  if (other_instances_ > 0)
    AddOutcomes({{entry->record.id, counts}}, &outcomes_);
}

double EndpointPool::Units(const Entry& entry, const WorkSpec& work,
                           Time now) const {
  if (entry.record.role != EndpointRole::kPlain) {
    return kCallTokens + static_cast<double>(PrefillCost(work).value());
  }
  const double slots = std::max(1, entry.record.slots);
  return std::max(1.0, (InProgress(entry, now) + 1) / slots);
}

void EndpointPool::CountTime(Entry* entry, const WorkSpec& work, Duration took,
                             Time now) {
  PeerTimes& peers = peer_times_[PeersOf(entry->record)];
  const double unit_time =
      static_cast<double>(took.count()) / Units(*entry, work, now);
  if (!entry->pace.has_value()) {
    ++peers.samples;
    const double weight = std::max(kPeerTimeWeight, 1.0 / peers.samples);
    peers.unit_time_us += weight * (unit_time - peers.unit_time_us);
    return;
  }
  if (peers.samples < kMinPeerSamples || peers.unit_time_us <= 0) return;
  const double relative =
      std::min(kMaxRelativeTime, unit_time / peers.unit_time_us);
  CountOutcomes(entry,
                {.answered = 1,
                 .relative_time = static_cast<std::int64_t>(1000 * relative)},
                now);
}

void EndpointPool::CountStart(Entry* entry, Time now) {
  PeerTimes& peers = peer_times_[PeersOf(entry->record)];
  const double age =
      ToSeconds(now - peers.starts_at) / ToSeconds(kStartRateTime);
  peers.starts_per_second =
      peers.starts_per_second * std::exp(-age) + 1 / ToSeconds(kStartRateTime);
  peers.starts_at = now;
  if (entry->record.role != EndpointRole::kPlain) return;
  CountOutcomes(entry, {.started = 1}, now);
}

double EndpointPool::InProgress(const Entry& entry, Time now) const {
  const double own = entry.in_flight + entry.reserved;
  // Loads of plain endpoints are reported only every 500 ms, which is longer
  // than their requests take.
  if (entry.pace.has_value() && entry.record.role == EndpointRole::kPlain) {
    const auto others = entry.pace->OthersInProgress(now);
    if (others.has_value()) return own + *others;
  }
  return own + OtherLoad(entry, now).requests;
}

double EndpointPool::UnseenRequests(const WorkSpec& work, Time now) const {
  double per_second = 0;
  const auto peers = peer_times_.find({work.service, work.role});
  if (peers != peer_times_.end()) {
    const double age =
        ToSeconds(now - peers->second.starts_at) / ToSeconds(kStartRateTime);
    per_second = peers->second.starts_per_second * std::exp(-age) *
                 (1 + other_instances_);
  }
  double waiting = WaitingFor(work.service);
  const auto others = other_waiting_.find(work.service);
  if (others != other_waiting_.end()) waiting += others->second;
  return per_second * ToSeconds(kPaceDelay) + waiting * kChoicesOfWaiting;
}

void EndpointPool::HoldBack(const WorkSpec& work, Time now) {
  held_back_.clear();
  if (paced_.empty()) return;
  std::vector<const Entry*> paced;
  std::size_t settled = 0;
  double load = 0;
  for (const auto& [id, entry] : entries_) {
    if (entry.record.service != work.service) continue;
    if (entry.record.role != work.role) continue;
    if (work.excluded.contains(id) || !IsAvailable(entry, now)) continue;
    if (work.version && entry.record.version != work.version) continue;
    if (entry.pace.has_value()) {
      paced.push_back(&entry);
    } else if (!IsLastResort(entry, work, now)) {
      ++settled;
      load += work.kv_capacity.value() > 0
                  ? Occupancy(entry, work, now) / work.full_occupancy
                  : InProgress(entry, now) / std::max(1, entry.record.slots);
    }
  }
  if (settled == 0) return;
  load /= static_cast<double>(settled);
  double unseen = UnseenRequests(work, now);
  // Each request chooses the better of two runners, but all the same plain
  // endpoint.
  const std::size_t choices = settled + paced.size();
  if (work.role != EndpointRole::kPlain && choices > 2) {
    unseen *= 2.0 / static_cast<double>(choices);
  }
  for (const Entry* entry : paced) {
    if (entry->record.id == work.reserved_at) continue;
    const double chance = AdmissionProbability(entry->pace->LimitAt(load, now),
                                               InProgress(*entry, now), unseen);
    if (!random_.Chance(chance)) held_back_.insert(entry->record.id);
  }
}

bool EndpointPool::HasPeers(const Entry& entry, Time now) const {
  return std::any_of(entries_.begin(), entries_.end(), [&](const auto& item) {
    const Entry& other = item.second;
    return !other.pace.has_value() &&
           other.record.service == entry.record.service &&
           other.record.role == entry.record.role && IsAvailable(other, now) &&
           !IsSilent(item.first, now) && other.health.Admits(now);
  });
}

EndpointPaceOutcomes EndpointPool::TakeOutcomes(Time now) {
  const std::set<EndpointId> paced = paced_;
  for (const EndpointId& id : paced) {
    Entry& entry = entries_.at(id);
    std::optional<PaceEnd> end = entry.pace->End(HasPeers(entry, now), now);
    if (end.has_value()) EndPace(&entry, *end, now);
  }
  return std::exchange(outcomes_, {});
}

void EndpointPool::EndPace(Entry* entry, PaceEnd reason, Time now) {
  const EndpointId& id = entry->record.id;
  pace_changes_.push_back({.endpoint = id,
                           .began = false,
                           .limit = entry->pace->limit(),
                           .reason = Name(reason)});
  CountOutcomes(entry, {.settled = 1}, now);
  // Most instances have hardly used a plain endpoint and assume a low cost, so
  // that all of them would choose it at once. With the mean cost of its peers
  // as this instance sees them, it is chosen as often as they are.
  double cost_us = 0;
  int peers = 0;
  for (const auto& [other_id, other] : entries_) {
    if (PeersOf(other.record) != PeersOf(entry->record)) continue;
    if (other.pace.has_value() || !IsAvailable(other, now)) continue;
    cost_us += other.health.UnitCost(now);
    ++peers;
  }
  if (peers > 0 && entry->record.role == EndpointRole::kPlain) {
    const double unit_cost = cost_us / peers * entry->pace->steady_time();
    entry->health.SetCost(Duration(static_cast<std::int64_t>(unit_cost)), now);
  }
  entry->pace.reset();
  paced_.erase(id);
}

void EndpointPool::AddOtherOutcomes(const EndpointPaceOutcomes& outcomes,
                                    Time now) {
  for (const auto& [id, counts] : outcomes) {
    const auto found = entries_.find(id);
    if (found == entries_.end()) continue;
    Entry& entry = found->second;
    if (counts.incarnation != entry.record.incarnation) continue;
    CountRecoveries(&entry, counts.recoveries, now);
    if (!entry.pace.has_value()) continue;
    entry.pace->OnOtherInstances(counts, now);
    entry.pace->OnOutcomes(counts, InProgress(entry, now), now);
  }
}

Duration EndpointPool::OpenFor(const EndpointId& id, Time now) const {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return Duration(0);
  return found->second.health.OpenFor(now);
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

std::vector<const EndpointRecord*> EndpointPool::ReadyEndpoints(
    const ServiceId& service, std::optional<EndpointRole> role) const {
  std::vector<const EndpointRecord*> endpoints;
  for (const auto& [id, entry] : entries_) {
    const EndpointRecord& record = entry.record;
    if (record.service != service || record.expired) continue;
    if (role && record.role != *role) continue;
    if (record.state == EndpointLifecycle::kReady) endpoints.push_back(&record);
  }
  return endpoints;
}

const EndpointRecord* EndpointPool::Find(const EndpointId& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second.record;
}

}  // namespace cassiausher
