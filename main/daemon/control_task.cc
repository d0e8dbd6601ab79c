#include "main/daemon/control_task.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "core/json_reader.h"
#include "core/log.h"
#include "drivers/clock.h"
#include "main/daemon/request_id.h"
#include "main/error_body.h"
#include "servers/language/statement.h"

namespace cassiausher {
namespace {

/// Payload key of the active revision.
constexpr char kRevisionKey[] = "revision";

constexpr Duration kTickPeriod = Milliseconds(10);
// Members are passed to the services again at least this often.
constexpr Duration kPublishPeriod = Seconds(1);
// Below the first-token targets that operators set, above an election.
constexpr Duration kClaimTimeout = Seconds(4);
// Outcomes are retried for a day: a key stays claimed until its outcome is
// recorded.
constexpr Duration kOutcomeTimeout = Seconds(24 * 3600);

// Before it leaves, an instance waits this long for a leader to commit the
// outcomes of its requests; enough for an election.
constexpr Duration kLastOutcomesPeriod = Seconds(2);

std::string_view NameOf(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kDead:
      return "dead";
    case MemberState::kLeft:
      return "left";
  }
  return "";
}

std::string_view NameOf(RequestStage stage) {
  switch (stage) {
    case RequestStage::kQueued:
      return "queued";
    case RequestStage::kPrefill:
      return "prefill";
    case RequestStage::kTransfer:
      return "transfer";
    case RequestStage::kDecode:
      return "decode";
  }
  return "";
}

bool IsLive(const MemberRow& row) {
  return row.state == MemberState::kAlive || row.state == MemberState::kSuspect;
}

std::string JoinIds(const std::vector<ClassId>& ids) {
  std::string text;
  for (const ClassId& id : ids) {
    if (!text.empty()) text += ",";
    text += id.value();
  }
  return text;
}

std::string FindingsBody(const Findings& findings, Revision revision) {
  ChangeAnswer answer;
  answer.revision = revision;
  answer.findings = findings;
  return DumpJson(ToJson(answer));
}

}  // namespace

ControlTask::ControlTask(ControlTaskOptions options, Metrics& metrics,
                         ToServing to_serving, int serving_tasks)
    : Task("control"),
      options_(std::move(options)),
      settings_(options_.settings),
      malformed_(metrics.counter("peer_messages_malformed_total")),
      stale_(metrics.counter("peer_messages_stale_total")),
      open_requests_(metrics.gauge("requests_open")),
      context_{
          .settings = settings_,
          .metrics = metrics,
          .main_context = context(),
          .serving_tasks = serving_tasks,
          .incarnation = options_.incarnation,
          .send = [this](const InstanceId& peer,
                         proto::Envelope& envelope) { Send(peer, envelope); },
          .to_serving = std::move(to_serving),
          .post = [this](ControlMessage message) { Post(std::move(message)); }},
      pools_(context_, options_.policies, options_.policy_name, MonotonicNow()),
      limits_({.instance_concurrency =
                   static_cast<int>(settings_.limits.open_requests)}),
      limited_(metrics.counter("requests_account_limited_total")),
      configuration_(
          context_,
          [this](std::shared_ptr<const Configuration> configuration) {
            pools_.SetConfiguration(configuration, MonotonicNow());
            ConfigureLimits(*configuration);
            UpdatePayload(MonotonicNow());
            for (int i = 0; i < context_.serving_tasks; ++i) {
              context_.to_serving(i, ConfigurationUpdated{configuration});
            }
          }),
      queries_(context_,
               [this](const std::string& table,
                      std::function<void(std::vector<Row>)> callback) {
                 CollectRows(table, std::move(callback));
               }),
      sent_by_kind_(metrics),
      mailbox_(context(),
               [this](ControlMessage& message) { Handle(message); }) {}

ControlTask::~ControlTask() { Stop(); }

