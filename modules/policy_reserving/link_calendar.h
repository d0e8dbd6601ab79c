// Bandwidth reservations on the link that KV cache transfers share.
#ifndef MODULES_POLICY_RESERVING_LINK_CALENDAR_H_
#define MODULES_POLICY_RESERVING_LINK_CALENDAR_H_

#include <array>
#include <cstdint>
#include <utility>
#include <vector>

#include "core/time.h"
#include "core/units.h"

namespace cassiausher {

/// Time is divided into short intervals, each with a fixed capacity in bytes. A
/// reservation takes free capacity from its start on, so that transfers with
/// different start times need not be planned in order. The cost of an operation
/// depends on the horizon, not on the number of endpoints or reservations.
class LinkCalendar {
 public:
  struct Reservation {
    Time end{};
    /// Absolute interval number and bytes reserved in it; at most kIntervals
    /// elements.
    std::vector<std::pair<std::int64_t, std::int64_t>> parts;
  };

  explicit LinkCalendar(double bytes_per_second) { SetRate(bytes_per_second); }

  /// Sets the link rate for later reservations.
  void SetRate(double bytes_per_second);
  /// End of a transfer that can start at `from`; Time::max() if it does not fit
  /// within the horizon.
  Time EndOf(Bytes bytes, Time from, Time now);
  /// Reserves the capacity. If too little is left within the horizon, reserves
  /// what there is and ends at the horizon.
  Reservation Reserve(Bytes bytes, Time from, Time now);
  /// Releases the parts in the current and in later intervals.
  void Release(const Reservation& reservation, Time now);
  /// Bytes reserved in the current and later intervals.
  Bytes Reserved(Time now);

  static constexpr Duration kInterval = Milliseconds(10);
  /// The horizon, about 2.5 s, covers the longest first-token target in use
  /// plus the retention of prefilled results.
  static constexpr int kIntervals = 256;

 private:
  /// Clears the intervals that have passed.
  void Advance(Time now);
  std::int64_t& Used(std::int64_t interval) {
    return used_[static_cast<std::size_t>(interval) % kIntervals];
  }
  /// Computes the end of a transfer, or Time::max(); takes the capacity only if
  /// `reservation` is not null.
  Time Fill(Bytes bytes, Time from, Time now, Reservation* reservation);

  /// Bytes per interval.
  std::int64_t interval_capacity_ = 1;
  /// Bytes reserved in each interval; a ring buffer from `first_interval_` on.
  std::array<std::int64_t, kIntervals> used_{};
  std::int64_t first_interval_ = 0;
};

}  // namespace cassiausher

#endif  // MODULES_POLICY_RESERVING_LINK_CALENDAR_H_
