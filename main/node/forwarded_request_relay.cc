// The part of ForwardedRequest that relays a request to another entry instance,
// and that tells an instance which relayed one what became of it.
#include "drivers/clock.h"
#include "main/node/forwarded_request.h"
#include "main/node/relay_server.h"

namespace cassiausher {

void ForwardedRequest::MarkAnswer(RelayOutcome outcome) {
  if (!facts_.relayed) return;
  std::optional<SoftwareVersion> version;
  if (forwarder_.has_value()) version = forwarder_->CurrentVersion();
  RelayServer::Mark(*exchange_, {.outcome = outcome,
                                 .configuration = configuration_,
                                 .version = version});
}

HttpCall ForwardedRequest::MakeCall(const CallPlan& plan) const {
  if (!call_->relay.has_value()) return BuildCall(*exchange_, plan);
  RelayRequest relay = *call_->relay;
  relay.configuration = configuration_;
  return BuildRelayCall(*exchange_, plan, relay);
}

bool ForwardedRequest::AcceptRelayAnswer(std::string_view header) {
  relay_answer_ = ReadRelayAnswer(header);
  if (!relay_answer_.has_value()) {
    FailCall(CallFailure::kBroken, "the answer isn't that of a helper");
    return false;
  }
  const Time now = BootTimeNow();
  context_.relays->planner()->OnAnswer(call_->endpoint.address, now);
  context_.relays->OnHelperConfiguration(relay_answer_->configuration, now);
  const bool refused = relay_answer_->outcome == RelayOutcome::kRefused;
  // A refusal would be untrue of a request that may have run before.
  const bool untrue = refused && forwarder_->MayHaveRun();
  if (relay_answer_->outcome == RelayOutcome::kUnable || untrue) {
    FailCall(CallFailure::kNotExecuted, "the helper can't serve it");
    return false;
  }
  if (refused) return true;
  forwarder_->OnRelayed(relay_answer_->version);
  const std::optional<SoftwareVersion>& fixed = forwarder_->FixedVersion();
  const bool other_version = fixed.has_value() && answer_->event_stream &&
                             relay_answer_->version != fixed;
  if (!other_version) return true;
  FailCall(CallFailure::kBroken, "the helper uses another version");
  return false;
}

void ForwardedRequest::EndRelay(RelayEnd end) {
  if (call_->kind != CallKind::kRelay) return;
  context_.relays->OnEnd(call_->endpoint.address, end,
                         relay_answer_.has_value(), BootTimeNow());
}

}  // namespace cassiausher
