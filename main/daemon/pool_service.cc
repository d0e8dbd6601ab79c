#include "main/daemon/pool_service.h"

#include <glib.h>
#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "core/log.h"
#include "drivers/clock.h"
#include "main/daemon/pool_rows.h"
#include "main/daemon/request_id.h"
#include "main/daemon/wire.h"

namespace cassiausher {
namespace {

constexpr Duration kSummaryPeriod = Milliseconds(250);
constexpr Duration kSummaryRefresh = Milliseconds(1500);
constexpr Duration kSummaryBroadcastPeriod = Seconds(3);
// Ownership epochs count tenths of a second since 1970.
constexpr std::int64_t kEpochUnitMicros = 100000;
constexpr Duration kAnnouncementWait = Milliseconds(2500);
constexpr Duration kSessionsPeriod = Seconds(1);
constexpr Duration kRefusalHistoryMaxAge = Seconds(60);
constexpr Duration kUnknownServiceRetryAfter = Seconds(1);

RequestId IdOf(const proto::Progress& progress) {
  return RequestId(progress.request());
}

OwnershipOptions OwnershipOptionsOf(const ControlContext& context) {
  OwnershipOptions options;
  options.self = context.settings.instance;
  options.data_centre = context.settings.data_centre;
  options.started = context.incarnation;
  options.epoch_base =
      static_cast<std::uint64_t>(g_get_real_time() / kEpochUnitMicros);
  options.random_seed = context.incarnation.value();
  for (const PeerSettings& peer : context.settings.peers) {
    if (peer.data_centre == context.settings.data_centre) {
      options.voters.insert(peer.instance);
    }
  }
  return options;
}

}  // namespace

PoolService::PoolService(ControlContext& context,
                         const RoutingPolicyRegistry& policies,
                         std::string policy_name, Time now)
    : context_(context),
      policies_(policies),
      policy_name_(std::move(policy_name)),
      requests_forwarded_(context.metrics.counter("requests_passed_on_total")),
      malformed_(context.metrics.counter("peer_messages_malformed_total")),
      orphans_cancelled_(context.metrics.counter("owner_cancels_total")),
      decision_time_(context.metrics.distribution("decision_seconds")),
      configuration_(std::make_shared<Configuration>()),
      ownership_(OwnershipOptionsOf(context), now),
      reachable_({context.settings.instance}) {}

void PoolService::SetConfiguration(
    std::shared_ptr<const Configuration> configuration, Time now) {
  configuration_ = std::move(configuration);
  std::vector<OwnedPool> pools;
  for (const auto& [service, settings] : configuration_->services) {
    pools.push_back({service, settings.honours_fencing});
  }
  ownership_.SetPools(pools, now);
  DispatchOwnership(now);
  for (auto& [service, pool] : pools_) {
    pool.host->policy().Reconfigure(OptionsFor(service), now);
    pool.host->SetDrained(configuration_->drained_endpoints, now);
    Dispatch(pool, now);
  }
}

void PoolService::SetMembers(const std::vector<MemberRow>& members,
                             std::set<InstanceId> reachable, Time now) {
  reachable_ = std::move(reachable);
  remote_instances_.clear();
  for (const MemberRow& row : members) {
    const bool local = row.data_centre == context_.settings.data_centre;
    if (!local && reachable_.contains(row.id)) remote_instances_.insert(row.id);
  }
  ownership_.SetView(ViewOf(members, context_.settings.data_centre), now);
  DispatchOwnership(now);
}

void PoolService::DispatchOwnership(Time now) {
  OwnershipOutputs outputs = ownership_.TakeOutputs();
  for (const OwnershipSend& send : outputs.messages) {
    proto::Envelope envelope;
    envelope.set_ownership(send.message.SerializeAsString());
    context_.send(send.to, envelope);
  }
  for (const OwnershipEvent& event : outputs.events) {
    const ServiceId& service = event.pool.service;
    switch (event.kind) {
      case OwnershipEventKind::kAcquired:
        Acquire(service, event.epoch, now);
        break;
      case OwnershipEventKind::kReleased:
        Log(LogLevel::kInfo, "pool_released", {{"service", service.value()}});
        pools_.erase(service);
        break;
      case OwnershipEventKind::kOwnerChanged:
        Log(LogLevel::kInfo, "pool_owner_changed",
            {{"service", service.value()},
             {"owner", event.instance.value()},
             {"epoch", event.epoch.value()}});
        NotifyServingTasks({.data_centre = context_.settings.data_centre,
                            .service = service,
                            .owner = event.instance,
                            .epoch = event.epoch});
        break;
    }
  }
}

void PoolService::Acquire(const ServiceId& service, Epoch epoch, Time now) {
  Log(LogLevel::kInfo, "pool_acquired",
      {{"service", service.value()}, {"epoch", epoch.value()}});
  HostedPool& pool = pools_[service];
  pool.address = {.data_centre = context_.settings.data_centre,
                  .service = service,
                  .owner = context_.settings.instance,
                  .epoch = epoch};
  pool.acquired = now;
  PoolHostOptions options;
  options.directory.data_centre = context_.settings.data_centre;
  options.directory.service = service;
  pool.host = std::make_unique<PoolHost>(
      policies_.Create(policy_name_, OptionsFor(service)), options);
  pool.host->SetDrained(configuration_->drained_endpoints, now);
}

PoolService::HostedPool* PoolService::HeldPool(const ServiceId& service,
                                               Time now) {
  const auto found = pools_.find(service);
  if (found == pools_.end()) return nullptr;
  const auto epoch = ownership_.HeldEpoch(service, now);
  if (!epoch.has_value()) return nullptr;
  found->second.address.epoch = *epoch;
  return &found->second;
}

void PoolService::Leave(Time now) {
  ownership_.Leave(now);
  DispatchOwnership(now);
}

bool PoolService::HandedOver(Time now) const {
  return ownership_.HoldsNoPools(now) || ownership_.HandoverImpossible();
}

void PoolService::NotifyServingTasks(const PoolAddress& pool) {
  for (int i = 0; i < context_.serving_tasks; ++i) {
    context_.to_serving(i, PoolOwnerChanged{pool});
  }
}

void PoolService::OnEntryLost(const InstanceId& instance, Time now) {
  for (auto& [service, pool] : pools_) {
    pool.host->OnEntryLost(instance, now);
    Dispatch(pool, now);
  }
}

RoutingOptions PoolService::OptionsFor(const ServiceId& service) const {
  RoutingOptions options;
  const auto found = configuration_->services.find(service);
  if (found == configuration_->services.end()) {
    options.classes.push_back({.id = ClassId("")});
    return options;
  }
  const ServiceSettings& settings = found->second;
  for (const ClassId& id : settings.classes) {
    const auto targets = configuration_->classes.find(id);
    if (targets != configuration_->classes.end()) {
      options.classes.push_back(targets->second);
    }
  }
  options.kv_retention = settings.kv_retention;
  options.local_prefill_limit = settings.local_prefill_limit;
  options.prefill_thrift = settings.prefill_thrift;
  const auto link = configuration_->links.find(context_.settings.data_centre);
  if (link == configuration_->links.end()) return options;
  double total_share = 0;
  for (const auto& [id, other] : configuration_->services) {
    if (other.kind == ServiceKind::kRunner) total_share += other.link_share;
  }
  if (total_share > 0) {
    options.link_bytes_per_second =
        link->second.bytes_per_second * settings.link_share / total_share;
  }
  return options;
}

void PoolService::RequestPlacement(const RouteRequest& request, Time now) {
  const InstanceId owner = ownership_.Owner(request.service);
  if (owner == context_.settings.instance) {
    AdmitLocally(request, {}, now);
    return;
  }
  // Without an owner the entry instance requests again; see
  // RequestFlowOptions::place_retry.
  if (owner.empty()) return;
  proto::Envelope envelope;
  *envelope.mutable_route_request() = ToProto(request, now);
  context_.send(owner, envelope);
}

void PoolService::AdmitLocally(const RouteRequest& request,
                               std::set<DataCentreId> refused_by, Time now) {
  HostedPool* pool = HeldPool(request.service, now);
  // The requester learns of the new owner and requests again.
  if (pool == nullptr) return;
  if (pool->host->live_endpoints() == 0) {
    if (ForwardElsewhere(request, std::move(refused_by), now)) return;
    // Endpoints announce themselves to a new owner within a second or two;
    // until then the entry instance requests again.
    if (now - pool->acquired < kAnnouncementWait) return;
    Refuse(request, RefusalReason::kUnknownService);
    return;
  }
  refusal_history_[request.id] = {std::move(refused_by), now};
  RouteRequest admitted = request;
  std::set<DataCentreId> visited = refusal_history_[request.id].refused_by;
  visited.insert(context_.settings.data_centre);
  const RemotePool* next = remote_pools_.Best(request.service, visited, now);
  admitted.may_forward = next != nullptr && next->SpareSlots() > 0;
  pool->host->Admit(admitted, now);
  Dispatch(*pool, now);
  decision_time_.Record(MonotonicNow() - now);
}

bool PoolService::ForwardElsewhere(const RouteRequest& request,
                                   std::set<DataCentreId> refused_by,
                                   Time now) {
  refused_by.insert(context_.settings.data_centre);
  const RemotePool* next = remote_pools_.Best(request.service, refused_by, now);
  if (next == nullptr) return false;
  requests_forwarded_.Add();
  proto::Envelope envelope;
  *envelope.mutable_route_request() = ToProto(request, now);
  for (const DataCentreId& data_centre : refused_by) {
    envelope.mutable_route_request()->add_passed_by(data_centre.value());
  }
  context_.send(next->address.owner, envelope);
  return true;
}

void PoolService::Refuse(const RouteRequest& request, RefusalReason reason) {
  DeliverRefusal({.refusal = {.request = request.id,
                              .entry = request.entry,
                              .reason = reason,
                              .retry_after = kUnknownServiceRetryAfter},
                  .attempt = request.attempt});
}

void PoolService::Dispatch(HostedPool& pool, Time now) {
  for (PoolOutput& output : pool.host->TakeOutputs()) {
    DispatchOutput(pool, output, now);
  }
}

void PoolService::DispatchOutput(HostedPool& pool, PoolOutput& output,
                                 Time now) {
  if (const auto* grant = std::get_if<Grant>(&output.output)) {
    refusal_history_.erase(grant->request);
    DeliverGrant({*grant, pool.address, output.attempt});
    return;
  }
  if (const auto* refusal = std::get_if<RouteRefusal>(&output.output)) {
    std::set<DataCentreId> refused_by;
    const auto history = refusal_history_.extract(refusal->request);
    if (!history.empty()) refused_by = history.mapped().refused_by;
    // Each data centre is tried once. Trying only those with free slots by
    // their last summary loses 0.8% of the goodput in the policy benchmark.
    if (refusal->reason == RefusalReason::kOverloaded &&
        ForwardElsewhere(output.request, std::move(refused_by), now)) {
      return;
    }
    DeliverRefusal({*refusal, output.attempt});
    return;
  }
  if (const auto* order = std::get_if<CancelOrder>(&output.output)) {
    orphans_cancelled_.Add();
    context_.to_serving(0, CancelOrdered{*order, pool.address});
    return;
  }
  const auto& notice = std::get<QuarantineNotice>(output.output);
  Log(LogLevel::kWarning, "endpoint_quarantined",
      {{"endpoint", notice.endpoint.value()},
       {"reason", notice.reason},
       {"for_ms", ToMilliseconds(notice.until - now)}});
}

void PoolService::DeliverGrant(const PlacementGranted& granted) {
  if (granted.grant.entry == context_.settings.instance) {
    const int task =
        ServingTaskOf(granted.grant.request, context_.settings.instance);
    if (task >= 0 && task < context_.serving_tasks)
      context_.to_serving(task, granted);
    return;
  }
  proto::Envelope envelope;
  *envelope.mutable_grant() =
      ToProto(granted.grant, granted.pool, granted.attempt);
  context_.send(granted.grant.entry, envelope);
}

void PoolService::DeliverRefusal(const PlacementRefused& refused) {
  if (refused.refusal.entry == context_.settings.instance) {
    const int task =
        ServingTaskOf(refused.refusal.request, context_.settings.instance);
    if (task >= 0 && task < context_.serving_tasks)
      context_.to_serving(task, refused);
    return;
  }
  proto::Envelope envelope;
  *envelope.mutable_route_refusal() = ToProto(refused.refusal, refused.attempt);
  context_.send(refused.refusal.entry, envelope);
}

void PoolService::Report(const PlacementProgress& message, Time now) {
  const proto::Progress progress =
      ToProto(message.request, message.pool.service, message.progress);
  const InstanceId owner = message.pool.owner.empty()
                               ? ownership_.Owner(message.pool.service)
                               : message.pool.owner;
  if (owner == context_.settings.instance) {
    ApplyProgress(progress, now);
    return;
  }
  proto::Envelope envelope;
  *envelope.mutable_progress() = progress;
  context_.send(owner, envelope);
}

void PoolService::ApplyProgress(const proto::Progress& progress, Time now) {
  const auto found = pools_.find(ServiceId(progress.service()));
  if (found == pools_.end()) return;
  PoolHost& host = *found->second.host;
  switch (progress.kind()) {
    case proto::Progress::PREFILL_FINISHED:
      host.OnPrefillFinished(IdOf(progress), now);
      break;
    case proto::Progress::FIRST_TOKEN:
      host.OnFirstToken(IdOf(progress), now);
      break;
    case proto::Progress::FINISHED:
      host.OnFinished(IdOf(progress), Tokens(progress.output_tokens()), now);
      break;
    case proto::Progress::FAILED:
      host.OnFailed(IdOf(progress), EndpointId(progress.endpoint()), now);
      break;
    case proto::Progress::CANCELLED:
      host.OnCancelled(IdOf(progress), now);
      break;
    case proto::Progress::CANCEL_UNCONFIRMED:
      host.OnCancelUnconfirmed(EndpointId(progress.endpoint()), now);
      break;
    default:
      malformed_.Add();
      return;
  }
  Dispatch(found->second, now);
}

void PoolService::ReportUnconfirmed(const CancelNotConfirmed& message,
                                    Time now) {
  proto::Progress progress;
  progress.set_kind(proto::Progress::CANCEL_UNCONFIRMED);
  progress.set_endpoint(message.endpoint.value());
  progress.set_service(message.pool.service.value());
  if (message.pool.owner == context_.settings.instance) {
    ApplyProgress(progress, now);
    return;
  }
  proto::Envelope envelope;
  *envelope.mutable_progress() = progress;
  context_.send(message.pool.owner, envelope);
}

void PoolService::Offer(const RequestOffered& message, Time now) {
  if (message.pool.owner == context_.settings.instance) {
    AdoptLocally(message.request, now);
    return;
  }
  proto::Envelope envelope;
  proto::Adopt* adopt = envelope.mutable_adopt();
  *adopt->mutable_request() = ToProto(message.request.request, now);
  adopt->set_stage(static_cast<int>(message.request.stage));
  adopt->set_prefill(message.request.prefill.value());
  adopt->set_decode(message.request.decode.value());
  context_.send(message.pool.owner, envelope);
}

void PoolService::AdoptLocally(const AdoptedRequest& request, Time now) {
  HostedPool* pool = HeldPool(request.request.service, now);
  if (pool == nullptr) return;
  pool->host->Adopt(request, now);
  Dispatch(*pool, now);
}

void PoolService::Announce(const proto::Announcement& announcement, Time now) {
  const InstanceId owner = ownership_.Owner(ServiceId(announcement.service()));
  if (owner == context_.settings.instance) {
    ApplyAnnouncement(announcement, now);
    return;
  }
  if (owner.empty()) return;
  proto::Envelope envelope;
  *envelope.mutable_announcement() = announcement;
  context_.send(owner, envelope);
}

void PoolService::ApplyAnnouncement(const proto::Announcement& announcement,
                                    Time now) {
  HostedPool* pool = HeldPool(ServiceId(announcement.service()), now);
  if (pool == nullptr) return;
  std::vector<CacheEvent> events;
  for (const proto::CacheEvent& event : announcement.cache_events()) {
    events.push_back({.endpoint = EndpointId(announcement.name()),
                      .sequence = event.sequence(),
                      .kind = event.removed() ? CacheEventKind::kRemoved
                                              : CacheEventKind::kStored,
                      .prefix_hash = event.prefix_hash()});
  }
  pool->host->Announce(EndpointInfoFromProto(announcement),
                       LoadReportFromProto(announcement), events, now);
  Dispatch(*pool, now);
}

bool PoolService::OnEnvelope(const proto::Envelope& envelope,
                             const InstanceId& sender, Time now) {
  switch (envelope.body_case()) {
    case proto::Envelope::kRouteRequest: {
      std::set<DataCentreId> refused_by;
      for (const std::string& name : envelope.route_request().passed_by()) {
        refused_by.insert(DataCentreId(name));
      }
      AdmitLocally(FromProto(envelope.route_request(), now),
                   std::move(refused_by), now);
      return true;
    }
    case proto::Envelope::kGrant:
      DeliverGrant(FromProto(envelope.grant()));
      return true;
    case proto::Envelope::kRouteRefusal:
      DeliverRefusal(FromProto(envelope.route_refusal()));
      return true;
    case proto::Envelope::kProgress:
      ApplyProgress(envelope.progress(), now);
      return true;
    case proto::Envelope::kAdopt: {
      AdoptedRequest adopted;
      adopted.request = FromProto(envelope.adopt().request(), now);
      adopted.stage = static_cast<RequestStage>(
          std::clamp(envelope.adopt().stage(), 0,
                     static_cast<int>(RequestStage::kDecode)));
      adopted.prefill = EndpointId(envelope.adopt().prefill());
      adopted.decode = EndpointId(envelope.adopt().decode());
      AdoptLocally(adopted, now);
      return true;
    }
    case proto::Envelope::kAnnouncement:
      ApplyAnnouncement(envelope.announcement(), now);
      return true;
    case proto::Envelope::kOwnership: {
      proto::OwnershipMessage message;
      if (!message.ParseFromString(envelope.ownership())) {
        malformed_.Add();
        return true;
      }
      ownership_.OnMessage(sender, message, now);
      DispatchOwnership(now);
      return true;
    }
    case proto::Envelope::kPoolSummary:
      OnPoolSummary(envelope.pool_summary(), sender, now);
      return true;
    default:
      return false;
  }
}

proto::PoolSummary PoolService::SummaryOf(const HostedPool& pool,
                                          Time now) const {
  proto::PoolSummary summary;
  summary.set_data_centre(context_.settings.data_centre.value());
  summary.set_service(pool.address.service.value());
  summary.set_queued(pool.host->queued());
  summary.set_endpoints(pool.host->live_endpoints());
  int free_slots = 0;
  for (const EndpointRow& row : pool.host->policy().Endpoints(now)) {
    if (row.info.role == EndpointRole::kPrefill || row.info.departing) continue;
    free_slots += std::max(0, row.info.slots - row.running - row.reserved);
  }
  summary.set_free_slots(free_slots);
  return summary;
}

void PoolService::SendSummaries(Time now) {
  if (now - last_summary_at_ < kSummaryPeriod) return;
  last_summary_at_ = now;
  for (auto& [service, pool] : pools_) {
    if (!ownership_.HeldEpoch(service, now).has_value()) continue;
    proto::Envelope envelope;
    *envelope.mutable_pool_summary() = SummaryOf(pool, now);
    const bool changed = envelope.pool_summary().SerializeAsString() !=
                         pool.summary.SerializeAsString();
    const bool broadcast =
        now - pool.summary_broadcast >= kSummaryBroadcastPeriod;
    if (!changed && !broadcast && now - pool.summary_sent < kSummaryRefresh) {
      continue;
    }
    pool.summary = envelope.pool_summary();
    pool.summary_sent = now;
    if (broadcast) pool.summary_broadcast = now;
    // Only owners forward requests; the other instances get the summary less
    // often, since any of them may become an owner.
    for (const InstanceId& instance :
         broadcast ? remote_instances_
                   : remote_pools_.Owners(service, 2 * kSummaryBroadcastPeriod,
                                          now)) {
      context_.send(instance, envelope);
    }
  }
}

void PoolService::OnPoolSummary(const proto::PoolSummary& summary,
                                const InstanceId& sender, Time now) {
  const auto [remote, owner_changed] =
      remote_pools_.Update(summary, sender, now);
  if (owner_changed) NotifyServingTasks(remote.address);
}

void PoolService::RequestSessions(Time now) {
  if (now - last_sessions_at_ < kSessionsPeriod) return;
  last_sessions_at_ = now;
  for (const auto& [service, pool] : pools_) {
    for (const EndpointRow& row : pool.host->policy().Endpoints(now)) {
      if (row.info.role == EndpointRole::kPlain) continue;
      context_.to_serving(
          0, SessionsRequested{row.info.id, row.info.url, service});
    }
  }
}

void PoolService::OnSessions(const SessionsListed& message, Time now) {
  const auto found = pools_.find(message.service);
  if (found == pools_.end()) return;
  found->second.host->OnSessions(
      message.endpoint, message.requests,
      [this](const RequestId& request) {
        return reachable_.contains(EntryOf(request));
      },
      now);
  Dispatch(found->second, now);
}

void PoolService::Tick(Time now) {
  if (now >= ownership_.NextWakeup()) {
    ownership_.Tick(now);
    DispatchOwnership(now);
  }
  SendSummaries(now);
  RequestSessions(now);
  for (auto& [service, pool] : pools_) {
    // An owner whose lease has expired must not place requests.
    if (HeldPool(service, now) == nullptr) continue;
    pool.host->Tick(now);
    Dispatch(pool, now);
  }
  std::erase_if(refusal_history_, [now](const auto& item) {
    return now - item.second.since > kRefusalHistoryMaxAge;
  });
}

ServiceId PoolService::ServiceOf(const EndpointId& endpoint, Time now) const {
  for (const auto& [service, pool] : pools_) {
    for (const EndpointRow& row : pool.host->policy().Endpoints(now)) {
      if (row.info.id == endpoint) return service;
    }
  }
  return {};
}

std::vector<Row> PoolService::EndpointRows(Time now) const {
  std::vector<Row> rows;
  for (const auto& [service, pool] : pools_) {
    AppendEndpointRows(pool.address, *pool.host, now, &rows);
  }
  return rows;
}

std::vector<Row> PoolService::OwnerRows(Time now) const {
  std::vector<Row> rows;
  for (const auto& [service, pool] : pools_) {
    Row row = OwnerRow(pool.address, *pool.host, now);
    for (const OwnershipRow& owned : ownership_.Pools(now)) {
      if (owned.pool.service == service) row.Set("lease", owned.lease_left);
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

nlohmann::json PoolService::Dump(Time now) const {
  nlohmann::json pools = nlohmann::json::array();
  for (const auto& [service, pool] : pools_) {
    pools.push_back(DumpPool(pool.address, *pool.host, now));
  }
  return pools;
}

}  // namespace cassiausher
