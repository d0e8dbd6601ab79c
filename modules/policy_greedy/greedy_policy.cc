// Places requests in order of arrival, each on the available decode endpoint
// with the most unused slots.
#include "modules/policy_greedy/greedy_policy.h"

#include <algorithm>
#include <utility>

namespace cassiausher {

namespace {

constexpr Duration kRetryAfter = Milliseconds(500);
/// A queued request is refused once its first-token target divided by this has
/// passed since its arrival. The rest of the target is left for another data
/// centre's pool or for its own execution.
constexpr int kQueueTimeDivisor = 2;

/// Slots not in use now, including those granted to requests that are still
/// with a prefill engine or being transferred.
int UnusedSlots(const PoolEndpoint& endpoint) {
  return endpoint.free_slots() + endpoint.prefilling_elsewhere;
}

}  // namespace

Time GreedyPolicy::QueueDeadline(const Request& request) const {
  return request.request.arrived +
         request.targets.first_token / kQueueTimeDivisor;
}

void GreedyPolicy::Place(Request& request, Time now) {
  const bool no_prefill_engine =
      NeedsPrefillEngine(request) && prefills().empty();
  if (decodes().empty() || no_prefill_engine || now >= QueueDeadline(request)) {
    Refuse(request, RefusalReason::kOverloaded, kRetryAfter, now);
    return;
  }
  if (queue_.empty() && TryStart(request, now)) return;
  if (request.request.may_forward) {
    Refuse(request, RefusalReason::kOverloaded, kRetryAfter, now);
    return;
  }
  queue_.push_back(request.request.id);
}

void GreedyPolicy::OnCapacity(Time now) {
  while (!queue_.empty()) {
    Request* request = FindRequest(queue_.front());
    if (request && request->stage == RequestStage::kQueued) {
      if (now >= QueueDeadline(*request)) {
        Refuse(*request, RefusalReason::kOverloaded, kRetryAfter, now);
      } else if (!TryStart(*request, now)) {
        return;
      }
    }
    queue_.pop_front();
  }
}

void GreedyPolicy::Tick(Time now) {
  PolicyBase::Tick(now);
  OnCapacity(now);
}

Time GreedyPolicy::NextWakeup() const {
  Time due = PolicyBase::NextWakeup();
  if (queue_.empty()) return due;
  const Request* head = FindRequest(queue_.front());
  return std::min(due, head ? QueueDeadline(*head) : Time::min());
}

std::int64_t GreedyPolicy::DecodeScore(const PoolEndpoint& endpoint) const {
  return -UnusedSlots(endpoint);
}

bool GreedyPolicy::TryStart(Request& request, Time now) {
  std::shared_ptr<PoolEndpoint> decode =
      FirstAvailable(decodes(), request, now);
  if (!decode || UnusedSlots(*decode) <= 0) return false;
  std::shared_ptr<PoolEndpoint> prefill;
  if (NeedsPrefillEngine(request)) {
    prefill = FirstAvailable(prefills(), request, now);
    if (!prefill || prefill->queued_prompt_tokens > Tokens(0)) return false;
  }
  Start(request, std::move(prefill), std::move(decode), request.prompt(), now);
  return true;
}

}  // namespace cassiausher
