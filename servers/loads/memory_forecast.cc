#include "servers/loads/memory_forecast.h"

#include <algorithm>
#include <cstdint>

namespace cassiausher {

MemoryForecast::MemoryForecast(Tokens held, Tokens remaining, Tokens step) {
  for (std::size_t i = 0; i < kPoints; ++i) {
    const std::int64_t generated = step.value() * static_cast<std::int64_t>(i);
    const bool ended = i > 0 && generated > remaining.value();
    if (!ended) points_[i] = held + Tokens(generated);
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
