#include "main/node/control_node.h"

#include <gio/gio.h>

#include <algorithm>
#include <utility>

#include "core/log.h"
#include "drivers/clock.h"
#include "drivers/process_setup.h"
#include "drivers/task.h"
#include "main/node/message_age.h"
#include "main/node/node_messages.h"
#include "main/node/origin_messages.h"
#include "platform/runner_calls.h"

namespace cassiausher {
namespace {

constexpr Duration kTickPeriod = Milliseconds(100);
constexpr Duration kSyncPeriod = Milliseconds(600);
// While the registries of others are awaited.
constexpr Duration kStartSyncPeriod = Milliseconds(200);
// A control instance is advertised to others only while its own messages
// arrive, so that one that has gone isn't advertised forever.
constexpr Duration kAdvertisedTtl = Seconds(10);
constexpr Duration kControlLifetime = Seconds(30);
// The largest configuration document that operators send.
constexpr std::int64_t kMaxConfigurationBytes = 8 << 20;
// Each sync also resends records seen up to this long before the last sync,
// since ticks may be late.
constexpr Duration kSyncOverlap = Milliseconds(300);

// Room appears only as endpoints expire.
constexpr Duration kRegistryFullRetryAfter = Seconds(10);

constexpr const char* kJson = "application/json";

// An instance that has received no other's registry by then knows the endpoints
// by their heartbeats.
constexpr Duration kRegistrySyncTime = Seconds(4);
// An instance that has found neither a leader nor an instance that knows the
// departures by then goes on without them: the control instances have no
// quorum, and entry instances that start would have no endpoints at all.
// Elections that succeed take less.
constexpr Duration kDeparturesTime = Seconds(6);

// Every incarnation of an endpoint that may have begun by now.
Incarnation NewestIncarnation() {
  return Incarnation(static_cast<std::uint64_t>(g_get_real_time()) / 1000);
}

}  // namespace

ControlNode::ControlNode(NodeSettings settings, const ConfigurationCodec& codec,
                         Metrics& metrics, GMainContext* context,
                         ClientLimits limits)
    : settings_(std::move(settings)),
      codec_(codec),
      metrics_(metrics),
      context_(context),
      limits_(std::move(limits)),
      incarnation_(static_cast<std::uint64_t>(g_get_real_time())),
      heartbeats_(metrics.counter("heartbeats_total")),
      refused_heartbeats_(metrics.counter("heartbeats_refused_total")),
      changes_(metrics.counter("configuration_submissions_total")),
      refused_changes_(metrics.counter("configuration_refusals_total")),
      kept_origins_(metrics.gauge("stream_origins")),
      link_(settings_, incarnation_, metrics,
            [this](const InstanceId& from, const proto::NodeMessage& message) {
              OnMessage(from, message);
            }),
      log_(settings_, metrics, context, *this),
      registry_({}),
      stage_orders_(settings_.ip, metrics),
      permits_(settings_, &log_, &registry_, metrics, &link_),
      quotas_(settings_.quota_tolerance, &permits_, metrics, &link_),
      crashes_(Incarnation(incarnation_), &link_),
      leader_calls_(InstanceId(settings_.ip), &log_, &link_),
      followers_({.settings = &settings_,
                  .incarnation = incarnation_,
                  .registry = &registry_,
                  .stage_orders = &stage_orders_,
                  .permits = &permits_,
                  .quotas = &quotas_,
                  .log = &log_,
                  .newest = &newest_},
                 metrics, &link_) {}

ControlNode::~ControlNode() = default;

std::string ControlNode::Start() {
  started_at_ = BootTimeNow();
  Reload(settings_);
  if (auto error = link_.Listen(context_); !error.empty()) return error;
  server_ = std::make_unique<HttpServer>(
      HttpServerOptions{.address = settings_.control->ip,
                        .port = settings_.control->port,
                        .max_body_bytes = kMaxConfigurationBytes,
                        .metrics = &metrics_,
                        .max_descriptor = MaxServedDescriptor(),
                        .memory = limits_.memory},
      [this](HttpExchangePtr exchange) { OnCall(std::move(exchange)); },
      [](int, std::string_view message) {
        return FormatError({.type = "limit",
                            .code = "limit",
                            .message = std::string(message),
                            .not_run = true});
      });
  if (auto error = server_->Listen(context_); !error.empty()) return error;
  log_.Start(started_at_);
  if (log_.is_new()) OnDeparturesKnown("first_start", started_at_);
  timer_ = AddTimer(context_, kTickPeriod, [this] { Tick(); });
  batch_timer_ = AddTimer(context_, FollowerUpdates::kBatchPeriod, [this] {
    const Time now = BootTimeNow();
    followers_.SendBatches(LiveControls(), now);
    crashes_.Tick(now);
  });
  return {};
}

void ControlNode::Reload(const NodeSettings& settings) {
  settings_.seeds = settings.seeds;
  const Time now = BootTimeNow();
  for (const SocketAddress& seed : settings_.seeds) {
    if (seed.ip == settings_.ip) continue;
    controls_.try_emplace(InstanceId(seed.ip), ControlPeer{.learned_at = now});
  }
}

// --- HTTP calls ------------------------------------------------------------

void ControlNode::OnCall(HttpExchangePtr exchange) {
  const ControlCall call =
      ReadControlCall(exchange->method(), exchange->path());
  exchange->SetLabel(exchange->path());
  switch (call.kind) {
    case ControlCallKind::kHeartbeat:
      return OnHeartbeat(call.endpoint, std::move(exchange));
    case ControlCallKind::kDeparture:
      return OnDeparture(call.endpoint, std::move(exchange));
    case ControlCallKind::kPutConfiguration:
      return OnPut(std::move(exchange));
    case ControlCallKind::kReadConfiguration:
      return leader_calls_.Read(std::move(exchange), BootTimeNow());
    case ControlCallKind::kListVerdicts:
      return crashes_.List(*exchange, BootTimeNow());
    case ControlCallKind::kLiftVerdict:
      return crashes_.Lift(*exchange, call.verdict, BootTimeNow());
    case ControlCallKind::kUnknown:
      RespondControlError(*exchange, 404, "path", "no such call");
  }
}

void ControlNode::OnHeartbeat(const EndpointId& id, HttpExchangePtr exchange) {
  heartbeats_.Add();
  Findings findings;
  const auto record = ReadHeartbeat(id, exchange->body(), &findings);
  if (!record.has_value()) {
    return RefuseHeartbeat(id, *exchange,
                           {.status = 400,
                            .type = "invalid_request",
                            .code = "heartbeat",
                            .message = ToString(findings)});
  }
  if (!registry_.HasRoomFor(id)) return RefuseForWantOfRoom(id, *exchange);
  const Time now = BootTimeNow();
  const bool changed = registry_.Update(*record, now);
  if (changed) PublishRegistryChange(*registry_.Find(id));
  for (const EndpointRecord& replaced : registry_.ExpireReplaced(id, now)) {
    PublishRegistryChange(replaced);
  }
  if (record->state == EndpointLifecycle::kReady) {
    return exchange->Respond(200, kJson, "{}");
  }
  leader_calls_.SubmitLeaving(std::move(exchange), *record, now);
}

void ControlNode::RefuseForWantOfRoom(const EndpointId& id,
                                      HttpExchange& exchange) {
  RefuseHeartbeat(id, exchange,
                  {.status = 503,
                   .type = "unavailable",
                   .code = "endpoints",
                   .message = "too many endpoints are known",
                   .not_run = true,
                   .retry_after = kRegistryFullRetryAfter});
}

void ControlNode::RefuseHeartbeat(const EndpointId& id, HttpExchange& exchange,
                                  const ErrorAnswer& error) {
  refused_heartbeats_.Add();
  Log(LogLevel::kWarning, "heartbeat_refused",
      {{"endpoint", id.value()}, {"findings", error.message}});
  RespondError(exchange, error);
}

void ControlNode::OnDeparture(const EndpointId& id, HttpExchangePtr exchange) {
  Findings findings;
  if (!CheckEndpointId(id, &findings)) {
    return RefuseHeartbeat(id, *exchange,
                           {.status = 400,
                            .type = "invalid_request",
                            .code = "departure",
                            .message = ToString(findings)});
  }
  if (!registry_.HasRoomFor(id)) return RefuseForWantOfRoom(id, *exchange);
  const Time now = BootTimeNow();
  if (registry_.MarkDeparted(id, NewestIncarnation(), now)) {
    PublishRegistryChange(*registry_.Find(id));
  }
  leader_calls_.SubmitLeaving(std::move(exchange), *registry_.Find(id), now);
}

void ControlNode::PublishRegistryChange(const EndpointRecord& record) {
  LogChange(record);
  proto::Sync sync;
  AddRecord(record, BootTimeNow(), &sync);
  for (const InstanceId& control : KnownControls()) SendSync(control, sync);
  followers_.OnChange(BootTimeNow());
}

void ControlNode::LogChange(const EndpointRecord& record) {
  Log(LogLevel::kInfo, "endpoint_changed",
      {{"endpoint", record.id.value()},
       {"service", record.service.value()},
       {"address", record.address},
       {"version", record.version.value_or(SoftwareVersion("unknown")).value()},
       {"state", Name(record.state)},
       {"expired", record.expired ? "true" : "false"},
       {"role", Name(record.role)},
       {"born", record.incarnation.value()},
       {"sequence", record.sequence}});
}

void ControlNode::OnPut(HttpExchangePtr exchange) {
  changes_.Add();
  Findings findings;
  const auto decoded = codec_.Decode(exchange->body(), &findings);
  if (decoded.has_value()) findings.Append(Validate(*decoded));
  // An earlier build may have acknowledged what is refused now; sent again, it
  // is acknowledged again.
  const bool in_force = decoded.has_value() &&
                        decoded->version == log_.current().version &&
                        exchange->body() == log_.current().document;
  if (!findings.empty() && !in_force) {
    refused_changes_.Add();
    Log(LogLevel::kWarning, "configuration_refused",
        {{"findings", ToString(findings)}});
    RespondControlError(*exchange, 400, "configuration", ToString(findings));
    return;
  }
  VersionedDocument document{decoded->version, std::string(exchange->body())};
  leader_calls_.Submit(std::move(exchange), std::move(document), BootTimeNow());
}

// --- The replicated log ----------------------------------------------------

void ControlNode::SendToNode(const InstanceId& to,
                             const proto::NodeMessage& message) {
  link_.Send(to, message);
}

void ControlNode::OnConfiguration(const VersionedDocument& document) {
  Findings findings;
  configuration_ = codec_.Decode(document.document, &findings);
  if (configuration_.has_value()) quotas_.SetConfiguration(*configuration_);
  newest_.Learn(document.version, std::nullopt);
  followers_.OnChange(BootTimeNow());
}

void ControlNode::OnLeaving(const LeavingEndpoint& leaving) {
  const Time now = BootTimeNow();
  // The other control instances have it from the log as well.
  if (!registry_.Update(leaving.record, now - leaving.age)) return;
  LogChange(leaving.record);
  followers_.OnChange(now);
}

void ControlNode::OnSubmitted(const InstanceId& origin,
                              std::uint64_t submission) {
  if (origin.value() == settings_.ip) {
    return leader_calls_.OnSubmitted(submission);
  }
  proto::NodeMessage message;
  message.mutable_submit_result()->set_submission(submission);
  message.mutable_submit_result()->set_committed(true);
  link_.Send(origin, std::move(message));
}

void ControlNode::OnCurrentRead(const InstanceId& origin, std::uint64_t read,
                                bool served) {
  if (read == confirming_read_ && origin.value() == settings_.ip) {
    confirming_read_ = 0;
    if (!served) return;
    const EndpointId runner = stage_orders_.PlannedFor();
    if (!permits_.TakeForOwnCall(runner, BootTimeNow())) return;
    stage_orders_.Send(log_.term(), BootTimeNow());
    followers_.OnChange(BootTimeNow());
    return;
  }
  // A read that wasn't served is sent again, to the next leader.
  if (!served) return;
  if (origin.value() == settings_.ip) {
    return leader_calls_.OnRead(read, log_.current());
  }
  proto::NodeMessage message;
  auto* result = message.mutable_read_result();
  result->set_read(read);
  result->set_served(true);
  *result->mutable_document() = cassiausher::ToProto(log_.current());
  link_.Send(origin, std::move(message));
}

// --- Messages between instances --------------------------------------------

void ControlNode::OnMessage(const InstanceId& from,
                            const proto::NodeMessage& message) {
  const Time now = BootTimeNow();
  const Incarnation process(message.incarnation());
  switch (message.body_case()) {
    case proto::NodeMessage::kRaft:
      log_.OnRaft(message.raft());
      break;
    case proto::NodeMessage::kFollow:
      OnRateLimits(message.follow().rate_limits(), now);
      if (message.follow().shares_crashes()) {
        crashes_.OnPeer(from, process, now);
      }
      quotas_.OnFollow(from, now);
      followers_.OnFollow(from, process, message.follow(), now);
      break;
    case proto::NodeMessage::kQuotaReport:
      quotas_.OnReport(from, message.quota_report(), now);
      if (quotas_.Tick(now)) followers_.OnChange(now);
      break;
    case proto::NodeMessage::kQuotaAsk:
      quotas_.OnAsk(from, message.quota_ask(), now);
      if (quotas_.Tick(now)) followers_.OnChange(now);
      break;
    case proto::NodeMessage::kCrashEvidence:
      crashes_.OnMessage(from, process, message.crash_evidence(), now);
      break;
    case proto::NodeMessage::kRateLimitReport:
      OnRateLimits(message.rate_limit_report().rate_limits(), now);
      break;
    case proto::NodeMessage::kPermitRequest:
      if (permits_.OnRequest(from, message.permit_request(), now)) {
        followers_.OnRateLimitAppeared(now);
      }
      break;
    case proto::NodeMessage::kStoreOrigins:
      link_.Send(from, Keep(message.store_origins(), now, &origins_));
      break;
    case proto::NodeMessage::kFindOrigin:
      link_.Send(from, AnswerSearch(message.find_origin(), now, origins_));
      break;
    case proto::NodeMessage::kPlacements:
      followers_.OnPlacements(from, message.placements());
      break;
    case proto::NodeMessage::kFetchConfiguration:
      OnFetch(from, message.fetch_configuration());
      break;
    case proto::NodeMessage::kSync: {
      std::uint64_t& known = control_incarnations_[from];
      // A control process that started anew has lost its earlier state.
      if (known != message.incarnation()) synced_with_.erase(from);
      known = message.incarnation();
      if (message.sync().shares_crashes()) crashes_.OnPeer(from, process, now);
      OnSync(from, message.sync());
      OnPeerProcess(from, process, message.sync(), now);
      break;
    }
    case proto::NodeMessage::kSubmitDocument:
      OnSubmit(from, message.submit_document(), now);
      break;
    case proto::NodeMessage::kSubmitResult:
      leader_calls_.OnSubmitted(message.submit_result().submission());
      break;
    case proto::NodeMessage::kReadCurrent:
      if (!log_.leading()) break;
      log_.ReadCurrent(from, message.read_current().read(), now);
      break;
    case proto::NodeMessage::kReadResult:
      OnReadResult(message.read_result());
      break;
    default:
      Log(LogLevel::kWarning, "message_unknown", {{"from", from.value()}});
  }
}

void ControlNode::OnSubmit(const InstanceId& from,
                           const proto::SubmitDocument& submit, Time now) {
  if (!log_.leading()) return;
  LogCommand command;
  if (!cassiausher::FromProto(submit.document(), &command)) {
    Log(LogLevel::kWarning, "record_malformed", {{"from", from.value()}});
    return;
  }
  log_.Submit(from, submit.submission(), command, now);
}

void ControlNode::OnRateLimits(const RateLimitMessages& limits, Time now) {
  if (permits_.Observe(limits, now)) followers_.OnRateLimitAppeared(now);
}

void ControlNode::OnReadResult(const proto::ReadResult& result) {
  if (!result.served()) return;
  leader_calls_.OnRead(result.read(),
                       cassiausher::FromProto(result.document()));
}

void ControlNode::OnFetch(const InstanceId& from,
                          const proto::FetchConfiguration& fetch) {
  if (log_.current().version == Revision(0)) return;
  const DocumentChunk chunk = documents_.ChunkAt(
      log_.current(), Revision(fetch.version()), fetch.offset());
  proto::NodeMessage message;
  auto* answer = message.mutable_configuration_chunk();
  answer->set_version(chunk.version.value());
  answer->set_offset(chunk.offset);
  answer->set_total_size(chunk.total_size);
  answer->set_data(std::string(chunk.data));
  link_.Send(from, std::move(message));
}

void ControlNode::OnNotice(const proto::ConfigurationNotice& notice, Time now) {
  const Revision version(notice.newest_version());
  if (newest_.Learn(version, ConfirmedAt(notice, now))) {
    followers_.OnChange(now);
  }
}

std::vector<InstanceId> ControlNode::KnownControls() const {
  std::vector<InstanceId> others;
  for (const auto& [instance, control] : controls_) others.push_back(instance);
  return others;
}

std::vector<InstanceId> ControlNode::LiveControls() const {
  const Time now = BootTimeNow();
  std::vector<InstanceId> heard;
  for (const auto& [instance, control] : controls_) {
    if (!control.heard_at.has_value()) continue;
    if (now - *control.heard_at < kAdvertisedTtl) heard.push_back(instance);
  }
  return heard;
}

void ControlNode::AddControls(
    const google::protobuf::RepeatedPtrField<std::string>& controls) {
  const Time now = BootTimeNow();
  for (const std::string& ip : controls) {
    if (ip == settings_.ip) continue;
    if (g_hostname_is_ip_address(ip.c_str()) == FALSE) continue;
    if (controls_.try_emplace(InstanceId(ip), ControlPeer{.learned_at = now})
            .second) {
      Log(LogLevel::kInfo, "control_found", {{"control", ip}});
    }
  }
}

void ControlNode::AddRecord(const EndpointRecord& record, Time now,
                            proto::Sync* sync) const {
  proto::EndpointRecord* message = sync->add_records();
  *message = cassiausher::ToProto(record);
  message->set_seen_age_ms(AgeInMs(registry_.LastSeen(record.id), now));
}

void ControlNode::SendSync(const InstanceId& to, const proto::Sync& sync) {
  proto::NodeMessage message;
  *message.mutable_sync() = sync;
  link_.Send(to, std::move(message));
}

void ControlNode::OnSync(const InstanceId& from, const proto::Sync& sync) {
  const Time now = BootTimeNow();
  ControlPeer& control = controls_[from];
  control.learned_at = now;
  control.heard_at = now;
  bool changed = false;
  int refused = 0;
  for (const proto::EndpointRecord& message : sync.records()) {
    EndpointRecord record;
    if (!cassiausher::FromProto(message, &record)) {
      Log(LogLevel::kWarning, "record_malformed", {{"from", from.value()}});
      continue;
    }
    if (!registry_.HasRoomFor(record.id)) ++refused;
    changed |= registry_.Update(record, TimeOfAge(message.seen_age_ms(), now));
  }
  if (refused > 0) {
    Log(LogLevel::kWarning, "records_refused",
        {{"from", from.value()}, {"records", refused}});
  }
  if (changed) followers_.OnChange(now);
  OnNotice(sync.notice(), now);
  AddControls(sync.control_instances());
  if (sync.has_members()) log_.OnMembers(from, sync.members(), BootTimeNow());
  if (sync.whole_registry()) {
    synced_with_.insert(from);
    followers_.OnRegistryComplete();
    if (sync.departures_known()) OnDeparturesKnown(from.value(), now);
    const auto configuration = cassiausher::FromProto(sync.configuration());
    if (configuration.has_value()) {
      logs_known_[from] = {sync.storage(), *configuration};
    }
  }
  if (sync.wants_registry()) SendRegistry(from, now);
}

void ControlNode::SendRegistry(const InstanceId& to, Time now) {
  proto::Sync whole;
  whole.set_whole_registry(true);
  whole.set_departures_known(departures_known_);
  whole.set_storage(log_.storage());
  *whole.mutable_configuration() = cassiausher::ToProto(log_.configuration());
  for (const EndpointRecord& record : registry_.ChangedSince(0)) {
    AddRecord(record, now, &whole);
  }
  SendSync(to, whole);
}

void ControlNode::CheckDepartures(Time now) {
  if (departures_known_) return;
  // A leader has applied all that was committed before its term.
  const bool leads = log_.ConfirmedAt().has_value();
  if (leads || log_.HoldAllCommitted(logs_known_)) {
    OnDeparturesKnown(leads ? "log" : "voters", now);
    for (const InstanceId& control : KnownControls()) {
      SendRegistry(control, now);
    }
    return;
  }
  if (now - started_at_ < kDeparturesTime) return;
  Log(LogLevel::kWarning, "departures_unknown",
      {{"leader", log_.leader().value()}});
  OnDeparturesKnown("none", now);
}

void ControlNode::OnDeparturesKnown(std::string_view source, Time now) {
  if (std::exchange(departures_known_, true)) return;
  Log(LogLevel::kInfo, "departures_known",
      {{"source", source}, {"endpoints", registry_.size()}});
  followers_.OnDeparturesKnown(now);
}

void ControlNode::SyncControls(Time now) {
  proto::Sync sync;
  for (const EndpointRecord& record :
       registry_.SeenSince(last_sync_ - kSyncOverlap)) {
    AddRecord(record, now, &sync);
  }
  sync.add_control_instances(settings_.ip);
  for (const InstanceId& control : LiveControls()) {
    sync.add_control_instances(control.value());
  }
  if (auto members = log_.Members()) {
    sync.set_allocated_members(members.release());
  }
  WriteNotice(newest_, log_.current().version, now, sync.mutable_notice());
  sync.set_shares_crashes(true);
  sync.set_data_centre(settings_.data_centre.value());
  for (const InstanceId& control : KnownControls()) {
    // Asked for here only: with each change, the whole registry would be sent
    // again and again while the answer is on its way.
    sync.set_wants_registry(!departures_known_ ||
                            !synced_with_.contains(control));
    SendSync(control, sync);
  }
  last_sync_ = now;
}

void ControlNode::BalanceStages(Time now) {
  if (log_.leading()) {
    stage_orders_.OnLeading(now);
  } else {
    stage_orders_.OnFollowing();
  }
  if (!configuration_.has_value()) return;
  if (!stage_orders_.Plan(*configuration_, registry_, followers_.Loads(),
                          now)) {
    return;
  }
  confirming_read_ = leader_calls_.NextId();
  log_.ReadCurrent(InstanceId(settings_.ip), confirming_read_, now);
}

void ControlNode::Tick() {
  const Time now = BootTimeNow();
  log_.Tick(now);
  newest_.Learn(log_.current().version, log_.ConfirmedAt());
  leader_calls_.Retry(now);
  if (permits_.Tick(now)) followers_.OnChange(now);
  if (quotas_.Tick(now)) followers_.OnChange(now);
  CheckDepartures(now);
  if (now < next_sync_) return;
  next_sync_ = now + (departures_known_ ? kSyncPeriod : kStartSyncPeriod);
  if (now - started_at_ >= kRegistrySyncTime) followers_.OnRegistryComplete();
  SyncControls(now);
  BalanceStages(now);
  for (const EndpointRecord& record : registry_.Expire(now)) {
    PublishRegistryChange(record);
  }
  followers_.Expire(now);
  permits_.Expire(now);
  quotas_.Expire(now);
  origins_.Expire(now);
  kept_origins_.Set(static_cast<std::int64_t>(origins_.size()));
  std::set<InstanceId> seeds;
  for (const SocketAddress& seed : settings_.seeds) {
    seeds.insert(InstanceId(seed.ip));
  }
  std::erase_if(controls_, [&](const auto& item) {
    if (now - item.second.learned_at < kControlLifetime) return false;
    if (seeds.contains(item.first)) return false;
    Log(LogLevel::kWarning, "control_lost", {{"control", item.first.value()}});
    link_.Disconnect(item.first);
    return true;
  });
}

}  // namespace cassiausher
