// Staging, activation and catch-up of an instance.
#include "servers/configuration/configuration_follower.h"

#include <algorithm>
#include <utility>

#include "core/check_invariant.h"

namespace cassiausher {
namespace {

// Replies to older messages don't renew the lease; theirs has expired.
constexpr std::size_t kRememberedFollows = 16;

}  // namespace

ConfigurationFollower::ConfigurationFollower(FollowerOptions options)
    : options_(std::move(options)) {}

void ConfigurationFollower::Tick(Time now) {
  if (now >= next_follow_) SendFollowNow(now);
}

void ConfigurationFollower::OnStage(const InstanceId& from, const Stage& stage,
                                    Time now) {
  if (stage.stage_index <= active_stage_index_) return;
  if (staged_ && stage.stage_index < staged_->index) return;
  const Revision active = ActiveRevision();
  if (active_ != nullptr && stage.base < active) return;
  if (active_ == nullptr || stage.base > active) {
    SendFollowNow(now);
    return;
  }
  if (!staged_ || staged_->index != stage.stage_index) {
    auto applied = ApplyChange(stage.change, *active_);
    auto* result = std::get_if<Configuration>(&applied);
    if (result == nullptr || HashOf(*result) != stage.result_hash) {
      wants_snapshot_ = true;
      SendFollowNow(now);
      return;
    }
    staged_ =
        StagedChange{stage.stage_index, stage.change,
                     std::make_shared<const Configuration>(std::move(*result))};
    staged_hash_ = stage.result_hash;
  }
  outputs_.push_back(SendToInstance{
      from,
      Staged{options_.instance, options_.incarnation, staged_->index, active}});
}

void ConfigurationFollower::OnActivate(const InstanceId& from,
                                       const Activate& activate, Time now) {
  const Revision before = ActiveRevision();
  const bool had_configuration = active_ != nullptr;
  if (!CatchUp(activate)) {
    SendFollowNow(now);
    return;
  }
  if (activate.revision == ActiveRevision()) RenewLease(activate);
  const bool has_changed = !had_configuration || ActiveRevision() > before;
  if (has_changed || activate.follow_sequence == 0) Acknowledge(from);
}

void ConfigurationFollower::Adopt(const ReplicatedState& state) {
  if (active_ != nullptr && state.active()->revision <= active_->revision) {
    return;
  }
  SetActive(state.active(), state.active_hash(), state.active_stage_index());
}

std::vector<FollowerOutput> ConfigurationFollower::TakeOutputs() {
  return std::exchange(outputs_, {});
}

Revision ConfigurationFollower::ActiveRevision() const {
  return active_ == nullptr ? Revision(0) : active_->revision;
}

void ConfigurationFollower::SendFollowNow(Time now) {
  next_follow_ = now + options_.follow_interval;
  sent_.push_back({++sequence_, now});
  if (sent_.size() > kRememberedFollows) sent_.pop_front();
  outputs_.push_back(
      SendFollow{{options_.instance, options_.data_centre, options_.incarnation,
                  sequence_, active_ != nullptr, ActiveRevision(),
                  staged_ ? staged_->index : 0, wants_snapshot_}});
}

void ConfigurationFollower::Acknowledge(const InstanceId& to) {
  outputs_.push_back(SendToInstance{
      to,
      Activated{options_.instance, options_.incarnation, ActiveRevision()}});
}

bool ConfigurationFollower::CatchUp(const Activate& activate) {
  if (active_ != nullptr && activate.revision <= active_->revision) {
    return true;
  }
  const bool is_staged = staged_ && staged_->index == activate.stage_index &&
                         staged_hash_ == activate.hash;
  const ConfigurationPointer next =
      is_staged ? staged_->result : BuildConfiguration(activate);
  if (next == nullptr) return false;
  if (!is_staged && HashOf(*next) != activate.hash) {
    wants_snapshot_ = true;
    return false;
  }
  SetActive(next, activate.hash, activate.stage_index);
  return true;
}

ConfigurationPointer ConfigurationFollower::BuildConfiguration(
    const Activate& activate) const {
  if (!activate.snapshot.empty()) {
    auto read = ConfigurationFromBytes(activate.snapshot);
    auto* configuration = std::get_if<Configuration>(&read);
    if (configuration == nullptr) return nullptr;
    if (configuration->revision != activate.revision) return nullptr;
    return std::make_shared<const Configuration>(std::move(*configuration));
  }
  const std::uint64_t count = activate.changes.size();
  if (active_ == nullptr || count == 0) return nullptr;
  if (activate.revision.value() < count) return nullptr;
  Configuration next = *active_;
  std::uint64_t change_revision = activate.revision.value() - count;
  if (change_revision > next.revision.value()) return nullptr;
  for (const Change& change : activate.changes) {
    if (++change_revision <= next.revision.value()) continue;
    auto applied = ApplyChange(change, next);
    auto* result = std::get_if<Configuration>(&applied);
    if (result == nullptr) return nullptr;
    next = std::move(*result);
  }
  return std::make_shared<const Configuration>(std::move(next));
}

void ConfigurationFollower::SetActive(ConfigurationPointer configuration,
                                      std::uint64_t hash,
                                      std::uint64_t stage_index) {
  CheckInvariant(
      active_ == nullptr || configuration->revision > active_->revision,
      "the active revision of an instance never decreases");
  active_ = std::move(configuration);
  active_hash_ = hash;
  active_stage_index_ = std::max(active_stage_index_, stage_index);
  // The staged change applied to the previous revision.
  staged_.reset();
  wants_snapshot_ = false;
  outputs_.emplace_back(ConfigurationChanged{active_});
}

void ConfigurationFollower::RenewLease(const Activate& activate) {
  if (activate.hash != active_hash_) {
    wants_snapshot_ = true;
    return;
  }
  if (activate.follow_incarnation != options_.incarnation) return;
  const auto sent =
      std::find_if(sent_.begin(), sent_.end(), [&](const SentFollow& follow) {
        return follow.sequence == activate.follow_sequence;
      });
  if (sent == sent_.end()) return;
  lease_until_ = std::max(lease_until_, sent->sent_at + activate.lease);
}

}  // namespace cassiausher
