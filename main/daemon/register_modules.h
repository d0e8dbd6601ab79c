// Registers the plug-ins of cassiausherd.
#ifndef MAIN_DAEMON_REGISTER_MODULES_H_
#define MAIN_DAEMON_REGISTER_MODULES_H_

#include "servers/routing/routing_policy.h"
#include "servers/serving/endpoint_driver.h"

namespace cassiausher {

void RegisterPolicies(RoutingPolicyRegistry& registry);
void RegisterEndpointDrivers(EndpointDriverRegistry& registry);
void RegisterLogStorages();

}  // namespace cassiausher

#endif  // MAIN_DAEMON_REGISTER_MODULES_H_
