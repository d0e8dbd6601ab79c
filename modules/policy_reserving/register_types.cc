// Registers the policy "reserving".
#include "modules/policy_reserving/register_types.h"

#include <memory>
#include <utility>

#include "modules/policy_reserving/reserving_policy.h"

namespace cassiausher {

void RegisterReservingPolicy(RoutingPolicyRegistry& registry) {
  registry.Register("reserving", [](RoutingOptions options) {
    return std::make_unique<ReservingPolicy>(std::move(options));
  });
}

}  // namespace cassiausher
