// Work in progress at endpoints, as entry instances tell each other.
#ifndef SERVERS_LOADS_ENDPOINT_LOADS_H_
#define SERVERS_LOADS_ENDPOINT_LOADS_H_

#include <map>

#include "core/ids.h"
#include "servers/loads/memory_forecast.h"

namespace cassiausher {

/// Requests in progress or reserved at an endpoint.
struct EndpointLoad {
  int requests = 0;
  MemoryForecast memory;
};

using EndpointLoads = std::map<EndpointId, EndpointLoad>;

/// Requests that wait for capacity, by service.
using WaitingRequests = std::map<ServiceId, int>;

void AddLoads(const EndpointLoads& more, EndpointLoads* sum);
/// `part` is included in `sum`. Endpoints that are left without requests are
/// removed.
void SubtractLoads(const EndpointLoads& part, EndpointLoads* sum);

}  // namespace cassiausher

#endif  // SERVERS_LOADS_ENDPOINT_LOADS_H_
