// Token buckets, concurrency and fair share of accounts.
#include "servers/routing/account_limits.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cassiausher {

namespace {

// A weight of 0 would leave an account without any fair share.
constexpr double kMinWeight = 1e-3;

double WeightOf(const AccountLimit& limit) {
  return std::max(limit.weight, kMinWeight);
}

}  // namespace

void AccountLimits::Configure(std::map<AccountId, AccountLimit> limits) {
  limits_ = std::move(limits);
  active_weight_ = 0;
  for (const auto& [account, usage] : usage_) {
    if (usage.in_progress > 0) active_weight_ += WeightOf(LimitOf(account));
  }
}

void AccountLimits::SetInstances(int instances) {
  instances_ = std::max(1, instances);
}

const AccountLimit& AccountLimits::LimitOf(const AccountId& account) const {
  const auto found = limits_.find(account);
  return found == limits_.end() ? options_.default_limit : found->second;
}

int AccountLimits::ConcurrencyShare(const AccountLimit& limit) const {
  return std::max(1, (limit.concurrency + instances_ - 1) / instances_);
}

RequestRate AccountLimits::RateShare(const AccountLimit& limit) const {
  return RequestRate(limit.requests_per_second / instances_);
}

double AccountLimits::BurstShare(const AccountLimit& limit) const {
  return std::max(limit.burst / instances_, 1.0);
}

double AccountLimits::FairShare(const AccountId& account) const {
  const double weight = WeightOf(LimitOf(account));
  const double others =
      InProgress(account) > 0 ? active_weight_ - weight : active_weight_;
  return options_.instance_concurrency * weight /
         (weight + std::max(0.0, others));
}

AccountLimits::Usage* AccountLimits::FindOrAddUsage(const AccountId& account,
                                                    Time now) {
  const auto found = usage_.find(account);
  if (found != usage_.end()) return &found->second;
  if (usage_.size() >= options_.max_accounts) RemoveIdleAccounts(now);
  if (usage_.size() >= options_.max_accounts) return nullptr;
  Usage& usage = usage_[account];
  usage.bucket = TokenBucket(BurstShare(LimitOf(account)), now);
  return &usage;
}

void AccountLimits::RemoveIdleAccounts(Time now) {
  std::erase_if(usage_, [&](const auto& entry) {
    return entry.second.in_progress == 0 &&
           now - entry.second.bucket.refilled_at() >= options_.idle_expiry;
  });
}

LimitDecision AccountLimits::Acquire(const AccountId& account, Time now) {
  if (in_progress_ >= options_.instance_concurrency) {
    return {LimitVerdict::kInstanceFull, options_.concurrency_retry_after};
  }
  Usage* usage = FindOrAddUsage(account, now);
  if (usage == nullptr) {
    return {LimitVerdict::kInstanceFull, options_.concurrency_retry_after};
  }
  const AccountLimit& limit = LimitOf(account);
  const RequestRate rate = RateShare(limit);
  usage->bucket.Refill(rate, BurstShare(limit), now);
  if (usage->in_progress >= ConcurrencyShare(limit)) {
    return {LimitVerdict::kConcurrency, options_.concurrency_retry_after};
  }
  const bool near_capacity = in_progress_ >= options_.fair_share_threshold *
                                                 options_.instance_concurrency;
  if (near_capacity &&
      usage->in_progress + 1 > std::max(1.0, FairShare(account))) {
    return {LimitVerdict::kFairShare, options_.concurrency_retry_after};
  }
  // Checked last, so that a request refused for another reason takes no token.
  if (usage->bucket.Take(1) == 0) {
    return {LimitVerdict::kRate, usage->bucket.UntilNext(rate)};
  }
  if (usage->in_progress == 0) active_weight_ += WeightOf(limit);
  ++usage->in_progress;
  ++in_progress_;
  return {};
}

bool AccountLimits::Release(const AccountId& account, Time now) {
  (void)now;
  const auto found = usage_.find(account);
  if (found == usage_.end() || found->second.in_progress == 0) return false;
  --found->second.in_progress;
  --in_progress_;
  if (found->second.in_progress == 0) {
    active_weight_ = std::max(0.0, active_weight_ - WeightOf(LimitOf(account)));
  }
  return true;
}

int AccountLimits::InProgress(const AccountId& account) const {
  const auto found = usage_.find(account);
  return found == usage_.end() ? 0 : found->second.in_progress;
}

}  // namespace cassiausher
