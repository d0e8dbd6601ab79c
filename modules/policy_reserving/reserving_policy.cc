// Admission, queueing and reservation.
#include "modules/policy_reserving/reserving_policy.h"

#include <algorithm>
#include <cmath>

namespace cassiausher {

namespace {

/// A prompt is sent to a prefill engine only if the engine's backlog is at most
/// this long. Further prompts wait in the queues, where a class of higher
/// priority can overtake them and they hold no slot yet.
constexpr Duration kMaxPrefillBacklog = Milliseconds(100);
/// A request that would miss its target even in an idle pool gets this multiple
/// of its unloaded latency and margin: it is late, but runs.
constexpr int kRelaxedTargetFactor = 2;
/// How long a request whose attempt failed may wait for its next start.
constexpr Duration kRetryWait = Seconds(10);
/// Retries added to the budget by each first attempt.
constexpr double kRetriesPerRequest = 0.1;
/// The retry budget holds at most one retry per slot plus this number, because
/// a dead engine fails the requests in all its slots at once.
constexpr double kSpareRetries = 20;
/// The headroom for classes of higher priority is at most one slot in this
/// many.
constexpr int kSlotsPerHeadroomSlot = 20;
/// The KV transfer link counts as stalled when the first token after a transfer
/// is late by more than
/// kMinStallDelay + (1 - prefill_thrift) * kExtraStallDelay.
constexpr Duration kMinStallDelay = Milliseconds(100);
constexpr Duration kExtraStallDelay = Milliseconds(1000);
/// Factor on the mean expected wait. A request that would barely meet its
/// target does better in another data centre with a free slot; 1.25 was the
/// best of 0.6 to 5 in the policy bench.
constexpr double kWaitSafetyFactor = 1.25;
/// If the expected wait is longer, another data centre with free slots is the
/// better choice.
constexpr Duration kMaxWaitBeforeForwarding = Milliseconds(20);
/// No headroom is kept below this arrival rate of the classes of higher
/// priority.
constexpr double kMinArrivalsPerSecond = 0.05;
/// Only this fraction (1/divisor) of a cached prefix is counted as saved, as
/// cache events are delayed.
constexpr int kCacheCreditDivisor = 2;
/// Decode engines considered per placement, in addition to the number of those
/// that the request avoids.
constexpr std::size_t kDecodeCandidates = 4;
/// Quantile of the output length that the reserved KV cache covers.
constexpr double kKvOutputQuantile = 0.9;
constexpr double kInitialFirstStepSeconds = 0.05;
/// Weight of a new observation in the moving averages.
constexpr double kSmoothingWeight = 1.0 / 64;
constexpr Duration kMinRetryAfter = Milliseconds(50);
constexpr Duration kMaxRetryAfter = Seconds(5);
constexpr Duration kNoEngineRetryAfter = Seconds(1);

}  // namespace

ReservingPolicy::ReservingPolicy(RoutingOptions options)
    : PolicyBase(std::move(options)),
      link_(PolicyBase::options().link_bytes_per_second),
      retry_tokens_(kSpareRetries),
      first_step_seconds_(kInitialFirstStepSeconds) {}

void ReservingPolicy::Reconfigure(const RoutingOptions& options, Time now) {
  link_.SetRate(options.link_bytes_per_second);
  // A class whose priority changed continues under a new key.
  std::erase_if(classes_, [](const auto& item) {
    return item.second.held == 0 && item.second.queue.empty();
  });
  PolicyBase::Reconfigure(options, now);
}

ReservingPolicy::ClassState& ReservingPolicy::StateOf(const Request& request) {
  return classes_[{request.targets.priority, request.targets.id}];
}

void ReservingPolicy::Place(Request& request, Time now) {
  StateOf(request).statistics.RecordArrival(now);
  const bool no_prefill_engine =
      NeedsPrefillEngine(request) && prefills().empty();
  if (decodes().empty() || no_prefill_engine) {
    Refuse(request, RefusalReason::kOverloaded, kNoEngineRetryAfter, now);
    return;
  }
  const bool stalled = NeedsPrefillEngine(request) && LinkStalled(now);
  if (stalled && request.request.attempt == 0) {
    Refuse(request, RefusalReason::kOverloaded, RetryAfter(), now);
    return;
  }
  if (!TakeRetry(request)) {
    Refuse(request, RefusalReason::kRetriesSpent, RetryAfter(), now);
    return;
  }
  request.effective_deadline = EffectiveDeadline(request, now);
  request.grant_by =
      request.effective_deadline - UnloadedLatency(request) - Margin(request);
  if (request.grant_by < now) {
    Refuse(request, RefusalReason::kOverloaded, RetryAfter(), now);
    return;
  }
  const RequestId id = request.request.id;
  Enqueue(request, now);
  OnCapacity(now);
  ShedLateRequests(now);
  const Request* waiting = FindRequest(id);
  const bool queued = waiting && waiting->stage == RequestStage::kQueued;
  if (!queued || !waiting->request.may_forward) return;
  if (waiting->request.attempt == 0 &&
      ExpectedWait(*waiting, StateOf(*waiting).queue.size() - 1, now) >
          kMaxWaitBeforeForwarding)
    Refuse(*waiting, RefusalReason::kOverloaded, RetryAfter(), now);
}

void ReservingPolicy::Enqueue(Request& request, Time now) {
  ClassState& state = StateOf(request);
  const RequestId& id = request.request.id;
  if (request.request.attempt > 0) {
    state.queue.PushInterrupted(id, now);
  } else {
    const double cost = ToSeconds(state.statistics.Residence());
    state.queue.Push(id, request.request.account, cost, request.grant_by);
  }
  if (NeedsPrefillEngine(request)) queued_prefill_tokens_ += request.prompt();
  request.queued_tokens =
      NeedsPrefillEngine(request) ? request.prompt() : Tokens(0);
  timers_.insert({std::max(now, request.grant_by), id});
}

void ReservingPolicy::OnDequeue(const Request& request, Time /*now*/) {
  const RequestId& id = request.request.id;
  if (timers_.erase({request.grant_by, id}) == 0) return;
  queued_prefill_tokens_ -= request.queued_tokens;
  CheckInvariant(queued_prefill_tokens_ >= Tokens(0),
                 "queued prefill tokens are not negative");
  StateOf(request).queue.Remove(id);
}

bool ReservingPolicy::TakeRetry(const Request& request) {
  if (request.request.attempt > 0) {
    if (retry_tokens_ < 1) return false;
    retry_tokens_ -= 1;
    return true;
  }
  const double max_tokens = kSpareRetries + available_slots();
  retry_tokens_ = std::min(max_tokens, retry_tokens_ + kRetriesPerRequest);
  return true;
}

Time ReservingPolicy::EffectiveDeadline(const Request& request,
                                        Time now) const {
  const Duration unloaded = UnloadedLatency(request);
  const Duration target = request.targets.first_token;
  // The request was accepted and a failed attempt has used up its target. It is
  // answered late rather than aborted.
  if (request.request.attempt > 0) return now + kRetryWait + unloaded;
  if (unloaded + Margin(request) <= target) return request.deadline();
  return request.request.arrived +
         kRelaxedTargetFactor * (unloaded + Margin(request));
}

Duration ReservingPolicy::UnloadedLatency(const Request& request) const {
  Duration time = FromSeconds(first_step_seconds_);
  const std::shared_ptr<PoolEndpoint> decode =
      ByOrdinal(decodes().begin()->second);
  if (!NeedsPrefillEngine(request))
    return time + decode->PrefillTime(request.prompt());
  const std::shared_ptr<PoolEndpoint> prefill =
      ByOrdinal(prefills().begin()->second);
  const double bytes =
      static_cast<double>(KvBytes(*decode, request.prompt()).value());
  const double rate = std::max(1.0, options().link_bytes_per_second);
  return time + prefill->PrefillTime(request.prompt()) +
         FromSeconds(bytes / rate);
}

bool ReservingPolicy::LinkStalled(Time now) const {
  if (transfers_due_.empty()) return false;
  const double tolerance = 1 - std::clamp(options().prefill_thrift, 0.0, 1.0);
  const Duration late =
      kMinStallDelay + FromSeconds(ToSeconds(kExtraStallDelay) * tolerance);
  return now > transfers_due_.begin()->first + late;
}

Duration ReservingPolicy::Margin(const Request& request) const {
  // A late prompt wastes little work if a decode engine prefills it.
  if (!NeedsPrefillEngine(request)) return Duration(0);
  return FromSeconds(2 * options().prefill_thrift * prediction_error_seconds_);
}

double ReservingPolicy::SlotsFreedPerSecond() const {
  double freed = 0;
  for (const auto& [key, state] : classes_)
    freed += state.held / ToSeconds(state.statistics.Residence());
  return freed;
}

Duration ReservingPolicy::RetryAfter() const {
  const double freed = std::max(0.01, SlotsFreedPerSecond());
  std::size_t queued = 1;
  for (const auto& [key, state] : classes_) queued += state.queue.size();
  const Duration wait = FromSeconds(static_cast<double>(queued) / freed);
  return std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
}

int ReservingPolicy::Headroom(const Request& request, Time now) const {
  double arrivals = 0;
  for (const auto& [key, state] : classes_) {
    if (key.first >= request.targets.priority) break;
    arrivals += state.statistics.ArrivalRate(now);
  }
  if (arrivals < kMinArrivalsPerSecond) return 0;
  const double freed = std::max(0.1, SlotsFreedPerSecond());
  const int wanted = static_cast<int>(std::ceil(arrivals / freed));
  return std::min(wanted, available_slots() / kSlotsPerHeadroomSlot);
}

Duration ReservingPolicy::ExpectedWait(const Request& request,
                                       std::size_t ahead, Time now) const {
  const int free = available_free_slots() - Headroom(request, now);
  const double missing_slots = static_cast<double>(ahead) + 1 - free;
  double wait = 0;
  if (missing_slots > 0)
    wait = kWaitSafetyFactor * missing_slots /
           std::max(0.01, SlotsFreedPerSecond());
  if (!NeedsPrefillEngine(request) || prefills().empty())
    return FromSeconds(std::min(wait, 3600.0));
  const std::shared_ptr<PoolEndpoint> engine =
      ByOrdinal(prefills().begin()->second);
  // `queued_prefill_tokens_` includes the request itself.
  const Tokens before = queued_prefill_tokens_ - request.prompt();
  const double queued = ToSeconds(engine->PrefillTime(before)) /
                        static_cast<double>(prefills().size());
  const double busy = ToSeconds(engine->prefill_busy_until - now);
  wait = std::max(wait, queued + std::max(0.0, busy));
  return FromSeconds(std::min(wait, 3600.0));
}

void ReservingPolicy::ShedLateRequests(Time now) {
  std::size_t ahead = 0;
  for (auto& [key, state] : classes_) {
    while (!state.queue.empty()) {
      const Request& last = *FindRequest(state.queue.next_dropped());
      const std::size_t before = ahead + state.queue.size() - 1;
      if (now + ExpectedWait(last, before, now) <= last.grant_by) break;
      Refuse(last, RefusalReason::kOverloaded, RetryAfter(), now);
    }
    ahead += state.queue.size();
  }
}

void ReservingPolicy::OnCapacity(Time now) {
  for (auto& [key, state] : classes_) {
    while (!state.queue.empty()) {
      const RequestId id = state.queue.next_served();
      Request& request = *FindRequest(id);
      const Outcome outcome = TryStart(request, now);
      if (outcome == Outcome::kWait) break;
      if (outcome == Outcome::kInfeasible)
        Refuse(request, RefusalReason::kOverloaded, RetryAfter(), now);
    }
  }
}

ReservingPolicy::Outcome ReservingPolicy::TryStart(Request& request, Time now) {
  if (available_free_slots() <= Headroom(request, now)) return Outcome::kWait;
  Plan plan;
  plan.decode = ChooseDecode(request, now);
  if (!plan.decode) return Outcome::kWait;
  if (!NeedsPrefillEngine(request)) {
    plan.prefill_end = now + plan.decode->PrefillTime(request.prompt());
    plan.first_token = plan.prefill_end;
  } else {
    if (LinkStalled(now)) return Outcome::kWait;
    if (!ChoosePrefill(request, plan, now)) return Outcome::kWait;
    if (plan.prefill->prefill_busy_until - now > kMaxPrefillBacklog)
      return Outcome::kWait;
    plan.transfer = KvBytes(*plan.decode, request.prompt());
    plan.first_token = link_.EndOf(plan.transfer, plan.prefill_end, now);
    if (plan.first_token == Time::max()) return Outcome::kInfeasible;
  }
  plan.first_token += FromSeconds(first_step_seconds_);
  if (plan.first_token + Margin(request) > request.effective_deadline)
    return Outcome::kInfeasible;

  CheckInvariant(plan.decode->held < plan.decode->info.slots,
                 "slots are not over-committed");
  StateOf(request).queue.Serve(request.request.id);
  RequestReservation& reservation = reservations_[request.request.id];
  reservation.predicted_first_token = plan.first_token;
  reservation.transfer = plan.transfer;
  if (plan.prefill) {
    reservation.link = link_.Reserve(plan.transfer, plan.prefill_end, now);
    for (const std::uint64_t hash : request.request.prefix_hashes)
      prefixes_.Store(hash, plan.prefill->ordinal, now);
  }
  Start(request, plan.prefill, plan.decode, plan.prefill_tokens, now);
  return Outcome::kStarted;
}

bool ReservingPolicy::ChoosePrefill(const Request& request, Plan& plan,
                                    Time now) const {
  const auto consider = [&](const std::shared_ptr<PoolEndpoint>& engine,
                            Tokens cached) {
    const Tokens credit(cached.value() / kCacheCreditDivisor);
    const Tokens tokens = std::max(Tokens(1), request.prompt() - credit);
    const Time end =
        std::max(now, engine->prefill_busy_until) + engine->PrefillTime(tokens);
    if (plan.prefill && end >= plan.prefill_end) return;
    plan.prefill = engine;
    plan.prefill_tokens = tokens;
    plan.prefill_end = end;
  };
  for (const PrefixIndex::Match& match :
       prefixes_.Longest(request.request.prefix_hashes, now)) {
    const std::shared_ptr<PoolEndpoint> engine = ByOrdinal(match.endpoint);
    const bool usable = engine && engine->Available(now) &&
                        !engine->on_trial() && !Avoids(request, *engine);
    if (usable) consider(engine, match.tokens);
  }
  const auto least_busy = FirstAvailable(prefills(), request, now);
  if (least_busy) consider(least_busy, Tokens(0));
  return plan.prefill != nullptr;
}

std::shared_ptr<PoolEndpoint> ReservingPolicy::ChooseDecode(
    const Request& request, Time now) const {
  std::shared_ptr<PoolEndpoint> fallback;
  std::size_t tried = 0;
  for (const auto& [score, ordinal] : decodes()) {
    const std::shared_ptr<PoolEndpoint> engine = ByOrdinal(ordinal);
    const bool full = engine->free_slots() <= 0;
    if (full || tried++ >= kDecodeCandidates + request.request.avoid.size())
      break;
    if (!engine->Available(now)) continue;
    const Bytes need = engine->kv_committed + KvNeed(request, *engine);
    const bool bounded = engine->info.kv_capacity > Bytes(0);
    // An idle engine takes any prompt that fits, as the output length is only
    // an estimate.
    if (bounded && engine->held > 0 && need > engine->info.kv_capacity)
      continue;
    if (!Avoids(request, *engine)) return engine;
    if (!fallback) fallback = engine;
  }
  return fallback;
}

Bytes ReservingPolicy::KvBytes(const PoolEndpoint& decode,
                               Tokens tokens) const {
  return Bytes(tokens.value() * decode.info.kv_bytes_per_token.value());
}

Bytes ReservingPolicy::KvNeed(const Request& request,
                              const PoolEndpoint& decode) const {
  const auto found =
      classes_.find({request.targets.priority, request.targets.id});
  Tokens output = request.request.max_output_tokens;
  if (found != classes_.end())
    output = found->second.statistics.OutputQuantile(kKvOutputQuantile, output);
  return KvBytes(decode, request.prompt() + output);
}

void ReservingPolicy::OnBegin(Request& request, Time /*now*/) {
  ++StateOf(request).held;
  RequestReservation& reservation = reservations_[request.request.id];
  if (!request.decode) return;
  reservation.kv = KvNeed(request, *request.decode);
  request.decode->kv_committed += reservation.kv;
}

void ReservingPolicy::OnEnd(const Request& request, Time now) {
  ClassState& state = StateOf(request);
  --state.held;
  CheckInvariant(state.held >= 0, "slots held by a class are not negative");
  const auto found = reservations_.find(request.request.id);
  CheckInvariant(found != reservations_.end(), "one reservation per request");
  if (found == reservations_.end()) return;
  link_.Release(found->second.link, now);
  transfers_due_.erase({found->second.transfer_due, request.request.id});
  if (request.decode) {
    request.decode->kv_committed -= found->second.kv;
    CheckInvariant(request.decode->kv_committed >= Bytes(0),
                   "committed KV cache is not negative");
  }
  reservations_.erase(found);
}

void ReservingPolicy::OnPrefillDone(Request& request, Time now) {
  RequestReservation& reservation = reservations_[request.request.id];
  if (reservation.transfer == Bytes(0)) return;
  // The transfer starts now rather than at its predicted time.
  link_.Release(reservation.link, now);
  reservation.link = link_.Reserve(reservation.transfer, now, now);
  reservation.transfer_due =
      reservation.link.end + FromSeconds(first_step_seconds_);
  transfers_due_.insert({reservation.transfer_due, request.request.id});
}

void ReservingPolicy::OnFirstOutput(const Request& request, Time now) {
  RequestReservation& reservation = reservations_[request.request.id];
  transfers_due_.erase({reservation.transfer_due, request.request.id});
  const Time predicted = reservation.predicted_first_token;
  if (predicted == Time{}) return;
  const double error = std::clamp(ToSeconds(now - predicted), -1.0, 1.0);
  if (request.prefill)
    prediction_error_seconds_ +=
        kSmoothingWeight * (std::abs(error) - prediction_error_seconds_);
  const Time transferred =
      request.prefill
          ? reservation.link.end
          : request.granted + request.decode->PrefillTime(request.prompt());
  const double step = std::clamp(ToSeconds(now - transferred), 0.0, 0.5);
  first_step_seconds_ += kSmoothingWeight * (step - first_step_seconds_);
  link_.Release(reservation.link, now);
  reservation.link = {};
}

void ReservingPolicy::OnOutputComplete(const Request& request, Tokens output,
                                       Time now) {
  if (request.stage != RequestStage::kDecode) return;
  StateOf(request).statistics.RecordOutput(output, now - request.granted);
}

void ReservingPolicy::ApplyCacheEvent(const PoolEndpoint& endpoint,
                                      const CacheEvent& event, Time now) {
  if (event.kind == CacheEventKind::kStored) {
    prefixes_.Store(event.prefix_hash, endpoint.ordinal, now);
  } else {
    prefixes_.Remove(event.prefix_hash, endpoint.ordinal);
  }
}

void ReservingPolicy::Tick(Time now) {
  PolicyBase::Tick(now);
  OnCapacity(now);
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const RequestId id = timers_.begin()->second;
    Refuse(*FindRequest(id), RefusalReason::kOverloaded, RetryAfter(), now);
  }
}

Time ReservingPolicy::NextWakeup() const {
  const Time due = PolicyBase::NextWakeup();
  return timers_.empty() ? due : std::min(due, timers_.begin()->first);
}

}  // namespace cassiausher
