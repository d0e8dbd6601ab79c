#include "main/node/operator_calls.h"

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

void OperatorCalls::Submit(HttpExchangePtr exchange, VersionedDocument document,
                           Time now) {
  if (stopping_) return RespondStopping(*exchange);
  const std::uint64_t id = NextId();
  const bool in_force = document.version <= log_->current().version;
  calls_[id] = {.exchange = std::move(exchange),
                .started = now,
                .document = std::move(document)};
  if (in_force) {
    OnSubmitted(id);
  } else {
    SendToLeader(id, now);
  }
}

void OperatorCalls::Read(HttpExchangePtr exchange, Time now) {
  if (stopping_) return RespondStopping(*exchange);
  const std::uint64_t id = NextId();
  calls_[id] = {.exchange = std::move(exchange), .started = now};
  SendToLeader(id, now);
}

void OperatorCalls::SendToLeader(std::uint64_t id, Time now) {
  Call& call = calls_.at(id);
  call.sent_at = now;
  const bool is_read = call.document.version == Revision(0);
  if (log_->leading()) {
    // These may finish and erase the call before they return.
    const VersionedDocument document = call.document;
    if (is_read) {
      log_->ReadCurrent(self_, id, now);
    } else {
      log_->Submit(self_, id, document, now);
    }
    return;
  }
  const InstanceId leader = log_->leader();
  if (leader.empty()) return;
  proto::NodeMessage message;
  if (is_read) {
    message.mutable_read_current()->set_read(id);
  } else {
    auto* submit = message.mutable_submit_document();
    submit->set_submission(id);
    *submit->mutable_document() = ToProto(call.document);
  }
  link_->Send(leader, std::move(message));
}

void OperatorCalls::Retry(Time now) {
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
      Log(LogLevel::kWarning, "control_call_unanswered",
          {{"version", call.document.version.value()},
           {"leader", log_->leader().value()}});
      RespondControlError(*call.exchange, kUnavailable, "no_quorum",
                          "no leader answered");
      calls_.erase(found);
    } else {
      SendToLeader(id, now);
    }
  }
}

void OperatorCalls::RespondStopping(HttpExchange& exchange) {
  RespondControlError(exchange, kUnavailable, "stopping", "the instance stops");
}

void OperatorCalls::Stop() {
  stopping_ = true;
  for (auto& [id, call] : calls_) RespondStopping(*call.exchange);
  calls_.clear();
}

void OperatorCalls::OnSubmitted(std::uint64_t submission) {
  const auto found = calls_.find(submission);
  if (found == calls_.end()) return;
  Log(LogLevel::kInfo, "configuration_acknowledged",
      {{"version", found->second.document.version.value()},
       {"in_force", log_->current().version.value()}});
  found->second.exchange->Respond(200, kJson, "{}");
  calls_.erase(found);
}

void OperatorCalls::OnRead(std::uint64_t read,
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
