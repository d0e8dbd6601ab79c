// Baseline that takes the endpoints of each role in turn.
#ifndef MODULES_POLICY_ROUND_ROBIN_ROUND_ROBIN_POLICY_H_
#define MODULES_POLICY_ROUND_ROBIN_ROUND_ROBIN_POLICY_H_

#include "servers/routing/policy_base.h"

namespace cassiausher {

/// Grants at once. Refuses only above a limit on the pool's requests in
/// progress.
class RoundRobinPolicy : public PolicyBase {
 public:
  using PolicyBase::PolicyBase;

 protected:
  void Place(Request& request, Time now) override;
  /// A constant: the index is then in order of first sight.
  std::int64_t DecodeScore(const PoolEndpoint&) const override { return 0; }
  std::int64_t PrefillScore(const PoolEndpoint&) const override { return 0; }

 private:
  /// The endpoint after `last`, in order of first sight.
  std::shared_ptr<PoolEndpoint> Next(const EndpointIndex& index,
                                     const Request& request,
                                     std::uint64_t& last) const;

  std::uint64_t last_prefill_ = 0;
  std::uint64_t last_decode_ = 0;
};

}  // namespace cassiausher

#endif  // MODULES_POLICY_ROUND_ROBIN_ROUND_ROBIN_POLICY_H_
