#include "servers/loads/memory_forecast.h"

#include <algorithm>
#include <cstdint>

namespace cassiausher {

MemoryForecast::MemoryForecast(Tokens held, Tokens remaining, Tokens step) {
  for (std::size_t i = 0; i < kPoints; ++i) {
    const std::int64_t middle =
        step.value() * (2 * static_cast<std::int64_t>(i) + 1) / 2;
    const bool ended = i > 0 && middle > remaining.value();
    // A stream that ends within the first interval holds its memory until then.
    if (!ended) points_[i] = held + Tokens(std::min(middle, remaining.value()));
  }
}

MemoryForecast& MemoryForecast::operator+=(const MemoryForecast& other) {
  for (std::size_t i = 0; i < kPoints; ++i) points_[i] += other.points_[i];
  return *this;
}

MemoryForecast& MemoryForecast::operator-=(const MemoryForecast& other) {
  for (std::size_t i = 0; i < kPoints; ++i) points_[i] -= other.points_[i];
  return *this;
}

MemoryForecast MemoryForecast::Scaled(int numerator, int denominator) const {
  MemoryForecast scaled;
  for (std::size_t i = 0; i < kPoints; ++i) {
    scaled.points_[i] = Tokens(points_[i].value() * numerator / denominator);
  }
  return scaled;
}

Tokens MemoryForecast::Peak() const {
  return *std::max_element(points_.begin(), points_.end());
}

}  // namespace cassiausher
