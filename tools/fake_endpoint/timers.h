// One-shot timers with microsecond deadlines on a GLib main context, all driven
// by one event source.
#ifndef TOOLS_FAKE_ENDPOINT_TIMERS_H_
#define TOOLS_FAKE_ENDPOINT_TIMERS_H_

#include <glib.h>

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace cassiausher {

/// Not thread-safe: use it on the thread of its main context. Times are in
/// microseconds of g_get_monotonic_time().
class Timers {
 public:
  /// Deadline and sequence number; a value-initialised Id matches no timer.
  using Id = std::pair<std::int64_t, std::uint64_t>;

  explicit Timers(GMainContext* context);
  ~Timers();
  Timers(const Timers&) = delete;
  Timers& operator=(const Timers&) = delete;

  Id Schedule(std::int64_t at_us, std::function<void()> action);
  /// Does nothing when the timer has already run.
  void Cancel(Id id);

  static std::int64_t Now() { return g_get_monotonic_time(); }

 private:
  static gboolean Dispatch(GSource* source, GSourceFunc callback,
                           gpointer data);
  /// Runs the timers whose deadline has passed.
  void RunExpired();
  /// Sets the source's ready time to the earliest deadline.
  void UpdateReadyTime();

  GSource* source_;
  std::map<Id, std::function<void()>> pending_;
  std::uint64_t next_sequence_ = 1;
};

}  // namespace cassiausher

#endif  // TOOLS_FAKE_ENDPOINT_TIMERS_H_
