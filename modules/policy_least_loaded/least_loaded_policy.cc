// Placement by the last load report.
#include "modules/policy_least_loaded/least_loaded_policy.h"

#include <utility>

namespace cassiausher {

namespace {

/// Requests in progress per decode slot above which requests are refused. Of 1,
/// 1.25 and 2, 1 gave the best goodput in the policy bench.
constexpr std::size_t kMaxRequestsPerSlot = 1;
constexpr Duration kRetryAfter = Milliseconds(500);

}  // namespace

void LeastLoadedPolicy::Place(Request& request, Time now) {
  const auto slots = static_cast<std::size_t>(available_slots());
  std::shared_ptr<PoolEndpoint> prefill;
  const bool needs_prefill = NeedsPrefillEngine(request);
  if (needs_prefill) prefill = FirstAvailable(prefills(), request, now);
  std::shared_ptr<PoolEndpoint> decode =
      FirstAvailable(decodes(), request, now);
  const bool no_endpoint = !decode || (needs_prefill && !prefill);
  if (no_endpoint || request_count() > slots * kMaxRequestsPerSlot) {
    Refuse(request, RefusalReason::kOverloaded, kRetryAfter, now);
    return;
  }
  Start(request, std::move(prefill), std::move(decode), request.prompt(), now);
}

std::int64_t LeastLoadedPolicy::DecodeScore(
    const PoolEndpoint& endpoint) const {
  return endpoint.report.running + endpoint.report.waiting;
}

std::int64_t LeastLoadedPolicy::PrefillScore(
    const PoolEndpoint& endpoint) const {
  return endpoint.report.queued_prompt_tokens.value();
}

}  // namespace cassiausher
