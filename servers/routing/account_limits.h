// Limits the rate, concurrency and fair share of client accounts at one entry
// instance. A configured limit applies to the whole deployment; each instance
// enforces the limit divided by the number of live instances.
#ifndef SERVERS_ROUTING_ACCOUNT_LIMITS_H_
#define SERVERS_ROUTING_ACCOUNT_LIMITS_H_

#include <cstdint>
#include <map>

#include "core/ids.h"
#include "core/time.h"
#include "core/units.h"
#include "servers/routing/token_bucket.h"

namespace cassiausher {

/// Limits of one account across the whole deployment.
struct AccountLimit {
  double requests_per_second = 100;
  /// Token bucket size: requests accepted at once after an idle period.
  double burst = 200;
  int concurrency = 1000;
  /// Weight in the fair share of an instance near its capacity, relative to
  /// the other accounts with requests in progress.
  double weight = 1;
};

struct AccountLimitsOptions {
  /// Applies to accounts without a configured limit.
  AccountLimit default_limit;
  /// Maximum number of requests in progress on this instance.
  int instance_concurrency = 10000;
  /// Fraction of instance_concurrency in use from which on no account may
  /// exceed its fair share.
  double fair_share_threshold = 0.8;
  /// Retry delay returned when only the release of another request can make
  /// room.
  Duration concurrency_retry_after = Milliseconds(500);
  /// Idle accounts are removed after this time, when their token bucket has
  /// refilled.
  Duration idle_expiry = Seconds(300);
  /// Accounts tracked at once. When none of them is idle for idle_expiry,
  /// requests of other accounts are refused with kInstanceFull.
  std::size_t max_accounts = 10000;
};

enum class LimitVerdict {
  kAdmitted,
  kRate,
  kConcurrency,
  kFairShare,
  kInstanceFull,
};

struct LimitDecision {
  LimitVerdict verdict = LimitVerdict::kAdmitted;
  Duration retry_after{0};
};

/// Not thread-safe. Each admitted request must be released exactly once.
class AccountLimits {
 public:
  explicit AccountLimits(AccountLimitsOptions options) : options_(options) {}

  void Configure(std::map<AccountId, AccountLimit> limits);
  /// Sets the number of live instances that share the limits, at least 1.
  void SetInstances(int instances);

  LimitDecision Acquire(const AccountId& account, Time now);
  /// Returns false if the account has no request in progress.
  bool Release(const AccountId& account, Time now);

  int InProgress(const AccountId& account) const;
  int InProgress() const { return in_progress_; }

 private:
  struct Usage {
    TokenBucket bucket;
    int in_progress = 0;
  };

  const AccountLimit& LimitOf(const AccountId& account) const;
  /// This instance's share of the concurrency limit, rounded up to at least
  /// one request. All instances together can therefore exceed the limit, by
  /// at most the number of instances.
  int ConcurrencyShare(const AccountLimit& limit) const;
  RequestRate RateShare(const AccountLimit& limit) const;
  double BurstShare(const AccountLimit& limit) const;
  double FairShare(const AccountId& account) const;
  /// Returns null when max_accounts is reached.
  Usage* FindOrAddUsage(const AccountId& account, Time now);
  void RemoveIdleAccounts(Time now);

  AccountLimitsOptions options_;
  std::map<AccountId, AccountLimit> limits_;
  std::map<AccountId, Usage> usage_;
  int instances_ = 1;
  int in_progress_ = 0;
  /// Sum of the weights of the accounts with requests in progress.
  double active_weight_ = 0;
};

}  // namespace cassiausher

#endif  // SERVERS_ROUTING_ACCOUNT_LIMITS_H_
