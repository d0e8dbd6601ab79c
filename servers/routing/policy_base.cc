// State tracking shared by the routing policies.
#include "servers/routing/policy_base.h"

#include <algorithm>
#include <utility>

namespace cassiausher {

namespace {

/// Maximum number of requests in progress in a pool. Beyond it, Admit refuses,
/// so that memory stays bounded when callers send without limit.
constexpr std::size_t kMaxRequests = 16384;
/// Maximum number of endpoints in a pool; announcements of further ones are
/// ignored and counted.
constexpr std::size_t kMaxEndpoints = 4096;
constexpr int kMaxSlots = 4096;
/// Prefix hashes kept per request, the shortest ones; each next one covers
/// twice as many characters, from 1,024 up to 2^15 * 1,024.
constexpr std::size_t kMaxPrefixHashes = 16;
/// Failed endpoints kept per request; further ones are dropped.
constexpr std::size_t kMaxAvoidedEndpoints = 8;
constexpr Tokens kMaxPrompt{10'000'000};
/// An endpoint counts as unresponsive when it takes several times as long as
/// expected. The base covers scheduling delays of an engine with a full batch.
constexpr int kTimeoutFactor = 4;
constexpr Duration kBaseTimeout = Milliseconds(500);
constexpr Duration kMinBetweenTokensTimeout = Seconds(1);
/// After this time without any prefill engine, decode engines prefill long
/// prompts too. Until then such prompts are refused, because a restarting
/// engine returns sooner and long prompts delay all requests of a decode
/// engine.
constexpr Duration kPrefillAbsenceTimeout = Seconds(60);
constexpr Duration kUnknownServiceRetryAfter = Seconds(1);
constexpr Duration kOverloadRetryAfter = Milliseconds(500);

}  // namespace

PolicyBase::PolicyBase(RoutingOptions options) : options_(std::move(options)) {}

void PolicyBase::Reconfigure(const RoutingOptions& options, Time now) {
  options_ = options;
  OnCapacity(now);
}

void PolicyBase::UpsertEndpoint(const EndpointInfo& endpoint, Time now) {
  if (endpoints_.empty()) {
    service_ = endpoint.service;
    has_prefill_engines_ = false;
  }
  const bool other_service = endpoint.service != service_;
  if (other_service || endpoint.id.empty()) {
    ++counters_.inconsistent;
    return;
  }
  EndpointInfo info = endpoint;
  if (info.slots < 0 || info.slots > kMaxSlots) ++counters_.out_of_range;
  info.slots = std::clamp(info.slots, 0, kMaxSlots);
  if (info.role == EndpointRole::kPrefill) has_prefill_engines_ = true;
  const bool absence_expired =
      now - last_prefill_removed_at_ > kPrefillAbsenceTimeout;
  if (prefill_count_ == 0 && absence_expired &&
      info.role != EndpointRole::kPrefill)
    has_prefill_engines_ = false;

  std::shared_ptr<PoolEndpoint> known = Find(info.id);
  if (known && info.incarnation < known->info.incarnation) {
    ++counters_.stale;
    return;
  }
  const bool restarted = known && info.incarnation > known->info.incarnation;
  const bool other_role = known && info.role != known->info.role;
  if (restarted || other_role) {
    // A restarted engine holds none of the sessions placed on it before.
    EraseEndpoint(known, now);
    known = nullptr;
  }
  if (known) {
    const int free_before = known->free_slots();
    const bool unchanged = known->info == info;
    known->info = info;
    known->UpdateUntrackedSlots(now);
    Reindex(*known, now);
    if (!unchanged) UpdateMaxPrompt();
    if (!unchanged || known->free_slots() > free_before) OnCapacity(now);
    return;
  }
  if (endpoints_.size() >= kMaxEndpoints) {
    ++counters_.out_of_range;
    return;
  }
  auto added = std::make_shared<PoolEndpoint>(info, next_ordinal_++);
  endpoints_[info.id] = added;
  if (info.role == EndpointRole::kPrefill) ++prefill_count_;
  by_ordinal_[added->ordinal] = added;
  // Completes requests that were adopted before this endpoint announced itself
  // to the new owner.
  for (auto& [id, request] : requests_) ResolvePlacement(request, added, now);
  Reindex(*added, now);
  UpdateMaxPrompt();
  OnCapacity(now);
}

void PolicyBase::UpdateMaxPrompt() {
  max_prompt_ = Tokens(0);
  for (const auto& [id, endpoint] : endpoints_) {
    if (!endpoint->IsDecode()) continue;
    const EndpointInfo& info = endpoint->info;
    const std::int64_t per_token = info.kv_bytes_per_token.value();
    const bool bounded = info.kv_capacity > Bytes(0) && per_token > 0;
    const Tokens longest =
        bounded ? Tokens(info.kv_capacity.value() / per_token) : kMaxPrompt;
    max_prompt_ = std::max(max_prompt_, longest);
  }
  // Without any decode engine, requests are refused for that reason and not for
  // the length of their prompt.
  if (max_prompt_ == Tokens(0)) max_prompt_ = kMaxPrompt;
}

void PolicyBase::EraseEndpoint(const std::shared_ptr<PoolEndpoint>& endpoint,
                               Time now) {
  endpoint->removed = true;
  if (endpoint->info.role == EndpointRole::kPrefill) {
    --prefill_count_;
    last_prefill_removed_at_ = now;
  }
  Reindex(*endpoint, now);
  quarantines_.erase({endpoint->quarantined_until(), endpoint->ordinal});
  index_keys_.erase(endpoint->ordinal);
  by_ordinal_.erase(endpoint->ordinal);
  endpoints_.erase(endpoint->info.id);
  UpdateMaxPrompt();
}

void PolicyBase::RemoveEndpoint(const EndpointId& endpoint, Time now) {
  const std::shared_ptr<PoolEndpoint> known = Find(endpoint);
  if (!known) {
    ++counters_.unknown;
    return;
  }
  EraseEndpoint(known, now);
  OnCapacity(now);
}

void PolicyBase::Report(const LoadReport& report, Time now) {
  const std::shared_ptr<PoolEndpoint> endpoint = Find(report.endpoint);
  if (!endpoint) {
    ++counters_.unknown;
    return;
  }
  if (report.incarnation != endpoint->info.incarnation ||
      (endpoint->has_report && report.sequence <= endpoint->report.sequence)) {
    ++counters_.stale;
    return;
  }
  LoadReport clamped = report;
  clamped.age = std::max(Duration(0), report.age);
  clamped.running = std::clamp(report.running, 0, kMaxSlots);
  clamped.waiting = std::clamp(report.waiting, 0, kMaxSlots);
  clamped.queued_prompt_tokens =
      std::clamp(report.queued_prompt_tokens, Tokens(0), kMaxPrompt);
  const bool out_of_range =
      clamped.age != report.age || clamped.running != report.running ||
      clamped.waiting != report.waiting ||
      clamped.queued_prompt_tokens != report.queued_prompt_tokens;
  if (out_of_range) ++counters_.out_of_range;
  endpoint->report = clamped;
  endpoint->has_report = true;
  endpoint->reported_at = now;
  const int untracked_before = endpoint->untracked_slots();
  endpoint->UpdateUntrackedSlots(now);
  Reindex(*endpoint, now);
  if (endpoint->untracked_slots() < untracked_before) OnCapacity(now);
}

void PolicyBase::OnCacheEvent(const CacheEvent& event, Time now) {
  const std::shared_ptr<PoolEndpoint> endpoint = Find(event.endpoint);
  if (!endpoint) {
    ++counters_.unknown;
    return;
  }
  if (event.sequence <= endpoint->last_cache_sequence) {
    ++counters_.stale;
    return;
  }
  if (event.sequence != endpoint->last_cache_sequence + 1) {
    ++counters_.cache_gaps;
  }
  endpoint->last_cache_sequence = event.sequence;
  ApplyCacheEvent(*endpoint, event, now);
}

void PolicyBase::Admit(const RouteRequest& request, Time now) {
  ++pending_admissions_;
  Request* known = FindRequest(request.id);
  if (known && request.attempt > known->request.attempt) {
    // The failure of the previous attempt was not reported.
    ++counters_.inconsistent;
    Release(request.id, now);
    known = nullptr;
  }
  if (known) {
    ++counters_.inconsistent;
    // A queued request gets a single answer later. A placed one gets the same
    // grant again, as the first may have been lost.
    --pending_admissions_;
    if (known->stage != RequestStage::kQueued && known->decode) {
      outputs_.push_back(MakeGrant(*known));
    }
    return;
  }
  Request& added = requests_[request.id];
  added.request = request;
  std::vector<std::uint64_t>& hashes = added.request.prefix_hashes;
  if (hashes.size() > kMaxPrefixHashes) hashes.resize(kMaxPrefixHashes);
  std::vector<EndpointId>& avoid = added.request.avoid;
  if (avoid.size() > kMaxAvoidedEndpoints) avoid.resize(kMaxAvoidedEndpoints);
  added.targets = TargetsOf(request.class_id);
  const bool out_of_range =
      request.prompt_tokens < Tokens(0) || request.prompt_tokens > kMaxPrompt ||
      request.delivered_tokens < Tokens(0) || request.arrived > now;
  if (out_of_range) {
    ++counters_.out_of_range;
    added.request.prompt_tokens =
        std::clamp(request.prompt_tokens, Tokens(0), kMaxPrompt);
    added.request.delivered_tokens =
        std::clamp(request.delivered_tokens, Tokens(0), kMaxPrompt);
    added.request.arrived = std::min(request.arrived, now);
  }
  if (endpoints_.empty() || request.service != service_) {
    Refuse(added, RefusalReason::kUnknownService, kUnknownServiceRetryAfter,
           now);
    return;
  }
  if (requests_.size() > kMaxRequests) {
    Refuse(added, RefusalReason::kOverloaded, kOverloadRetryAfter, now);
    return;
  }
  if (added.prompt() > max_prompt_) {
    Refuse(added, RefusalReason::kPromptTooLong, Duration(0), now);
    return;
  }
  Place(added, now);
}

void PolicyBase::OnPrefillFinished(const RequestId& request, Time now) {
  Request* known = FindRequest(request);
  if (!known) {
    ++counters_.unknown;
    return;
  }
  if (known->stage != RequestStage::kPrefill) {
    ++counters_.inconsistent;
    return;
  }
  known->stage = RequestStage::kTransfer;
  if (known->prefill) known->prefill->RecordSuccess();
  ReleasePrefill(*known, now);
  OnPrefillDone(*known, now);
  OnCapacity(now);
}

void PolicyBase::OnFirstToken(const RequestId& request, Time now) {
  Request* known = FindRequest(request);
  if (!known) {
    ++counters_.unknown;
    return;
  }
  const bool running = known->stage == RequestStage::kPrefill ||
                       known->stage == RequestStage::kTransfer;
  if (!running) {
    ++counters_.inconsistent;
    return;
  }
  ReleasePrefill(*known, now);
  known->stage = RequestStage::kDecode;
  known->first_token_at = now;
  if (known->decode) {
    --known->decode->reserved;
    if (known->prefill) --known->decode->prefilling_elsewhere;
    CheckInvariant(known->decode->reserved >= 0,
                   "reserved slots are not negative");
    known->decode->RecordSuccess();
    Reindex(*known->decode, now);
  }
  OnFirstOutput(*known, now);
  OnCapacity(now);
}

void PolicyBase::OnFinished(const RequestId& request, Tokens output_tokens,
                            Time now) {
  Request* known = FindRequest(request);
  if (!known) {
    ++counters_.unknown;
    return;
  }
  if (output_tokens < Tokens(0)) ++counters_.out_of_range;
  OnOutputComplete(*known, std::max(Tokens(0), output_tokens), now);
  Release(request, now);
  OnCapacity(now);
}

void PolicyBase::OnFailed(const RequestId& request, const EndpointId& endpoint,
                          Time now) {
  const std::shared_ptr<PoolEndpoint> failed = Find(endpoint);
  if (failed && failed->RecordFailure(now)) {
    EmitQuarantineNotice(*failed, "repeated failures", now);
  }
  if (FindRequest(request)) {
    Release(request, now);
  } else {
    ++counters_.unknown;
  }
  OnCapacity(now);
}

void PolicyBase::OnCancelled(const RequestId& request, Time now) {
  if (!FindRequest(request)) {
    ++counters_.unknown;
    return;
  }
  Release(request, now);
  OnCapacity(now);
}

void PolicyBase::OnEntryLost(const InstanceId& entry, Time now) {
  std::vector<RequestId> lost;
  for (const auto& [id, request] : requests_) {
    if (request.request.entry == entry) lost.push_back(id);
  }
  std::sort(lost.begin(), lost.end());
  for (const RequestId& id : lost) {
    const Request& request = *FindRequest(id);
    if (request.prefill) OrderCancel(request, *request.prefill);
    if (request.decode) OrderCancel(request, *request.decode);
    Release(id, now);
  }
  OnCapacity(now);
}

void PolicyBase::OrderCancel(const Request& request,
                             const PoolEndpoint& endpoint) {
  // A removed endpoint is dead or restarted and holds nothing.
  if (endpoint.removed) return;
  outputs_.push_back(
      CancelOrder{request.request.id, endpoint.info.id, endpoint.info.url});
}

void PolicyBase::Adopt(const AdoptedRequest& adopted, Time now) {
  if (adopted.stage == RequestStage::kQueued) {
    Admit(adopted.request, now);
    return;
  }
  if (FindRequest(adopted.request.id)) {
    ++counters_.inconsistent;
    return;
  }
  if (requests_.size() >= kMaxRequests) {
    ++counters_.out_of_range;
    return;
  }
  Request& request = requests_[adopted.request.id];
  request.request = adopted.request;
  request.targets = TargetsOf(adopted.request.class_id);
  request.stage = adopted.stage;
  request.granted = now;
  request.first_token_at = now;
  request.pending_decode = adopted.decode;
  if (adopted.stage == RequestStage::kPrefill) {
    request.pending_prefill = adopted.prefill;
  }
  if (const auto prefill = Find(adopted.prefill))
    ResolvePlacement(request, prefill, now);
  if (const auto decode = Find(adopted.decode))
    ResolvePlacement(request, decode, now);
  OnBegin(request, now);
}

void PolicyBase::ResolvePlacement(Request& request,
                                  const std::shared_ptr<PoolEndpoint>& endpoint,
                                  Time now) {
  if (request.pending_decode == endpoint->info.id && !request.decode) {
    request.pending_decode = EndpointId();
    request.decode = endpoint;
    HoldDecodeSlot(request, now);
  }
  if (request.pending_prefill == endpoint->info.id && !request.prefill) {
    request.pending_prefill = EndpointId();
    request.prefill = endpoint;
    request.queued_tokens = request.prompt();
    endpoint->queued_prompt_tokens += request.queued_tokens;
    endpoint->prefill_busy_until =
        now + endpoint->PrefillTime(endpoint->queued_prompt_tokens);
    Reindex(*endpoint, now);
  }
}

void PolicyBase::OnCancelUnconfirmed(const EndpointId& endpoint, Time now) {
  const std::shared_ptr<PoolEndpoint> known = Find(endpoint);
  if (!known) {
    ++counters_.unknown;
    return;
  }
  if (known->quarantined(now)) return;
  known->Quarantine(now);
  EmitQuarantineNotice(*known, "cancel not confirmed", now);
}

void PolicyBase::EmitQuarantineNotice(PoolEndpoint& endpoint,
                                      std::string reason, Time now) {
  ++counters_.quarantines;
  outputs_.push_back(QuarantineNotice{endpoint.info.id, std::move(reason),
                                      endpoint.quarantined_until()});
  quarantines_.insert({endpoint.quarantined_until(), endpoint.ordinal});
  Reindex(endpoint, now);
}

void PolicyBase::Tick(Time now) {
  bool quarantine_ended = false;
  while (!quarantines_.empty() && quarantines_.begin()->first <= now) {
    const auto endpoint = ByOrdinal(quarantines_.begin()->second);
    quarantines_.erase(quarantines_.begin());
    if (endpoint) Reindex(*endpoint, now);
    quarantine_ended = true;
  }
  if (quarantine_ended) OnCapacity(now);
}

Time PolicyBase::NextWakeup() const {
  return quarantines_.empty() ? Time::max() : quarantines_.begin()->first;
}

std::vector<RouteOutput> PolicyBase::TakeOutputs() {
  return std::exchange(outputs_, {});
}

std::vector<RequestRow> PolicyBase::Requests(Time now) const {
  std::vector<RequestRow> rows;
  rows.reserve(requests_.size());
  for (const auto& [id, request] : requests_) {
    RequestRow row;
    row.id = id;
    row.entry = request.request.entry;
    row.service = request.request.service;
    row.class_id = request.request.class_id;
    row.account = request.request.account;
    row.stage = request.stage;
    if (request.prefill) row.prefill = request.prefill->info.id;
    if (request.decode) row.decode = request.decode->info.id;
    row.age = now - request.request.arrived;
    const Time reference_time =
        request.stage == RequestStage::kDecode ? request.first_token_at : now;
    row.late = reference_time - request.deadline();
    rows.push_back(std::move(row));
  }
  std::sort(
      rows.begin(), rows.end(),
      [](const RequestRow& a, const RequestRow& b) { return a.id < b.id; });
  return rows;
}

std::vector<EndpointRow> PolicyBase::Endpoints(Time now) const {
  std::vector<EndpointRow> rows;
  rows.reserve(endpoints_.size());
  for (const auto& [id, endpoint] : endpoints_) {
    EndpointRow row;
    row.info = endpoint->info;
    row.running = endpoint->held - endpoint->reserved;
    row.reserved = endpoint->reserved;
    row.queued_prompt_tokens = endpoint->queued_prompt_tokens;
    row.quarantined = endpoint->quarantined(now);
    if (endpoint->has_report) {
      row.report_age = now - endpoint->reported_at + endpoint->report.age;
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

std::int64_t PolicyBase::DecodeScore(const PoolEndpoint& endpoint) const {
  return -endpoint.free_slots();
}

std::int64_t PolicyBase::PrefillScore(const PoolEndpoint& endpoint) const {
  return endpoint.PrefillTime(endpoint.queued_prompt_tokens).count();
}

bool PolicyBase::NeedsPrefillEngine(const Request& request) const {
  return has_prefill_engines_ &&
         request.prompt() > options_.local_prefill_limit;
}

void PolicyBase::Start(Request& request, std::shared_ptr<PoolEndpoint> prefill,
                       std::shared_ptr<PoolEndpoint> decode,
                       Tokens prefill_tokens, Time now) {
  CheckInvariant(request.stage == RequestStage::kQueued,
                 "one output per admission");
  OnDequeue(request, now);
  --pending_admissions_;
  ++counters_.granted;
  request.stage = RequestStage::kPrefill;
  request.granted = now;
  request.prefill = std::move(prefill);
  request.decode = std::move(decode);
  HoldDecodeSlot(request, now);
  if (request.prefill) {
    PoolEndpoint& engine = *request.prefill;
    request.queued_tokens = prefill_tokens;
    engine.queued_prompt_tokens += prefill_tokens;
    engine.prefill_busy_until = std::max(engine.prefill_busy_until, now) +
                                engine.PrefillTime(prefill_tokens);
    Reindex(engine, now);
  }
  OnBegin(request, now);
  outputs_.push_back(MakeGrant(request));
}

Grant PolicyBase::MakeGrant(const Request& request) const {
  Grant grant;
  grant.request = request.request.id;
  grant.entry = request.request.entry;
  const PoolEndpoint& decode = *request.decode;
  Duration prefill_time = decode.PrefillTime(request.prompt());
  if (request.prefill) {
    grant.prefill = request.prefill->info.id;
    grant.prefill_url = request.prefill->info.url;
    prefill_time = request.prefill->PrefillTime(
        request.prefill->queued_prompt_tokens + request.prompt());
  }
  grant.decode = decode.info.id;
  grant.decode_url = decode.info.url;
  grant.priority = request.targets.priority;
  const double bytes =
      static_cast<double>(request.prompt().value()) *
      static_cast<double>(decode.info.kv_bytes_per_token.value());
  const double link = std::max(1.0, options_.link_bytes_per_second);
  const Duration transfer =
      request.prefill ? FromSeconds(bytes / link) : prefill_time;
  grant.prefill_timeout = kBaseTimeout + kTimeoutFactor * prefill_time;
  grant.first_token_timeout =
      kBaseTimeout + options_.kv_retention + kTimeoutFactor * transfer;
  grant.between_tokens_timeout =
      std::max(kMinBetweenTokensTimeout, kTimeoutFactor * kTimeoutFactor *
                                             request.targets.between_tokens);
  return grant;
}

void PolicyBase::Refuse(const Request& request, RefusalReason reason,
                        Duration retry_after, Time now) {
  CheckInvariant(request.stage == RequestStage::kQueued,
                 "one output per admission");
  ++counters_.refused;
  outputs_.push_back(RouteRefusal{request.request.id, request.request.entry,
                                  reason, retry_after});
  const RequestId id = request.request.id;
  Release(id, now);
}

void PolicyBase::HoldDecodeSlot(Request& request, Time now) {
  PoolEndpoint& decode = *request.decode;
  ++decode.held;
  if (request.stage != RequestStage::kDecode) ++decode.reserved;
  const bool on_prefill_engine =
      request.prefill && request.stage != RequestStage::kDecode;
  if (on_prefill_engine) ++decode.prefilling_elsewhere;
  decode.RecordHeld(now);
  Reindex(decode, now);
}

void PolicyBase::ReleasePrefill(Request& request, Time now) {
  if (!request.prefill || request.queued_tokens == Tokens(0)) return;
  PoolEndpoint& engine = *request.prefill;
  engine.queued_prompt_tokens -= request.queued_tokens;
  request.queued_tokens = Tokens(0);
  CheckInvariant(engine.queued_prompt_tokens >= Tokens(0),
                 "queued prompt tokens are not negative");
  engine.prefill_busy_until =
      now + engine.PrefillTime(engine.queued_prompt_tokens);
  Reindex(engine, now);
}

void PolicyBase::Release(const RequestId& id, Time now) {
  const auto found = requests_.find(id);
  Request& request = found->second;
  if (request.stage == RequestStage::kQueued) {
    --pending_admissions_;
    OnDequeue(request, now);
  } else {
    OnEnd(request, now);
  }
  ReleasePrefill(request, now);
  if (request.decode) {
    PoolEndpoint& decode = *request.decode;
    decode.RecordHeld(now);
    --decode.held;
    const bool reserved = request.stage != RequestStage::kDecode;
    if (reserved) --decode.reserved;
    if (reserved && request.prefill) --decode.prefilling_elsewhere;
    CheckInvariant(decode.held >= 0 && decode.reserved >= 0,
                   "held and reserved slots are not negative");
    Reindex(decode, now);
  }
  requests_.erase(found);
  CheckInvariant(pending_admissions_ >= 0, "one output per admission");
}

void PolicyBase::Reindex(PoolEndpoint& endpoint, Time now) {
  if (!by_ordinal_.contains(endpoint.ordinal)) return;
  EndpointIndex& index = endpoint.IsDecode() ? decodes_ : prefills_;
  IndexKey& key = index_keys_[endpoint.ordinal];
  // After a quarantine the endpoint gets one trial request at a time.
  const bool busy_on_trial =
      endpoint.on_trial() &&
      (endpoint.reserved > 0 || endpoint.queued_prompt_tokens > Tokens(0));
  const bool present = endpoint.Available(now) && !busy_on_trial;
  const std::int64_t score =
      endpoint.IsDecode() ? DecodeScore(endpoint) : PrefillScore(endpoint);
  const int slots = present && endpoint.IsDecode() ? endpoint.info.slots : 0;
  const int free_slots = slots > 0 ? std::max(0, endpoint.free_slots()) : 0;
  available_slots_ += slots - key.slots;
  available_free_slots_ += free_slots - key.free_slots;
  const bool entry_changed = key.present != present || key.score != score;
  if (entry_changed && key.present) index.erase({key.score, endpoint.ordinal});
  if (entry_changed && present) index.insert({score, endpoint.ordinal});
  key = {score, present, slots, free_slots};
}

void PolicyBase::CheckInvariant(bool holds, std::string_view name) {
  if (holds) return;
  if (counters_.violations++ == 0) counters_.first_violation = name;
}

std::shared_ptr<PoolEndpoint> PolicyBase::Find(const EndpointId& id) const {
  const auto found = endpoints_.find(id);
  return found == endpoints_.end() ? nullptr : found->second;
}

std::shared_ptr<PoolEndpoint> PolicyBase::ByOrdinal(
    std::uint64_t ordinal) const {
  const auto found = by_ordinal_.find(ordinal);
  return found == by_ordinal_.end() ? nullptr : found->second;
}

PolicyBase::Request* PolicyBase::FindRequest(const RequestId& id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

const PolicyBase::Request* PolicyBase::FindRequest(const RequestId& id) const {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

bool PolicyBase::Avoids(const Request& request,
                        const PoolEndpoint& endpoint) const {
  const std::vector<EndpointId>& avoid = request.request.avoid;
  return std::find(avoid.begin(), avoid.end(), endpoint.info.id) != avoid.end();
}

std::shared_ptr<PoolEndpoint> PolicyBase::FirstAvailable(
    const EndpointIndex& index, const Request& request, Time now) const {
  std::shared_ptr<PoolEndpoint> fallback;
  for (const auto& [score, ordinal] : index) {
    const std::shared_ptr<PoolEndpoint> endpoint = ByOrdinal(ordinal);
    if (!endpoint->Available(now)) continue;
    if (!Avoids(request, *endpoint)) return endpoint;
    if (!fallback) fallback = endpoint;
  }
  return fallback;
}

ClassTargets PolicyBase::TargetsOf(const ClassId& id) const {
  for (const ClassTargets& targets : options_.classes) {
    if (targets.id == id) return targets;
  }
  // Unconfigured classes share one entry, so that callers can't make the policy
  // keep state for an unbounded number of class names.
  ClassTargets targets;
  targets.id = ClassId("default");
  return targets;
}

}  // namespace cassiausher
