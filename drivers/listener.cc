#include "drivers/listener.h"

#include <glib-unix.h>

#include <utility>

#include "core/time.h"
#include "drivers/task.h"

namespace cassiausher {
namespace {

// Interval between attempts to accept again.
constexpr Duration kRetryPeriod = Milliseconds(50);
// Connections that are accepted before other work has its turn.
constexpr int kAcceptsPerTurn = 16;

}  // namespace

Listener::Listener(GMainContext* context, GObjectPtr<GSocket> socket,
                   Callbacks callbacks)
    : context_(context),
      socket_(std::move(socket)),
      callbacks_(std::move(callbacks)) {
  // Otherwise an accept that finds nothing would wait.
  g_socket_set_blocking(socket_.get(), FALSE);
  Watch();
}

Listener::~Listener() {
  source_.reset();
  pause_.reset();
  g_socket_close(socket_.get(), nullptr);
}

void Listener::Watch() {
  source_.reset(g_unix_fd_source_new(g_socket_get_fd(socket_.get()), G_IO_IN));
  const GUnixFDSourceFunc dispatch = [](gint, GIOCondition,
                                        gpointer self) -> gboolean {
    static_cast<Listener*>(self)->Accept();
    return G_SOURCE_CONTINUE;
  };
  g_source_set_callback(source_.get(), G_SOURCE_FUNC(dispatch), this, nullptr);
  g_source_attach(source_.get(), context_);
}

void Listener::Accept() {
  for (int i = 0; i < kAcceptsPerTurn; ++i) {
    GError* error = nullptr;
    GObjectPtr<GSocket> accepted(
        g_socket_accept(socket_.get(), nullptr, &error));
    if (accepted) {
      if (callbacks_.on_connection(std::move(accepted))) continue;
      return;
    }
    const GErrorPtr owned(error);
    if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) return;
    if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_TOO_MANY_OPEN_FILES)) {
      callbacks_.on_exhausted();
    }
    // Accepting may go on failing for another reason.
    return Pause();
  }
}

void Listener::Pause() {
  source_.reset();
  pause_ = AddTimer(context_, kRetryPeriod, [this] {
    pause_.reset();
    Watch();
  });
}

}  // namespace cassiausher
