#include "servers/entry/answer_estimate.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace cassiausher {
namespace {

// Some fifty answers count.
constexpr double kNewestWeight = 0.02;
constexpr int kLeastObserved = 20;

}  // namespace

void AnswerEstimate::Observe(Tokens answer, Tokens expected) {
  const auto seen = static_cast<double>(answer.value());
  if (seen <= 0) return;
  mean_ =
      mean_ <= 0 ? seen : (1 - kNewestWeight) * mean_ + kNewestWeight * seen;
  const auto error = static_cast<double>((answer - expected).value());
  // The first few weigh alike, so that one of them doesn't decide.
  const double weight = std::max(kNewestWeight, 1.0 / ++observed_);
  squared_error_ = (1 - weight) * squared_error_ + weight * error * error;
}

std::optional<Tokens> AnswerEstimate::StandardDeviation() const {
  if (observed_ < kLeastObserved) return std::nullopt;
  return Tokens(static_cast<std::int64_t>(std::sqrt(squared_error_)));
}

Tokens AnswerEstimate::Estimate(Tokens told) const {
  const auto said = static_cast<double>(told.value());
  if (mean_ <= 0) return told;
  if (said <= 0) return Tokens(static_cast<std::int64_t>(mean_));
  // Lengths spread by factors, so the middle is the geometric mean.
  return Tokens(static_cast<std::int64_t>(std::sqrt(said * mean_)));
}

}  // namespace cassiausher
