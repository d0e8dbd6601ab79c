#include "servers/control/endpoint_record.h"

#include <algorithm>

namespace cassiausher {

bool Merge(const EndpointRecord& received, EndpointRecord* known) {
  if (received.incarnation < known->incarnation) return false;
  EndpointRecord merged = *known;
  if (received.address.empty()) {
    merged.incarnation = received.incarnation;
    merged.state = received.state;
  } else if (received.incarnation > known->incarnation) {
    merged = received;
  } else {
    if (received.sequence > known->sequence) merged = received;
    const bool repeated = received.sequence == known->sequence;
    if (repeated) merged.expired |= received.expired;
    merged.state = std::max(received.state, known->state);
    if (!merged.version) merged.version = known->version;
    if (!merged.version) merged.version = received.version;
  }
  EndpointRecord same_sequence = merged;
  same_sequence.sequence = known->sequence;
  const bool changed = same_sequence != *known;
  *known = std::move(merged);
  return changed;
}

EndpointRecord DepartureOf(const EndpointId& id, Incarnation latest) {
  return {.id = id,
          .state = EndpointLifecycle::kDeparted,
          .version = std::nullopt,
          .incarnation = latest};
}

bool IsGone(const EndpointRecord& record) {
  return record.expired || record.state == EndpointLifecycle::kDeparted;
}

std::string_view Name(EndpointLifecycle state) {
  switch (state) {
    case EndpointLifecycle::kReady:
      return "ready";
    case EndpointLifecycle::kDraining:
      return "draining";
    case EndpointLifecycle::kDeparted:
      return "departed";
  }
  return "unknown";
}

std::string_view Name(EndpointRole role) {
  switch (role) {
    case EndpointRole::kPrefill:
      return "prefill";
    case EndpointRole::kDecode:
      return "decode";
    case EndpointRole::kPlain:
      return "plain";
  }
  return "unknown";
}

proto::EndpointRecord ToProto(const EndpointRecord& record) {
  proto::EndpointRecord message;
  message.set_id(record.id.value());
  message.set_service(record.service.value());
  message.set_address(record.address);
  message.set_data_centre(record.data_centre.value());
  message.set_role(static_cast<proto::EndpointRole>(record.role));
  message.set_state(static_cast<proto::EndpointLifecycle>(record.state));
  message.set_slots(record.slots);
  message.set_born_ms(record.incarnation.value());
  message.set_sequence(record.sequence);
  message.set_expired(record.expired);
  if (record.version) message.set_software_version(record.version->value());
  return message;
}

bool FromProto(const proto::EndpointRecord& message, EndpointRecord* record) {
  if (message.id().empty() || message.born_ms() == 0) return false;
  if (!proto::EndpointRole_IsValid(message.role())) return false;
  if (!proto::EndpointLifecycle_IsValid(message.state())) return false;
  const bool departed = message.state() == proto::ENDPOINT_LIFECYCLE_DEPARTED;
  if (message.address().empty() && !departed) return false;
  *record = {.id = EndpointId(message.id()),
             .service = ServiceId(message.service()),
             .address = message.address(),
             .data_centre = DataCentreId(message.data_centre()),
             .role = static_cast<EndpointRole>(message.role()),
             .state = static_cast<EndpointLifecycle>(message.state()),
             .slots = static_cast<int>(message.slots()),
             .version = std::nullopt,
             .incarnation = Incarnation(message.born_ms()),
             .sequence = message.sequence(),
             .expired = message.expired()};
  if (message.has_software_version()) {
    record->version = SoftwareVersion(message.software_version());
  }
  return true;
}

}  // namespace cassiausher
