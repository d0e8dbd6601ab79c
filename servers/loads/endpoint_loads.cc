#include "servers/loads/endpoint_loads.h"

namespace cassiausher {

void AddLoads(const EndpointLoads& more, EndpointLoads* sum) {
  for (const auto& [endpoint, load] : more) {
    EndpointLoad& total = (*sum)[endpoint];
    total.requests += load.requests;
    total.memory += load.memory;
  }
}

void SubtractLoads(const EndpointLoads& part, EndpointLoads* sum) {
  for (const auto& [endpoint, load] : part) {
    const auto found = sum->find(endpoint);
    if (found == sum->end()) continue;
    found->second.requests -= load.requests;
    found->second.memory -= load.memory;
    if (found->second.requests <= 0) sum->erase(found);
  }
}

}  // namespace cassiausher
