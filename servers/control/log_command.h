// What entries and snapshots of the control instances' replicated log hold.
#ifndef SERVERS_CONTROL_LOG_COMMAND_H_
#define SERVERS_CONTROL_LOG_COMMAND_H_

#include <string>
#include <string_view>
#include <vector>

#include "proto/gen/node.pb.h"
#include "servers/control/configuration_register.h"
#include "servers/control/leaving_endpoints.h"

namespace cassiausher {

/// An entry holds either part; a snapshot may hold both. Earlier builds know
/// the document only: they take an entry without one for a document of version
/// 0, which changes nothing, and drop `leaving` from their snapshots.
struct LogCommand {
  /// Version 0: none.
  VersionedDocument document;
  std::vector<LeavingEndpoint> leaving;

  bool operator==(const LogCommand&) const = default;
};

proto::VersionedDocument ToProto(const LogCommand& command);
/// Returns false if a record is malformed.
bool FromProto(const proto::VersionedDocument& message, LogCommand* command);

/// Serialises a command for the log.
std::string Encode(const LogCommand& command);
/// Returns false if the bytes are malformed.
bool Decode(std::string_view bytes, LogCommand* command);

}  // namespace cassiausher

#endif  // SERVERS_CONTROL_LOG_COMMAND_H_
