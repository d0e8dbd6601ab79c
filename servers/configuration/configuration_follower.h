// Every instance's copy of the configuration: the active revision, the staged
// change and the lease under which the copy is known to be current.
#ifndef SERVERS_CONFIGURATION_CONFIGURATION_FOLLOWER_H_
#define SERVERS_CONFIGURATION_CONFIGURATION_FOLLOWER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "core/units.h"
#include "servers/configuration/change_coordinator.h"
#include "servers/configuration/configuration_messages.h"

namespace cassiausher {

struct FollowerOptions {
  InstanceId instance;
  DataCentreId data_centre;
  /// Increases with each start of the process.
  Incarnation incarnation{0};
  /// A third of the lease, so that it outlasts one lost message.
  Duration follow_interval = Milliseconds(500);
};

/// To the leader of the replicated log, or to a voter that forwards it.
struct SendFollow {
  Follow follow;
};
/// The instance runs this configuration from now on.
struct ConfigurationChanged {
  ConfigurationPointer configuration;
};

using FollowerOutput =
    std::variant<SendFollow, SendToInstance, ConfigurationChanged>;

/// Not thread safe; the control task owns it.
class ConfigurationFollower {
 public:
  explicit ConfigurationFollower(FollowerOptions options);

  /// Sends Follow when it is due. Call at least every 50 ms.
  void Tick(Time now);
  /// `from` gets the acknowledgement.
  void OnStage(const InstanceId& from, const Stage& stage, Time now);
  void OnActivate(const InstanceId& from, const Activate& activate, Time now);
  /// For instances that store the log: activates the committed configuration
  /// of the local replica. Does nothing if it isn't newer.
  void Adopt(const ReplicatedState& state);

  /// Null until the first configuration arrives. The revision never decreases.
  const ConfigurationPointer& active() const { return active_; }
  bool has_staged() const { return staged_.has_value(); }
  /// While the lease is valid, no revision above the active one is reported as
  /// in force. Without it, the instance may have missed changes.
  bool LeaseValid(Time now) const {
    return active_ != nullptr && now < lease_until_;
  }

  std::vector<FollowerOutput> TakeOutputs();

 private:
  struct SentFollow {
    std::uint64_t sequence = 0;
    Time sent_at{};
  };

  Revision ActiveRevision() const;
  void SendFollowNow(Time now);
  void Acknowledge(const InstanceId& to);
  /// Returns true once the active revision is that of the message.
  bool CatchUp(const Activate& activate);
  /// From the snapshot or the changes of the message; null if neither yields
  /// its revision.
  ConfigurationPointer BuildConfiguration(const Activate& activate) const;
  void SetActive(ConfigurationPointer configuration, std::uint64_t hash,
                 std::uint64_t stage_index);
  void RenewLease(const Activate& activate);

  FollowerOptions options_;
  ConfigurationPointer active_;
  std::uint64_t active_hash_ = 0;
  /// Stage entries up to this index are activated or aborted.
  std::uint64_t active_stage_index_ = 0;
  /// Applies to the active revision; its index is above active_stage_index_.
  std::optional<StagedChange> staged_;
  std::uint64_t staged_hash_ = 0;
  /// Applying the changes here gave another result, so a snapshot is needed.
  bool wants_snapshot_ = false;
  Time lease_until_{};
  Time next_follow_{};
  std::uint64_t sequence_ = 0;
  /// Recent Follow messages; a lease counts from the send time of its Follow.
  std::deque<SentFollow> sent_;
  std::vector<FollowerOutput> outputs_;
};

}  // namespace cassiausher

#endif  // SERVERS_CONFIGURATION_CONFIGURATION_FOLLOWER_H_
