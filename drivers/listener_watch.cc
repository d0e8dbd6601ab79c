#include "drivers/listener_watch.h"

#include <fcntl.h>
#include <glib-unix.h>
#include <unistd.h>

#include <utility>

#include "core/time.h"
#include "drivers/task.h"

namespace cassiausher {
namespace {

// Interval between attempts to accept again.
constexpr Duration kRetryPeriod = Milliseconds(50);

bool HasFreeDescriptor(int descriptor) {
  const int copy = fcntl(descriptor, F_DUPFD_CLOEXEC, 0);
  if (copy < 0) return false;
  close(copy);
  return true;
}

}  // namespace

ListenerWatch::ListenerWatch(GMainContext* context, int descriptor,
                             Callbacks callbacks)
    : context_(context),
      descriptor_(descriptor),
      callbacks_(std::move(callbacks)) {
  Watch();
}

void ListenerWatch::Watch() {
  source_.reset(g_unix_fd_source_new(descriptor_, G_IO_IN));
  // GLib dispatches the sources of the highest priority that is due, so this
  // one is due only if the one that accepts has gone.
  g_source_set_priority(source_.get(), G_PRIORITY_DEFAULT + 1);
  const GUnixFDSourceFunc dispatch = [](gint, GIOCondition,
                                        gpointer self) -> gboolean {
    static_cast<ListenerWatch*>(self)->OnUnattended();
    return G_SOURCE_CONTINUE;
  };
  g_source_set_callback(source_.get(), G_SOURCE_FUNC(dispatch), this, nullptr);
  g_source_attach(source_.get(), context_);
}

void ListenerWatch::OnUnattended() {
  if (HasFreeDescriptor(descriptor_)) {
    callbacks_.resume();
  } else {
    callbacks_.on_exhausted();
  }
  // Accepting may go on failing for another reason.
  source_.reset();
  pause_ = AddTimer(context_, kRetryPeriod, [this] {
    pause_.reset();
    Watch();
  });
}

}  // namespace cassiausher
