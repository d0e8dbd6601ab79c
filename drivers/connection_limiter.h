// Keeps descriptors free while callers open more connections than the process
// may have: the connection that waits for longest without a request makes way.
#ifndef DRIVERS_CONNECTION_LIMITER_H_
#define DRIVERS_CONNECTION_LIMITER_H_

#include <cstddef>
#include <limits>
#include <list>
#include <unordered_map>

#include "core/metrics.h"
#include "drivers/client_connection.h"

namespace cassiausher {

struct ConnectionLimiterOptions {
  /// The kernel gives out the lowest free descriptor, so one of this number or
  /// above tells that too many are in use. 0 for no limit.
  int max_descriptor = 0;
  /// Counts the connections that were closed; null for nowhere.
  Metrics* metrics = nullptr;
};

/// Belongs to the task of its server.
class ConnectionLimiter {
 public:
  explicit ConnectionLimiter(ConnectionLimiterOptions options)
      : options_(options) {}
  ConnectionLimiter(const ConnectionLimiter&) = delete;
  ConnectionLimiter& operator=(const ConnectionLimiter&) = delete;

  /// A connection is new. Beyond the limit one is ended, if need be this one;
  /// returns whether it was within the limit. What was ended keeps its
  /// descriptor until the library has closed it, in a later turn of the loop.
  bool OnOpened(ClientConnection* connection);
  /// The connection waits for its next request from now on.
  void OnAnswered(ClientConnection* connection);
  void OnClosed(ClientConnection* connection);
  /// Ends the connection that waits for longest: no request is read from it any
  /// more, and the library closes it. Returns whether there was one.
  bool EndLongestIdle();

 private:
  using Connections = std::list<ClientConnection*>;

  /// Learns from the descriptor of a new connection how many there may be.
  void Learn(int descriptor);
  void Forget(Connections::iterator connection);

  ConnectionLimiterOptions options_;
  /// Open ones; the one that began to wait first comes first.
  Connections connections_;
  std::unordered_map<ClientConnection*, Connections::iterator> places_;
  /// As many connections as there were when descriptors became few. The numbers
  /// of new ones alone don't tell: they are low once others were closed.
  std::size_t max_connections_ = std::numeric_limits<std::size_t>::max();
};

}  // namespace cassiausher

#endif  // DRIVERS_CONNECTION_LIMITER_H_
