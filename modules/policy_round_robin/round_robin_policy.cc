// Placement in turn.
#include "modules/policy_round_robin/round_robin_policy.h"

#include <utility>

namespace cassiausher {

namespace {

/// Requests in progress per decode slot above which requests are refused. Of 1,
/// 1.25 and 2, 1 gave the best goodput in the policy bench.
constexpr std::size_t kMaxRequestsPerSlot = 1;
constexpr Duration kRetryAfter = Milliseconds(500);

}  // namespace

void RoundRobinPolicy::Place(Request& request, Time now) {
  const auto slots = static_cast<std::size_t>(available_slots());
  const bool needs_prefill = NeedsPrefillEngine(request);
  const bool no_endpoint =
      decodes().empty() || (needs_prefill && prefills().empty());
  if (no_endpoint || request_count() > slots * kMaxRequestsPerSlot) {
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
  auto it = index.upper_bound({0, last});
  for (std::size_t tried = 0; tried < index.size(); ++tried) {
    if (it == index.end()) it = index.begin();
    last = it->second;
    const std::shared_ptr<PoolEndpoint> endpoint = ByOrdinal(last);
    if (!Avoids(request, *endpoint)) return endpoint;
    ++it;
  }
  return ByOrdinal(last);
}

}  // namespace cassiausher