void ControlTask::OnStart() {
  const Time now = MonotonicNow();
  transport_ = std::make_unique<PeerTransport>(
      PeerTransportOptions{.listen = settings_.listen.peer.ToString(),
                           .keys = options_.curve_keys},
      context_.metrics,
      [this](std::string_view bytes) { OnPeerMessage(bytes); });
  listen_error_ = transport_->Listen(context());
  if (!listen_error_.empty()) return;
  for (const PeerSettings& peer : settings_.peers) {
    if (peer.instance == settings_.instance) continue;
    transport_->SetPeer(peer.instance, peer.address.ToString(),
                        peer.public_key);
  }
  StartMembership(now);
  configuration_.Start();
  timer_ = AddTimer(kTickPeriod, [this] { Tick(); });
}

void ControlTask::OnStop() {
  timer_.reset();
  transport_.reset();
}

void ControlTask::Handle(ControlMessage& message) {
  const Time now = MonotonicNow();
  std::visit([&](auto& value) { On(value, now); }, message);
}

// ---- Membership ----------------------------------------------------------

void ControlTask::StartMembership(Time now) {
  MembershipOptions options;
  options.self = settings_.instance;
  options.data_centre = settings_.data_centre;
  options.address = settings_.listen.peer.ToString();
  options.incarnation = options_.incarnation;
  options.random_seed = std::random_device()();
  for (const PeerSettings& peer : settings_.peers) {
    if (peer.instance == settings_.instance) continue;
    options.seeds.push_back({peer.instance, peer.address.ToString()});
  }
  membership_ = std::make_unique<Membership>(options, now);
  DispatchMembership(now);
}

void ControlTask::UpdatePayload(Time now) {
  // The services in the constructor may report the first configuration before
  // membership has started.
  if (membership_ == nullptr) return;
  MemberPayload payload;
  payload[kRevisionKey] =
      fmt::to_string(configuration_.active()->revision.value());
  if (leaving_) payload[kDrainingKey] = "1";
  membership_->SetPayload(std::move(payload), now);
  DispatchMembership(now);
}

void ControlTask::DispatchMembership(Time now) {
  MembershipOutputs outputs = membership_->TakeOutputs();
  for (const MembershipSend& send : outputs.messages) {
    proto::Envelope envelope;
    envelope.set_membership(send.message.SerializeAsString());
    Send(send.to, envelope);
  }
  for (const MembershipEvent& event : outputs.events) {
    OnMembershipEvent(event, now);
  }
}

void ControlTask::OnMembershipEvent(const MembershipEvent& event, Time now) {
  members_changed_ = true;
  switch (event.kind) {
    case MembershipEventKind::kJoined:
    case MembershipEventKind::kAlive:
      Log(LogLevel::kInfo, "member_alive", {{"member", event.member.value()}});
      return;
    case MembershipEventKind::kSuspect:
      Log(LogLevel::kInfo, "member_suspect",
          {{"member", event.member.value()}});
      return;
    case MembershipEventKind::kDataCentreUnreachable:
    case MembershipEventKind::kDataCentreReachable: {
      const bool lost =
          event.kind == MembershipEventKind::kDataCentreUnreachable;
      Log(lost ? LogLevel::kWarning : LogLevel::kInfo,
          lost ? "data_centre_unreachable" : "data_centre_reachable",
          {{"data_centre", event.data_centre.value()}});
      if (!lost) return;
      // Callers of an unreachable data centre can't get their answers from
      // here; their engines are freed for callers that can.
      for (const MemberRow& row : membership_->Members()) {
        if (row.data_centre == event.data_centre) {
          pools_.OnEntryLost(row.id, now);
        }
      }
      return;
    }
    case MembershipEventKind::kPayloadChanged:
      return;
    case MembershipEventKind::kLeft:
    case MembershipEventKind::kDead:
    case MembershipEventKind::kRestarted:
      break;
  }
  Log(LogLevel::kWarning, "member_lost", {{"member", event.member.value()}});
  pools_.OnEntryLost(event.member, now);
  for (const MemberRow& row : membership_->Members()) {
    if (row.id != event.member) continue;
    // After a restart every run before the current one is lost.
    const bool restarted = event.kind == MembershipEventKind::kRestarted;
    const std::uint64_t lost =
        restarted ? row.started.value() - 1 : row.incarnation.value();
    configuration_.OnInstanceLost(row.id, Incarnation(lost), now);
  }
}

