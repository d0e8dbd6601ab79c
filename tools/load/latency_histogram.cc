#include "tools/load/latency_histogram.h"

#include <algorithm>
#include <cmath>

namespace cassiausher {

std::int64_t LatencyHistogram::count() const {
  double sum = 0;
  for (auto&& bin :
       boost::histogram::indexed(histogram_, boost::histogram::coverage::all)) {
    sum += static_cast<double>(*bin);
  }
  return static_cast<std::int64_t>(sum);
}

double LatencyHistogram::Percentile(double percent) const {
  const double target_count = static_cast<double>(count()) * percent / 100;
  if (target_count == 0) return 0;
  double count_below = 0;
  for (auto&& bin :
       boost::histogram::indexed(histogram_, boost::histogram::coverage::all)) {
    const auto bin_count = static_cast<double>(*bin);
    if (count_below + bin_count < target_count || bin_count == 0) {
      count_below += bin_count;
      continue;
    }
    const double lower = bin.index() < 0 ? 0 : bin.bin().lower();
    const double upper = std::min(bin.bin().upper(), kHighestMs);
    return lower + (upper - lower) * (target_count - count_below) / bin_count;
  }
  return kHighestMs;
}

}  // namespace cassiausher
