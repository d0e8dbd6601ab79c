// Registration of the routing policy in this module.
#ifndef MODULES_POLICY_ROUND_ROBIN_REGISTER_TYPES_H_
#define MODULES_POLICY_ROUND_ROBIN_REGISTER_TYPES_H_

#include "servers/routing/routing_policy.h"

namespace cassiausher {

void RegisterRoundRobinPolicy(RoutingPolicyRegistry& registry);

}  // namespace cassiausher

#endif  // MODULES_POLICY_ROUND_ROBIN_REGISTER_TYPES_H_
