// Registers the policy "round_robin".
#include "modules/policy_round_robin/register_types.h"

#include <memory>
#include <utility>

#include "modules/policy_round_robin/round_robin_policy.h"

namespace cassiausher {

void RegisterRoundRobinPolicy(RoutingPolicyRegistry& registry) {
  registry.Register("round_robin", [](RoutingOptions options) {
    return std::make_unique<RoundRobinPolicy>(std::move(options));
  });
}

}  // namespace cassiausher
