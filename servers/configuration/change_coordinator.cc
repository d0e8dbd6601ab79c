// Staging, activation and confirmation of changes by the leader.
#include "servers/configuration/change_coordinator.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <utility>

namespace cassiausher {
namespace {

// A follower's clock may run slower than the leader's by 1/20, that is 5 %.
constexpr int kClockDriftDivisor = 20;

constexpr const char* kReusedIdMessage =
    "this id was used for a change with another text";

Findings DescribeMissing(
    const std::map<DataCentreId, std::vector<InstanceId>>& missing,
    std::string_view what) {
  Findings findings;
  for (const auto& [data_centre, instances] : missing) {
    std::vector<std::string> names;
    for (const InstanceId& instance : instances) {
      names.push_back(instance.value());
    }
    findings.Add(fmt::format("data centre {}", data_centre.value()),
                 names.empty()
                     ? std::string("no live instance")
                     : fmt::format("{}: {}", what, fmt::join(names, ", ")));
  }
  return findings;
}

}  // namespace

ChangeCoordinator::ChangeCoordinator(const ReplicatedState* state,
                                     CoordinatorOptions options)
    : state_(state), options_(options) {}

void ChangeCoordinator::BecomeLeader(Time now) {
  StepDown();
  leading_ = true;
  leading_since_ = now;
  Advance(now);
}

void ChangeCoordinator::StepDown() {
  leading_ = false;
  quorum_contact_.reset();
  followers_.clear();
  queue_.clear();
  attempt_.reset();
  next_stage_proposal_ = Time();
  next_activate_send_ = Time();
  next_confirm_proposal_ = Time();
  for (const PendingSubmission& pending : pending_submissions_) {
    outputs_.push_back(
        AbandonSubmission{pending.submission, "the leader of the log changed"});
  }
  pending_submissions_.clear();
}

void ChangeCoordinator::OnQuorumContact(Time sent_at) {
  if (!leading_) return;
  quorum_contact_ = std::max(quorum_contact_.value_or(sent_at), sent_at);
}

void ChangeCoordinator::SetMembers(LiveMembers members, Time now) {
  members_ = std::move(members);
  Advance(now);
}

void ChangeCoordinator::Submit(std::uint64_t submission, const Change& change,
                               Time now) {
  if (!leading_) {
    outputs_.push_back(
        AbandonSubmission{submission, "not the leader of the log"});
    return;
  }
  const std::size_t id_bytes = change.id.value().size();
  if (id_bytes == 0 || id_bytes > kMaxChangeIdBytes) {
    Refuse(submission, "change id",
           fmt::format("a change id has 1 to {} bytes", kMaxChangeIdBytes));
    return;
  }
  const auto queued =
      std::find_if(queue_.begin(), queue_.end(),
                   [&](const Change& other) { return other.id == change.id; });
  if (queued != queue_.end() && queued->text != change.text) {
    Refuse(submission, "change id", kReusedIdMessage);
    return;
  }
  PendingSubmission pending{submission, change.id, HashOfText(change.text),
                            std::nullopt};
  if (TryAnswer(&pending, now)) return;
  if (pending_submissions_.size() >= options_.max_pending_submissions) {
    outputs_.push_back(AbandonSubmission{submission, "too many changes wait"});
    return;
  }
  pending_submissions_.push_back(std::move(pending));
  const bool is_new =
      queued == queue_.end() && state_->FindRecord(change.id) == nullptr;
  if (is_new) queue_.push_back(change);
  Advance(now);
}

void ChangeCoordinator::OnFollow(const Follow& follow, Time now) {
  Activate answer = AnswerFollow(*state_, follow);
  if (!leading_) {
    outputs_.push_back(SendToInstance{follow.instance, std::move(answer)});
    return;
  }
  FollowerProgress* progress = ProgressOf(follow.instance, follow.incarnation);
  if (progress == nullptr) return;
  progress->data_centre = follow.data_centre;
  progress->has_configuration |= follow.has_configuration;
  progress->active = std::max(progress->active, follow.active);
  progress->staged_index =
      std::max(progress->staged_index, follow.staged_index);
  GrantLease(progress, &answer, now);
  outputs_.push_back(SendToInstance{follow.instance, std::move(answer)});
  const auto& staged = state_->staged();
  if (staged && progress->staged_index != staged->index) {
    SendStage(follow.instance, *staged);
  }
  Advance(now);
}

void ChangeCoordinator::OnStaged(const Staged& staged, Time now) {
  if (!leading_) return;
  FollowerProgress* progress = ProgressOf(staged.instance, staged.incarnation);
  if (progress == nullptr) return;
  progress->has_configuration = true;
  progress->active = std::max(progress->active, staged.active);
  progress->staged_index = std::max(progress->staged_index, staged.stage_index);
  Advance(now);
}

void ChangeCoordinator::OnActivated(const Activated& activated, Time now) {
  if (!leading_) return;
  FollowerProgress* progress =
      ProgressOf(activated.instance, activated.incarnation);
  if (progress == nullptr) return;
  progress->has_configuration = true;
  progress->active = std::max(progress->active, activated.active);
  Advance(now);
}

void ChangeCoordinator::OnApplied(const Applied& applied, Time now) {
  if (!leading_) return;
  if (applied.kind == AppliedKind::kLedger) return;
  // The entry may have been refused because another change was staged (kBusy);
  // the change is then proposed again as soon as none is staged.
  if (!queue_.empty() && queue_.front().id == applied.id) {
    next_stage_proposal_ = Time();
  }
  std::erase_if(queue_, [&](const Change& change) {
    return state_->FindRecord(change.id) != nullptr;
  });
  if (applied.kind == AppliedKind::kActivated) next_activate_send_ = Time();
  if (applied.kind == AppliedKind::kConfirmed) next_confirm_proposal_ = Time();
  Advance(now);
}

void ChangeCoordinator::Tick(Time now) { Advance(now); }

std::vector<CoordinatorOutput> ChangeCoordinator::TakeOutputs() {
  return std::exchange(outputs_, {});
}

std::optional<Revision> ChangeCoordinator::RevisionOf(
    const DataCentreId& data_centre) const {
  const auto live = members_.find(data_centre);
  if (live == members_.end()) return std::nullopt;
  std::optional<Revision> lowest;
  for (const InstanceId& instance : live->second) {
    const auto progress = followers_.find(instance);
    if (progress == followers_.end()) continue;
    lowest = std::min(lowest.value_or(progress->second.active),
                      progress->second.active);
  }
  return lowest;
}

void ChangeCoordinator::Advance(Time now) {
  if (!leading_) return;
  if (state_->staged()) {
    DriveStagedChange(now);
  } else {
    attempt_.reset();
    ProposeNextChange(now);
  }
  DriveActivation(now);
  AnswerPendingSubmissions(now);
}

void ChangeCoordinator::ProposeNextChange(Time now) {
  if (queue_.empty() || now < next_stage_proposal_) return;
  next_stage_proposal_ = now + options_.proposal_retry;
  outputs_.push_back(Propose{StageEntry{queue_.front()}});
}

void ChangeCoordinator::DriveStagedChange(Time now) {
  const StagedChange& staged = *state_->staged();
  if (!attempt_ || attempt_->stage_index != staged.index) {
    attempt_ = Attempt{staged.index, now + ChangeTimeout(), now};
  }
  if (attempt_->decision) {
    if (now >= attempt_->next_proposal) Decide(*attempt_->decision, now);
    return;
  }
  const Missing missing = MissingStage(staged, now);
  if (missing.empty()) {
    Decide(ActivateEntry{staged.index}, now);
    return;
  }
  if (now >= attempt_->deadline) {
    const std::string what = fmt::format("no acknowledgement within {} ms from",
                                         ToMilliseconds(ChangeTimeout()));
    Decide(AbortEntry{staged.index, DescribeMissing(missing, what)}, now);
    return;
  }
  if (now < attempt_->next_send) return;
  attempt_->next_send = now + options_.retry_interval;
  // Live instances of excluded data centres get it as well, but their
  // acknowledgement isn't required.
  for (const auto& [data_centre, instances] : members_) {
    for (const InstanceId& instance : instances) {
      const auto progress = followers_.find(instance);
      const bool has_staged = progress != followers_.end() &&
                              progress->second.staged_index == staged.index;
      if (!has_staged) SendStage(instance, staged);
    }
  }
}

void ChangeCoordinator::Decide(StateEntry decision, Time now) {
  outputs_.push_back(Propose{decision});
  attempt_->decision = std::move(decision);
  attempt_->next_proposal = now + options_.proposal_retry;
}

void ChangeCoordinator::DriveActivation(Time now) {
  const Configuration& active = *state_->active();
  if (state_->confirmed() >= active.revision) return;
  if (now >= next_activate_send_) {
    next_activate_send_ = now + options_.retry_interval;
    Activate message;
    message.revision = active.revision;
    message.stage_index = state_->active_stage_index();
    message.hash = state_->active_hash();
    for (const auto& [data_centre, instances] : members_) {
      for (const InstanceId& instance : instances) {
        const auto progress = followers_.find(instance);
        if (progress != followers_.end() &&
            progress->second.active >= active.revision)
          continue;
        outputs_.push_back(SendToInstance{instance, message});
      }
    }
  }
  ProposeConfirmation(now);
}

void ChangeCoordinator::ProposeConfirmation(Time now) {
  // Leases granted by the previous leader may last that long.
  const Duration longest = options_.lease + options_.lease / kClockDriftDivisor;
  if (now < leading_since_ + longest) return;
  if (now < next_confirm_proposal_) return;
  const Revision active = state_->active()->revision;
  if (!MissingRevision(active, now).empty()) return;
  next_confirm_proposal_ = now + options_.proposal_retry;
  outputs_.push_back(Propose{ConfirmEntry{active}});
}

void ChangeCoordinator::AnswerPendingSubmissions(Time now) {
  std::erase_if(pending_submissions_, [&](PendingSubmission& pending) {
    return TryAnswer(&pending, now);
  });
}

bool ChangeCoordinator::TryAnswer(PendingSubmission* pending, Time now) {
  const ChangeRecord* record = state_->FindRecord(pending->id);
  if (record == nullptr) return false;
  if (record->text != pending->text) {
    Refuse(pending->submission, "change id", kReusedIdMessage);
    return true;
  }
  if (record->state == ChangeState::kStaged) return false;
  const bool is_final =
      record->state != ChangeState::kActive || record->answer.in_force;
  if (is_final) {
    Answer(pending->submission, record->answer);
    return true;
  }
  if (!pending->deadline) pending->deadline = now + ChangeTimeout();
  if (now < *pending->deadline) return false;
  ChangeAnswer answer = record->answer;
  answer.findings = DescribeMissing(
      MissingRevision(answer.revision, now),
      fmt::format("revision {} is not confirmed by", answer.revision.value()));
  Answer(pending->submission, std::move(answer));
  return true;
}

void ChangeCoordinator::Answer(std::uint64_t submission, ChangeAnswer answer) {
  outputs_.push_back(AnswerSubmission{submission, std::move(answer)});
}

void ChangeCoordinator::Refuse(std::uint64_t submission, std::string place,
                               std::string message) {
  ChangeAnswer answer;
  answer.revision = state_->active()->revision;
  answer.findings.Add(std::move(place), std::move(message));
  Answer(submission, std::move(answer));
}

ChangeCoordinator::FollowerProgress* ChangeCoordinator::ProgressOf(
    const InstanceId& instance, Incarnation incarnation) {
  FollowerProgress& progress = followers_[instance];
  if (incarnation < progress.incarnation) return nullptr;
  if (incarnation > progress.incarnation) {
    // A restarted instance has lost its state, but the lease of its previous
    // incarnation still counts.
    FollowerProgress restarted;
    restarted.data_centre = progress.data_centre;
    restarted.incarnation = incarnation;
    restarted.lease_until = progress.lease_until;
    progress = restarted;
  }
  return &progress;
}

void ChangeCoordinator::GrantLease(FollowerProgress* progress, Activate* answer,
                                   Time now) const {
  if (!quorum_contact_) return;
  const Duration remaining = *quorum_contact_ + options_.lease - now;
  if (remaining <= Duration(0)) return;
  answer->lease = remaining;
  const Time until = now + remaining + remaining / kClockDriftDivisor;
  progress->lease_until = std::max(progress->lease_until, until);
}

std::set<InstanceId> ChangeCoordinator::RequiredInstances(
    const DataCentreId& data_centre, Time now) const {
  std::set<InstanceId> required;
  const auto live = members_.find(data_centre);
  if (live != members_.end()) required = live->second;
  for (const auto& [instance, progress] : followers_) {
    if (progress.data_centre != data_centre) continue;
    // Membership may no longer list an instance that still serves.
    if (progress.lease_until > now) required.insert(instance);
  }
  return required;
}

std::set<DataCentreId> ChangeCoordinator::RequiredDataCentres(
    const Configuration& configuration) const {
  std::set<DataCentreId> required;
  for (const auto& [id, settings] : configuration.data_centres) {
    required.insert(id);
  }
  for (const auto& [id, instances] : members_) {
    if (!instances.empty()) required.insert(id);
  }
  for (const DataCentreId& id : configuration.excluded_data_centres) {
    required.erase(id);
  }
  return required;
}

template <typename Acknowledged>
ChangeCoordinator::Missing ChangeCoordinator::FindMissing(
    const Configuration& configuration, Time now,
    const Acknowledged& acknowledged) const {
  Missing missing;
  for (const DataCentreId& data_centre : RequiredDataCentres(configuration)) {
    const auto live = members_.find(data_centre);
    if (live == members_.end() || live->second.empty()) missing[data_centre];
    for (const InstanceId& instance : RequiredInstances(data_centre, now)) {
      const auto progress = followers_.find(instance);
      if (progress != followers_.end() && acknowledged(progress->second))
        continue;
      missing[data_centre].push_back(instance);
    }
  }
  return missing;
}

ChangeCoordinator::Missing ChangeCoordinator::MissingStage(
    const StagedChange& staged, Time now) const {
  return FindMissing(*staged.result, now,
                     [&](const FollowerProgress& progress) {
                       return progress.staged_index == staged.index;
                     });
}

ChangeCoordinator::Missing ChangeCoordinator::MissingRevision(Revision revision,
                                                              Time now) const {
  const auto runs_it = [&](const FollowerProgress& progress) {
    return progress.has_configuration && progress.active >= revision;
  };
  Missing missing = FindMissing(*state_->active(), now, runs_it);
  // While an instance holds a lease, no revision newer than its own may be in
  // force. This includes instances of excluded data centres, so the revision is
  // confirmed only once they run it or, without contact, their lease has
  // expired.
  const auto& excluded = state_->active()->excluded_data_centres;
  for (const auto& [instance, progress] : followers_) {
    if (!excluded.contains(progress.data_centre)) continue;
    if (progress.lease_until <= now || runs_it(progress)) continue;
    missing[progress.data_centre].push_back(instance);
  }
  return missing;
}

void ChangeCoordinator::SendStage(const InstanceId& to,
                                  const StagedChange& staged) {
  outputs_.push_back(
      SendToInstance{to, Stage{staged.index, state_->active()->revision,
                               staged.change, state_->staged_hash()}});
}

}  // namespace cassiausher
