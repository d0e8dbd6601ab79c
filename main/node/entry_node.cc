#include "main/node/entry_node.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

#include "core/log.h"
#include "drivers/clock.h"
#include "drivers/process_setup.h"
#include "main/error_body.h"
#include "main/node/load_messages.h"
#include "platform/request_headers.h"
#include "platform/runner_calls.h"
#include "servers/crashes/call_traits.h"

namespace cassiausher {
namespace {

constexpr Duration kTickPeriod = Milliseconds(500);
// Interval between batches of placements. Shorter than the prefill of a prompt,
// so that other instances learn of a request while it still loads the endpoint.
constexpr Duration kBatchPeriod = Milliseconds(25);
constexpr Duration kExpiryPeriod = Seconds(5);
// A role change that an update reports holds until after the next update.
constexpr Duration kRoleChangeLifetime = Milliseconds(1200);
// Requests that arrive later in a shutdown are refused, since the end of the
// process could cut them off.
constexpr Duration kShutdownAcceptPeriod = Milliseconds(2900);
// Fraction of the shared retry budget that is used, since the budget windows of
// two instances don't start together.
constexpr double kBudgetFraction = 0.8;
constexpr int kBudgetWindowSeconds = 10;
constexpr Duration kRefusalRetryAfter = Milliseconds(300);

// Limit of the bodies of requests that are being read.
constexpr std::int64_t kMaxReadingBytes = 12 << 20;

// Requests in progress that an instance takes from others, so that these can't
// use up its memory and descriptors.
constexpr int kMaxTakenForOthers = 200;

constexpr const char* kJson = "application/json";

CallTraits TraitsOf(const CallerHeaders& caller, std::string_view body) {
  std::vector<TraitId> traits = {RequestTrait(caller.content, body),
                                 CallerRequestTrait(caller.content, body)};
  for (const std::string& part : caller.shared_parts) {
    if (traits.size() >= kMaxTraitsOfCall) break;
    traits.push_back(PromptPartTrait(part));
  }
  return MakeCallTraits(std::move(traits));
}

// Null if the account has no quota.
std::optional<QuotaCost> CostOf(const ClientAccount& account,
                                const QuotaTolerance& tolerance,
                                const CallerHeaders& caller) {
  const AccountQuota quota = WithTolerance(account.quota, tolerance);
  if (quota.per_second <= 0) return std::nullopt;
  double units = 1;
  if (quota.unit == QuotaUnit::kTokens) {
    const Tokens tokens = caller.counted_tokens.value_or(quota.plain_tokens);
    units = static_cast<double>(tokens.value());
  }
  return QuotaCost{.account = account.id, .quota = quota, .units = units};
}

}  // namespace

EntryNode::EntryNode(NodeSettings settings, const ConfigurationCodec& codec,
                     Metrics& metrics, GMainContext* context,
                     ClientLimits limits)
    : settings_(std::move(settings)),
      metrics_(metrics),
      context_(context),
      limits_(std::move(limits)),
      incarnation_(static_cast<std::uint64_t>(g_get_real_time())),
      link_(settings_, incarnation_.value(), metrics,
            [this](const InstanceId& from, const proto::NodeMessage& message) {
              OnMessage(from, message);
            }),
      pool_({.data_centre = settings_.data_centre,
             .random_seed = static_cast<std::uint64_t>(g_get_real_time())}),
      random_(static_cast<std::uint64_t>(g_get_real_time())),
      configuration_(settings_, codec, &link_),
      permits_(static_cast<std::uint64_t>(g_get_real_time()), metrics, &link_),
      quotas_(static_cast<std::uint64_t>(g_get_real_time()), metrics, &link_),
      origins_(settings_, metrics, &link_),
      crashes_(incarnation_, incarnation_.value(), metrics, &pool_, &link_),
      relays_(static_cast<std::uint64_t>(g_get_real_time()), &pool_, &client_,
              metrics),
      observer_(&pool_, &permits_, &crashes_, &relays_, &metrics_),
      controls_({.self = InstanceId(settings_.ip)}),
      bytes_(limits_.unfinished_bytes),
      received_(metrics.counter("caller_requests_total")),
      refused_(metrics.counter("caller_refusals_total")),
      unknown_keys_(metrics.counter("caller_unknown_keys_total")),
      open_(metrics.gauge("open_requests")) {}

EntryNode::~EntryNode() = default;

std::string EntryNode::Start() {
  Reload(settings_);
  if (auto error = link_.Listen(context_); !error.empty()) return error;
  const auto format_error_body = [](int, std::string_view message) {
    return std::string(message);
  };
  callers_ = std::make_unique<HttpServer>(
      HttpServerOptions{.address = settings_.callers->ip,
                        .port = settings_.callers->port,
                        .metrics = &metrics_,
                        .max_unsent_bytes = limits_.unsent_bytes,
                        .max_reading_bytes = kMaxReadingBytes,
                        .max_descriptor = MaxForwardedDescriptor(),
                        .memory = limits_.memory},
      [this](HttpExchangePtr exchange) {
        OnCallerRequest(std::move(exchange));
      },
      format_error_body);
  if (auto error = callers_->Listen(context_); !error.empty()) return error;
  readiness_ = std::make_unique<HttpServer>(
      HttpServerOptions{.address = settings_.readiness->ip,
                        .port = settings_.readiness->port,
                        .metrics = &metrics_,
                        .max_descriptor = MaxServedDescriptor(),
                        .memory = limits_.memory},
      [this](HttpExchangePtr exchange) {
        const bool known =
            IsReadinessCall(exchange->method(), exchange->path());
        const int status = !known ? 404 : Ready() ? 200 : 503;
        exchange->Respond(status, kJson, "{}");
      },
      format_error_body);
  if (auto error = readiness_->Listen(context_); !error.empty()) return error;
  if (settings_.relay.has_value()) {
    relay_server_ = std::make_unique<RelayServer>(
        *settings_.relay, RelayToken(random_.engine()()), limits_, metrics_,
        [this](HttpExchangePtr exchange, const RelayRequest& relay) {
          OnRelayedRequest(std::move(exchange), relay);
        });
    if (auto error = relay_server_->Listen(context_); !error.empty()) {
      return error;
    }
  }
  timer_ = AddTimer(context_, kTickPeriod, [this] { Tick(); });
  batch_timer_ = AddTimer(context_, kBatchPeriod, [this] {
    SendDueFollows(BootTimeNow());
    SendPlacements();
    configuration_.SendRequest(BootTimeNow());
    permits_.Tick(BootTimeNow());
    quotas_.Tick(BootTimeNow());
    origins_.Tick(BootTimeNow());
    crashes_.Tick(BootTimeNow());
    relays_.Tick(BootTimeNow());
    if (relays_.TakeChanged()) FollowControls(BootTimeNow());
  });
  FollowControls(BootTimeNow());
  return {};
}

void EntryNode::Reload(const NodeSettings& settings) {
  settings_.seeds = settings.seeds;
  const Time now = BootTimeNow();
  for (const SocketAddress& seed : settings_.seeds) {
    controls_.Learn(InstanceId(seed.ip), now);
  }
}

bool EntryNode::Ready() const {
  if (configuration_.routes() == nullptr || on_done_) return false;
  if (configuration_.freshness().IsOverdue(BootTimeNow())) return false;
  return pool_.HasEndpoints();
}

// --- Callers ---------------------------------------------------------------

void EntryNode::Refuse(HttpExchange& exchange, const RequestId& id,
                       std::string_view reason) {
  refused_.Add();
  Log(LogLevel::kWarning, "request_refused",
      {{"request", id.value()}, {"reason", reason}});
  exchange.Respond(503, kJson,
                   FormatError({.type = "unavailable",
                                .code = "refused",
                                .message = std::string(reason),
                                .not_run = true,
                                .retry_after = kRefusalRetryAfter}),
                   {RetryAfterHeader(kRefusalRetryAfter)});
}

std::string_view EntryNode::RefusalReason(Time now) const {
  const bool late =
      on_done_ && now - shutdown_started_ >= kShutdownAcceptPeriod;
  if (late || cut_) return "the instance stops";
  if (configuration_.routes() == nullptr) return "no configuration yet";
  if (configuration_.freshness().IsOverdue(now)) {
    return "a newer configuration is in force";
  }
  if (relays_.HasShownNewer(configuration_.version(), now)) {
    return "a helper has applied a newer configuration";
  }
  return {};
}

bool EntryNode::CanComplete(const ServiceId& service, Duration timeout,
                            Time now) const {
  if (!on_done_) return true;
  const Time limit = shutdown_started_ + ServingPeriod();
  if (now + timeout < limit) return true;
  const auto found = completions_.find(service);
  if (found == completions_.end()) return false;
  const auto taken = found->second.UpperBound();
  return taken.has_value() && now + *taken < limit;
}

void EntryNode::AnswerUnknownRoute(HttpExchange& exchange, const RequestId& id,
                                   Time now) {
  // The route may belong to a newer configuration, so 404, which is final,
  // would be wrong.
  if (configuration_.freshness().MayBeOutdated(now)) {
    Refuse(exchange, id, "the route is unknown here and may be new");
    return;
  }
  Log(LogLevel::kInfo, "route_unknown",
      {{"request", id.value()},
       {"configuration", configuration_.version().value()},
       {"newest_known", configuration_.freshness().newest().value()}});
  exchange.Respond(404, kJson,
                   FormatError({.type = "invalid_request",
                                .code = "route_unknown",
                                .message = "no route for host and path",
                                .not_run = true}));
}

void EntryNode::AnswerUnknownKey(HttpExchange& exchange, const RequestId& id,
                                 Time now) {
  // The key may belong to a newer configuration, so 401, which is final, would
  // be wrong.
  if (configuration_.freshness().MayBeOutdated(now)) {
    Refuse(exchange, id, "the key is unknown here and may be new");
    return;
  }
  unknown_keys_.Add();
  Log(LogLevel::kInfo, "key_unknown",
      {{"request", id.value()},
       {"configuration", configuration_.version().value()},
       {"newest_known", configuration_.freshness().newest().value()}});
  exchange.Respond(401, kJson,
                   FormatError({.type = "authentication",
                                .code = "key_unknown",
                                .message = "a key of an account is needed",
                                .not_run = true}));
}

void EntryNode::OnCallerRequest(HttpExchangePtr exchange) {
  received_.Add();
  const Time now = BootTimeNow();
  CallerHeaders caller = ReadCallerHeaders(*exchange);
  exchange->SetLabel(caller.id.value());
  const std::string_view reason = RefusalReason(now);
  if (!reason.empty()) {
    Refuse(*exchange, caller.id, reason);
    return;
  }
  Forward(std::move(exchange), std::move(caller), nullptr, now);
}

void EntryNode::OnRelayedRequest(HttpExchangePtr exchange,
                                 const RelayRequest& relay) {
  const Time now = BootTimeNow();
  CallerHeaders caller = ReadCallerHeaders(*exchange);
  exchange->SetLabel(caller.id.value());
  std::string_view reason = RefusalReason(now);
  if (taken_for_others_ >= kMaxTakenForOthers) {
    reason = "too many requests of other instances";
  }
  // The instance that relays it has shown its callers a newer one.
  if (relay.configuration > configuration_.version()) {
    reason = "the configuration here is older";
  }
  if (!reason.empty()) {
    Refuse(*exchange, caller.id, reason);
    return;
  }
  Forward(std::move(exchange), std::move(caller), &relay, now);
}

bool EntryNode::TakesRequestsOfOthers(Time now) const {
  return relay_server_ != nullptr && !on_done_ && RefusalReason(now).empty();
}

void EntryNode::Forward(HttpExchangePtr exchange, CallerHeaders caller,
                        const RelayRequest* relay, Time now) {
  const std::shared_ptr<const RouteTable> routes = configuration_.routes();
  const Route* route = routes->Find(caller.host, exchange->path());
  if (route == nullptr) {
    AnswerUnknownRoute(*exchange, caller.id, now);
    return;
  }
  const ClientAccount* account = routes->accounts().Find(caller.key);
  if (account == nullptr && routes->NeedsKey(*route)) {
    AnswerUnknownKey(*exchange, caller.id, now);
    return;
  }
  const ServiceId service = PickTarget(*route, random_.Unit()).service;
  const Duration timeout =
      std::min(caller.timeout.value_or(route->timeout), route->timeout);
  if (!CanComplete(service, timeout, now)) {
    Refuse(*exchange, caller.id, "the instance stops before the answer ends");
    return;
  }
  const ServiceSpec& spec = routes->configuration().services.at(service);
  RequestFacts facts{.kind = route->kind,
                     .resumable = route->resumable,
                     .attempts = route->attempts,
                     .service = service,
                     .has_engine = spec.engine.has_value(),
                     .prompt = caller.prompt,
                     .output = caller.output,
                     .latency_target = route->latency_target,
                     .arrived = now,
                     .deadline = now + timeout,
                     .gap_target = route->gap_target,
                     .traits = TraitsOf(caller, exchange->body())};
  facts.urgency = routes->priority_ranks().RankOf(
      service, account == nullptr ? std::nullopt : account->priority,
      route->priority);
  if (routes->configuration().accounts.has_value()) facts.account.emplace();
  if (account != nullptr) {
    facts.account = account->id;
    if (relay == nullptr)
      facts.quota_cost = CostOf(*account, settings_.quota_tolerance, caller);
  }
  if (relay != nullptr) {
    facts.relayed = true;
    facts.attempts = std::min(facts.attempts, relay->attempts);
    facts.begun_by = relay->begun_by;
  }
  if (spec.engine) {
    facts.handle_lifetime = spec.engine->handle_lifetime;
    facts.kv_capacity = spec.engine->kv_capacity;
    facts.slots = spec.engine->slots;
    const AnswerEstimate& answers = answers_[service];
    facts.output = answers.Estimate(caller.output);
    facts.output_deviation = answers.StandardDeviation();
    facts.tokens_per_event = spec.engine->tokens_per_event;
    facts.small_route = !facts.urgency.has_value() &&
                        shares_[service].IsSmall(route->name, now);
    shares_[service].OnRequest(route->name, now);
  }
  const ForwardingContext context{.client = &client_,
                                  .pool = &pool_,
                                  .budget = &BudgetOf(service),
                                  .permits = &permits_,
                                  .quotas = &quotas_,
                                  .origins = &origins_,
                                  .controls = &controls_,
                                  .observer = &observer_,
                                  .guard = crashes_.guard(),
                                  .relays = &relays_,
                                  .answers = &answers_[service],
                                  .completion = &completions_[service],
                                  .read_times = &read_times_,
                                  .bytes = &bytes_,
                                  .metrics = &metrics_,
                                  .context = context_};
  auto request = std::make_shared<ForwardedRequest>(
      context, std::move(exchange), std::move(caller), std::move(facts), *route,
      routes->version());
  const std::uint64_t number = next_request_++;
  requests_[number] = request;
  open_.Set(static_cast<std::int64_t>(requests_.size()));
  const int taken = relay == nullptr ? 0 : 1;
  taken_for_others_ += taken;
  request->Start([this, number, taken] {
    taken_for_others_ -= taken;
    requests_.erase(number);
    open_.Set(static_cast<std::int64_t>(requests_.size()));
  });
}

RetryBudget& EntryNode::BudgetOf(const ServiceId& service) {
  std::unique_ptr<RetryBudget>& budget = budgets_[service];
  if (!budget) {
    budget = std::make_unique<RetryBudget>(
        RetryBudgetOptions{.ratio = settings_.retry_ratio * kBudgetFraction});
  }
  const double allowance = settings_.retry_allowance * kBudgetFraction;
  budget->SetFloorPerSecond(allowance / kBudgetWindowSeconds /
                            controls_.EntryInstances());
  return *budget;
}

// --- Control instances -----------------------------------------------------

void EntryNode::OnMessage(const InstanceId& from,
                          const proto::NodeMessage& message) {
  const Incarnation process(message.incarnation());
  if (message.has_update()) {
    OnUpdate(from, process, message.update());
    return;
  }
  if (message.has_crash_evidence()) {
    crashes_.OnMessage(from, process, message.crash_evidence(), BootTimeNow());
    return;
  }
  if (message.has_placements()) {
    // Another control instance's placements may already be counted in the loads
    // of the load source.
    if (from != load_source_) return;
    pool_.AddOtherLoads(ReadLoads(message.placements().added()), BootTimeNow());
    pool_.AddOtherOutcomes(ReadOutcomes(message.placements().paced()),
                           BootTimeNow());
    return;
  }
  if (message.has_changes()) {
    OnChanges(from, message.changes());
    return;
  }
  if (message.has_permit_answer()) {
    permits_.OnPermitAnswer(from, message.permit_answer(), BootTimeNow());
    return;
  }
  if (message.has_quota_answer()) {
    quotas_.OnAnswer(from, message.quota_answer(), BootTimeNow());
    return;
  }
  if (message.has_origins_stored()) {
    origins_.OnStored(from, message.origins_stored());
    return;
  }
  if (message.has_origin_answer()) {
    origins_.OnAnswer(from, message.origin_answer(), BootTimeNow());
    return;
  }
  if (message.has_configuration_chunk()) {
    configuration_.OnChunk(from, message.configuration_chunk(), BootTimeNow());
    return;
  }
  Log(LogLevel::kWarning, "message_unknown", {{"from", from.value()}});
}

void EntryNode::OnUpdate(const InstanceId& from, Incarnation process,
                         const proto::Update& update) {
  const Time now = BootTimeNow();
  if (update.shares_crashes() && evidence_partners_.contains(from)) {
    crashes_.OnPeer(from, process, now);
  }
  const bool connected = controls_.OnUpdate(
      from,
      {.process = Incarnation(update.registry_epoch()),
       .registry_revision = update.registry_revision(),
       .number = update.number(),
       .entry_instances = update.entry_instances(),
       .permit_term = update.permit_term(),
       .data_centre = DataCentreId(update.notice().data_centre()),
       .keeps_origins = update.keeps_origins(),
       .follow_number = update.follow_number()},
      now);
  if (connected) {
    Log(LogLevel::kInfo, "control_connected", {{"control", from.value()}});
  }
  // Before UseControls(), so that a search for the origin of a stream waits for
  // control instances that only this update names.
  for (const std::string& ip : update.control_instances()) {
    controls_.Learn(InstanceId(ip), now);
  }
  permits_.OnRateLimits(update.rate_limits(), now);
  relays_.OnUpdate(from, update, now);
  UseControls(now);
  quotas_.OnUpdate(from, update, now);
  MergeRecords(from, update.records(), now);
  if (!update.registry_incomplete()) {
    std::set<EndpointId> silent;
    for (const std::string& id : update.silent_endpoints()) {
      silent.insert(EndpointId(id));
    }
    pool_.SetSilent(from.value(), std::move(silent), now);
  }
  SetChangingEndpoints(update.changing_endpoints(), now);
  const int others = static_cast<int>(update.entry_instances()) - 1;
  if (from == load_source_) {
    pool_.SetOtherLoads(ReadLoads(update.loads()), std::max(0, others), now);
    pool_.SetOtherWaiting(ReadWaiting(update.waiting()));
  }
  if (update.has_configuration()) {
    configuration_.OnDocument(update.configuration());
  }
  configuration_.OnNotice(from, update.notice(), now);
  // The first control instance is connected: asks it for the others' loads.
  if (load_source_.empty()) FollowControls(now);
}

void EntryNode::OnChanges(const InstanceId& from,
                          const proto::Changes& changes) {
  const Time now = BootTimeNow();
  controls_.OnMessage(from, Incarnation(changes.registry_epoch()),
                      changes.number(), changes.permit_term());
  permits_.OnRateLimits(changes.rate_limits(), now);
  UseControls(now);
  quotas_.OnChanges(from, changes);
  MergeRecords(from, changes.records(), now);
  SetChangingEndpoints(changes.changing_endpoints(), now);
  configuration_.OnNotice(from, changes.notice(), now);
}

void EntryNode::UseControls(Time now) {
  permits_.SetIssuer(controls_.PermitIssuer(), controls_.EntryInstances(), now);
  quotas_.SetControls(controls_, now);
  origins_.SetControls(controls_, now);
}

void EntryNode::MergeRecords(const InstanceId& from,
                             const EndpointRecords& records, Time now) {
  for (const proto::EndpointRecord& message : records) {
    EndpointRecord record;
    if (!FromProto(message, &record)) {
      Log(LogLevel::kWarning, "record_malformed", {{"from", from.value()}});
      continue;
    }
    Log(LogLevel::kInfo, "endpoint_learned",
        {{"endpoint", record.id.value()},
         {"state", Name(record.state)},
         {"expired", record.expired ? "true" : "false"},
         {"role", Name(record.role)},
         {"version",
          record.version.value_or(SoftwareVersion("unknown")).value()},
         {"sequence", record.sequence},
         {"control", from.value()}});
    pool_.Merge(record, now);
  }
}

void EntryNode::SetChangingEndpoints(const EndpointNames& names, Time now) {
  for (const std::string& name : names) {
    pool_.SetChanging(EndpointId(name), now + kRoleChangeLifetime);
  }
}

void EntryNode::FollowControls(Time now) {
  for (const InstanceId& control : controls_.Expire(now)) {
    link_.Disconnect(control);
    due_follows_.erase(control);
  }
  for (const InstanceId& control : controls_.Disconnect(now)) {
    const Time heard_at = controls_.controls().at(control).last_update_at;
    Log(LogLevel::kWarning, "control_silent",
        {{"control", control.value()},
         {"silent_ms", ToMilliseconds(now - heard_at)}});
  }
  load_source_ = controls_.LoadSource(now);
  const std::vector<InstanceId> partners = controls_.EvidencePartners();
  evidence_partners_ = {partners.begin(), partners.end()};
  UseControls(now);
  for (const auto& [instance, control] : controls_.controls()) {
    due_follows_.insert(instance);
  }
  SendDueFollows(now);
}

void EntryNode::SendDueFollows(Time now) {
  std::vector<InstanceId> reachable;
  for (const InstanceId& control : due_follows_) {
    if (link_.CanSend(control)) reachable.push_back(control);
  }
  if (reachable.empty()) return;
  // The loads of a Follow include the placements so far.
  SendPlacements();
  const EndpointLoads loads = pool_.OwnLoads();
  for (const InstanceId& control : reachable) {
    due_follows_.erase(control);
    SendFollow(control, controls_.controls().at(control), loads, now);
  }
}

void EntryNode::SendFollow(const InstanceId& to,
                           const ControlDirectory::Control& control,
                           const EndpointLoads& loads, Time now) {
  proto::NodeMessage message;
  proto::Follow* follow = message.mutable_follow();
  follow->set_configuration_version(configuration_.version().value());
  follow->set_fetches_configuration(true);
  follow->set_shares_crashes(evidence_partners_.contains(to));
  follow->set_registry_epoch(control.process.value());
  follow->set_registry_revision(control.registry_revision);
  follow->set_last_received(control.last_received);
  WriteLoads(loads, follow->mutable_loads());
  WriteWaiting(pool_.waiting(), follow->mutable_waiting());
  permits_.WriteOwnLimits(now, follow->mutable_rate_limits());
  follow->set_wants_placements(to == load_source_);
  follow->set_data_centre(settings_.data_centre.value());
  follow->set_number(controls_.OnFollow(to, now));
  relays_.WriteReach(follow);
  if (TakesRequestsOfOthers(now)) {
    relay_server_->WriteOffer(follow->mutable_relay_offer());
  }
  link_.Send(to, std::move(message));
}

void EntryNode::SendPlacements() {
  const EndpointLoads placed = pool_.TakePlaced();
  const EndpointPaceOutcomes paced = pool_.TakeOutcomes(BootTimeNow());
  LogPaceChanges();
  if (placed.empty() && paced.empty()) return;
  for (const InstanceId& instance : controls_.Connected()) {
    proto::NodeMessage message;
    WriteLoads(placed, message.mutable_placements()->mutable_added());
    WriteOutcomes(paced, message.mutable_placements()->mutable_paced());
    link_.Send(instance, std::move(message));
  }
}

void EntryNode::LogPaceChanges() {
  for (const PaceChange& change : pool_.TakePaceChanges()) {
    const std::string_view name =
        change.began ? "slow_start_began" : "slow_start_ended";
    Log(LogLevel::kInfo, name,
        {{"endpoint", change.endpoint.value()},
         {"limit", change.limit},
         {"reason", change.reason}});
    const std::string_view total =
        change.began ? "slow_starts_total" : "slow_start_ends_total";
    metrics_.counter(fmt::format("{}{{reason=\"{}\"}}", total, change.reason))
        .Add();
    metrics_.gauge("endpoints_in_slow_start")
        .Set(static_cast<std::int64_t>(pool_.InSlowStart()));
  }
}

void EntryNode::Tick() {
  const Time now = BootTimeNow();
  for (const SocketAddress& seed : settings_.seeds) {
    controls_.Learn(InstanceId(seed.ip), now);
  }
  FollowControls(now);
  read_times_.Poll(now);
  metrics_.gauge("unfinished_answer_bytes").Set(bytes_.bytes());
  metrics_.gauge("unsent_answer_bytes").Set(callers_->unsent_bytes());
  if (now < next_expiry_) return;
  next_expiry_ = now + kExpiryPeriod;
  pool_.Expire(now);
  permits_.Expire(pool_, now);
}

}  // namespace cassiausher
