// Endpoints as one control instance knows them: from heartbeats that it
// received and from what the other control instances tell.
#ifndef SERVERS_CONTROL_ENDPOINT_REGISTRY_H_
#define SERVERS_CONTROL_ENDPOINT_REGISTRY_H_

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
  /// A departed or silent endpoint is forgotten after this time; longer than
  /// any heartbeat can be delayed.
  Duration forget_after = Seconds(120);
};

/// Not thread safe.
class EndpointRegistry {
 public:
  explicit EndpointRegistry(EndpointRegistryOptions options)
      : options_(options) {}

  /// Takes a statement. Returns whether it changed what followers must know.
  bool Update(const EndpointRecord& heard, Time now);
  /// The endpoint said that it leaves. Returns whether that was news. An id
  /// that was never heard of has nothing to leave.
  bool MarkDeparted(const EndpointId& id, Time now);
  /// Forgets endpoints that are long gone.
  void Expire(Time now);

  /// Grows with each change that followers must know.
  std::uint64_t revision() const { return revision_; }
  /// Records that changed after `revision`.
  std::vector<EndpointRecord> ChangedSince(std::uint64_t revision) const;
  /// Endpoints of a service that take work. Valid until the next change.
  std::vector<const EndpointRecord*> Ready(const ServiceId& service) const;
  /// Records heard of since `since`, changed or not.
  std::vector<EndpointRecord> SeenSince(Time since) const;
  /// Endpoints that are not departed and have been silent.
  std::vector<EndpointId> Silent(Time now) const;
  const EndpointRecord* Find(const EndpointId& id) const;
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    EndpointRecord record;
    std::uint64_t changed_at = 0;
    Time heard_at{};
  };

  EndpointRegistryOptions options_;
  /// Invariant: no entry's `changed_at` is above the revision.
  std::uint64_t revision_ = 0;
  std::map<EndpointId, Entry> entries_;
};

}  // namespace cassiausher

#endif  // SERVERS_CONTROL_ENDPOINT_REGISTRY_H_
