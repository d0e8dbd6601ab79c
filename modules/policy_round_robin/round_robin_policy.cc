// Choice in turn.
#include "modules/policy_round_robin/round_robin_policy.h"

#include <utility>

namespace cassiausher {

namespace {

/// Requests in progress for each decode slot before a refusal. Of 1, 1.25 and 2
/// in the policy bench, 1 gave the best goodput.
constexpr std::size_t kRequestsPerSlot = 1;
constexpr Duration kRetryAfter = Milliseconds(500);

}  // namespace

void RoundRobinPolicy::Place(Request& request, Time now) {
  const auto slots = static_cast<std::size_t>(available_slots());
  const bool needs_prefill = NeedsPrefillEngine(request);
  const bool none = decodes().empty() || (needs_prefill && prefills().empty());
  if (none || request_count() > slots * kRequestsPerSlot) {
    Refuse(request, RefusalReason::kOverloaded, kRetryAfter, now);
    return;
  }
  std::shared_ptr<PoolEndpoint> prefill;
  if (needs_prefill) prefill = Next(prefills(), request, last_prefill_);
  std::shared_ptr<PoolEndpoint> decode = Next(decodes(), request, last_decode_);
  Start(request, std::move(prefill), std::move(decode), request.prompt(), now);
}

std::shared_ptr<PoolEndpoint> RoundRobinPolicy::Next(
    const EndpointIndex& index, const Request& request,
    std::uint64_t& last) const {
  auto place = index.upper_bound({0, last});
  for (std::size_t tried = 0; tried < index.size(); ++tried) {
    if (place == index.end()) place = index.begin();
    last = place->second;
    const std::shared_ptr<PoolEndpoint> endpoint = ByOrdinal(last);
    if (!Avoids(request, *endpoint)) return endpoint;
    ++place;
  }
  return ByOrdinal(last);
}

}  // namespace cassiausher
