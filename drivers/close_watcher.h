// Detects that the remote end has closed a connection while the HTTP server
// isn't reading from it. One epoll descriptor covers all connections, so that
// GLib's poll set doesn't grow with the number of open streams.
#ifndef DRIVERS_CLOSE_WATCHER_H_
#define DRIVERS_CLOSE_WATCHER_H_

#include <glib.h>

#include <cstdint>
#include <functional>
#include <unordered_map>

#include "drivers/gobject_ptr.h"

namespace cassiausher {

/// Belongs to the task that runs `context`. A connection that the remote end
/// has half-closed (shut down for sending) counts as closed.
class CloseWatcher {
 public:
  explicit CloseWatcher(GMainContext* context);
  ~CloseWatcher();
  CloseWatcher(const CloseWatcher&) = delete;
  CloseWatcher& operator=(const CloseWatcher&) = delete;

  /// Calls `on_close` once, when the connection is closed. The descriptor must
  /// stay open until then or until Remove().
  void Add(int descriptor, std::function<void()> on_close);
  void Remove(int descriptor);

 private:
  void Dispatch();

  int epoll_ = -1;
  GSourcePtr source_;
  std::unordered_map<int, std::function<void()>> callbacks_;
};

}  // namespace cassiausher

#endif  // DRIVERS_CLOSE_WATCHER_H_
