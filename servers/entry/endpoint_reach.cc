#include "servers/entry/endpoint_reach.h"

#include <algorithm>
#include <utility>

namespace cassiausher {

void EndpointReach::OnConnected(const EndpointRecord& endpoint, Time began) {
  const auto found = services_.find(endpoint.service);
  if (found == services_.end()) return;
  ServiceReach& state = found->second;
  // A connection from before the failures says nothing of the present.
  if (began >= state.all.began) state.all = {};
  const auto role = state.by_role.find(endpoint.role);
  if (role != state.by_role.end() && began >= role->second.began) {
    state.by_role.erase(role);
  }
  if (ReachOf(endpoint.service, state) == Reach::kReached) {
    state.out_of_reach_since.reset();
  }
  if (state.all.count == 0 && state.by_role.empty()) services_.erase(found);
}

void EndpointReach::OnUnreachable(const EndpointRecord& endpoint, Time now) {
  ServiceReach& state = services_[endpoint.service];
  for (Failures* failures : {&state.all, &state.by_role[endpoint.role]}) {
    if (failures->count == 0) failures->began = now;
    ++failures->count;
    failures->endpoints.insert(endpoint.id);
  }
  if (state.out_of_reach_since.has_value()) return;
  if (ReachOf(endpoint.service, state) == Reach::kReached) return;
  state.out_of_reach_since = now;
}

bool EndpointReach::IsBroken(const Failures& failures,
                             std::size_t known) const {
  const std::size_t needed =
      std::max<std::size_t>(1, std::min(known, options_.min_endpoints));
  return failures.count >= options_.min_failures &&
         failures.endpoints.size() >= needed;
}

Reach EndpointReach::ReachOf(const ServiceId& service,
                             const ServiceReach& state) const {
  if (IsBroken(state.all,
               pool_->ReadyEndpoints(service, std::nullopt).size())) {
    return Reach::kNone;
  }
  Reach reach = Reach::kReached;
  for (const auto& [role, failures] : state.by_role) {
    if (!IsBroken(failures, pool_->ReadyEndpoints(service, role).size())) {
      continue;
    }
    if (role != EndpointRole::kPrefill) return Reach::kNone;
    reach = Reach::kWithoutPrefill;
  }
  return reach;
}

Reach EndpointReach::Of(const ServiceId& service) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return Reach::kReached;
  return ReachOf(service, found->second);
}

std::optional<Time> EndpointReach::OutOfReachSince(
    const ServiceId& service) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return std::nullopt;
  return found->second.out_of_reach_since;
}

std::vector<std::pair<EndpointReach::Endpoints, const EndpointReach::Failures*>>
EndpointReach::BrokenParts(const ServiceId& service,
                           const ServiceReach& state) const {
  std::vector<std::pair<Endpoints, const Failures*>> parts;
  Endpoints all = pool_->ReadyEndpoints(service, std::nullopt);
  if (IsBroken(state.all, all.size())) {
    parts.emplace_back(std::move(all), &state.all);
  }
  for (const auto& [role, failures] : state.by_role) {
    Endpoints endpoints = pool_->ReadyEndpoints(service, role);
    if (!IsBroken(failures, endpoints.size())) continue;
    parts.emplace_back(std::move(endpoints), &failures);
  }
  return parts;
}

bool EndpointReach::HasUntried(const ServiceId& service) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return true;
  const auto parts = BrokenParts(service, found->second);
  return std::any_of(parts.begin(), parts.end(), [](const auto& part) {
    return std::any_of(part.first.begin(), part.first.end(),
                       [&](const EndpointRecord* endpoint) {
                         return !part.second->endpoints.contains(endpoint->id);
                       });
  });
}

std::set<ServiceId> EndpointReach::OutOfReach() const {
  std::set<ServiceId> services;
  for (const auto& [service, state] : services_) {
    if (ReachOf(service, state) != Reach::kReached) services.insert(service);
  }
  return services;
}

std::set<ServiceId> EndpointReach::Doubtful() const {
  std::set<ServiceId> services;
  for (const auto& [service, state] : services_) services.insert(service);
  return services;
}

std::vector<EndpointRecord> EndpointReach::ToTry(
    const ServiceId& service) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return {};
  std::vector<EndpointRecord> endpoints;
  for (const auto& [part, failures] : BrokenParts(service, found->second)) {
    for (const EndpointRecord* endpoint : part) endpoints.push_back(*endpoint);
  }
  return endpoints;
}

}  // namespace cassiausher
