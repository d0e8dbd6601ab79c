// Keeps descriptors free while callers open more connections than the process
// may have: the connection that waits for longest without a request makes way.
#ifndef DRIVERS_CONNECTION_LIMITER_H_
#define DRIVERS_CONNECTION_LIMITER_H_

#include <libsoup/soup.h>

#include <cstddef>
#include <functional>
#include <limits>
#include <list>
#include <unordered_map>
#include <vector>

#include "core/metrics.h"
#include "drivers/gobject_ptr.h"

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
  /// Whether no request has begun on the connection and no answer is due.
  using IdleFunction = std::function<bool(SoupServerMessage*)>;

  ConnectionLimiter(GMainContext* context, ConnectionLimiterOptions options,
                    IdleFunction is_idle);
  ~ConnectionLimiter();
  ConnectionLimiter(const ConnectionLimiter&) = delete;
  ConnectionLimiter& operator=(const ConnectionLimiter&) = delete;

  /// A connection is new, or waits for its next request, which `message` will
  /// hold. Beyond the limit a connection is ended, if need be this one.
  void OnWaiting(SoupServerMessage* message);
  /// A request was answered in full. libsoup tells of the next one once its
  /// first bytes come, so the connection waits from now on without a message.
  void OnAnswered(GSocket* socket);
  /// Ends the connection that waits for longest. Returns whether there was one.
  bool EndLongestIdle();

 private:
  struct Connection {
    GSocket* socket = nullptr;
    SoupServerMessage* message = nullptr;
    /// Its request was answered, and the next one hasn't begun.
    bool is_kept = false;
  };
  using Connections = std::list<Connection>;

  static void OnSocketFinalized(gpointer self, GObject* socket);
  static void OnMessageFinalized(gpointer self, GObject* message);
  /// Learns from the descriptor of a new connection how many there may be.
  void Learn(int descriptor);
  void End(GSocket* socket);
  /// An exchange may hold an earlier message than the connection's last.
  void ForgetMessages(Connections::iterator connection);
  void CloseEnded();
  bool IsIdle(const Connection& connection) const;

  GMainContext* context_;
  ConnectionLimiterOptions options_;
  IdleFunction is_idle_;
  /// The connection that began to wait first comes first. Holds weak references
  /// to sockets and messages; `message` is null once it has gone.
  Connections connections_;
  std::unordered_map<GSocket*, Connections::iterator> by_socket_;
  std::unordered_map<SoupServerMessage*, Connections::iterator> by_message_;
  /// Closed in the next iteration, when libsoup isn't busy with them.
  std::vector<GObjectPtr<GSocket>> ended_;
  /// As many connections as there were when descriptors became few. The numbers
  /// of new ones alone don't tell: they are low once others were closed.
  std::size_t max_connections_ = std::numeric_limits<std::size_t>::max();
  GSourcePtr close_timer_;
};

}  // namespace cassiausher

#endif  // DRIVERS_CONNECTION_LIMITER_H_
