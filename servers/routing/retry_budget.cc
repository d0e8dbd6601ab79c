// Sliding window of requests and retries.
#include "servers/routing/retry_budget.h"

#include <algorithm>

namespace cassiausher {

RetryBudget::Bucket& RetryBudget::Advance(Time now) {
  const std::int64_t second =
      std::max(current_second_, now.time_since_epoch() / Seconds(1));
  const std::int64_t passed =
      std::min<std::int64_t>(second - current_second_, kBuckets);
  for (std::int64_t i = 1; i <= passed; ++i) {
    Bucket& expired = buckets_[(second - passed + i) % kBuckets];
    window_total_.requests -= expired.requests;
    window_total_.retries -= expired.retries;
    expired = {};
  }
  current_second_ = second;
  return buckets_[second % kBuckets];
}

void RetryBudget::OnRequest(Time now) {
  ++Advance(now).requests;
  ++window_total_.requests;
}

double RetryBudget::Remaining(Time now) {
  Advance(now);
  const double allowed =
      options_.ratio * static_cast<double>(window_total_.requests) +
      options_.floor_per_second * static_cast<double>(kBuckets);
  return std::max(0.0, allowed - static_cast<double>(window_total_.retries));
}

bool RetryBudget::TryRetries(int count, Time now) {
  if (Remaining(now) < count) return false;
  Advance(now).retries += count;
  window_total_.retries += count;
  return true;
}

}  // namespace cassiausher
