// Baseline that chooses the endpoint with the least work in its last load
// report.
#ifndef MODULES_POLICY_LEAST_LOADED_LEAST_LOADED_POLICY_H_
#define MODULES_POLICY_LEAST_LOADED_LEAST_LOADED_POLICY_H_

#include "servers/routing/policy_base.h"

namespace cassiausher {

/// Grants immediately, using only the delayed load reports. Refuses above the
/// same limit as RoundRobinPolicy.
class LeastLoadedPolicy : public PolicyBase {
 public:
  using PolicyBase::PolicyBase;

 protected:
  void Place(Request& request, Time now) override;
  std::int64_t DecodeScore(const PoolEndpoint& endpoint) const override;
  std::int64_t PrefillScore(const PoolEndpoint& endpoint) const override;
};

}  // namespace cassiausher

#endif  // MODULES_POLICY_LEAST_LOADED_LEAST_LOADED_POLICY_H_
