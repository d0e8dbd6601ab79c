#include "servers/entry/byte_account.h"

#include <algorithm>
#include <utility>

namespace cassiausher {

ByteAccount::HolderId ByteAccount::Add(const EndpointId& source,
                                       std::function<void()> end) {
  const HolderId id = next_id_++;
  holders_[id] = {.source = source, .end = std::move(end)};
  return id;
}

void ByteAccount::Remove(HolderId id) {
  const auto found = holders_.find(id);
  if (found == holders_.end()) return;
  bytes_ -= found->second.bytes;
  holders_.erase(found);
}

void ByteAccount::Set(HolderId id, std::int64_t bytes) {
  const auto found = holders_.find(id);
  if (found == holders_.end()) return;
  bytes_ += bytes - found->second.bytes;
  found->second.bytes = bytes;
  while (bytes_ > limit_bytes_) {
    const auto offender = LargestOfLargestSource();
    const std::function<void()> end = std::move(offender->second.end);
    Remove(offender->first);
    ++ended_;
    end();
  }
}

ByteAccount::Holders::iterator ByteAccount::LargestOfLargestSource() {
  std::map<EndpointId, std::int64_t> by_source;
  for (const auto& [id, holder] : holders_) {
    by_source[holder.source] += holder.bytes;
  }
  const auto source = std::max_element(
      by_source.begin(), by_source.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  auto largest = holders_.end();
  for (auto it = holders_.begin(); it != holders_.end(); ++it) {
    if (it->second.source != source->first) continue;
    const bool larger =
        largest == holders_.end() || it->second.bytes > largest->second.bytes;
    if (larger) largest = it;
  }
  return largest;
}

}  // namespace cassiausher
