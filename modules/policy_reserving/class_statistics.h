// Statistics of the requests of one class: output length, residence time in a
// slot and arrival rate.
#ifndef MODULES_POLICY_RESERVING_CLASS_STATISTICS_H_
#define MODULES_POLICY_RESERVING_CLASS_STATISTICS_H_

#include <array>
#include <cstdint>

#include "core/time.h"
#include "core/units.h"

namespace cassiausher {

/// Output lengths are kept in a histogram with buckets a quarter of an octave
/// wide. The weight of old observations decays.
class ClassStatistics {
 public:
  void RecordArrival(Time now);
  /// Records a request that finished after `residence` in its slot.
  void RecordOutput(Tokens output, Duration residence);

  /// Output length at `quantile`, at most `limit` if that is above 0. Returns
  /// `limit` with fewer than kMinObservations.
  Tokens OutputQuantile(double quantile, Tokens limit) const;
  /// Mean residence time in a slot; kDefaultResidence with fewer than
  /// kMinObservations.
  Duration Residence() const;
  /// Arrivals per second, decaying with kArrivalTimeConstantSeconds.
  double ArrivalRate(Time now) const;

 private:
  static constexpr int kBucketsPerOctave = 4;
  static constexpr int kBuckets = 20 * kBucketsPerOctave;
  /// All counts are halved at this total, so that the distribution follows a
  /// change of workload within a few hundred requests.
  static constexpr double kMaxTotalCount = 2000;
  static constexpr double kMinObservations = 20;
  static constexpr Duration kDefaultResidence = Seconds(2);
  static constexpr double kArrivalTimeConstantSeconds = 5;

  std::array<double, kBuckets> counts_{};
  double total_count_ = 0;
  double residence_seconds_ = 0;
  double decayed_arrivals_ = 0;
  Time arrivals_at_{};
};

}  // namespace cassiausher

#endif  // MODULES_POLICY_RESERVING_CLASS_STATISTICS_H_
