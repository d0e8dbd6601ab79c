#include "servers/entry/completion_time.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace cassiausher {
namespace {

// Averages over about the last 50 answers.
constexpr double kNewestWeight = 0.02;
constexpr int kMinObserved = 5;
constexpr double kDeviations = 2;

}  // namespace

void CompletionTime::Observe(Duration taken) {
  const auto observed = static_cast<double>(taken.count());
  // A plain mean over the first answers, so that none of them dominates.
  const double weight = std::max(kNewestWeight, 1.0 / ++observed_);
  const double deviation = observed - mean_us_;
  mean_us_ += weight * deviation;
  variance_us2_ =
      (1 - weight) * (variance_us2_ + weight * deviation * deviation);
}

std::optional<Duration> CompletionTime::UpperBound() const {
  if (observed_ < kMinObserved) return std::nullopt;
  const double bound_us = mean_us_ + kDeviations * std::sqrt(variance_us2_);
  return Duration(static_cast<std::int64_t>(bound_us));
}

}  // namespace cassiausher
