// Estimates how many tokens an answer will have. Callers' own estimates are
// right at the median but often far off, so they are shrunk towards the
// observed mean.
#ifndef SERVERS_ENTRY_ANSWER_ESTIMATE_H_
#define SERVERS_ENTRY_ANSWER_ESTIMATE_H_

#include <optional>

#include "core/units.h"

namespace cassiausher {

/// Answers of one service. Not thread safe.
class AnswerEstimate {
 public:
  /// Records a complete answer of `length`, which was estimated as `expected`.
  void Observe(Tokens length, Tokens expected);

  /// Expected answer length, given the caller's own estimate; 0 if the caller
  /// gave none.
  Tokens Estimate(Tokens caller_estimate) const;

  /// Root mean square of the estimation error; null until enough answers have
  /// been observed.
  std::optional<Tokens> StandardDeviation() const;

 private:
  /// Exponentially weighted mean length in tokens; 0 before the first answer.
  double mean_ = 0;
  /// Exponentially weighted mean of squared errors, in tokens squared.
  double squared_error_ = 0;
  int observed_ = 0;
};

}  // namespace cassiausher

#endif  // SERVERS_ENTRY_ANSWER_ESTIMATE_H_
