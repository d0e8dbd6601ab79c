// When a stopping HTTP server has nothing left to send, and the end of its
// process.
#ifndef DRIVERS_DRAIN_WATCH_H_
#define DRIVERS_DRAIN_WATCH_H_

#include <glib.h>

#include <cstdint>
#include <functional>

#include "core/time.h"
#include "drivers/http_server.h"

namespace cassiausher {

/// Gives answers up that no caller takes any more, so that a caller that
/// doesn't read can't keep a process from ending. Belongs to the server's task.
class DrainWatch {
 public:
  /// A server whose answers are all handed over and of which nothing was sent
  /// for this long is left as it is.
  static constexpr Duration kStalledTimeout = Seconds(10);

  /// Whether every caller has its answers, or none reads any more. Call it
  /// every few milliseconds once the server drains.
  bool Done(const HttpServer& server, Time now);

 private:
  /// Sum over all answers, and when it last changed.
  std::int64_t unsent_bytes_ = -1;
  Time progress_at_{};
};

/// Runs `context` until `drained` holds after an iteration that may have read
/// further requests, or until `deadline` on the boot clock. Returns whether
/// `drained` holds.
bool RunUntilDrained(GMainContext* context,
                     const std::function<bool()>& drained, Time deadline);

}  // namespace cassiausher

#endif  // DRIVERS_DRAIN_WATCH_H_