void ControlTask::PublishMembers(Time now) {
  if (!members_changed_ && now - last_publish_ < kPublishPeriod) return;
  members_changed_ = false;
  last_publish_ = now;
  std::set<InstanceId> reachable;
  std::map<InstanceId, Incarnation> started;
  LiveMembers members;
  QueryService::Instances instances;
  for (const PeerSettings& peer : settings_.peers) {
    instances[peer.data_centre].insert(peer.instance);
  }
  for (const MemberRow& row : membership_->Members()) {
    if (row.state != MemberState::kLeft) {
      instances[row.data_centre].insert(row.id);
    }
    if (!IsLive(row)) continue;
    // An unreachable data centre still counts for changes: they wait for it
    // or are refused.
    members[row.data_centre].insert(row.id);
    started[row.id] = row.started;
    const bool is_here = row.data_centre == settings_.data_centre;
    if (!is_here && !row.data_centre_reachable) continue;
    reachable.insert(row.id);
    if (row.id != settings_.instance && !transport_->HasPeer(row.id)) {
      transport_->SetPeer(row.id, row.address, "");
    }
  }
  limits_.SetInstances(static_cast<int>(reachable.size()));
  pools_.SetMembers(membership_->Members(), reachable, now);
  configuration_.SetMembers(std::move(members), std::move(reachable),
                            std::move(started), now);
  queries_.SetInstances(std::move(instances));
}

// ---- Peers ---------------------------------------------------------------

void ControlTask::Send(const InstanceId& peer, proto::Envelope& envelope) {
  envelope.set_sender(settings_.instance.value());
  envelope.set_incarnation(options_.incarnation.value());
  const std::string bytes = envelope.SerializeAsString();
  sent_by_kind_.Add(envelope, bytes.size());
  transport_->Send(peer, bytes);
}

void ControlTask::OnPeerMessage(std::string_view bytes) {
  proto::Envelope envelope;
  if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
      envelope.sender().empty()) {
    malformed_.Add();
    return;
  }
  const InstanceId sender(envelope.sender());
  std::uint64_t& incarnation = incarnations_[sender];
  if (envelope.incarnation() < incarnation) {
    stale_.Add();
    return;
  }
  incarnation = envelope.incarnation();
  OnEnvelope(envelope, sender, MonotonicNow());
}

void ControlTask::OnEnvelope(const proto::Envelope& envelope,
                             const InstanceId& sender, Time now) {
  if (envelope.body_case() == proto::Envelope::kMembership) {
    proto::MembershipMessage message;
    if (!message.ParseFromString(envelope.membership())) {
      malformed_.Add();
      return;
    }
    membership_->OnMessage(message, now);
    DispatchMembership(now);
    return;
  }
  if (pools_.OnEnvelope(envelope, sender, now)) return;
  if (configuration_.OnEnvelope(envelope, sender, now)) return;
  if (queries_.OnEnvelope(envelope, sender, now)) return;
  malformed_.Add();
}

void ControlTask::On(LoopbackEnvelope& message, Time now) {
  OnEnvelope(message.envelope, settings_.instance, now);
}

// ---- From the other tasks ------------------------------------------------

void ControlTask::On(PlacementRequested& message, Time now) {
  const RouteRequest& request = message.request;
  if (message.first) {
    const LimitDecision decision = limits_.Acquire(request.account, now);
    if (decision.verdict != LimitVerdict::kAdmitted) {
      limited_.Add();
      context_.to_serving(
          ServingTaskOf(request.id, settings_.instance),
          PlacementRefused{.refusal = {.request = request.id,
                                       .entry = settings_.instance,
                                       .reason = RefusalReason::kAccountLimit,
                                       .retry_after = decision.retry_after}});
      return;
    }
  }
  pools_.RequestPlacement(request, now);
}

