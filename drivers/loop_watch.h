// Watches how long the turns of a main loop take, and whether the process stood
// still while it waited. Tells a slow disk or a blocked loop from a machine
// that was paused or has no processor left.
#ifndef DRIVERS_LOOP_WATCH_H_
#define DRIVERS_LOOP_WATCH_H_

#include <glib.h>

#include "core/metrics.h"
#include "core/time.h"

namespace cassiausher {

/// Metric `main_loop_turn_seconds`; log events `main_loop_slow` for a long turn
/// and `main_loop_late` for a wait that ended long after its timeout. At most
/// one for each thread, on the thread that runs the loop.
class LoopWatch {
 public:
  LoopWatch(GMainContext* context, Metrics& metrics);
  ~LoopWatch();
  LoopWatch(const LoopWatch&) = delete;
  LoopWatch& operator=(const LoopWatch&) = delete;

 private:
  static gint Poll(GPollFD* descriptors, guint count, gint timeout_ms);

  void OnTurnEnds(Time now);
  void OnTurnBegins(Time now, Duration timeout);

  GMainContext* context_;
  GPollFunc poll_;
  Distribution& turns_;
  /// The last wait's end, and its start.
  Time turn_began_;
  Time wait_began_;
};

}  // namespace cassiausher

#endif  // DRIVERS_LOOP_WATCH_H_
