// Estimates how long requests take until their callers have the answers, so
// that an instance that stops accepts only requests that it can answer in full.
#ifndef SERVERS_ENTRY_COMPLETION_TIME_H_
#define SERVERS_ENTRY_COMPLETION_TIME_H_

#include <optional>

#include "core/time.h"

namespace cassiausher {

/// Answers of one service. Not thread safe.
class CompletionTime {
 public:
  /// Records the time from a request's arrival until its caller had the answer.
  void Observe(Duration taken);

  /// Time within which nearly all callers have their answers; null until enough
  /// answers have been observed.
  std::optional<Duration> UpperBound() const;

 private:
  /// Exponentially weighted mean, in microseconds.
  double mean_us_ = 0;
  /// Exponentially weighted mean of squared deviations from `mean_us_`.
  double variance_us2_ = 0;
  int observed_ = 0;
};

}  // namespace cassiausher

#endif  // SERVERS_ENTRY_COMPLETION_TIME_H_
