#include "main/node/voter_changes.h"

#include <algorithm>
#include <cstddef>

#include "core/log.h"

namespace cassiausher {
namespace {

VoterPlannerOptions PlannerOptions(const NodeSettings& settings) {
  VoterPlannerOptions options;
  if (!settings.tolerated_losses.has_value()) return options;
  options.tolerated_losses = *settings.tolerated_losses;
  options.max_voters = 2 * options.tolerated_losses + 1;
  return options;
}

}  // namespace

VoterChanges::VoterChanges(const NodeSettings& settings)
    : options_(PlannerOptions(settings)) {
  data_centres_[InstanceId(settings.ip)] = settings.data_centre;
}

void VoterChanges::OnSync(const InstanceId& from, Incarnation process,
                          const proto::Sync& sync, Time now) {
  if (!sync.data_centre().empty()) {
    data_centres_[from] = DataCentreId(sync.data_centre());
  }
  heard_at_[from] = now;
  stopping_.OnProcess(from, process);
  if (!sync.has_stopping()) return;
  const ReplicaId replica = FromProto(sync.stopping());
  if (replica.instance == from) OnStopping(replica, process, now);
}

void VoterChanges::OnStopping(const ReplicaId& replica, Incarnation process,
                              Time now) {
  stopping_.OnStopping(replica, process, now);
}

bool VoterChanges::IsHeard(const InstanceId& instance, Time now) const {
  const auto found = heard_at_.find(instance);
  return found != heard_at_.end() &&
         now - found->second < options_.spare_expiry;
}

bool VoterChanges::HearsMajority(const RaftConfiguration& configuration,
                                 const ReplicaId& self, Time now) const {
  const auto heard = static_cast<std::size_t>(
      std::ranges::count_if(configuration.voters, [&](const ReplicaId& voter) {
        return voter == self || IsHeard(voter.instance, now);
      }));
  return !configuration.voters.empty() && heard >= configuration.Quorum();
}

void VoterChanges::Advance(Raft& raft, Time now) {
  raft.SetLeaving(stopping_.replicas());
  if (!raft.configuration_committed()) return;
  const VoterView view = View(raft, now);
  const VoterStep step = PlanVoters(options_, view);
  if (!ProposeStep(step, raft, now).accepted()) return;
  const VoterStepText text = Describe(step);
  Log(LogLevel::kInfo, "voters_changed",
      {{"step", text.name},
       {"subject", text.subject},
       {"voters", view.configuration.voters.size()},
       {"learners", view.configuration.learners.size()}});
}

bool VoterChanges::KeepsVote(const Raft& raft, const ReplicaId& voter,
                             Time now) {
  return cassiausher::KeepsVote(options_, View(raft, now), voter);
}

VoterView VoterChanges::View(const Raft& raft, Time now) {
  stopping_.Expire(now);
  VoterView view = ViewOf(raft, now);
  view.stopping = stopping_.replicas();
  view.data_centres = data_centres_;
  std::erase_if(heard_at_,
                [&](const auto& item) { return !IsHeard(item.first, now); });
  for (const auto& [instance, heard_at] : heard_at_) {
    view.live_instances.insert(instance);
  }
  return view;
}

}  // namespace cassiausher
