#include "servers/control/stream_origins.h"

#include <algorithm>

namespace cassiausher {

StreamOrigin Combine(const StreamOrigin& a, const StreamOrigin& b) {
  const bool agree = a.version == b.version;
  return {.version = agree ? a.version : std::nullopt,
          .expires_at = std::max(a.expires_at, b.expires_at)};
}

bool StreamOrigins::Add(const StreamName& name, const StreamOrigin& origin,
                        Time now) {
  const auto known = Find(name, now);
  if (!known.has_value() && origins_.size() >= options_.max_names &&
      !origins_.contains(name)) {
    return false;
  }
  origins_.insert_or_assign(
      name, known.has_value() ? Combine(*known, origin) : origin);
  return true;
}

std::optional<StreamOrigin> StreamOrigins::Find(const StreamName& name,
                                                Time now) const {
  const auto found = origins_.find(name);
  if (found == origins_.end() || now >= found->second.expires_at) {
    return std::nullopt;
  }
  return found->second;
}

void StreamOrigins::Expire(Time now) {
  std::erase_if(origins_, [&](const auto& item) {
    return now >= item.second.expires_at;
  });
}

}  // namespace cassiausher
