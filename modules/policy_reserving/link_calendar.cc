// Reservation and release of interval capacity.
#include "modules/policy_reserving/link_calendar.h"

#include <algorithm>

namespace cassiausher {

void LinkCalendar::SetRate(double bytes_per_second) {
  const double bytes = bytes_per_second * ToSeconds(kInterval);
  interval_capacity_ =
      std::max<std::int64_t>(1, static_cast<std::int64_t>(bytes));
}

void LinkCalendar::Advance(Time now) {
  const std::int64_t present = now.time_since_epoch() / kInterval;
  if (present <= first_interval_) return;
  const std::int64_t elapsed =
      std::min<std::int64_t>(present - first_interval_, kIntervals);
  for (std::int64_t i = 0; i < elapsed; ++i) Used(first_interval_ + i) = 0;
  first_interval_ = present;
}

Time LinkCalendar::Fill(Bytes bytes, Time from, Time now,
                        Reservation* reservation) {
  Advance(now);
  std::int64_t left = std::max<std::int64_t>(0, bytes.value());
  std::int64_t interval =
      std::max(first_interval_, from.time_since_epoch() / kInterval);
  const std::int64_t horizon = first_interval_ + kIntervals;
  Time end = from;
  for (; left > 0 && interval < horizon; ++interval) {
    const std::int64_t start_us = interval * kInterval.count();
    std::int64_t available = interval_capacity_ - Used(interval);
    // In its first interval a transfer can use only the remaining time.
    const std::int64_t elapsed_us = from.time_since_epoch().count() - start_us;
    if (elapsed_us > 0) {
      available = std::min(available, interval_capacity_ *
                                          (kInterval.count() - elapsed_us) /
                                          kInterval.count());
    }
    const std::int64_t taken = std::min(left, available);
    if (taken <= 0) continue;
    left -= taken;
    const std::int64_t offset_us =
        (Used(interval) + taken) * kInterval.count() / interval_capacity_;
    end = std::max(end, Time(Duration(start_us + offset_us)));
    if (!reservation) continue;
    Used(interval) += taken;
    reservation->parts.emplace_back(interval, taken);
  }
  return left > 0 ? Time::max() : end;
}

Time LinkCalendar::EndOf(Bytes bytes, Time from, Time now) {
  return Fill(bytes, from, now, nullptr);
}

LinkCalendar::Reservation LinkCalendar::Reserve(Bytes bytes, Time from,
                                                Time now) {
  Reservation reservation;
  reservation.end = Fill(bytes, from, now, &reservation);
  if (reservation.end == Time::max()) {
    reservation.end = Time(kInterval * (first_interval_ + kIntervals));
  }
  return reservation;
}

void LinkCalendar::Release(const Reservation& reservation, Time now) {
  Advance(now);
  for (const auto& [interval, bytes] : reservation.parts) {
    if (interval >= first_interval_) Used(interval) -= bytes;
  }
}

Bytes LinkCalendar::Reserved(Time now) {
  Advance(now);
  std::int64_t sum = 0;
  for (const std::int64_t bytes : used_) sum += bytes;
  return Bytes(sum);
}

}  // namespace cassiausher
