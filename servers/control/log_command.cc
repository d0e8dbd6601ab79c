#include "servers/control/log_command.h"

#include <algorithm>
#include <cstdint>

namespace cassiausher {
namespace {

// Far above the time for which records are kept; a larger number could overflow
// a time.
constexpr std::uint64_t kMaxAgeMs = 3600 * 1000;

}  // namespace

proto::VersionedDocument ToProto(const LogCommand& command) {
  proto::VersionedDocument message;
  message.set_version(command.document.version.value());
  message.set_document(command.document.document);
  for (const LeavingEndpoint& leaving : command.leaving) {
    proto::EndpointRecord* record = message.add_leaving();
    *record = ToProto(leaving.record);
    record->set_seen_age_ms(
        static_cast<std::uint64_t>(ToMilliseconds(leaving.age)));
  }
  return message;
}

bool FromProto(const proto::VersionedDocument& message, LogCommand* command) {
  *command = {.document = {Revision(message.version()), message.document()}};
  for (const proto::EndpointRecord& record : message.leaving()) {
    LeavingEndpoint leaving;
    if (!FromProto(record, &leaving.record)) return false;
    leaving.age = Milliseconds(
        static_cast<std::int64_t>(std::min(record.seen_age_ms(), kMaxAgeMs)));
    command->leaving.push_back(std::move(leaving));
  }
  return true;
}

std::string Encode(const LogCommand& command) {
  return ToProto(command).SerializeAsString();
}

bool Decode(std::string_view bytes, LogCommand* command) {
  proto::VersionedDocument message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  return FromProto(message, command);
}

}  // namespace cassiausher
