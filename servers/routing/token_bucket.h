// Token bucket: a rate with a bounded burst.
#ifndef SERVERS_ROUTING_TOKEN_BUCKET_H_
#define SERVERS_ROUTING_TOKEN_BUCKET_H_

#include <algorithm>

#include "core/time.h"
#include "core/units.h"

namespace cassiausher {

/// Not thread-safe. Rate and burst are arguments, since they may change while
/// the bucket is in use.
class TokenBucket {
 public:
  TokenBucket() = default;
  TokenBucket(double tokens, Time now) : tokens_(tokens), refilled_at_(now) {}

  /// Adds the tokens of the time since the last call, up to `burst`.
  void Refill(RequestRate rate, double burst, Time now) {
    const double elapsed = std::max(0.0, ToSeconds(now - refilled_at_));
    tokens_ = std::min(burst, tokens_ + elapsed * rate.value());
    refilled_at_ = std::max(refilled_at_, now);
  }
  /// Takes up to `count` whole tokens and returns how many.
  int Take(int count) {
    const int taken = std::clamp(static_cast<int>(tokens_), 0, count);
    tokens_ -= taken;
    return taken;
  }
  /// Time until one token is there, at most `kMaxWait`.
  Duration UntilNext(RequestRate rate) const {
    if (tokens_ >= 1) return Duration(0);
    const double seconds = (1 - tokens_) / std::max(rate.value(), kMinRate);
    return FromSeconds(std::min(seconds, ToSeconds(kMaxWait)));
  }
  Time refilled_at() const { return refilled_at_; }

 private:
  static constexpr Duration kMaxWait = Seconds(3600);
  /// Keeps the time until the next token finite, in requests a second.
  static constexpr double kMinRate = 1e-6;

  double tokens_ = 0;
  Time refilled_at_{};
};

}  // namespace cassiausher

#endif  // SERVERS_ROUTING_TOKEN_BUCKET_H_
