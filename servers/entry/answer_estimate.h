// Expected length of answers. Callers' own estimates are right at the median
// but often far off, so they are drawn towards what was seen.
#ifndef SERVERS_ENTRY_ANSWER_ESTIMATE_H_
#define SERVERS_ENTRY_ANSWER_ESTIMATE_H_

#include <optional>

#include "core/units.h"

namespace cassiausher {

/// For the answers of one service. Not thread safe.
class AnswerEstimate {
 public:
  /// An answer came whole, of which `expected` was expected.
  void Observe(Tokens answer, Tokens expected);

  /// Expected length, given what the caller says; 0 says nothing.
  Tokens Estimate(Tokens told) const;

  /// Standard deviation of answers from what was expected; null before enough
  /// of them were seen.
  std::optional<Tokens> StandardDeviation() const;

 private:
  /// Mean of the answers seen, the latest weighing most; 0 before the first.
  double mean_ = 0;
  /// Mean of squared differences, in tokens squared.
  double squared_error_ = 0;
  int observed_ = 0;
};

}  // namespace cassiausher

#endif  // SERVERS_ENTRY_ANSWER_ESTIMATE_H_
