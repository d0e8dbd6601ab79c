// The part of ForwardedRequest that finds out which software version began a
// stream that its caller takes up.
#include "core/log.h"
#include "drivers/clock.h"
#include "main/node/forwarded_request.h"

namespace cassiausher {
namespace {

// A search for the origin of a stream takes up to 1.5 s, and control instances
// tell their state at least twice a second.
constexpr Duration kMaxSoleVersionWait = Milliseconds(2500);
constexpr Duration kSoleVersionPollPeriod = Milliseconds(25);
// Another instance may be in touch with one that knows the stream.
constexpr Duration kUnknownVersionRetryAfter = Milliseconds(300);

}  // namespace

bool ForwardedRequest::TakesUp() const {
  const bool has_part =
      !caller_.resumes.empty() || caller_.last_event_id.has_value();
  return facts_.resumable && has_part;
}

StreamNames ForwardedRequest::Names() const {
  return NamesOf(TakesUp() ? caller_.resumes : caller_.id,
                 CallerRequestTrait(caller_.content, exchange_->body()));
}

void ForwardedRequest::StartTakenUp() {
  wait_deadline_ = facts_.deadline;
  ArmTimer();
  const std::weak_ptr<ForwardedRequest> weak = weak_from_this();
  context_.origins->Find(
      Names(),
      [weak](const std::optional<StreamOrigin>& origin) {
        const auto self = weak.lock();
        if (self != nullptr && !self->ended_) self->OnOrigin(origin);
      },
      BootTimeNow());
}

void ForwardedRequest::OnOrigin(const std::optional<StreamOrigin>& origin) {
  if (origin.has_value()) return BeginTakenUp(origin->version, true);
  awaits_sole_version_ = true;
  AwaitSoleVersion();
}

void ForwardedRequest::AwaitSoleVersion() {
  const Time now = BootTimeNow();
  // An instance that was out of touch may not know a version that appeared
  // meanwhile, so that control instances must have told their state since.
  if (!context_.controls->IsCurrentSince(facts_.arrived)) {
    if (now - facts_.arrived >= kMaxSoleVersionWait) {
      return BeginTakenUp(std::nullopt, false);
    }
    wait_deadline_ = now + kSoleVersionPollPeriod;
    return ArmTimer();
  }
  BeginTakenUp(context_.pool->SoleVersion(facts_.service, max_stream_age_, now),
               false);
}

void ForwardedRequest::BeginTakenUp(
    const std::optional<SoftwareVersion>& version, bool found) {
  awaits_sole_version_ = false;
  facts_.begun_by = version;
  Log(LogLevel::kInfo, "stream_taken_up",
      {{"request", caller_.id.value()},
       {"begun_as", caller_.resumes.value()},
       {"after_event", caller_.last_event_id.value_or(0)},
       {"found", found},
       {"version",
        facts_.begun_by.value_or(SoftwareVersion("unknown")).value()}});
  if (facts_.begun_by.has_value()) return StartForwarding();
  RespondRefused("the version that began the stream is unknown",
                 kUnknownVersionRetryAfter);
}

}  // namespace cassiausher