void ControlTask::On(RequestEnded& message, Time now) {
  if (message.admitted) limits_.Release(message.account, now);
}

void ControlTask::ConfigureLimits(const Configuration& configuration) {
  std::map<AccountId, AccountLimit> limits;
  for (const auto& [id, account] : configuration.accounts) {
    limits[id] = {.requests_per_second = account.request_rate,
                  .burst = 2 * account.request_rate,
                  .concurrency = account.concurrency,
                  .weight = account.weight};
  }
  limits_.Configure(std::move(limits));
}

void ControlTask::On(PlacementProgress& message, Time now) {
  pools_.Report(message, now);
}

void ControlTask::On(CancelNotConfirmed& message, Time now) {
  pools_.ReportUnconfirmed(message, now);
}

void ControlTask::On(RequestOffered& message, Time now) {
  pools_.Offer(message, now);
}

void ControlTask::On(EndpointAnnounced& message, Time now) {
  pools_.Announce(message.announcement, now);
}

void ControlTask::On(ClaimRequested& message, Time now) {
  const RequestId request = message.claim.request;
  const int task = ServingTaskOf(request, settings_.instance);
  configuration_.Command(
      LedgerEntry(message.claim), kClaimTimeout,
      [this, request, task](std::optional<LedgerAnswer> answer) {
        context_.to_serving(task, ClaimAnswered{request, std::move(answer)});
      },
      now);
}

void ControlTask::On(OutcomeReported& message, Time now) {
  configuration_.Command(
      LedgerEntry(message.result), kOutcomeTimeout,
      [](const std::optional<LedgerAnswer>&) {}, now);
}

void ControlTask::On(SessionsListed& message, Time now) {
  pools_.OnSessions(message, now);
}

void ControlTask::On(ShutdownRequested&, Time now) {
  leaving_ = true;
  UpdatePayload(now);
  pools_.Leave(now);
  configuration_.TransferLeadership(now);
}

void ControlTask::On(PeersChanged& message, Time) {
  for (const PeerSettings& peer : message.peers) {
    if (peer.instance == settings_.instance) continue;
    transport_->SetPeer(peer.instance, peer.address.ToString(),
                        peer.public_key);
  }
}

void ControlTask::On(EndRequestsOrdered&, Time) { configuration_.EndChanges(); }

void ControlTask::On(LeaveRequested&, Time now) {
  if (!leave_deadline_) leave_deadline_ = now + kLastOutcomesPeriod;
}

void ControlTask::Leave(Time now) {
  if (configuration_.has_open_commands()) {
    if (now < *leave_deadline_) return;
    Log(LogLevel::kWarning, "outcomes_not_recorded");
  }
  membership_->Leave(now);
  DispatchMembership(now);
  left_.store(true);
}

// ---- Operators -----------------------------------------------------------

void ControlTask::On(StatementRequested& message, Time now) {
  Statement statement = ParseStatement(message.text);
  const Revision revision = configuration_.active()->revision;
  if (const auto* findings = std::get_if<Findings>(&statement)) {
    message.reply(400, FindingsBody(*findings, revision));
    return;
  }
  if (const auto* help = std::get_if<HelpRequest>(&statement)) {
    message.reply(200,
                  DumpJson(nlohmann::json{{"help", HelpText(help->topic)}}));
    return;
  }
  if (const auto* query = std::get_if<Query>(&statement)) {
    queries_.Run(*query, message.text, revision, std::move(message.reply), now);
    return;
  }
  RunChange(std::get<Change>(statement), message, now);
}

Findings ControlTask::CheckOperator(const Change& change,
                                    const TokenOwner& owner, Time now) const {
  ClientAccount account;
  if (owner.role == "administrator") {
    account.role = AdminRole::kAdministrator;
  } else if (owner.role == "operator") {
    account.role = AdminRole::kOperator;
  } else {
    account.role = AdminRole::kViewer;
  }
  const auto& accounts = configuration_.active()->accounts;
  const auto known = accounts.find(AccountId(owner.name));
  if (known != accounts.end()) account.team = known->second.team;
  return CheckPermission(change, account, *configuration_.active(),
                         [&](const EndpointId& endpoint) {
                           return pools_.ServiceOf(endpoint, now);
                         });
}

