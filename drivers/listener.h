// Accepts the connections of a listening socket, and goes on after it was
// without descriptors for them.
#ifndef DRIVERS_LISTENER_H_
#define DRIVERS_LISTENER_H_

#include <gio/gio.h>

#include <functional>

#include "drivers/gobject_ptr.h"

namespace cassiausher {

/// Belongs to the task that runs `context`. Closes the socket when it is
/// destroyed.
class Listener {
 public:
  struct Callbacks {
    /// Returns whether another one may follow at once, before other work.
    std::function<bool(GObjectPtr<GSocket>)> on_connection;
    /// There is no descriptor for another connection.
    std::function<void()> on_exhausted;
  };

  /// `socket` listens.
  Listener(GMainContext* context, GObjectPtr<GSocket> socket,
           Callbacks callbacks);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

 private:
  void Watch();
  void Accept();
  /// Tries again after some time.
  void Pause();

  GMainContext* context_;
  GObjectPtr<GSocket> socket_;
  Callbacks callbacks_;
  GSourcePtr source_;
  GSourcePtr pause_;
};

}  // namespace cassiausher

#endif  // DRIVERS_LISTENER_H_
