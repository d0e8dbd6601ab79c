// The messages that distribute changes to every instance, and the protobuf
// encodings of changes and records.
#ifndef SERVERS_CONFIGURATION_CONFIGURATION_MESSAGES_H_
#define SERVERS_CONFIGURATION_CONFIGURATION_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/findings.h"
#include "core/ids.h"
#include "core/time.h"
#include "core/units.h"
#include "servers/configuration/change.h"
#include "servers/configuration/replicated_state.h"

namespace cassiausher {

namespace proto {
class ConfigurationChange;
class StateChangeRecord;
}  // namespace proto

/// Sent periodically by every instance to the leader; requests a lease and the
/// changes that the instance lacks.
struct Follow {
  InstanceId instance;
  DataCentreId data_centre;
  Incarnation incarnation{0};
  /// Increases with each message of one incarnation.
  std::uint64_t sequence = 0;
  bool has_configuration = false;
  Revision active{0};
  /// 0: nothing staged.
  std::uint64_t staged_index = 0;
  bool wants_snapshot = false;

  bool operator==(const Follow&) const = default;
};

/// From the leader: prepare this change for activation.
struct Stage {
  /// Log index of the stage entry. Two attempts at the same revision have
  /// different indexes.
  std::uint64_t stage_index = 0;
  /// Revision that the change applies to.
  Revision base{0};
  Change change;
  std::uint64_t result_hash = 0;

  bool operator==(const Stage&) const = default;
};

/// Acknowledges Stage.
struct Staged {
  InstanceId instance;
  Incarnation incarnation{0};
  std::uint64_t stage_index = 0;
  Revision active{0};

  bool operator==(const Staged&) const = default;
};

/// From the leader: activate this revision. Also the reply to Follow.
struct Activate {
  Revision revision{0};
  std::uint64_t stage_index = 0;
  /// Hash of the configuration at `revision`.
  std::uint64_t hash = 0;
  /// Sequence of the Follow that this replies to; 0 if to none.
  std::uint64_t follow_sequence = 0;
  /// Incarnation of its sender. Sequences restart with each incarnation, and a
  /// reply to an earlier one must not renew a lease of the current one.
  Incarnation follow_incarnation{0};
  /// Lease duration, counted from when that Follow was sent.
  Duration lease{0};
  /// Changes up to `revision`, oldest first; may start before the receiver's
  /// revision.
  std::vector<Change> changes;
  /// The configuration as JSON; empty if the changes suffice.
  std::string snapshot;

  bool operator==(const Activate&) const = default;
};

/// Acknowledges Activate.
struct Activated {
  InstanceId instance;
  Incarnation incarnation{0};
  Revision active{0};

  bool operator==(const Activated&) const = default;
};

using ConfigurationMessage =
    std::variant<Follow, Stage, Staged, Activate, Activated>;

/// Payload of `Envelope.configuration`.
std::string EncodeMessage(const ConfigurationMessage& message);
std::variant<ConfigurationMessage, Findings> DecodeMessage(
    std::string_view bytes);

/// Reply to a Follow with what the follower lacks and no lease. A voter that
/// isn't the leader sends it as it is; the leader adds a lease.
Activate AnswerFollow(const ReplicatedState& state, const Follow& follow);

/// Parses JSON text and validates the whole configuration.
std::variant<Configuration, Findings> ConfigurationFromBytes(
    std::string_view bytes);

void ToProto(const Change& change, proto::ConfigurationChange* message);
/// Adds to `findings` and returns nothing if the message is invalid.
std::optional<Change> FromProto(const proto::ConfigurationChange& message,
                                Findings* findings);
void ToProto(const ChangeRecord& record, proto::StateChangeRecord* message);
bool FromProto(const proto::StateChangeRecord& message, ChangeRecord* record);

}  // namespace cassiausher

#endif  // SERVERS_CONFIGURATION_CONFIGURATION_MESSAGES_H_