void ControlTask::RunChange(const Change& change, StatementRequested& message,
                            Time now) {
  const Findings findings = CheckOperator(change, message.account, now);
  if (!findings.empty()) {
    message.reply(403,
                  FindingsBody(findings, configuration_.active()->revision));
    return;
  }
  configuration_.Submit(change, std::move(message.reply), now);
}

void ControlTask::CollectRows(const std::string& table,
                              std::function<void(std::vector<Row>)> callback) {
  const Time now = MonotonicNow();
  if (table == "requests") return GatherRequestRows(std::move(callback));
  if (table == "endpoints") return callback(pools_.EndpointRows(now));
  if (table == "owners") return callback(pools_.OwnerRows(now));
  if (table == "instances") return callback(InstanceRows());
  if (table == "changes") return callback(configuration_.ChangeRows());
  if (table == "data_centres") return callback(DataCentreRows());
  callback(ConfigurationRows(table));
}

void ControlTask::GatherRequestRows(
    std::function<void(std::vector<Row>)> callback) {
  const std::uint64_t id = next_gather_++;
  gathers_[id] = {context_.serving_tasks, {}, std::move(callback)};
  for (int i = 0; i < context_.serving_tasks; ++i) {
    context_.to_serving(
        i, RequestRowsRequested{[this, id](std::vector<RequestRow> rows) {
          Post(RequestRowsGiven{id, std::move(rows)});
        }});
  }
}

Row ControlTask::RequestRowOf(const RequestRow& request) const {
  Row row;
  row.Set("id", request.id.value());
  row.Set("entry", request.entry.value());
  row.Set("data_centre", settings_.data_centre.value());
  row.Set("service", request.service.value());
  row.Set("class", request.class_id.value());
  row.Set("account", request.account.value());
  row.Set("stage", std::string(NameOf(request.stage)));
  row.Set("prefill", request.prefill.value());
  row.Set("decode", request.decode.value());
  row.Set("age", request.age);
  const auto& classes = configuration_.active()->classes;
  const auto targets = classes.find(request.class_id);
  const Duration target = targets == classes.end()
                              ? ClassTargets{}.first_token
                              : targets->second.first_token;
  row.Set("late", request.late - target);
  return row;
}

void ControlTask::On(RequestRowsGiven& message, Time) {
  const auto found = gathers_.find(message.gather);
  if (found == gathers_.end()) return;
  Gather& gather = found->second;
  for (const RequestRow& row : message.rows) {
    gather.rows.push_back(RequestRowOf(row));
  }
  if (--gather.missing > 0) return;
  const Gather whole = std::move(gather);
  gathers_.erase(found);
  whole.callback(whole.rows);
}

std::vector<Row> ControlTask::InstanceRows() const {
  Row row;
  row.Set("name", settings_.instance.value());
  row.Set("data_centre", settings_.data_centre.value());
  row.Set("incarnation",
          static_cast<std::int64_t>(options_.incarnation.value()));
  row.Set("state", std::string("alive"));
  row.Set("voter", configuration_.votes());
  row.Set("leader", configuration_.leading());
  row.Set("revision",
          static_cast<std::int64_t>(configuration_.active()->revision.value()));
  row.Set("requests", open_requests_.value());
  return {row};
}

