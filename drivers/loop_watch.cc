#include "drivers/loop_watch.h"

#include "core/log.h"
#include "drivers/clock.h"

namespace cassiausher {
namespace {

// A heartbeat of the control instances; what is answered later than that is
// noticed by others.
constexpr Duration kSlowTurn = Milliseconds(200);
constexpr Duration kLateWait = Milliseconds(200);

// GLib passes a poll function no data of its owner's.
thread_local LoopWatch* watch = nullptr;

}  // namespace

LoopWatch::LoopWatch(GMainContext* context, Metrics& metrics)
    : context_(context),
      poll_(g_main_context_get_poll_func(context)),
      turns_(metrics.distribution("main_loop_turn_seconds")),
      turn_began_(BootTimeNow()),
      wait_began_(turn_began_) {
  watch = this;
  g_main_context_set_poll_func(context, &LoopWatch::Poll);
}

LoopWatch::~LoopWatch() {
  g_main_context_set_poll_func(context_, poll_);
  watch = nullptr;
}

gint LoopWatch::Poll(GPollFD* descriptors, guint count, gint timeout_ms) {
  watch->OnTurnEnds(BootTimeNow());
  const gint ready = watch->poll_(descriptors, count, timeout_ms);
  watch->OnTurnBegins(BootTimeNow(), Milliseconds(timeout_ms));
  return ready;
}

void LoopWatch::OnTurnEnds(Time now) {
  const Duration turn = now - turn_began_;
  wait_began_ = now;
  turns_.Record(turn);
  if (turn < kSlowTurn) return;
  Log(LogLevel::kWarning, "main_loop_slow",
      {{"turn_ms", ToMilliseconds(turn)}});
}

void LoopWatch::OnTurnBegins(Time now, Duration timeout) {
  turn_began_ = now;
  // Without a timeout it is unknown when the wait should have ended.
  if (timeout < Duration(0)) return;
  const Duration late = now - wait_began_ - timeout;
  if (late < kLateWait) return;
  Log(LogLevel::kWarning, "main_loop_late",
      {{"late_ms", ToMilliseconds(late)}});
}

}  // namespace cassiausher
