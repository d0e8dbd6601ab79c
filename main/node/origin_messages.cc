#include "main/node/origin_messages.h"

#include <algorithm>

namespace cassiausher {
namespace {

// A longer lifetime could overflow a time.
constexpr std::uint64_t kMaxLifetimeMs = 3600 * 1000;

}  // namespace

void WriteOrigin(const StreamName& name, const StreamOrigin& origin, Time now,
                 proto::StreamOrigin* message) {
  message->set_stream(name.value());
  if (origin.version) message->set_software_version(origin.version->value());
  const Duration left = std::max(Duration(0), origin.expires_at - now);
  message->set_lifetime_ms(static_cast<std::uint64_t>(left / Milliseconds(1)));
}

StreamOrigin ReadOrigin(const proto::StreamOrigin& message, Time now) {
  const std::uint64_t left_ms = std::min(message.lifetime_ms(), kMaxLifetimeMs);
  StreamOrigin origin{
      .expires_at = now + Milliseconds(static_cast<std::int64_t>(left_ms))};
  if (!message.software_version().empty()) {
    origin.version = SoftwareVersion(message.software_version());
  }
  return origin;
}

proto::NodeMessage Keep(const proto::StoreOrigins& message, Time now,
                        StreamOrigins* origins) {
  bool kept = true;
  for (const proto::StreamOrigin& origin : message.origins()) {
    kept &=
        origins->Add(StreamName(origin.stream()), ReadOrigin(origin, now), now);
  }
  proto::NodeMessage answer;
  if (kept) answer.mutable_origins_stored()->set_number(message.number());
  return answer;
}

proto::NodeMessage AnswerSearch(const proto::FindOrigin& message, Time now,
                                const StreamOrigins& origins) {
  const StreamName name(message.stream());
  const auto origin = origins.Find(name, now);
  proto::NodeMessage answer;
  answer.mutable_origin_answer()->set_number(message.number());
  if (origin.has_value()) {
    WriteOrigin(name, *origin, now,
                answer.mutable_origin_answer()->mutable_origin());
  }
  return answer;
}

}  // namespace cassiausher
