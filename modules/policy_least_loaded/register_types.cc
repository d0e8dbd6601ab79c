// Registers the policy "least_loaded".
#include "modules/policy_least_loaded/register_types.h"

#include <memory>
#include <utility>

#include "modules/policy_least_loaded/least_loaded_policy.h"

namespace cassiausher {

void RegisterLeastLoadedPolicy(RoutingPolicyRegistry& registry) {
  registry.Register("least_loaded", [](RoutingOptions options) {
    return std::make_unique<LeastLoadedPolicy>(std::move(options));
  });
}

}  // namespace cassiausher
