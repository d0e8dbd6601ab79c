// The state that an endpoint reports in its heartbeats, and how two records of
// one endpoint are merged.
#ifndef SERVERS_CONTROL_ENDPOINT_RECORD_H_
#define SERVERS_CONTROL_ENDPOINT_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/endpoint_role.h"
#include "core/ids.h"
#include "core/units.h"
#include "proto/gen/node.pb.h"

namespace cassiausher {

/// Ordered: within an incarnation, the state only moves to later values.
enum class EndpointLifecycle { kReady, kDraining, kDeparted };

/// One endpoint's latest known state.
struct EndpointRecord {
  EndpointId id;
  ServiceId service;
  /// "IP:PORT". Empty if all that is known of the endpoint is its departure.
  std::string address;
  DataCentreId data_centre;
  EndpointRole role = EndpointRole::kPlain;
  EndpointLifecycle state = EndpointLifecycle::kReady;
  int slots = 1;
  /// Version of its software, empty if it names none. Null if the endpoint is
  /// known only from an instance of an earlier build, which doesn't pass it on.
  std::optional<SoftwareVersion> version = SoftwareVersion();
  /// When this run of the endpoint started, in milliseconds since the epoch.
  Incarnation incarnation{0};
  /// Number of the heartbeat, counted within the incarnation.
  std::uint64_t sequence = 0;
  /// No later heartbeat has arrived for so long that a control instance takes
  /// the endpoint for gone. Not a lifecycle state, since the next heartbeat
  /// revokes it, also within the incarnation.
  bool expired = false;

  bool operator==(const EndpointRecord&) const = default;
};

/// Merges `received` into `known`. A later incarnation replaces an earlier one.
/// Within an incarnation, the record with the higher sequence number supplies
/// the fields, but the later state is kept, so that a delayed heartbeat never
/// makes a departing endpoint ready again, and so is a known software version.
/// With equal sequence numbers the result is expired if either record is. A
/// record without an address changes only the incarnation and the state.
/// Returns whether anything but the sequence number changed.
bool Merge(const EndpointRecord& received, EndpointRecord* known);

/// The record of an endpoint of which nothing is known but that it departed, in
/// an incarnation up to `latest`.
EndpointRecord DepartureOf(const EndpointId& id, Incarnation latest);

/// Whether the endpoint has departed or expired.
bool IsGone(const EndpointRecord& record);

/// Names for log lines.
std::string_view Name(EndpointLifecycle state);
std::string_view Name(EndpointRole role);

proto::EndpointRecord ToProto(const EndpointRecord& record);
/// Returns false if the message lacks an id, an incarnation or, unless the
/// endpoint departed, an address, or if its role or state is unknown.
bool FromProto(const proto::EndpointRecord& message, EndpointRecord* record);

}  // namespace cassiausher

#endif  // SERVERS_CONTROL_ENDPOINT_RECORD_H_
