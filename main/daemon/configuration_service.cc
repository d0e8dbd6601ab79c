#include "main/daemon/configuration_service.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "core/json_reader.h"
#include "core/log.h"
#include "drivers/clock.h"
#include "main/error_body.h"
#include "servers/configuration/configuration_messages.h"
#include "servers/language/statement.h"
#include "servers/ledger/ledger_messages.h"

namespace cassiausher {
namespace {

// See kConfigurationLease in replica_host.cc.
constexpr Duration kFollowInterval = Milliseconds(600);
constexpr Duration kChangeRetryInterval = Milliseconds(400);
// Longer than the coordinator's default change timeout (2 s) plus an election.
constexpr Duration kChangeTimeout = Seconds(12);
constexpr Duration kCommandRetryInterval = Milliseconds(250);
constexpr const char* kStorageName = "file_log";

constexpr int kStatusOk = 200;
constexpr int kStatusGatewayTimeout = 504;

}  // namespace

ConfigurationService::ConfigurationService(ControlContext& context,
                                           ConfigurationListener listener)
    : context_(context),
      listener_(std::move(listener)),
      malformed_(context.metrics.counter("peer_messages_malformed_total")),
      revision_(context.metrics.gauge("configuration_revision")),
      leading_gauge_(context.metrics.gauge("consensus_leading")),
      follower_({.instance = context.settings.instance,
                 .data_centre = context.settings.data_centre,
                 .incarnation = context.incarnation,
                 .follow_interval = kFollowInterval}),
      active_(std::make_shared<Configuration>()) {}

void ConfigurationService::Start() {
  const Settings& settings = context_.settings;
  bool votes = false;
  for (const PeerSettings& peer : settings.peers) {
    votes = votes || (peer.voter && peer.instance == settings.instance);
  }
  if (!votes) return;
  replica_ = std::make_unique<ReplicaHost>(settings, context_.metrics,
                                           context_.main_context, *this);
  const std::string error =
      replica_->Start(LogStorages().Create(kStorageName, settings.data_folder));
  if (error.empty()) return;
  Log(LogLevel::kError, "log_storage_unusable", {{"error", error}});
  replica_.reset();
}

void ConfigurationService::SetActive(
    std::shared_ptr<const Configuration> configuration) {
  if (configuration == nullptr || configuration == active_) return;
  if (configuration->revision < active_->revision) return;
  active_ = std::move(configuration);
  revision_.Set(static_cast<std::int64_t>(active_->revision.value()));
  Log(LogLevel::kInfo, "configuration_active",
      {{"revision", active_->revision.value()}});
  listener_(active_);
}

// ---- Routing to the leader -----------------------------------------------

InstanceId ConfigurationService::NextHopToLeader() const {
  if (replica_ != nullptr && !replica_->leader().empty()) {
    return replica_->leader();
  }
  std::vector<InstanceId> near;
  std::vector<InstanceId> far;
  for (const PeerSettings& peer : context_.settings.peers) {
    if (!peer.voter || !live_.contains(peer.instance)) continue;
    const bool here = peer.data_centre == context_.settings.data_centre;
    (here ? near : far).push_back(peer.instance);
  }
  near.insert(near.end(), far.begin(), far.end());
  if (near.empty()) return {};
  return near[voter_rotation_ % near.size()];
}

bool ConfigurationService::ForwardToLeader(const proto::Envelope& envelope) {
  if (leading()) return false;
  if (replica_ == nullptr) return true;
  const InstanceId leader = replica_->leader();
  if (leader.empty() || leader == context_.settings.instance) return true;
  proto::Envelope copy = envelope;
  context_.send(leader, copy);
  return true;
}

// ---- Changes -------------------------------------------------------------

void ConfigurationService::Submit(const Change& change, ChangeReply reply,
                                  Time now) {
  const std::uint64_t id = next_id_++;
  PendingChange& pending = changes_[id];
  pending = {change, std::move(reply), now, now};
  SendChange(id, pending, now);
}

void ConfigurationService::SendChange(std::uint64_t id, PendingChange& pending,
                                      Time now) {
  pending.next_send = now + kChangeRetryInterval;
  if (leading()) {
    SubmitLocally({context_.settings.instance, id}, pending.change, now);
    return;
  }
  proto::Envelope envelope;
  proto::ChangeRequest* request = envelope.mutable_change_request();
  request->set_id(id);
  request->set_origin(context_.settings.instance.value());
  request->set_text(pending.change.text);
  const InstanceId to = NextHopToLeader();
  if (!to.empty()) context_.send(to, envelope);
}

void ConfigurationService::OnChangeRequest(const proto::Envelope& envelope,
                                           Time now) {
  if (ForwardToLeader(envelope)) return;
  const proto::ChangeRequest& request = envelope.change_request();
  const Statement statement = ParseStatement(request.text());
  const auto* change = std::get_if<Change>(&statement);
  if (change == nullptr) {
    malformed_.Add();
    return;
  }
  SubmitLocally({InstanceId(request.origin()), request.id()}, *change, now);
}

void ConfigurationService::SubmitLocally(const Origin& origin,
                                         const Change& change, Time now) {
  // A retry of an open submission gets the answer of the first one.
  if (!submitted_.insert(origin).second) return;
  const std::uint64_t submission = next_submission_++;
  submissions_[submission] = origin;
  replica_->Submit(submission, change, now);
}

void ConfigurationService::OnSubmissionAnswered(std::uint64_t submission,
                                                const ChangeAnswer& answer) {
  const auto found = submissions_.find(submission);
  if (found == submissions_.end()) return;
  const Origin origin = found->second;
  submissions_.erase(found);
  submitted_.erase(origin);
  AnswerChange(origin, DumpJson(ToJson(answer)));
}

void ConfigurationService::OnSubmissionAbandoned(std::uint64_t submission,
                                                 const std::string&) {
  // The origin retries its change under the same change id.
  const auto found = submissions_.find(submission);
  if (found == submissions_.end()) return;
  submitted_.erase(found->second);
  submissions_.erase(found);
}

void ConfigurationService::AnswerChange(const Origin& origin,
                                        const std::string& answer) {
  proto::Envelope envelope;
  envelope.mutable_change_reply()->set_id(origin.id);
  envelope.mutable_change_reply()->set_answer(answer);
  if (origin.instance == context_.settings.instance) {
    OnChangeReply(envelope.change_reply());
    return;
  }
  context_.send(origin.instance, envelope);
}

void ConfigurationService::EndChange(std::uint64_t id) {
  const ChangeReply reply = std::move(changes_.at(id).reply);
  changes_.erase(id);
  reply(kStatusGatewayTimeout,
        FormatError({.status = kStatusGatewayTimeout,
                     .type = "unknown_outcome",
                     .code = "no_quorum",
                     .message = "no leader answered in time; send the same "
                                "change id again to learn the outcome"}));
}

void ConfigurationService::EndChanges() {
  while (!changes_.empty()) EndChange(changes_.begin()->first);
}

void ConfigurationService::OnChangeReply(const proto::ChangeReply& reply) {
  const auto found = changes_.find(reply.id());
  if (found == changes_.end()) return;
  const ChangeReply answer = std::move(found->second.reply);
  changes_.erase(found);
  answer(kStatusOk, reply.answer());
}

// ---- Ledger --------------------------------------------------------------

void ConfigurationService::Command(const LedgerEntry& entry, Duration timeout,
                                   LedgerReply reply, Time now) {
  const std::uint64_t id = next_id_++;
  PendingCommand& pending = commands_[id];
  pending = {entry, std::move(reply), now + timeout, now};
  SendCommand(id, pending, now);
}

void ConfigurationService::SendCommand(std::uint64_t id,
                                       PendingCommand& pending, Time now) {
  pending.next_send = now + kCommandRetryInterval;
  if (leading()) {
    const LedgerEntry entry = pending.entry;
    ProposeLocally({context_.settings.instance, id}, entry, now);
    return;
  }
  proto::Envelope envelope;
  proto::LedgerRequest* request = envelope.mutable_ledger_request();
  request->set_id(id);
  request->set_origin(context_.settings.instance.value());
  request->set_command(EncodeLedgerEntry(pending.entry));
  const InstanceId to = NextHopToLeader();
  if (!to.empty()) context_.send(to, envelope);
}

void ConfigurationService::OnLedgerRequest(const proto::Envelope& envelope,
                                           Time now) {
  if (ForwardToLeader(envelope)) return;
  const proto::LedgerRequest& request = envelope.ledger_request();
  const auto entry = DecodeLedgerEntry(request.command());
  if (!entry.has_value()) {
    malformed_.Add();
    return;
  }
  ProposeLocally({InstanceId(request.origin()), request.id()}, *entry, now);
}

void ConfigurationService::ProposeLocally(const Origin& origin,
                                          const LedgerEntry& entry, Time now) {
  const std::uint64_t command = next_submission_++;
  ledger_origins_[command] = origin;
  replica_->ProposeLedger(command, entry, now);
}

void ConfigurationService::OnLedgerCommand(std::uint64_t command,
                                           bool committed,
                                           const LedgerAnswer& answer) {
  const auto found = ledger_origins_.find(command);
  if (found == ledger_origins_.end()) return;
  const Origin origin = found->second;
  ledger_origins_.erase(found);
  proto::Envelope envelope;
  proto::LedgerReply* reply = envelope.mutable_ledger_reply();
  reply->set_id(origin.id);
  reply->set_committed(committed);
  if (committed) reply->set_result(EncodeLedgerAnswer(answer));
  if (origin.instance == context_.settings.instance) {
    OnLedgerReply(*reply, MonotonicNow());
    return;
  }
  context_.send(origin.instance, envelope);
}

void ConfigurationService::OnLedgerReply(const proto::LedgerReply& reply,
                                         Time) {
  // A command that wasn't committed is sent again when its retry is due.
  if (!reply.committed()) return;
  const auto found = commands_.find(reply.id());
  if (found == commands_.end()) return;
  const auto answer = DecodeLedgerAnswer(reply.result());
  if (!answer.has_value()) {
    malformed_.Add();
    return;
  }
  const LedgerReply callback = std::move(found->second.reply);
  commands_.erase(found);
  callback(answer);
}

// ---- Messages ------------------------------------------------------------

bool ConfigurationService::OnEnvelope(const proto::Envelope& envelope,
                                      const InstanceId& sender, Time now) {
  switch (envelope.body_case()) {
    case proto::Envelope::kRaft: {
      proto::RaftMessage message;
      if (replica_ == nullptr) return true;
      if (!message.ParseFromString(envelope.raft())) {
        malformed_.Add();
        return true;
      }
      replica_->OnRaftMessage(message);
      return true;
    }
    case proto::Envelope::kConfiguration:
      OnConfigurationBytes(envelope, sender, now);
      return true;
    case proto::Envelope::kChangeRequest:
      OnChangeRequest(envelope, now);
      return true;
    case proto::Envelope::kChangeReply:
      OnChangeReply(envelope.change_reply());
      return true;
    case proto::Envelope::kLedgerRequest:
      OnLedgerRequest(envelope, now);
      return true;
    case proto::Envelope::kLedgerReply:
      OnLedgerReply(envelope.ledger_reply(), now);
      return true;
    default:
      return false;
  }
}

void ConfigurationService::OnConfigurationBytes(const proto::Envelope& envelope,
                                                const InstanceId& sender,
                                                Time now) {
  const auto decoded = DecodeMessage(envelope.configuration());
  const auto* message = std::get_if<ConfigurationMessage>(&decoded);
  if (message == nullptr) {
    malformed_.Add();
    return;
  }
  if (const auto* stage = std::get_if<Stage>(message)) {
    follower_.OnStage(sender, *stage, now);
    DispatchFollower(now);
    return;
  }
  if (const auto* activate = std::get_if<Activate>(message)) {
    follower_.OnActivate(sender, *activate, now);
    DispatchFollower(now);
    return;
  }
  if (leading()) {
    replica_->OnConfigurationMessage(*message, now);
    return;
  }
  const auto* follow = std::get_if<Follow>(message);
  if (follow != nullptr && replica_ != nullptr) {
    // Without a leader, the follower still gets what is committed here.
    const bool leaderless = replica_->leader().empty();
    if (leaderless) {
      SendConfiguration(follow->instance,
                        AnswerFollow(replica_->state(), *follow));
      return;
    }
  }
  ForwardToLeader(envelope);
}

void ConfigurationService::DispatchFollower(Time now) {
  for (FollowerOutput& output : follower_.TakeOutputs()) {
    if (const auto* follow = std::get_if<SendFollow>(&output)) {
      if (leading()) {
        replica_->OnConfigurationMessage(follow->follow, now);
      } else {
        const InstanceId to = NextHopToLeader();
        if (!to.empty()) SendConfiguration(to, follow->follow);
      }
    } else if (const auto* send = std::get_if<SendToInstance>(&output)) {
      SendConfiguration(send->to, send->message);
    } else {
      SetActive(std::get<ConfigurationChanged>(output).configuration);
    }
  }
}

void ConfigurationService::SendRaft(const proto::RaftMessage& message) {
  proto::Envelope envelope;
  envelope.set_raft(message.SerializeAsString());
  context_.send(InstanceId(message.to().instance()), envelope);
}

void ConfigurationService::SendConfiguration(
    const InstanceId& to, const ConfigurationMessage& message) {
  proto::Envelope envelope;
  envelope.set_configuration(EncodeMessage(message));
  if (to == context_.settings.instance) {
    // The leader follows itself; the message goes through the mailbox so that
    // it isn't handled inside the sender's call.
    context_.post(LoopbackEnvelope{std::move(envelope)});
    return;
  }
  context_.send(to, envelope);
}

void ConfigurationService::OnStateApplied(const ReplicatedState& state) {
  follower_.Adopt(state);
  DispatchFollower(MonotonicNow());
}

// ---- Time and members ----------------------------------------------------

void ConfigurationService::SetMembers(LiveMembers members,
                                      std::set<InstanceId> reachable,
                                      std::map<InstanceId, Incarnation> started,
                                      Time now) {
  live_ = std::move(reachable);
  if (replica_ == nullptr) return;
  replica_->SetMembers(std::move(members), std::move(started), now);
}

void ConfigurationService::UpdateGate(Time now) {
  bool reaches_voter = false;
  for (const PeerSettings& peer : context_.settings.peers) {
    const bool other = peer.instance != context_.settings.instance;
    if (peer.voter && other && live_.contains(peer.instance)) {
      reaches_voter = true;
    }
  }
  const bool before = gate_.MayAdmit();
  gate_.Update({.has_configuration = active_->revision > Revision(0),
                .lease_valid = follower_.LeaseValid(now),
                .reaches_voter = reaches_voter},
               now);
  if (gate_.MayAdmit() == before) return;
  Log(LogLevel::kInfo, "admission_changed", {{"admits", gate_.MayAdmit()}});
  for (int i = 0; i < context_.serving_tasks; ++i) {
    context_.to_serving(i, AdmissionChanged{gate_.MayAdmit()});
  }
}

void ConfigurationService::OnInstanceLost(const InstanceId& instance,
                                          Incarnation incarnation, Time now) {
  if (replica_ != nullptr) {
    replica_->OnInstanceLost(instance, incarnation, now);
  }
}

void ConfigurationService::Tick(Time now) {
  if (replica_ != nullptr) replica_->Tick(now);
  leading_gauge_.Set(leading() ? 1 : 0);
  follower_.Tick(now);
  DispatchFollower(now);
  UpdateGate(now);
  const bool lease = follower_.LeaseValid(now);
  if (lease != had_valid_lease_) {
    had_valid_lease_ = lease;
    Log(lease ? LogLevel::kInfo : LogLevel::kWarning,
        lease ? "configuration_lease_gained" : "configuration_lease_lost");
  }

  std::vector<std::uint64_t> expired;
  bool repeated = false;
  for (auto& [id, pending] : changes_) {
    if (now - pending.started >= kChangeTimeout) {
      expired.push_back(id);
    } else if (now >= pending.next_send) {
      repeated = true;
      SendChange(id, pending, now);
    }
  }
  for (const std::uint64_t id : expired) EndChange(id);
  expired.clear();
  for (auto& [id, pending] : commands_) {
    if (now >= pending.deadline) {
      expired.push_back(id);
    } else if (now >= pending.next_send) {
      repeated = true;
      SendCommand(id, pending, now);
    }
  }
  for (const std::uint64_t id : expired) {
    const LedgerReply reply = std::move(commands_[id].reply);
    commands_.erase(id);
    reply(std::nullopt);
  }
  if (repeated || !lease) RotateVoter();
}

void ConfigurationService::TransferLeadership(Time now) {
  if (leading()) replica_->TransferLeadership(now);
}

std::vector<Row> ConfigurationService::ChangeRows() const {
  std::vector<Row> rows;
  if (state() == nullptr) return rows;
  for (const ChangeRecord* record : state()->Records()) {
    Row row;
    row.Set("id", record->id.value());
    row.Set("state", std::string(NameOf(record->state)));
    row.Set("revision",
            static_cast<std::int64_t>(record->answer.revision.value()));
    row.Set("accepted", record->answer.accepted);
    row.Set("in_force", record->answer.in_force);
    rows.push_back(std::move(row));
  }
  return rows;
}

nlohmann::json ConfigurationService::Dump(Time now) const {
  nlohmann::json configuration = ToJson(*active_);
  // Viewers can read the dump; a weak token could be guessed from its hash.
  for (auto& account : configuration["accounts"]) account.erase("token_hash");
  nlohmann::json dump = {{"revision", active_->revision.value()},
                         {"lease_valid", follower_.LeaseValid(now)},
                         {"staged", follower_.has_staged()},
                         {"pending_changes", changes_.size()},
                         {"pending_ledger_commands", commands_.size()},
                         {"configuration", std::move(configuration)}};
  if (replica_ == nullptr) return dump;
  const Raft& raft = replica_->raft();
  dump["consensus"] = {
      {"role", raft.role() == RaftRole::kLeader ? "leader" : "follower"},
      {"term", raft.term()},
      {"leader", raft.leader().instance.value()},
      {"commit", raft.commit_index()},
      {"applied", raft.applied_index()},
      {"first_kept", raft.first_kept_index()},
      {"storage_failed", raft.storage_failed()}};
  dump["ledger"] = {{"records", replica_->state().ledger().size()},
                    {"bytes", replica_->state().ledger().MemoryBytes()}};
  return dump;
}

}  // namespace cassiausher
