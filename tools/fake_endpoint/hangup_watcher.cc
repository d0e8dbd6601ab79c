#include "tools/fake_endpoint/hangup_watcher.h"

#include <glib-unix.h>
#include <sys/epoll.h>

#include <utility>

namespace cassiausher {

HangupWatcher& HangupWatcher::Instance() {
  static HangupWatcher& watcher = *new HangupWatcher();
  return watcher;
}

HangupWatcher::HangupWatcher() : epoll_fd_(epoll_create1(EPOLL_CLOEXEC)) {
  GSource* source = g_unix_fd_source_new(epoll_fd_, G_IO_IN);
  const GUnixFDSourceFunc ready = [](gint, GIOCondition, gpointer self) {
    static_cast<HangupWatcher*>(self)->OnEvents();
    return static_cast<gboolean>(G_SOURCE_CONTINUE);
  };
  g_source_set_callback(source, G_SOURCE_FUNC(ready), this, nullptr);
  g_source_attach(source, g_main_context_get_thread_default());
  g_source_unref(source);
}

void HangupWatcher::Watch(int fd, std::function<void()> on_closed) {
  epoll_event event{};
  event.events = EPOLLRDHUP | EPOLLONESHOT;
  event.data.fd = fd;
  if (epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, fd, &event) == 0) {
    watched_[fd] = std::move(on_closed);
  }
}

void HangupWatcher::Unwatch(int fd) {
  if (watched_.erase(fd) == 0) return;
  epoll_ctl(epoll_fd_, EPOLL_CTL_DEL, fd, nullptr);
}

void HangupWatcher::OnEvents() {
  constexpr int kMaxEvents = 256;
  epoll_event events[kMaxEvents];
  const int count = epoll_wait(epoll_fd_, events, kMaxEvents, 0);
  for (int i = 0; i < count; ++i) {
    const auto found = watched_.find(events[i].data.fd);
    if (found == watched_.end()) continue;
    // Copied, since the callback may call Unwatch, which erases the element.
    const std::function<void()> on_closed = found->second;
    on_closed();
  }
}

}  // namespace cassiausher
