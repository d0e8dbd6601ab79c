#include "main/daemon/register_modules.h"

#include "modules/file_log/register_types.h"
#include "modules/openai_endpoint/register_types.h"
#include "modules/policy_greedy/register_types.h"
#include "modules/policy_least_loaded/register_types.h"
#include "modules/policy_reserving/register_types.h"
#include "modules/policy_round_robin/register_types.h"

namespace cassiausher {

void RegisterPolicies(RoutingPolicyRegistry& registry) {
  RegisterRoundRobinPolicy(registry);
  RegisterLeastLoadedPolicy(registry);
  RegisterGreedyPolicy(registry);
  RegisterReservingPolicy(registry);
}

void RegisterEndpointDrivers(EndpointDriverRegistry& registry) {
  RegisterOpenAiEndpoint(registry);
}

void RegisterLogStorages() { RegisterFileLog(); }

}  // namespace cassiausher
