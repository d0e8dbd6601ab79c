#include "servers/entry/answer_estimate.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace cassiausher {
namespace {

// Averages over about the last 50 answers.
constexpr double kNewestWeight = 0.02;
constexpr int kMinObserved = 20;

}  // namespace

void AnswerEstimate::Observe(Tokens length, Tokens expected) {
  const auto observed = static_cast<double>(length.value());
  if (observed <= 0) return;
  mean_ = mean_ <= 0 ? observed
                     : (1 - kNewestWeight) * mean_ + kNewestWeight * observed;
  const auto error = static_cast<double>((length - expected).value());
  // A plain mean over the first answers, so that none of them dominates.
  const double weight = std::max(kNewestWeight, 1.0 / ++observed_);
  squared_error_ = (1 - weight) * squared_error_ + weight * error * error;
}

std::optional<Tokens> AnswerEstimate::StandardDeviation() const {
  if (observed_ < kMinObserved) return std::nullopt;
  return Tokens(static_cast<std::int64_t>(std::sqrt(squared_error_)));
}

Tokens AnswerEstimate::Estimate(Tokens caller_estimate) const {
  const auto estimate = static_cast<double>(caller_estimate.value());
  if (mean_ <= 0) return caller_estimate;
  if (estimate <= 0) return Tokens(static_cast<std::int64_t>(mean_));
  // Lengths vary by factors, so the two are combined by their geometric mean.
  return Tokens(static_cast<std::int64_t>(std::sqrt(estimate * mean_)));
}

}  // namespace cassiausher
