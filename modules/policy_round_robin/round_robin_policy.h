// Baseline that chooses the endpoints of each role in turn.
#ifndef MODULES_POLICY_ROUND_ROBIN_ROUND_ROBIN_POLICY_H_
#define MODULES_POLICY_ROUND_ROBIN_ROUND_ROBIN_POLICY_H_

#include "servers/routing/policy_base.h"

namespace cassiausher {

/// Grants immediately. Refuses if no endpoint is available or the pool has more
/// requests in progress than a limit.
class RoundRobinPolicy : public PolicyBase {
 public:
  using PolicyBase::PolicyBase;

 protected:
  void Place(Request& request, Time now) override;
  /// Constant scores keep the index in registration order.
  std::int64_t DecodeScore(const PoolEndpoint&) const override { return 0; }
  std::int64_t PrefillScore(const PoolEndpoint&) const override { return 0; }

 private:
  /// The next endpoint after `last` in registration order, skipping those that
  /// the request avoids if there are others. Updates `last`.
  std::shared_ptr<PoolEndpoint> Next(const EndpointIndex& index,
                                     const Request& request,
                                     std::uint64_t& last) const;

  std::uint64_t last_prefill_ = 0;
  std::uint64_t last_decode_ = 0;
};

}  // namespace cassiausher

#endif  // MODULES_POLICY_ROUND_ROBIN_ROUND_ROBIN_POLICY_H_
