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

EndpointPaceOutcomes ReadOutcomes(const PaceMessages& messages) {
  // More would overflow a sum over all instances.
  static constexpr std::uint32_t kMaxCount = 100000;
  const auto count = [](std::uint32_t value) {
    return static_cast<int>(std::min(value, kMaxCount));
  };
  constexpr std::uint64_t kMaxRelativeTime = 1'000'000'000;
  EndpointPaceOutcomes paced;
  for (const proto::PaceOutcomes& message : messages) {
    paced[EndpointId(message.endpoint())] = {
        .incarnation = Incarnation(message.born_ms()),
        .recoveries = count(message.recoveries()),
        .settled = count(message.settled()),
        .started = count(message.started()),
        .ended = count(message.ended()),
        .answered = count(message.answered()),
        .refused = count(message.refused()),
        .failed = count(message.failed()),
        .relative_time = static_cast<std::int64_t>(
            std::min(message.relative_time(), kMaxRelativeTime))};
  }
  return paced;
}

void WriteOutcomes(const EndpointPaceOutcomes& paced, PaceMessages* messages) {
  const auto count = [](int value) {
    return static_cast<std::uint32_t>(std::max(value, 0));
  };
  for (const auto& [endpoint, outcomes] : paced) {
    proto::PaceOutcomes* message = messages->Add();
    message->set_endpoint(endpoint.value());
    message->set_born_ms(outcomes.incarnation.value());
    message->set_recoveries(count(outcomes.recoveries));
    message->set_settled(count(outcomes.settled));
    message->set_started(count(outcomes.started));
    message->set_ended(count(outcomes.ended));
    message->set_answered(count(outcomes.answered));
    message->set_refused(count(outcomes.refused));
    message->set_failed(count(outcomes.failed));
    message->set_relative_time(static_cast<std::uint64_t>(
        std::max<std::int64_t>(outcomes.relative_time, 0)));
  }
}

}  // namespace cassiausher
