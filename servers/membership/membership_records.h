// Helpers for member records that the files of Membership share.
#ifndef SERVERS_MEMBERSHIP_MEMBERSHIP_RECORDS_H_
#define SERVERS_MEMBERSHIP_MEMBERSHIP_RECORDS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>

#include "core/hash.h"
#include "servers/membership/membership.h"

namespace cassiausher {

inline constexpr std::size_t kAccusersMaximum = 3;
// Tag and length of a record in a repeated protobuf field.
inline constexpr std::size_t kRecordOverheadBytes = 3;

inline std::uint32_t ShortHash(const std::string& text) {
  const auto hash = static_cast<std::uint32_t>(HashText(text, 0));
  return hash == 0 ? 1 : hash;
}

// Names and payloads appear in logs and JSON, so only printable ASCII is
// accepted.
inline bool IsPrintable(const std::string& text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c >= ' ' && c <= '~'; });
}

inline MemberState StateOf(const proto::MemberRecord& record) {
  return static_cast<MemberState>(record.state());
}

inline MemberPayload PayloadOf(const proto::MemberRecord& record) {
  MemberPayload payload;
  for (const auto& item : record.payload()) payload[item.key()] = item.value();
  return payload;
}

inline std::size_t PayloadBytes(const MemberPayload& payload) {
  std::size_t bytes = 0;
  for (const auto& [key, value] : payload) bytes += key.size() + value.size();
  return bytes;
}

}  // namespace cassiausher

#endif  // SERVERS_MEMBERSHIP_MEMBERSHIP_RECORDS_H_
