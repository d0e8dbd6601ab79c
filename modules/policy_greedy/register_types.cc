// Registers the policy "greedy_no_reservation".
#include "modules/policy_greedy/register_types.h"

#include <memory>
#include <utility>

#include "modules/policy_greedy/greedy_policy.h"

namespace cassiausher {

void RegisterGreedyPolicy(RoutingPolicyRegistry& registry) {
  registry.Register("greedy_no_reservation", [](RoutingOptions options) {
    return std::make_unique<GreedyPolicy>(std::move(options));
  });
}

}  // namespace cassiausher
