// Ranks requests of a service by urgency: by the priority of their client
// account if it has one, else of their route, and among equals by their route.
#ifndef SERVERS_ACCOUNTS_PRIORITY_RANKS_H_
#define SERVERS_ACCOUNTS_PRIORITY_RANKS_H_

#include <map>
#include <optional>
#include <set>

#include "core/ids.h"

namespace cassiausher {

/// How urgent a request is among those of its service.
struct UrgencyRank {
  /// 0 is the most urgent.
  int rank = 0;
  /// Rank of the least urgent requests of the service; more than 0.
  int lowest = 1;
};

class PriorityRanks {
 public:
  void AddRoute(const ServiceId& service, int priority);
  void AddAccount(std::optional<int> priority);

  /// Null if all requests of the service are equally urgent.
  std::optional<UrgencyRank> RankOf(const ServiceId& service,
                                    std::optional<int> account,
                                    int route) const;

 private:
  std::map<ServiceId, std::set<int>> routes_;
  std::set<int> accounts_;
  bool has_accounts_ = false;
  bool has_account_without_priority_ = false;
};

}  // namespace cassiausher

#endif  // SERVERS_ACCOUNTS_PRIORITY_RANKS_H_
