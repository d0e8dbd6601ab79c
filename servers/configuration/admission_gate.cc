// State transitions of the admission gate.
#include "servers/configuration/admission_gate.h"

namespace cassiausher {

void AdmissionGate::Update(const AdmissionInputs& inputs, Time now) {
  const bool was_suspended =
      last_update_ && now - *last_update_ > options_.max_update_gap;
  last_update_ = now;
  const AdmissionState next = NextState(inputs, was_suspended, now);
  if (next == state_) return;
  state_ = next;
  state_since_ = now;
}

AdmissionState AdmissionGate::NextState(const AdmissionInputs& inputs,
                                        bool was_suspended, Time now) const {
  if (!inputs.has_configuration) return AdmissionState::kStarting;
  if (inputs.lease_valid) return AdmissionState::kCurrent;
  // After a suspension the membership view is outdated.
  if (was_suspended) return AdmissionState::kRejoining;
  const bool is_rejoining = state_ == AdmissionState::kRejoining;
  const bool has_timed_out =
      is_rejoining && now - state_since_ >= options_.rejoin_timeout;
  if (!inputs.reaches_voter) {
    // Membership may still be rediscovering its peers.
    const bool may_be_rediscovering = is_rejoining && !has_timed_out;
    return may_be_rediscovering ? AdmissionState::kRejoining
                                : AdmissionState::kPartitioned;
  }
  switch (state_) {
    case AdmissionState::kStarting:
    case AdmissionState::kPartitioned:
      return AdmissionState::kRejoining;
    case AdmissionState::kRejoining:
      return has_timed_out ? AdmissionState::kLeaderless
                           : AdmissionState::kRejoining;
    case AdmissionState::kCurrent:
    case AdmissionState::kLeaderless:
      break;
  }
  return AdmissionState::kLeaderless;
}

}  // namespace cassiausher
