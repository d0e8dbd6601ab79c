#include "servers/control/stream_origins.h"

namespace cassiausher {

bool StreamOrigins::Add(const RequestId& request, const StreamOrigin& origin) {
  if (streams_.size() >= options_.max_streams && !streams_.contains(request)) {
    return false;
  }
  streams_.insert_or_assign(request, origin);
  return true;
}

std::optional<StreamOrigin> StreamOrigins::Find(const RequestId& request,
                                                Time now) const {
  const auto found = streams_.find(request);
  if (found == streams_.end() || now >= found->second.expires_at) {
    return std::nullopt;
  }
  return found->second;
}

void StreamOrigins::Expire(Time now) {
  std::erase_if(streams_, [&](const auto& item) {
    return now >= item.second.expires_at;
  });
}

}  // namespace cassiausher
