#include "servers/accounts/priority_ranks.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cassiausher {

void PriorityRanks::AddRoute(const ServiceId& service, int priority) {
  routes_[service].insert(priority);
}

void PriorityRanks::AddAccount(std::optional<int> priority) {
  has_accounts_ = true;
  has_account_without_priority_ |= !priority.has_value();
  if (priority.has_value()) accounts_.insert(*priority);
}

std::optional<UrgencyRank> PriorityRanks::RankOf(const ServiceId& service,
                                                 std::optional<int> account,
                                                 int route) const {
  const auto found = routes_.find(service);
  if (found == routes_.end()) return std::nullopt;
  const bool by_route = !has_accounts_ || has_account_without_priority_;
  std::set<std::pair<int, int>> all;
  for (const int priority : found->second) {
    if (by_route) all.emplace(priority, priority);
    for (const int of_account : accounts_) all.emplace(of_account, priority);
  }
  if (all.size() < 2) return std::nullopt;
  const auto at = all.lower_bound({account.value_or(route), route});
  const int lowest = static_cast<int>(all.size()) - 1;
  const int rank = static_cast<int>(std::distance(all.begin(), at));
  return UrgencyRank{.rank = std::min(rank, lowest), .lowest = lowest};
}

}  // namespace cassiausher
