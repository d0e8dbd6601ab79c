// The control instances that an entry instance knows, and which of them it
// uses for what.
#ifndef SERVERS_ENTRY_CONTROL_DIRECTORY_H_
#define SERVERS_ENTRY_CONTROL_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "core/units.h"

namespace cassiausher {

struct ControlDirectoryOptions {
  InstanceId self;
  /// A control instance that sent no update and was named by no seed list or
  /// update for this long is dropped.
  Duration lifetime = Seconds(60);
  /// A control instance counts as disconnected after this time without an
  /// update.
  Duration update_timeout = Seconds(2);
  /// Loads are taken from another control instance after this time without an
  /// update. Updates answer the messages that each gets every 500 ms; without
  /// them, runners that others have filled seem to have room.
  Duration load_timeout = Milliseconds(800);
  /// The number of entry instances is taken to be at least this, since a
  /// control instance that has just started doesn't know all of them.
  std::uint32_t min_entry_instances = 8;
  /// Two, so that evidence arrives without delay while one of them is silent.
  std::size_t evidence_partners = 2;
};

/// What an Update of a control instance says of itself.
struct ControlStatus {
  /// Start of the process whose registry revision this is.
  Incarnation process{0};
  std::uint64_t registry_revision = 0;
  /// Number of the message.
  std::uint64_t number = 0;
  /// Number of entry instances that follow the control instance.
  std::uint32_t entry_instances = 0;
  /// Term under which it issues permits; 0 if it doesn't.
  std::uint64_t permit_term = 0;
  DataCentreId data_centre;
  /// It keeps origins of streams.
  bool keeps_origins = false;
  /// Number of the Follow that the Update answers; 0 if it doesn't say.
  std::uint64_t follow_number = 0;
};

/// Not thread safe.
class ControlDirectory {
 public:
  struct Control {
    Time last_known_at{};
    Time last_update_at{};
    Incarnation process{0};
    std::uint64_t registry_revision = 0;
    /// Highest number of the messages received from that process.
    std::uint64_t last_received = 0;
    std::uint32_t entry_instances = 1;
    std::uint64_t permit_term = 0;
    DataCentreId data_centre;
    bool keeps_origins = false;
    bool connected = false;
    /// What it last told held at this time or later.
    Time current_as_of{};
    /// When each Follow was sent that isn't answered, by number; bounded.
    std::map<std::uint64_t, Time> unanswered_follows;
  };

  explicit ControlDirectory(ControlDirectoryOptions options)
      : options_(std::move(options)) {}

  /// The settings or another instance named the control instance.
  void Learn(const InstanceId& control, Time now);
  /// Returns whether the control instance was disconnected before.
  bool OnUpdate(const InstanceId& from, const ControlStatus& status, Time now);
  /// A Follow is being sent. Returns its number.
  std::uint64_t OnFollow(const InstanceId& to, Time now);
  /// Whether most of the known control instances have told their state since.
  /// Time during which this instance stood still doesn't count, as messages
  /// that it didn't read are of before.
  bool IsCurrentSince(Time since) const;
  /// A message between two updates arrived from this process.
  void OnMessage(const InstanceId& from, Incarnation process,
                 std::uint64_t number, std::uint64_t permit_term);
  /// Drops control instances that weren't heard of, and returns them.
  std::vector<InstanceId> Expire(Time now);
  /// Marks control instances without a recent update as disconnected, and
  /// returns those that were connected.
  std::vector<InstanceId> Disconnect(Time now);

  /// The control instance from which other entry instances' loads are taken:
  /// one of the connected ones, so chosen that entry instances are spread over
  /// them, and heard lately if one was. Empty if none is connected.
  InstanceId LoadSource(Time now) const;
  /// The control instances with which crash evidence is exchanged, chosen like
  /// LoadSource(). They pass it on to all others.
  std::vector<InstanceId> EvidencePartners() const;
  /// The connected control instance that issues permits, by the latest term;
  /// empty if there is none.
  InstanceId PermitIssuer() const;
  std::uint32_t EntryInstances() const;
  std::vector<InstanceId> Connected() const;
  const std::map<InstanceId, Control>& controls() const { return controls_; }

 private:
  /// The first connected control instances in this instance's own order.
  std::vector<InstanceId> Preferred(std::size_t count) const;

  ControlDirectoryOptions options_;
  std::map<InstanceId, Control> controls_;
  std::uint64_t follows_ = 0;
};

}  // namespace cassiausher

#endif  // SERVERS_ENTRY_CONTROL_DIRECTORY_H_
