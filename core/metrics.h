// Counters, gauges and latency distributions, exposed as Prometheus text.
// Distributions keep count, sum and quantile estimates with Boost.Accumulators.
#ifndef CORE_METRICS_H_
#define CORE_METRICS_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "core/time.h"

namespace cassiausher {

/// Monotonically increasing count. Thread-safe.
class Counter {
 public:
  void Add(std::uint64_t n = 1) {
    value_.fetch_add(n, std::memory_order_relaxed);
  }
  std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_{0};
};

/// Value that can go up and down. Thread-safe.
class Gauge {
 public:
  void Set(std::int64_t value) {
    value_.store(value, std::memory_order_relaxed);
  }
  void Add(std::int64_t n) { value_.fetch_add(n, std::memory_order_relaxed); }
  std::int64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::int64_t> value_{0};
};

/// Distribution of durations. Thread-safe; takes a lock.
class Distribution {
 public:
  Distribution();
  ~Distribution();

  void Record(Duration duration);

  std::uint64_t Count() const;
  /// `quantile` is one of 0.5, 0.95, 0.99. Returns the mean while there are too
  /// few samples for an estimate, and zero when there are none.
  Duration Quantile(double quantile) const;
  Duration Sum() const;

 private:
  struct Accumulator;
  mutable std::mutex mutex_;
  std::unique_ptr<Accumulator> accumulator_;
};

/// Owns all metrics of a process. A name may include Prometheus labels:
/// `requests_total{class="short"}`. References stay valid for its lifetime.
class Metrics {
 public:
  Counter& counter(std::string_view name);
  Gauge& gauge(std::string_view name);
  Distribution& distribution(std::string_view name);

  /// Prometheus text exposition format 0.0.4, durations in seconds.
  std::string Render() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::unique_ptr<Counter>, std::less<>> counters_;
  std::map<std::string, std::unique_ptr<Gauge>, std::less<>> gauges_;
  std::map<std::string, std::unique_ptr<Distribution>, std::less<>>
      distributions_;
};

}  // namespace cassiausher

#endif  // CORE_METRICS_H_
