#include "main/node/follower_updates.h"

#include <algorithm>
#include <utility>

#include "core/log.h"
#include "main/node/node_messages.h"

namespace cassiausher {
namespace {

// A follower that hasn't sent Follow for this long gets no updates.
constexpr Duration kFollowerLifetime = Seconds(6);
// With more followers, changes are sent less often, far more often still than a
// follower must have them.
constexpr int kMaxChangeMessagesPerSecond = 2000;

RelayReport ReadReport(const proto::Follow& follow) {
  RelayReport report{.data_centre = DataCentreId(follow.data_centre())};
  if (follow.has_relay_offer()) {
    report.offer =
        RelayHelper{.address = follow.relay_offer().address(),
                    .token = RelayToken(follow.relay_offer().token())};
  }
  for (const std::string& service : follow.doubtful_services()) {
    report.doubtful.insert(ServiceId(service));
  }
  for (const std::string& service : follow.services_out_of_reach()) {
    report.out_of_reach.insert(ServiceId(service));
  }
  return report;
}

}  // namespace

void FollowerUpdates::OnFollow(const InstanceId& from, Incarnation incarnation,
                               const proto::Follow& follow, Time now) {
  const auto [found, added] = followers_.try_emplace(from);
  Follower& follower = found->second;
  if (added) Log(LogLevel::kInfo, "follower_found", {{"from", from.value()}});
  follower.heard_at = now;
  if (std::exchange(follower.incarnation, incarnation) != incarnation) {
    follower.window.Reset();
  }
  follower.configuration = Revision(follow.configuration_version());
  follower.fetches_configuration = follow.fetches_configuration();
  follower.follow_number = follow.number();
  follower.wants_placements = follow.wants_placements();
  follower.awaits_update = true;
  loads_.OnReport(from, ReadLoads(follow.loads()), follower.wants_placements);
  loads_.OnWaiting(from, ReadWaiting(follow.waiting()));
  relays_.OnReport(from, ReadReport(follow), now);
  if (follow.registry_epoch() == state_.incarnation) {
    follower.registry_revision = follow.registry_revision();
    follower.window.OnAcknowledged(follow.last_received());
  } else {
    follower.registry_revision = 0;
  }
}

void FollowerUpdates::Answer(const InstanceId& to, Follower& follower,
                             const std::vector<InstanceId>& controls,
                             Time now) {
  // The connection to a follower that has just started stands a moment later.
  if (!link_->CanSend(to)) return;
  follower.awaits_update = false;
  if (!follower.window.IsOpen(now)) {
    withheld_.Add();
    return;
  }
  proto::Update update = MakeUpdate(to, follower, now);
  for (const InstanceId& control : controls) {
    update.add_control_instances(control.value());
  }
  const VersionedDocument& current = state_.log->current();
  const bool needs_document = !follower.fetches_configuration &&
                              current.version > follower.configuration;
  if (needs_document) {
    *update.mutable_configuration() = cassiausher::ToProto(current);
  }
  SendUpdate(to, follower, std::move(update), now);
}

void FollowerUpdates::SendUpdate(const InstanceId& to, Follower& follower,
                                 proto::Update update, Time now) {
  proto::NodeMessage message;
  *message.mutable_update() = std::move(update);
  message.mutable_update()->set_number(
      follower.window.OnSend(message.ByteSizeLong(), now));
  link_->Send(to, std::move(message));
}

proto::Update FollowerUpdates::MakeUpdate(const InstanceId& to,
                                          const Follower& follower,
                                          Time now) const {
  proto::Update update;
  update.set_registry_epoch(state_.incarnation);
  // Until then the records aren't all that the follower lacks.
  update.set_registry_revision(departures_known_ ? state_.registry->revision()
                                                 : 0);
  update.set_follow_number(follower.follow_number);
  for (const EndpointRecord& record :
       TellableSince(follower.registry_revision)) {
    *update.add_records() = cassiausher::ToProto(record);
  }
  update.set_registry_incomplete(!registry_complete_ || !departures_known_);
  for (const EndpointId& id : state_.registry->Silent(now)) {
    update.add_silent_endpoints(id.value());
  }
  for (const EndpointId& id :
       state_.stage_orders->ChangingEndpoints(*state_.registry, now)) {
    update.add_changing_endpoints(id.value());
  }
  SetNotice(now, update.mutable_notice());
  update.add_control_instances(state_.settings->ip);
  // The receiver knows its own load better, and takes the load of others from
  // one control instance only.
  if (follower.wants_placements) {
    WriteLoads(loads_.TotalWithout(to), update.mutable_loads());
    WriteWaiting(loads_.WaitingWithout(to), update.mutable_waiting());
  }
  const std::uint64_t permit_term = state_.permits->IssuerTerm(now);
  update.set_permit_term(permit_term);
  state_.quotas->WriteStates(to, now, &update);
  update.set_keeps_origins(true);
  update.set_shares_crashes(true);
  if (follower.wants_placements || permit_term != 0) {
    state_.permits->WriteLimits(now, update.mutable_rate_limits());
  }
  update.set_entry_instances(static_cast<std::uint32_t>(followers_.size()));
  WriteHelpers(to, now, &update);
  return update;
}

void FollowerUpdates::WriteHelpers(const InstanceId& to, Time now,
                                   proto::Update* update) const {
  for (const ServiceId& service : relays_.OutOfReach(to)) {
    proto::RelayHelpers* message = update->add_relay_helpers();
    message->set_service(service.value());
    message->set_cut_off(
        static_cast<std::uint32_t>(relays_.CutOff(service, now)));
    for (const RelayHelper& helper : relays_.HelpersFor(to, service, now)) {
      proto::RelayOffer* offer = message->add_helpers();
      offer->set_address(helper.address);
      offer->set_token(helper.token.value());
    }
  }
}

std::vector<EndpointRecord> FollowerUpdates::TellableSince(
    std::uint64_t revision) const {
  std::vector<EndpointRecord> records = state_.registry->ChangedSince(revision);
  if (departures_known_) return records;
  std::erase_if(records, [](const EndpointRecord& record) {
    return record.state == EndpointLifecycle::kReady;
  });
  return records;
}

void FollowerUpdates::OnDeparturesKnown(Time now) {
  departures_known_ = true;
  OnChange(now);
}

void FollowerUpdates::SetNotice(Time now,
                                proto::ConfigurationNotice* notice) const {
  WriteNotice(*state_.newest, state_.log->current().version, now, notice);
  notice->set_data_centre(state_.settings->data_centre.value());
}

void FollowerUpdates::OnPlacements(const InstanceId& from,
                                   const proto::Placements& placements) {
  const EndpointLoads placed = ReadLoads(placements.added());
  EndpointLoads lasting = placed;
  // Prefill load isn't kept: prompts are processed before the sender's next
  // Follow.
  std::erase_if(lasting, [this](const auto& item) {
    const EndpointRecord* record = state_.registry->Find(item.first);
    return record != nullptr && record->role == EndpointRole::kPrefill;
  });
  loads_.OnPlacements(from, placed, lasting);
  loads_.OnPaced(from, ReadOutcomes(placements.paced()));
}

void FollowerUpdates::OnChange(Time now) {
  changed_ = true;
  SendChangesIfDue(now);
}

void FollowerUpdates::SendChangesIfDue(Time now) {
  const Duration for_all = Seconds(1) * static_cast<int>(followers_.size()) /
                           kMaxChangeMessagesPerSecond;
  const Duration period = std::max(kBatchPeriod, for_all);
  if (changed_ && now - changes_sent_at_ >= period) SendChanges(now);
}

void FollowerUpdates::OnRateLimitAppeared(Time now) {
  limit_appeared_ = true;
  OnChange(now);
}

void FollowerUpdates::SendBatches(const std::vector<InstanceId>& controls,
                                  Time now) {
  SendChangesIfDue(now);
  if (!loads_.IsDue(now)) return;
  // Updates include the placements so far, so these are sent first.
  SendPlacements(now);
  for (auto& [instance, follower] : followers_) {
    if (follower.awaits_update) Answer(instance, follower, controls, now);
  }
}

void FollowerUpdates::SendPlacements(Time now) {
  for (PlacementBatch& batch : loads_.TakeBatches(now)) {
    std::erase_if(batch.receivers, [&](const InstanceId& receiver) {
      const auto found = followers_.find(receiver);
      if (found != followers_.end() && found->second.window.IsOpen(now)) {
        return false;
      }
      // The next Update has the whole loads.
      withheld_.Add();
      return true;
    });
    proto::NodeMessage message;
    WriteLoads(batch.placed, message.mutable_placements()->mutable_added());
    WriteOutcomes(batch.paced, message.mutable_placements()->mutable_paced());
    link_->SendToAll(batch.receivers, std::move(message));
  }
}

void FollowerUpdates::SendChanges(Time now) {
  changed_ = false;
  changes_sent_at_ = now;
  proto::NodeMessage message;
  proto::Changes* changes = message.mutable_changes();
  changes->set_registry_epoch(state_.incarnation);
  for (const EndpointRecord& record : TellableSince(sent_revision_)) {
    *changes->add_records() = cassiausher::ToProto(record);
  }
  if (departures_known_) sent_revision_ = state_.registry->revision();
  for (const EndpointId& id :
       state_.stage_orders->ChangingEndpoints(*state_.registry, now)) {
    changes->add_changing_endpoints(id.value());
  }
  SetNotice(now, changes->mutable_notice());
  changes->set_permit_term(state_.permits->IssuerTerm(now));
  if (std::exchange(limit_appeared_, false)) {
    state_.permits->WriteLimits(now, changes->mutable_rate_limits());
  }
  state_.quotas->WriteChanged(changes);
  const std::size_t bytes = message.ByteSizeLong();
  for (auto& [instance, follower] : followers_) {
    // The next Update repeats the records.
    if (!follower.window.IsOpen(now)) {
      withheld_.Add();
      continue;
    }
    if (!follower.fetches_configuration) {
      SendUpdate(instance, follower, MakeUpdate(instance, follower, now), now);
      continue;
    }
    changes->set_number(follower.window.OnSend(bytes, now));
    link_->Send(instance, message);
  }
}

void FollowerUpdates::Expire(Time now) {
  std::erase_if(followers_, [&](const auto& item) {
    if (now - item.second.heard_at < kFollowerLifetime) return false;
    Log(LogLevel::kWarning, "follower_lost", {{"from", item.first.value()}});
    link_->Disconnect(item.first);
    loads_.Remove(item.first);
    relays_.Remove(item.first);
    return true;
  });
}

}  // namespace cassiausher
