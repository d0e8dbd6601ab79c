// Tracks each route's share of a service's requests, so that a high-volume
// route doesn't starve a low-volume one under overload.
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

  /// Whether the route's share of recent requests is below half of an equal
  /// share. False while there are too few requests or only one route.
  bool IsSmall(const std::string& route, Time now) const;

 private:
  struct Count {
    double weight = 0;
    Time updated_at{};
  };

  /// The weight at `now`.
  static double Decayed(const Count& count, Time now);

  /// Exponentially decayed request counts by route.
  std::map<std::string, Count> counts_;
};

}  // namespace cassiausher

#endif  // SERVERS_ENTRY_ROUTE_SHARES_H_
