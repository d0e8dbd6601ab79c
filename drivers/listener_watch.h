// Notices that nobody accepts the connections of a listening socket any more:
// libsoup stops for good when an accept fails, as it does without descriptors.
#ifndef DRIVERS_LISTENER_WATCH_H_
#define DRIVERS_LISTENER_WATCH_H_

#include <glib.h>

#include <functional>

#include "drivers/gobject_ptr.h"

namespace cassiausher {

/// Belongs to the task that runs `context`.
class ListenerWatch {
 public:
  struct Callbacks {
    /// Accepts connections again.
    std::function<void()> resume;
    /// There is no descriptor for another connection.
    std::function<void()> on_exhausted;
  };

  /// `descriptor` listens, and is accepted from at the default priority.
  ListenerWatch(GMainContext* context, int descriptor, Callbacks callbacks);

 private:
  void Watch();
  void OnUnattended();

  GMainContext* context_;
  int descriptor_;
  Callbacks callbacks_;
  GSourcePtr source_;
  GSourcePtr pause_;
};

}  // namespace cassiausher

#endif  // DRIVERS_LISTENER_WATCH_H_
