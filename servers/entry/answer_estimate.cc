#include "servers/entry/answer_estimate.h"

#include <cmath>
#include <cstdint>

namespace cassiausher {
namespace {

// Some fifty answers count.
constexpr double kNewestWeight = 0.02;

}  // namespace

void AnswerEstimate::Observe(Tokens answer) {
  const auto seen = static_cast<double>(answer.value());
  if (seen <= 0) return;
  mean_ =
      mean_ <= 0 ? seen : (1 - kNewestWeight) * mean_ + kNewestWeight * seen;
}

Tokens AnswerEstimate::Expect(Tokens told) const {
  const auto said = static_cast<double>(told.value());
  if (mean_ <= 0) return told;
  if (said <= 0) return Tokens(static_cast<std::int64_t>(mean_));
  // Lengths spread by factors, so the middle is the geometric mean.
  return Tokens(static_cast<std::int64_t>(std::sqrt(said * mean_)));
}

}  // namespace cassiausher
