#include "main/node/leader_calls.h"

#include <utility>
#include <vector>

#include "core/log.h"
#include "main/error_body.h"
#include "main/node/node_messages.h"

namespace cassiausher {
namespace {

// Below the one second after which callers try another instance.
constexpr Duration kCallTimeout = Milliseconds(900);
constexpr Duration kResendPeriod = Milliseconds(300);
constexpr int kUnavailable = 503;
constexpr const char* kJson = "application/json";

}  // namespace

void RespondControlError(HttpExchange& exchange, int status,
                         std::string_view code, std::string message) {
  RespondError(exchange, {.status = status,
                          .type = status == kUnavailable ? "unavailable"
                                                         : "invalid_request",
                          .code = code,
                          .message = std::move(message)});
}

void LeaderCalls::Submit(HttpExchangePtr exchange, VersionedDocument document,
                         Time now) {
  SubmitCommand(std::move(exchange), {.document = std::move(document)}, now);
}

void LeaderCalls::SubmitLeaving(HttpExchangePtr exchange,
                                const EndpointRecord& record, Time now) {
  SubmitCommand(std::move(exchange), {.leaving = {{.record = record}}}, now);
}

void LeaderCalls::SubmitCommand(HttpExchangePtr exchange, LogCommand command,
                                Time now) {
  if (stopping_) return RespondStopping(*exchange);
  const std::uint64_t id = NextId();
  const bool is_held = log_->Holds(command);
  calls_[id] = {.exchange = std::move(exchange),
                .started = now,
                .command = std::move(command)};
  if (is_held) {
    OnSubmitted(id);
  } else {
    SendToLeader(id, now);
  }
}

void LeaderCalls::Read(HttpExchangePtr exchange, Time now) {
  if (stopping_) return RespondStopping(*exchange);
  const std::uint64_t id = NextId();
  calls_[id] = {.exchange = std::move(exchange), .started = now};
  SendToLeader(id, now);
}

void LeaderCalls::SendToLeader(std::uint64_t id, Time now) {
  Call& call = calls_.at(id);
  call.sent_at = now;
  if (log_->leading()) {
    // These may finish and erase the call before they return.
    const std::optional<LogCommand> command = call.command;
    if (command.has_value()) {
      log_->Submit(self_, id, *command, now);
    } else {
      log_->ReadCurrent(self_, id, now);
    }
    return;
  }
  const InstanceId leader = log_->leader();
  if (leader.empty()) return;
  proto::NodeMessage message;
  if (call.command.has_value()) {
    auto* submit = message.mutable_submit_document();
    submit->set_submission(id);
    *submit->mutable_document() = ToProto(*call.command);
  } else {
    message.mutable_read_current()->set_read(id);
  }
  link_->Send(leader, std::move(message));
}

void LeaderCalls::Retry(Time now) {
  std::vector<std::uint64_t> due;
  for (const auto& [id, call] : calls_) {
    const bool late = now - call.started >= kCallTimeout;
    if (late || now - call.sent_at >= kResendPeriod) due.push_back(id);
  }
  for (const std::uint64_t id : due) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) continue;
    const Call& call = found->second;
    if (call.exchange->finished()) {
      calls_.erase(found);
    } else if (now - call.started >= kCallTimeout) {
      const LogCommand command = call.command.value_or(LogCommand());
      Log(LogLevel::kWarning, "control_call_unanswered",
          {{"version", command.document.version.value()},
           {"leaving", command.leaving.size()},
           {"leader", log_->leader().value()}});
      RespondControlError(*call.exchange, kUnavailable, "no_quorum",
                          "no leader answered");
      calls_.erase(found);
    } else {
      SendToLeader(id, now);
    }
  }
}

void LeaderCalls::RespondStopping(HttpExchange& exchange) {
  RespondControlError(exchange, kUnavailable, "stopping", "the instance stops");
}

void LeaderCalls::Stop() {
  stopping_ = true;
  for (auto& [id, call] : calls_) RespondStopping(*call.exchange);
  calls_.clear();
}

void LeaderCalls::OnSubmitted(std::uint64_t submission) {
  const auto found = calls_.find(submission);
  if (found == calls_.end()) return;
  const LogCommand command = found->second.command.value_or(LogCommand());
  if (command.leaving.empty()) {
    Log(LogLevel::kInfo, "configuration_acknowledged",
        {{"version", command.document.version.value()},
         {"in_force", log_->current().version.value()}});
  }
  for (const LeavingEndpoint& leaving : command.leaving) {
    Log(LogLevel::kInfo, "departure_acknowledged",
        {{"endpoint", leaving.record.id.value()},
         {"state", Name(leaving.record.state)}});
  }
  found->second.exchange->Respond(200, kJson, "{}");
  calls_.erase(found);
}

void LeaderCalls::OnRead(std::uint64_t read,
                         const VersionedDocument& document) {
  const auto found = calls_.find(read);
  if (found == calls_.end()) return;
  if (document.version == Revision(0)) {
    RespondControlError(*found->second.exchange, kUnavailable, "none",
                        "no configuration yet");
  } else {
    found->second.exchange->Respond(200, kJson, document.document);
  }
  calls_.erase(found);
}

}  // namespace cassiausher
