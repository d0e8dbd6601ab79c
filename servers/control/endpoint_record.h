// What an endpoint says of itself, and how two such statements are merged.
#ifndef SERVERS_CONTROL_ENDPOINT_RECORD_H_
#define SERVERS_CONTROL_ENDPOINT_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "core/endpoint_role.h"
#include "core/ids.h"
#include "core/units.h"
#include "proto/gen/node.pb.h"

namespace cassiausher {

/// Ordered: an incarnation moves only towards the later states.
enum class EndpointLifecycle { kReady, kDraining, kDeparted };

struct EndpointRecord {
  EndpointId id;
  ServiceId service;
  std::string address;  ///< "IP:PORT".
  DataCentreId data_centre;
  EndpointRole role = EndpointRole::kPlain;
  EndpointLifecycle state = EndpointLifecycle::kReady;
  int slots = 1;
  /// Start of this incarnation, in milliseconds since the epoch.
  Incarnation incarnation{0};
  /// Number of the heartbeat within the incarnation.
  std::uint64_t sequence = 0;

  bool operator==(const EndpointRecord&) const = default;
};

/// Brings `known` up to `heard`. A later incarnation replaces an earlier one;
/// within one, the higher sequence number decides the fields and the later
/// state stays, so that a delayed heartbeat never makes a departing endpoint
/// ready again. Returns whether anything but the sequence number changed.
bool Merge(const EndpointRecord& heard, EndpointRecord* known);

/// Names for logs.
std::string_view Name(EndpointLifecycle state);
std::string_view Name(EndpointRole role);

proto::EndpointRecord ToProto(const EndpointRecord& record);
/// False if the message lacks an id, an address or an incarnation.
bool FromProto(const proto::EndpointRecord& message, EndpointRecord* record);

}  // namespace cassiausher

#endif  // SERVERS_CONTROL_ENDPOINT_RECORD_H_
