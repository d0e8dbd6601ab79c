// An entry instance that reaches no endpoint of a service relays its callers'
// requests to another entry instance, its helper, which serves them as its own.
#ifndef SERVERS_RELAY_RELAY_TYPES_H_
#define SERVERS_RELAY_RELAY_TYPES_H_

#include <cstdint>
#include <string>

#include "core/strong_number.h"

namespace cassiausher {

/// Drawn by each process of an entry instance. A helper serves only requests
/// that carry its own, which control instances tell to those that need it.
using RelayToken = StrongNumber<struct RelayTokenTag, std::uint64_t>;

/// An entry instance that serves the requests of others.
struct RelayHelper {
  /// "IP:PORT" of its listener for other instances.
  std::string address;
  RelayToken token{0};

  bool operator==(const RelayHelper&) const = default;
};

}  // namespace cassiausher

#endif  // SERVERS_RELAY_RELAY_TYPES_H_
