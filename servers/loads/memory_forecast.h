// Forecast of the KV memory that streams hold over time. Streams of a runner
// are at different stages of their outputs, so their combined peak is below the
// sum of their individual peaks.
#ifndef SERVERS_LOADS_MEMORY_FORECAST_H_
#define SERVERS_LOADS_MEMORY_FORECAST_H_

#include <array>
#include <cstddef>

#include "core/units.h"

namespace cassiausher {

/// KV memory at equidistant points in time, the first of which is now. All
/// streams of a runner decode at the same rate, so time is measured in tokens
/// generated per stream. Only forecasts with the same step can be added.
class MemoryForecast {
 public:
  static constexpr std::size_t kPoints = 6;
  using Points = std::array<Tokens, kPoints>;

  /// No memory at any point.
  MemoryForecast() = default;
  explicit MemoryForecast(const Points& points) : points_(points) {}
  /// A stream that holds `held` tokens now and ends after `remaining` more.
  /// `step` tokens are generated between two points; with 0, the memory is
  /// constant.
  MemoryForecast(Tokens held, Tokens remaining, Tokens step);

  MemoryForecast& operator+=(const MemoryForecast& other);
  MemoryForecast& operator-=(const MemoryForecast& other);
  /// Every point multiplied by `numerator / denominator`.
  MemoryForecast Scaled(int numerator, int denominator) const;

  Tokens Now() const { return points_.front(); }
  Tokens Peak() const;
  const Points& points() const { return points_; }

 private:
  Points points_{};
};

}  // namespace cassiausher

#endif  // SERVERS_LOADS_MEMORY_FORECAST_H_
