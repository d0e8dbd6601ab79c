#include "tools/fake_endpoint/timers.h"

namespace cassiausher {
namespace {

gboolean CallSource(gpointer data) {
  (*static_cast<std::function<void()>*>(data))();
  return G_SOURCE_CONTINUE;
}

}  // namespace

Timers::Timers(GMainContext* context) {
  static GSourceFuncs functions = {nullptr, nullptr, &Timers::Dispatch,
                                   nullptr, nullptr, nullptr};
  source_ = g_source_new(&functions, sizeof(GSource));
  g_source_set_callback(
      source_, &CallSource, new std::function<void()>([this] { RunExpired(); }),
      [](gpointer data) { delete static_cast<std::function<void()>*>(data); });
  g_source_attach(source_, context);
}

Timers::~Timers() {
  g_source_destroy(source_);
  g_source_unref(source_);
}

Timers::Id Timers::Schedule(std::int64_t at_us, std::function<void()> action) {
  const Id id{at_us, next_sequence_++};
  pending_.emplace(id, std::move(action));
  UpdateReadyTime();
  return id;
}

void Timers::Cancel(Id id) {
  if (pending_.erase(id) > 0) UpdateReadyTime();
}

gboolean Timers::Dispatch(GSource* /*source*/, GSourceFunc callback,
                          gpointer data) {
  return callback(data);
}

void Timers::RunExpired() {
  const std::int64_t now = Now();
  // Timers added by an action wait for the next main loop iteration, so that
  // sockets are served in between.
  const std::uint64_t limit = next_sequence_;
  auto next = pending_.begin();
  while (next != pending_.end() && next->first.first <= now) {
    if (next->first.second >= limit) {
      ++next;
      continue;
    }
    const std::function<void()> action = std::move(next->second);
    pending_.erase(next);
    action();
    next = pending_.begin();
  }
  UpdateReadyTime();
}

void Timers::UpdateReadyTime() {
  g_source_set_ready_time(
      source_, pending_.empty() ? -1 : pending_.begin()->first.first);
}

}  // namespace cassiausher
