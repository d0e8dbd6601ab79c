// The part of ForwardedRequest that keeps to the quota of the client account.
#include "drivers/clock.h"
#include "main/error_body.h"
#include "main/node/forwarded_request.h"
#include "main/node/quota_client.h"

namespace cassiausher {
namespace {

constexpr int kTooManyRequests = 429;
constexpr const char* kJson = "application/json";

}  // namespace

void ForwardedRequest::TakeQuota() {
  if (!facts_.quota_cost.has_value()) return Begin();
  const Time now = BootTimeNow();
  const QuotaResult result = context_.quotas->Take(*facts_.quota_cost, now);
  switch (result.verdict) {
    case QuotaVerdict::kAdmitted:
      holds_quota_ = true;
      return Begin();
    case QuotaVerdict::kRefused:
      return RespondOverQuota(result.retry_after);
    case QuotaVerdict::kAsked:
      break;
  }
  wait_deadline_ = facts_.deadline;
  quota_ticket_ = result.ticket;
  ArmTimer();
  const std::weak_ptr<ForwardedRequest> weak = weak_from_this();
  context_.quotas->Await(
      result.ticket,
      [weak](const QuotaOutcome& outcome) {
        const auto self = weak.lock();
        if (self != nullptr) self->OnQuota(outcome);
      },
      now);
}

void ForwardedRequest::OnQuota(const QuotaOutcome& outcome) {
  quota_ticket_.reset();
  holds_quota_ = outcome.admitted;
  if (ended_) return ReturnQuota();
  if (!outcome.admitted) return RespondOverQuota(outcome.retry_after);
  wait_deadline_ = {};
  Begin();
}

void ForwardedRequest::RespondOverQuota(Duration retry_after) {
  constexpr std::string_view kReason = "the account's quota is used up";
  exchange_->Respond(kTooManyRequests, kJson,
                     FormatError({.type = "limit",
                                  .code = "quota",
                                  .message = std::string(kReason),
                                  .not_run = true,
                                  .retry_after = retry_after}),
                     {RetryAfterHeader(retry_after)});
  End("over_quota", kTooManyRequests, kReason);
}

void ForwardedRequest::ReturnQuota() {
  if (quota_ticket_.has_value()) context_.quotas->Cancel(*quota_ticket_);
  quota_ticket_.reset();
  if (!std::exchange(holds_quota_, false)) return;
  context_.quotas->Return(*facts_.quota_cost, BootTimeNow());
}

}  // namespace cassiausher
