// Notices that the far end of a connection has closed it while the HTTP server
// isn't reading from it. One epoll descriptor serves all connections, so that
// GLib's poll set doesn't grow with open streams.
#ifndef DRIVERS_CLOSE_WATCHER_H_
#define DRIVERS_CLOSE_WATCHER_H_

#include <glib.h>

#include <cstdint>
#include <functional>
#include <unordered_map>

#include "drivers/gobject_ptr.h"

namespace cassiausher {

/// Belongs to the task whose context it is given. A far end that closes only
/// its sending side counts as gone.
class CloseWatcher {
 public:
  explicit CloseWatcher(GMainContext* context);
  ~CloseWatcher();
  CloseWatcher(const CloseWatcher&) = delete;
  CloseWatcher& operator=(const CloseWatcher&) = delete;

  /// Calls `on_close` once. The file descriptor must stay open until Remove.
  void Add(int descriptor, std::function<void()> on_close);
  void Remove(int descriptor);

 private:
  void Dispatch();

  int epoll_ = -1;
  GSourcePtr source_;
  std::unordered_map<int, std::function<void()>> watched_;
};

}  // namespace cassiausher

#endif  // DRIVERS_CLOSE_WATCHER_H_
