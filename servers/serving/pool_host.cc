#include "servers/serving/pool_host.h"

#include <utility>

namespace cassiausher {

PoolHost::PoolHost(std::unique_ptr<RoutingPolicy> policy,
                   PoolHostOptions options)
    : policy_(std::move(policy)),
      options_(std::move(options)),
      directory_(options_.directory) {}

void PoolHost::Announce(const EndpointInfo& info, const LoadReport& report,
                        const std::vector<CacheEvent>& events, Time now) {
  if (!directory_.Announce(info, now)) return;
  DispatchDirectory(now);
  const auto credible = directory_.Report(report, now);
  if (credible.has_value()) policy_->Report(*credible, now);
  for (const CacheEvent& event : events) policy_->OnCacheEvent(event, now);
  CollectOutputs();
}

void PoolHost::SetDrained(const std::set<EndpointId>& drained, Time now) {
  directory_.SetDrained(drained, now);
  DispatchDirectory(now);
  CollectOutputs();
}

void PoolHost::DispatchDirectory(Time now) {
  for (EndpointEvent& event : directory_.TakeEvents()) {
    switch (event.kind) {
      case EndpointEventKind::kUpserted:
      case EndpointEventKind::kAlive:
        policy_->UpsertEndpoint(event.info, now);
        break;
      case EndpointEventKind::kSuspect:
        // It may have failed: no new work until its next announcement.
        event.info.departing = true;
        policy_->UpsertEndpoint(event.info, now);
        break;
      case EndpointEventKind::kRestarted:
        policy_->RemoveEndpoint(event.info.id, now);
        policy_->UpsertEndpoint(event.info, now);
        break;
      case EndpointEventKind::kDeparted:
      case EndpointEventKind::kDead:
        policy_->RemoveEndpoint(event.info.id, now);
        break;
    }
  }
  live_endpoints_ = 0;
  for (const DirectoryRow& row : directory_.Endpoints()) {
    const bool present = row.state == EndpointState::kAlive ||
                         row.state == EndpointState::kSuspect;
    if (present) ++live_endpoints_;
  }
}

void PoolHost::Admit(const RouteRequest& request, Time now) {
  const auto found = placements_.find(request.id);
  if (found != placements_.end()) {
    Placement& placement = found->second;
    if (request.attempt < placement.request.attempt) return;
    if (request.attempt == placement.request.attempt) {
      if (placement.granted) {
        outputs_.push_back({placement.grant, request.attempt, {}});
      }
      return;
    }
    // The report that the earlier attempt failed was lost.
    OnCancelled(request.id, now);
  }
  placements_[request.id].request = request;
  ++queued_;
  policy_->Admit(request, now);
  CollectOutputs();
}

void PoolHost::Adopt(const AdoptedRequest& request, Time now) {
  if (placements_.contains(request.request.id)) return;
  Placement& placement = placements_[request.request.id];
  placement.request = request.request;
  placement.granted = true;
  placement.grant.request = request.request.id;
  placement.grant.entry = request.request.entry;
  placement.grant.prefill = request.prefill;
  placement.grant.decode = request.decode;
  policy_->Adopt(request, now);
  CollectOutputs();
}

void PoolHost::OnPrefillFinished(const RequestId& request, Time now) {
  if (!placements_.contains(request)) return;
  policy_->OnPrefillFinished(request, now);
  CollectOutputs();
}

void PoolHost::OnFirstToken(const RequestId& request, Time now) {
  if (!placements_.contains(request)) return;
  policy_->OnFirstToken(request, now);
  CollectOutputs();
}

void PoolHost::OnFinished(const RequestId& request, Tokens output_tokens,
                          Time now) {
  if (!placements_.contains(request)) return;
  ErasePlacement(request);
  policy_->OnFinished(request, output_tokens, now);
  CollectOutputs();
}

void PoolHost::OnFailed(const RequestId& request, const EndpointId& endpoint,
                        Time now) {
  if (!placements_.contains(request)) return;
  ErasePlacement(request);
  policy_->OnFailed(request, endpoint, now);
  CollectOutputs();
}

void PoolHost::OnCancelled(const RequestId& request, Time now) {
  if (!placements_.contains(request)) return;
  ErasePlacement(request);
  policy_->OnCancelled(request, now);
  CollectOutputs();
}

void PoolHost::OnEntryLost(const InstanceId& entry, Time now) {
  std::vector<RequestId> lost;
  for (const auto& [id, placement] : placements_) {
    if (placement.request.entry == entry) lost.push_back(id);
  }
  for (const RequestId& id : lost) ErasePlacement(id);
  policy_->OnEntryLost(entry, now);
  CollectOutputs();
}

void PoolHost::OnCancelUnconfirmed(const EndpointId& endpoint, Time now) {
  policy_->OnCancelUnconfirmed(endpoint, now);
  CollectOutputs();
}

std::string PoolHost::UrlOf(const EndpointId& endpoint) const {
  for (const DirectoryRow& row : directory_.Endpoints()) {
    if (row.info.id == endpoint) return row.info.url;
  }
  return {};
}

void PoolHost::OnSessions(
    const EndpointId& endpoint, const std::vector<RequestId>& sessions,
    const std::function<bool(const RequestId&)>& entry_is_live, Time now) {
  const std::string url = UrlOf(endpoint);
  if (url.empty()) return;
  std::map<std::pair<EndpointId, RequestId>, Time> still_orphans;
  for (const RequestId& session : sessions) {
    const auto placement = placements_.find(session);
    const bool placed_here = placement != placements_.end() &&
                             placement->second.granted &&
                             (placement->second.grant.prefill == endpoint ||
                              placement->second.grant.decode == endpoint);
    if (placed_here) continue;
    const std::pair key(endpoint, session);
    const auto seen = orphans_.find(key);
    const Time first = seen == orphans_.end() ? now : seen->second;
    const Duration grace = entry_is_live(session)
                               ? options_.orphan_grace
                               : options_.lost_entry_orphan_grace;
    if (now - first < grace) {
      still_orphans[key] = first;
      continue;
    }
    outputs_.push_back(
        {CancelOrder{.request = session, .endpoint = endpoint, .url = url},
         0,
         {}});
    // The order is repeated if the next list still has the session.
    still_orphans[key] = first;
  }
  std::erase_if(orphans_,
                [&](const auto& item) { return item.first.first == endpoint; });
  orphans_.merge(still_orphans);
}

void PoolHost::Tick(Time now) {
  if (now >= directory_.NextWakeup()) {
    directory_.Tick(now);
    DispatchDirectory(now);
  }
  policy_->Tick(now);
  CollectOutputs();
}

void PoolHost::ErasePlacement(const RequestId& request) {
  const auto found = placements_.find(request);
  if (found == placements_.end()) return;
  if (!found->second.granted) --queued_;
  placements_.erase(found);
}

void PoolHost::CollectOutputs() {
  for (RouteOutput& output : policy_->TakeOutputs()) {
    int attempt = 0;
    RouteRequest request;
    if (const auto* grant = std::get_if<Grant>(&output)) {
      const auto found = placements_.find(grant->request);
      if (found == placements_.end()) continue;
      Placement& placement = found->second;
      attempt = placement.request.attempt;
      if (!placement.granted) --queued_;
      placement.granted = true;
      placement.grant = *grant;
    } else if (const auto* refusal = std::get_if<RouteRefusal>(&output)) {
      const auto found = placements_.find(refusal->request);
      if (found == placements_.end()) continue;
      request = found->second.request;
      attempt = request.attempt;
      ErasePlacement(refusal->request);
    }
    outputs_.push_back({std::move(output), attempt, std::move(request)});
  }
}

std::vector<PoolOutput> PoolHost::TakeOutputs() {
  return std::exchange(outputs_, {});
}

const RouteRequest* PoolHost::Find(const RequestId& request) const {
  const auto found = placements_.find(request);
  return found == placements_.end() ? nullptr : &found->second.request;
}

}  // namespace cassiausher
