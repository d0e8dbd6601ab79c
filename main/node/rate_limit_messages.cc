#include "main/node/rate_limit_messages.h"

#include <cmath>

#include "main/node/message_age.h"

namespace cassiausher {

void WriteRateLimit(const RateLimitObservation& observation, Time now,
                    proto::RateLimit* message) {
  message->set_endpoint(observation.endpoint.value());
  message->set_born_ms(observation.incarnation.value());
  if (observation.limit.has_value()) {
    message->set_requests_per_second(observation.limit->value());
  }
  message->set_age_ms(AgeInMs(observation.observed_at, now));
}

std::optional<RateLimitObservation> ReadRateLimit(
    const proto::RateLimit& message, Time now) {
  const double rate = message.requests_per_second();
  if (message.endpoint().empty()) return std::nullopt;
  if (!std::isfinite(rate) || rate < 0) return std::nullopt;
  RateLimitObservation observation{
      .endpoint = EndpointId(message.endpoint()),
      .incarnation = Incarnation(message.born_ms()),
      .observed_at = TimeOfAge(message.age_ms(), now)};
  if (message.has_requests_per_second()) observation.limit = RequestRate(rate);
  return observation;
}

}  // namespace cassiausher
