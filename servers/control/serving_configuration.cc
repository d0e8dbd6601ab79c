#include "servers/control/serving_configuration.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <set>
#include <utility>

#include "core/host_name.h"

namespace cassiausher {
namespace {

// Weights of so many targets as a document can have add up without overflow.
constexpr std::int64_t kMaxWeight = std::numeric_limits<std::int32_t>::max();

void ValidateRoute(const Route& route,
                   const std::map<ServiceId, ServiceSpec>& services,
                   const std::string& place, Findings* findings) {
  if (route.timeout <= Duration(0)) {
    findings->Add(place, "the timeout is 0");
  }
  std::int64_t total_weight = 0;
  for (const RouteTarget& target : route.targets) {
    if (target.weight < 0) {
      findings->Add(place, "a weight is negative");
    } else if (target.weight > kMaxWeight) {
      findings->Add(place, "a weight is above " + std::to_string(kMaxWeight));
    } else {
      total_weight += target.weight;
    }
    if (!services.contains(target.service)) {
      findings->Add(place, "unknown service " + target.service.value());
    }
  }
  if (total_weight <= 0) findings->Add(place, "the weights add up to 0");
}

void ValidateAccounts(const std::vector<ClientAccount>& accounts,
                      Findings* findings) {
  std::set<AccountId> ids;
  std::set<std::string> keys;
  for (std::size_t i = 0; i < accounts.size(); ++i) {
    const ClientAccount& account = accounts[i];
    const std::string place =
        "account " + std::to_string(i) + " " + account.id.value();
    if (account.id.empty()) findings->Add(place, "the name is empty");
    if (!ids.insert(account.id).second) {
      findings->Add(place, "another account has the same name");
    }
    for (std::size_t k = 0; k < account.keys.size(); ++k) {
      // The key itself is a secret and stays out of the finding.
      const std::string key_place = place + " key " + std::to_string(k);
      if (account.keys[k].empty()) findings->Add(key_place, "is empty");
      if (!keys.insert(account.keys[k]).second) {
        findings->Add(key_place, "is listed twice");
      }
    }
  }
}

bool StartsWith(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

}  // namespace

Findings Validate(const ServingConfiguration& configuration) {
  Findings findings;
  std::set<std::pair<std::string, std::string>> host_prefixes;
  for (std::size_t i = 0; i < configuration.routes.size(); ++i) {
    const Route& route = configuration.routes[i];
    const std::string place = "route " + std::to_string(i) + " " + route.name;
    ValidateRoute(route, configuration.services, place, &findings);
    if (!host_prefixes.emplace(CanonicalHost(route.host), route.path_prefix)
             .second) {
      findings.Add(place, "another route has the same host and prefix");
    }
  }
  if (configuration.accounts.has_value()) {
    ValidateAccounts(*configuration.accounts, &findings);
  }
  return findings;
}

RouteTable::RouteTable(ServingConfiguration configuration,
                       std::uint64_t key_seed)
    : configuration_(std::move(configuration)),
      accounts_(configuration_.accounts.value_or(std::vector<ClientAccount>()),
                key_seed) {
  const std::vector<Route>& routes = configuration_.routes;
  for (std::size_t i = 0; i < routes.size(); ++i) {
    by_host_[CanonicalHost(routes[i].host)].push_back(i);
    for (const RouteTarget& target : routes[i].targets) {
      priority_ranks_.AddRoute(target.service, routes[i].priority);
    }
  }
  for (const ClientAccount& account : accounts_.accounts()) {
    priority_ranks_.AddAccount(account.priority);
  }
  for (auto& [host, indices] : by_host_) {
    std::stable_sort(
        indices.begin(), indices.end(), [&](std::size_t a, std::size_t b) {
          return routes[a].path_prefix.size() > routes[b].path_prefix.size();
        });
  }
}

const Route* RouteTable::Find(std::string_view host,
                              std::string_view path) const {
  const auto found = by_host_.find(CanonicalHost(host));
  if (found == by_host_.end()) return nullptr;
  for (const std::size_t index : found->second) {
    const Route& route = configuration_.routes[index];
    if (StartsWith(path, route.path_prefix)) return &route;
  }
  return nullptr;
}

const RouteTarget& PickTarget(const Route& route, double draw) {
  std::int64_t total_weight = 0;
  for (const RouteTarget& target : route.targets) total_weight += target.weight;
  double remaining = draw * static_cast<double>(total_weight);
  const RouteTarget* last_weighted = &route.targets.front();
  for (const RouteTarget& target : route.targets) {
    if (target.weight <= 0) continue;
    last_weighted = &target;
    remaining -= static_cast<double>(target.weight);
    if (remaining < 0) return target;
  }
  return *last_weighted;
}

}  // namespace cassiausher
