// Histogram and exponentially decaying averages.
#include "modules/policy_reserving/class_statistics.h"

#include <algorithm>
#include <cmath>

namespace cassiausher {

void ClassStatistics::RecordArrival(Time now) {
  const double decayed = ArrivalRate(now) * kArrivalTimeConstantSeconds;
  decayed_arrivals_ = decayed + 1;
  arrivals_at_ = now;
}

double ClassStatistics::ArrivalRate(Time now) const {
  const double age = std::max(0.0, ToSeconds(now - arrivals_at_));
  return decayed_arrivals_ * std::exp(-age / kArrivalTimeConstantSeconds) /
         kArrivalTimeConstantSeconds;
}

void ClassStatistics::RecordOutput(Tokens output, Duration residence) {
  const double length = std::max(1.0, static_cast<double>(output.value()));
  const int bucket = std::min(
      kBuckets - 1, static_cast<int>(std::log2(length) * kBucketsPerOctave));
  if (total_count_ >= kMaxTotalCount) {
    for (double& count : counts_) count /= 2;
    total_count_ /= 2;
  }
  counts_[static_cast<std::size_t>(bucket)] += 1;
  total_count_ += 1;
  const double weight = std::max(1.0 / 256, 1.0 / total_count_);
  residence_seconds_ += weight * (ToSeconds(residence) - residence_seconds_);
}

Tokens ClassStatistics::OutputQuantile(double quantile, Tokens limit) const {
  if (total_count_ < kMinObservations) return limit;
  double sum = 0;
  for (int bucket = 0; bucket < kBuckets; ++bucket) {
    sum += counts_[static_cast<std::size_t>(bucket)];
    if (sum < quantile * total_count_) continue;
    const double upper = std::exp2(static_cast<double>(bucket + 1) /
                                   static_cast<double>(kBucketsPerOctave));
    const Tokens length(static_cast<std::int64_t>(std::ceil(upper)));
    return limit > Tokens(0) ? std::min(limit, length) : length;
  }
  return limit;
}

Duration ClassStatistics::Residence() const {
  if (total_count_ < kMinObservations) return kDefaultResidence;
  return std::max(Milliseconds(1), FromSeconds(residence_seconds_));
}

}  // namespace cassiausher
