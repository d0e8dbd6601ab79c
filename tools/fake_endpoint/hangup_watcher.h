// Reports clients that close their connections, using one GLib event source for
// all connections.
#ifndef TOOLS_FAKE_ENDPOINT_HANGUP_WATCHER_H_
#define TOOLS_FAKE_ENDPOINT_HANGUP_WATCHER_H_

#include <glib.h>

#include <functional>
#include <unordered_map>

namespace cassiausher {

/// With a GLib source per connection, each main loop iteration would take time
/// linear in the number of open connections; epoll avoids that. Not
/// thread-safe: use it on the thread that first called Instance(), whose
/// thread-default main context runs the callbacks.
class HangupWatcher {
 public:
  static HangupWatcher& Instance();

  /// Calls `on_closed` once, when the peer of `fd` closes its end.
  void Watch(int fd, std::function<void()> on_closed);
  /// Stops watching `fd`; does nothing when it is not watched.
  void Unwatch(int fd);

 private:
  HangupWatcher();
  void OnEvents();

  int epoll_fd_;
  std::unordered_map<int, std::function<void()>> watched_;
};

}  // namespace cassiausher

#endif  // TOOLS_FAKE_ENDPOINT_HANGUP_WATCHER_H_
