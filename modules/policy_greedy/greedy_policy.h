// Baseline with a queue and exact counts of its own work. It chooses endpoints
// by what is currently free and reserves nothing for later stages.
#ifndef MODULES_POLICY_GREEDY_GREEDY_POLICY_H_
#define MODULES_POLICY_GREEDY_GREEDY_POLICY_H_

#include <deque>

#include "servers/routing/policy_base.h"

namespace cassiausher {

/// Requests wait in one FIFO queue. A request starts when a prefill engine is
/// idle and a decode engine has an unused slot; a request that is still being
/// prefilled elsewhere or transferred doesn't count as using one. A request is
/// refused once half its first-token target has passed in the queue.
class GreedyPolicy : public PolicyBase {
 public:
  using PolicyBase::PolicyBase;

  void Tick(Time now) override;
  Time NextWakeup() const override;

 protected:
  void Place(Request& request, Time now) override;
  void OnCapacity(Time now) override;
  std::int64_t DecodeScore(const PoolEndpoint& endpoint) const override;

 private:
  /// When a request that is still queued is refused.
  Time QueueDeadline(const Request& request) const;
  /// Grants the request. Returns false if no suitable engines are free.
  bool TryStart(Request& request, Time now);

  /// Ids of requests that were freed while queued remain until they reach the
  /// head.
  std::deque<RequestId> queue_;
};

}  // namespace cassiausher

#endif  // MODULES_POLICY_GREEDY_GREEDY_POLICY_H_
