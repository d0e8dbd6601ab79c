#include "main/rate_limit_messages.h"

#include <algorithm>
#include <cmath>

namespace cassiausher {
namespace {

// A larger age could overflow a time.
constexpr std::uint64_t kMaxAgeMs = 3600 * 1000;

}  // namespace

void WriteRateLimit(const RateLimitObservation& observation, Time now,
                    proto::RateLimit* message) {
  message->set_endpoint(observation.endpoint.value());
  message->set_born_ms(observation.incarnation.value());
  if (observation.limit.has_value()) {
    message->set_requests_per_second(observation.limit->value());
  }
  const Duration age = std::max(Duration(0), now - observation.observed_at);
  message->set_age_ms(static_cast<std::uint64_t>(age / Milliseconds(1)));
}

std::optional<RateLimitObservation> ReadRateLimit(
    const proto::RateLimit& message, Time now) {
  const double rate = message.requests_per_second();
  if (message.endpoint().empty()) return std::nullopt;
  if (!std::isfinite(rate) || rate < 0) return std::nullopt;
  const std::uint64_t age_ms = std::min(message.age_ms(), kMaxAgeMs);
  RateLimitObservation observation{
      .endpoint = EndpointId(message.endpoint()),
      .incarnation = Incarnation(message.born_ms()),
      .observed_at = now - Milliseconds(static_cast<std::int64_t>(age_ms))};
  if (message.has_requests_per_second()) observation.limit = RequestRate(rate);
  return observation;
}

}  // namespace cassiausher
