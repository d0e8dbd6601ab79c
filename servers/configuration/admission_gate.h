// Decides whether an instance may admit new requests with its copy of the
// configuration: it may while it holds a lease, is partitioned from all voters
// or finds no leader, but not between rejoining and its next lease.
#ifndef SERVERS_CONFIGURATION_ADMISSION_GATE_H_
#define SERVERS_CONFIGURATION_ADMISSION_GATE_H_

#include <optional>

#include "core/time.h"

namespace cassiausher {

struct AdmissionGateOptions {
  /// How long a rejoining instance waits for a lease. After that there is no
  /// leader, so no change can come into force, and the instance serves with
  /// the configuration it has. Covers an election and several Follow messages.
  Duration rejoin_timeout = Seconds(5);
  /// A longer gap between two updates means that the process was suspended: it
  /// may have missed changes although its membership view looks fresh.
  Duration max_update_gap = Seconds(1);
};

struct AdmissionInputs {
  /// ConfigurationFollower::active() isn't null.
  bool has_configuration = false;
  /// ConfigurationFollower::LeaseValid(now).
  bool lease_valid = false;
  /// Membership sees a live voter in another process.
  bool reaches_voter = false;
};

enum class AdmissionState {
  kStarting,     ///< No configuration yet; admits nothing.
  kCurrent,      ///< Holds a lease.
  kPartitioned,  ///< Reaches no voter; serves with the last configuration.
  kRejoining,    ///< Reaches voters again without a lease yet; admits nothing.
  kLeaderless,   ///< Reaches voters, but no leader; serves as when partitioned.
};

/// Not thread safe; the control task owns it.
class AdmissionGate {
 public:
  explicit AdmissionGate(AdmissionGateOptions options = {})
      : options_(options) {}

  /// Call at each tick and before the first admission after a suspension.
  void Update(const AdmissionInputs& inputs, Time now);

  AdmissionState state() const { return state_; }
  bool MayAdmit() const {
    return state_ != AdmissionState::kStarting &&
           state_ != AdmissionState::kRejoining;
  }

 private:
  AdmissionState NextState(const AdmissionInputs& inputs, bool was_suspended,
                           Time now) const;

  AdmissionGateOptions options_;
  AdmissionState state_ = AdmissionState::kStarting;
  Time state_since_{};
  std::optional<Time> last_update_;
};

}  // namespace cassiausher

#endif  // SERVERS_CONFIGURATION_ADMISSION_GATE_H_
