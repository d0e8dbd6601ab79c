// Shares of the routes in the traffic of one service, so that in overload the
// requests of a small route aren't crowded out by a large one.
#ifndef SERVERS_ENTRY_ROUTE_SHARES_H_
#define SERVERS_ENTRY_ROUTE_SHARES_H_

#include <map>
#include <string>

#include "core/time.h"

namespace cassiausher {

/// Not thread safe.
class RouteShares {
 public:
  void OnRequest(const std::string& route, Time now);

  /// Whether the route has less than half of an equal share of the requests
  /// lately seen. False while few were seen.
  bool IsSmall(const std::string& route, Time now) const;

 private:
  struct Count {
    double weight = 0;
    Time at{};
  };

  static double Decayed(const Count& count, Time now);

  /// Requests by route; older ones weigh less.
  std::map<std::string, Count> counts_;
};

}  // namespace cassiausher

#endif  // SERVERS_ENTRY_ROUTE_SHARES_H_
