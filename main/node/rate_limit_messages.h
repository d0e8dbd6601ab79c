// Conversion of rate limits to and from messages. Times become ages, since the
// clocks of two instances differ.
#ifndef MAIN_NODE_RATE_LIMIT_MESSAGES_H_
#define MAIN_NODE_RATE_LIMIT_MESSAGES_H_

#include <optional>

#include "core/time.h"
#include "proto/gen/node.pb.h"
#include "servers/control/rate_limits.h"

namespace cassiausher {

using RateLimitMessages = google::protobuf::RepeatedPtrField<proto::RateLimit>;

void WriteRateLimit(const RateLimitObservation& observation, Time now,
                    proto::RateLimit* message);
/// Null if the message names no endpoint or no usable rate.
std::optional<RateLimitObservation> ReadRateLimit(
    const proto::RateLimit& message, Time now);

}  // namespace cassiausher

#endif  // MAIN_NODE_RATE_LIMIT_MESSAGES_H_
