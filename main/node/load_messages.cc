#include "main/node/load_messages.h"

#include <algorithm>

namespace cassiausher {

EndpointLoads ReadLoads(const LoadMessages& messages) {
  EndpointLoads loads;
  for (const proto::EndpointLoad& message : messages) {
    MemoryForecast::Points points{};
    const std::size_t count =
        std::min<std::size_t>(points.size(), message.kv_tokens_size());
    for (std::size_t i = 0; i < count; ++i) {
      points[i] = Tokens(message.kv_tokens(static_cast<int>(i)));
    }
    loads[EndpointId(message.endpoint())] = {
        static_cast<int>(message.requests()), MemoryForecast(points)};
  }
  return loads;
}

void WriteLoads(const EndpointLoads& loads, LoadMessages* messages) {
  for (const auto& [endpoint, load] : loads) {
    proto::EndpointLoad* message = messages->Add();
    message->set_endpoint(endpoint.value());
    message->set_requests(load.requests);
    // Requests to services without an engine hold no KV memory.
    if (load.memory.Peak() == Tokens(0)) continue;
    for (const Tokens tokens : load.memory.points()) {
      message->add_kv_tokens(tokens.value());
    }
  }
}

WaitingRequests ReadWaiting(const WaitingMessages& messages) {
  // More would overflow a sum over all instances.
  constexpr std::uint32_t kMaxRequests = 100000;
  WaitingRequests waiting;
  for (const proto::WaitingRequests& message : messages) {
    waiting[ServiceId(message.service())] =
        static_cast<int>(std::min(message.requests(), kMaxRequests));
  }
  return waiting;
}

void WriteWaiting(const WaitingRequests& waiting, WaitingMessages* messages) {
  for (const auto& [service, requests] : waiting) {
    proto::WaitingRequests* message = messages->Add();
    message->set_service(service.value());
    message->set_requests(static_cast<std::uint32_t>(requests));
  }
}

}  // namespace cassiausher
