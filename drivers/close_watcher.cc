#include "drivers/close_watcher.h"

#include <glib-unix.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace cassiausher {

CloseWatcher::CloseWatcher(GMainContext* context)
    : epoll_(epoll_create1(EPOLL_CLOEXEC)),
      source_(g_unix_fd_source_new(epoll_, G_IO_IN)) {
  const GUnixFDSourceFunc dispatch = [](gint, GIOCondition,
                                        gpointer self) -> gboolean {
    static_cast<CloseWatcher*>(self)->Dispatch();
    return G_SOURCE_CONTINUE;
  };
  g_source_set_callback(source_.get(), G_SOURCE_FUNC(dispatch), this, nullptr);
  g_source_attach(source_.get(), context);
}

CloseWatcher::~CloseWatcher() {
  source_.reset();
  close(epoll_);
}

void CloseWatcher::Add(int descriptor, std::function<void()> on_close) {
  callbacks_[descriptor] = std::move(on_close);
  epoll_event event{};
  event.events = EPOLLRDHUP | EPOLLONESHOT;
  event.data.fd = descriptor;
  epoll_ctl(epoll_, EPOLL_CTL_ADD, descriptor, &event);
}

void CloseWatcher::Remove(int descriptor) {
  if (callbacks_.erase(descriptor) == 0) return;
  epoll_ctl(epoll_, EPOLL_CTL_DEL, descriptor, nullptr);
}

void CloseWatcher::Dispatch() {
  std::array<epoll_event, 64> events;
  const int count =
      epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), 0);
  for (int i = 0; i < count; ++i) {
    const auto found = callbacks_.find(events[i].data.fd);
    // An earlier callback in this batch may have removed the connection.
    if (found == callbacks_.end()) continue;
    const std::function<void()> on_close = std::move(found->second);
    Remove(events[i].data.fd);
    on_close();
  }
}

}  // namespace cassiausher