std::vector<Row> ControlTask::DataCentreRows() const {
  std::map<DataCentreId, std::int64_t> live;
  std::map<DataCentreId, std::int64_t> revisions;
  for (const MemberRow& member : membership_->Members()) {
    const bool counts = IsLive(member) && member.data_centre_reachable;
    live[member.data_centre] += counts ? 1 : 0;
    const auto revision = member.payload.find(kRevisionKey);
    if (!counts || revision == member.payload.end()) continue;
    const std::int64_t number = std::atoll(revision->second.c_str());
    const auto [lowest, added] =
        revisions.try_emplace(member.data_centre, number);
    if (!added) lowest->second = std::min(lowest->second, number);
  }
  std::vector<Row> rows;
  const Configuration& configuration = *configuration_.active();
  for (const auto& [id, count] : live) {
    Row row;
    row.Set("name", id.value());
    row.Set("excluded", configuration.excluded_data_centres.contains(id));
    const auto settings = configuration.data_centres.find(id);
    if (settings != configuration.data_centres.end()) {
      row.Set("accepts_forwarded", settings->second.accepts_forwarded);
      row.Set("one_way_delay", settings->second.one_way_delay);
    }
    row.Set("instances", count);
    const auto revision = revisions.find(id);
    if (revision != revisions.end()) row.Set("revision", revision->second);
    rows.push_back(std::move(row));
  }
  return rows;
}

std::vector<Row> ControlTask::ConfigurationRows(
    const std::string& table) const {
  const Configuration& configuration = *configuration_.active();
  std::vector<Row> rows;
  if (table == "services") {
    for (const auto& [id, service] : configuration.services) {
      Row row;
      row.Set("name", id.value());
      row.Set("kind", std::string(NameOf(service.kind)));
      row.Set("classes", JoinIds(service.classes));
      row.Set("default_class", service.default_class.value());
      row.Set("idempotent", service.idempotent);
      row.Set("link_share", service.link_share);
      row.Set("admission_deadline", service.admission_deadline);
      row.Set("local_prefill_limit", service.local_prefill_limit.value());
      row.Set("kv_retention", service.kv_retention);
      row.Set("prefill_thrift", service.prefill_thrift);
      row.Set("honours_fencing", service.honours_fencing);
      row.Set("max_prompt_tokens", service.max_prompt_tokens.value());
      rows.push_back(std::move(row));
    }
  } else if (table == "classes") {
    for (const auto& [id, targets] : configuration.classes) {
      Row row;
      row.Set("name", id.value());
      row.Set("priority", std::int64_t{targets.priority});
      row.Set("first_token", targets.first_token);
      row.Set("between_tokens", targets.between_tokens);
      rows.push_back(std::move(row));
    }
  } else if (table == "links") {
    for (const auto& [id, link] : configuration.links) {
      Row row;
      row.Set("data_centre", id.value());
      row.Set("bytes_per_second", link.bytes_per_second);
      rows.push_back(std::move(row));
    }
  } else if (table == "accounts") {
    for (const auto& [id, account] : configuration.accounts) {
      Row row;
      row.Set("name", id.value());
      row.Set("role", std::string(NameOf(account.role)));
      row.Set("request_rate", account.request_rate);
      row.Set("concurrency", std::int64_t{account.concurrency});
      row.Set("weight", account.weight);
      rows.push_back(std::move(row));
    }
  }
  return rows;
}

void ControlTask::On(DumpRequested& message, Time now) {
  message.reply(Dump(now));
}

std::string ControlTask::Dump(Time now) const {
  nlohmann::json document = {{"instance", settings_.instance.value()},
                             {"data_centre", settings_.data_centre.value()},
                             {"incarnation", options_.incarnation.value()},
                             {"open_requests", open_requests_.value()},
                             {"members", nlohmann::json::array()},
                             {"pools", pools_.Dump(now)}};
  document.update(configuration_.Dump(now));
  for (const MemberRow& row : membership_->Members()) {
    document["members"].push_back({{"instance", row.id.value()},
                                   {"data_centre", row.data_centre.value()},
                                   {"state", NameOf(row.state)},
                                   {"reachable", row.data_centre_reachable}});
  }
  return DumpJson(document);
}

void ControlTask::Tick() {
  const Time now = MonotonicNow();
  if (now >= membership_->NextWakeup()) {
    membership_->Tick(now);
    DispatchMembership(now);
  }
  PublishMembers(now);
  configuration_.Tick(now);
  pools_.Tick(now);
  queries_.Tick(now);
  if (leaving_) handed_over_.store(pools_.HandedOver(now));
  if (leave_deadline_ && !left_.load()) Leave(now);
}

}  // namespace cassiausher
