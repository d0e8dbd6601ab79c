// Latency histogram with logarithmic bins, for percentiles.
#ifndef TOOLS_LOAD_LATENCY_HISTOGRAM_H_
#define TOOLS_LOAD_LATENCY_HISTOGRAM_H_

#include <boost/histogram.hpp>
#include <cstdint>

namespace cassiausher {

/// Not thread-safe: use one per thread and merge them at the end.
class LatencyHistogram {
 public:
  void Record(std::int64_t microseconds) {
    histogram_(static_cast<double>(microseconds) / 1e3);
  }
  void Merge(const LatencyHistogram& other) { histogram_ += other.histogram_; }

  std::int64_t count() const;
  /// In milliseconds, interpolated inside a bin; 0 when nothing was recorded.
  double Percentile(double percent) const;

 private:
  /// 0.001 ms to 1,000 s with 200 bins per decade, so that a bin is 1.2% wide.
  static constexpr unsigned kBins = 1800;
  static constexpr double kLowestMs = 1e-3;
  static constexpr double kHighestMs = 1e6;
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Histogram =
      decltype(boost::histogram::make_histogram(std::declval<Axis>()));
  Histogram histogram_ =
      boost::histogram::make_histogram(Axis(kBins, kLowestMs, kHighestMs));
};

}  // namespace cassiausher

#endif  // TOOLS_LOAD_LATENCY_HISTOGRAM_H_
