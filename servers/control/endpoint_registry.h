// One control instance's view of the endpoints, built from heartbeats that it
// receives and from records that the other control instances send.
#ifndef SERVERS_CONTROL_ENDPOINT_REGISTRY_H_
#define SERVERS_CONTROL_ENDPOINT_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/time.h"
#include "servers/control/endpoint_record.h"

namespace cassiausher {

struct EndpointRegistryOptions {
  /// An endpoint without a heartbeat for this long is reported as silent.
  Duration silent_after = Seconds(4);
  /// An endpoint expires this long after its last heartbeat. It is removed this
  /// long after it expired or departed. Must exceed the longest delay of a
  /// heartbeat, which would otherwise bring a departed endpoint back.
  Duration expire_after = Seconds(120);
  /// Bounds the memory of the process and the messages to other instances. Far
  /// above a site's endpoints, which are a few hundred.
  std::size_t max_records = 20000;
};

/// Latest known record of each endpoint. Not thread safe.
class EndpointRegistry {
 public:
  explicit EndpointRegistry(EndpointRegistryOptions options)
      : options_(options) {}

  /// Merges a record from a heartbeat or from another control instance.
  /// `seen_at`: when the heartbeat arrived there, or when the endpoint departed
  /// or expired. Returns whether followers must be told of a change; false for
  /// a record that there is no room for.
  bool Update(const EndpointRecord& received, Time seen_at);
  /// A heartbeat of the endpoint has arrived. Marks those as expired that had
  /// its address before, although they announced no departure: an address has
  /// one endpoint at a time. Returns the records that expired now.
  std::vector<EndpointRecord> ExpireReplaced(const EndpointId& by, Time now);
  /// Whether the id is known or a new one is within `max_records`.
  bool HasRoomFor(const EndpointId& id) const;
  /// Marks an endpoint that announced its departure. One that isn't known, for
  /// example since this instance has just started, departed in an incarnation
  /// up to `latest`: others may know it and use it. Returns whether anything
  /// changed; false for a new id that there is no room for.
  bool MarkDeparted(const EndpointId& id, Incarnation latest, Time now);
  /// Marks endpoints whose last heartbeat is `expire_after` ago as expired, and
  /// removes those that expired or departed as long ago. Returns the records
  /// that expired now, which followers and the other control instances must be
  /// told of: an endpoint that is merely no longer reported as silent counts as
  /// heard.
  std::vector<EndpointRecord> Expire(Time now);

  /// Increases with each change that followers must be told of.
  std::uint64_t revision() const { return revision_; }
  /// Records that changed after `revision`.
  std::vector<EndpointRecord> ChangedSince(std::uint64_t revision) const;
  /// Endpoints of a service in state ready that haven't expired. The pointers
  /// are valid until the next change of the registry.
  std::vector<const EndpointRecord*> Ready(const ServiceId& service) const;
  /// When the endpoint's last heartbeat or its departure arrived at any control
  /// instance, as far as known, or when its record expired. `id` is known.
  Time LastSeen(const EndpointId& id) const;
  /// Records last seen at or after `since`, changed or not.
  std::vector<EndpointRecord> SeenSince(Time since) const;
  /// Endpoints that have not departed and sent no heartbeat for
  /// `silent_after`, including expired ones.
  std::vector<EndpointId> Silent(Time now) const;
  const EndpointRecord* Find(const EndpointId& id) const;
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    EndpointRecord record;
    /// Revision of the last change.
    std::uint64_t changed_at = 0;
    /// When the last newer heartbeat or the departure arrived, or when the
    /// record expired.
    Time last_seen{};
    /// Of two endpoints that had the address one after the other, the later one
    /// has the higher number.
    int order_at_address = 0;
  };

  int OrderAtAddress(const EndpointRecord& record) const;

  EndpointRegistryOptions options_;
  /// Invariant: no entry's `changed_at` exceeds the revision.
  std::uint64_t revision_ = 0;
  /// Invariant: at most `max_records` entries.
  std::map<EndpointId, Entry> entries_;
};

}  // namespace cassiausher

#endif  // SERVERS_CONTROL_ENDPOINT_REGISTRY_H_
