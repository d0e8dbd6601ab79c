#include "drivers/drain_watch.h"

#include "drivers/clock.h"
#include "drivers/gobject_ptr.h"

namespace cassiausher {
namespace {

constexpr guint kPollMs = 10;

}  // namespace

bool DrainWatch::Done(const HttpServer& server, Time now) {
  if (server.Drained()) return true;
  std::int64_t bytes = 0;
  bool handed_over = true;
  for (const UnsentAnswer& answer : server.UnsentAnswers()) {
    bytes += answer.process_bytes + answer.kernel_bytes;
    handed_over &= answer.handed_over;
  }
  if (!handed_over || bytes != unsent_bytes_) {
    unsent_bytes_ = bytes;
    progress_at_ = now;
  }
  return now - progress_at_ >= kStalledTimeout;
}

bool RunUntilDrained(GMainContext* context,
                     const std::function<bool()>& drained, Time deadline) {
  const GSourcePtr timer(g_timeout_source_new(kPollMs));
  g_source_set_callback(
      timer.get(), [](gpointer) -> gboolean { return G_SOURCE_CONTINUE; },
      nullptr, nullptr);
  g_source_attach(timer.get(), context);
  while (!drained()) {
    if (BootTimeNow() >= deadline) return false;
    g_main_context_iteration(context, TRUE);
  }
  return true;
}

}  // namespace cassiausher
