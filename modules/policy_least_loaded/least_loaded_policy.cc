// Choice by the last load report.
#include "modules/policy_least_loaded/least_loaded_policy.h"

#include <utility>

namespace cassiausher {

namespace {

/// Requests in progress for each decode slot before a refusal. Of 1, 1.25 and 2
/// in the policy bench, 1 gave the best goodput.
constexpr std::size_t kRequestsPerSlot = 1;
constexpr Duration kRetryAfter = Milliseconds(500);

}  // namespace

void LeastLoadedPolicy::Place(Request& request, Time now) {
  const auto slots = static_cast<std::size_t>(available_slots());
  std::shared_ptr<PoolEndpoint> prefill;
  const bool needs_prefill = NeedsPrefillEngine(request);
  if (needs_prefill) prefill = FirstAvailable(prefills(), request, now);
  std::shared_ptr<PoolEndpoint> decode =
      FirstAvailable(decodes(), request, now);
  const bool none = !decode || (needs_prefill && !prefill);
  if (none || request_count() > slots * kRequestsPerSlot) {
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
