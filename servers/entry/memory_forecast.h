// How much KV memory streams will hold while they go on. Streams of a runner
// are at different points of their answers, so the most that they hold together
// is less than the sum of what each holds at its end.
#ifndef SERVERS_ENTRY_MEMORY_FORECAST_H_
#define SERVERS_ENTRY_MEMORY_FORECAST_H_

#include <array>
#include <cstddef>

#include "core/units.h"

namespace cassiausher {

/// Memory at points of time, of which the first is now. All streams of a runner
/// write at the same pace, so time is counted in tokens that each of them
/// writes. Forecasts with the same step can be added.
class MemoryForecast {
 public:
  static constexpr std::size_t kPoints = 6;
  using Points = std::array<Tokens, kPoints>;

  /// Nothing is held.
  MemoryForecast() = default;
  explicit MemoryForecast(const Points& points) : points_(points) {}
  /// A stream that holds `held` tokens and ends once it has written `left`
  /// more. `step` tokens are written from one point to the next; if it is 0,
  /// all points are as now.
  MemoryForecast(Tokens held, Tokens left, Tokens step);

  MemoryForecast& operator+=(const MemoryForecast& other);
  MemoryForecast& operator-=(const MemoryForecast& other);
  /// The same work `numerator / denominator` times.
  MemoryForecast Scaled(int numerator, int denominator) const;

  Tokens Now() const { return points_.front(); }
  Tokens Peak() const;
  const Points& points() const { return points_; }

 private:
  Points points_{};
};

}  // namespace cassiausher

#endif  // SERVERS_ENTRY_MEMORY_FORECAST_H_
