#include "servers/control/quota_issuer.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cassiausher {
namespace {

// Shortest and longest time after which a refused request is worth repeating.
constexpr Duration kMinRetryAfter = Milliseconds(200);
constexpr Duration kMaxRetryAfter = Seconds(5);
// Use below this many units isn't worth a line in each update.
constexpr double kNegligibleUse = 0.5;

}  // namespace

void QuotaIssuer::Begin(Time now) {
  began_at_ = now;
  replayed_ = false;
  for (auto& [id, account] : accounts_) {
    account.used_by.clear();
    account.history.clear();
    account.open = true;
    account.changed = false;
  }
}

bool QuotaIssuer::IsReady(Time now) const {
  return now - began_at_ >= options_.collect_time;
}

void QuotaIssuer::SetAccounts(const std::vector<ClientAccount>& accounts) {
  std::map<AccountId, Account> kept;
  for (const ClientAccount& given : accounts) {
    if (given.quota.per_second <= 0) continue;
    const auto found = accounts_.find(given.id);
    Account account;
    if (found != accounts_.end()) {
      account = std::move(found->second);
      account.level = std::min(account.level, given.quota.burst);
    } else {
      account.level = given.quota.burst;
      account.refilled_at = began_at_;
    }
    account.quota = given.quota;
    UpdateOpen(account);
    kept[given.id] = std::move(account);
  }
  accounts_ = std::move(kept);
}

void QuotaIssuer::OnHeard(const InstanceId& instance, Time now) {
  heard_at_[instance] = now;
}

void QuotaIssuer::OnHistory(const InstanceId& instance,
                            const AccountId& account,
                            const std::vector<QuotaUse>& uses, Time now) {
  const auto found = accounts_.find(account);
  if (found == accounts_.end()) return;
  double total = 0;
  for (const QuotaUse& use : uses) {
    if (use.age > options_.history_length) continue;
    total += use.units;
    if (!replayed_)
      found->second.history.emplace_back(now - use.age, use.units);
  }
  RecentUse& use = found->second.used_by[instance];
  use.units = UseOf(use, now) + total;
  use.updated_at = now;
  // One that arrives late is charged as it is.
  if (replayed_) {
    Refill(found->second, now);
    found->second.level -= total;
    UpdateOpen(found->second);
  }
}

void QuotaIssuer::Replay(Account& account, Time now) const {
  std::sort(account.history.begin(), account.history.end());
  account.level = account.quota.burst;
  account.refilled_at = now - options_.history_length;
  for (const auto& [at, units] : std::exchange(account.history, {})) {
    const Duration elapsed = std::max(Duration(0), at - account.refilled_at);
    account.level =
        std::min(account.quota.burst,
                 account.level + ToSeconds(elapsed) * account.quota.per_second);
    account.refilled_at = std::max(account.refilled_at, at);
    account.level -= units;
  }
}

void QuotaIssuer::ReplayIfReady(Time now) {
  if (replayed_ || !IsReady(now)) return;
  replayed_ = true;
  for (auto& [id, account] : accounts_) Replay(account, now);
}

QuotaIssuer::Account* QuotaIssuer::Find(const AccountId& account) {
  const auto found = accounts_.find(account);
  return found == accounts_.end() ? nullptr : &found->second;
}

double QuotaIssuer::UseOf(const RecentUse& use, Time now) const {
  const double half_lives =
      ToSeconds(now - use.updated_at) / ToSeconds(options_.use_half_life);
  return use.units * std::exp2(-std::max(0.0, half_lives));
}

double QuotaIssuer::EqualShare() const {
  return 1 / static_cast<double>(std::max<std::size_t>(1, heard_at_.size()));
}

double QuotaIssuer::ShareOf(const Account& account, const InstanceId& instance,
                            Time now) const {
  double total = 0;
  double own = 0;
  for (const auto& [user, use] : account.used_by) {
    const double units = std::max(0.0, UseOf(use, now));
    total += units;
    if (user == instance) own = units;
  }
  const double equal = EqualShare();
  if (total < kNegligibleUse) return equal;
  return options_.equal_part * equal + (1 - options_.equal_part) * own / total;
}

double QuotaIssuer::Withheld(const Account& account, Time now) const {
  const double equal = EqualShare();
  double withheld = 0;
  for (const auto& [instance, heard_at] : heard_at_) {
    if (now - heard_at < options_.silence_limit) continue;
    // What the instance keeps to, as it was last told. A predecessor may have
    // told it another share.
    const auto use = account.used_by.find(instance);
    const bool told =
        use != account.used_by.end() && use->second.told_share > 0;
    withheld += told ? use->second.told_share : equal;
  }
  return std::min(1.0, withheld);
}

void QuotaIssuer::Refill(Account& account, Time now) const {
  const double elapsed =
      ToSeconds(std::max(Duration(0), now - account.refilled_at));
  // The common case, without a look at each instance.
  const bool all_heard =
      std::all_of(heard_at_.begin(), heard_at_.end(), [&](const auto& item) {
        return now - item.second < options_.silence_limit;
      });
  const double rate =
      account.quota.per_second * (all_heard ? 1.0 : 1 - Withheld(account, now));
  account.level = std::min(account.quota.burst, account.level + elapsed * rate);
  account.refilled_at = std::max(account.refilled_at, now);
  UpdateOpen(account);
}

void QuotaIssuer::UpdateOpen(Account& account) const {
  const double limit =
      account.open ? options_.closed_below : options_.open_above;
  const bool open = account.level >= limit * account.quota.burst;
  if (open == account.open) return;
  account.open = open;
  account.changed = true;
}

void QuotaIssuer::Take(Account& account, const InstanceId& instance,
                       double units, Time now) {
  account.level -= units;
  RecentUse& use = account.used_by[instance];
  use.units = UseOf(use, now) + units;
  use.updated_at = now;
  UpdateOpen(account);
}

void QuotaIssuer::Charge(const InstanceId& instance, const AccountId& account,
                         double units, Time now) {
  OnHeard(instance, now);
  ReplayIfReady(now);
  Account* entry = Find(account);
  if (entry == nullptr) return;
  if (!replayed_) {
    entry->history.emplace_back(now, units);
    return;
  }
  Refill(*entry, now);
  Take(*entry, instance, units, now);
}

QuotaGrant QuotaIssuer::Ask(const InstanceId& instance, const QuotaDemand& ask,
                            Time now) {
  OnHeard(instance, now);
  ReplayIfReady(now);
  Account* entry = Find(ask.account);
  if (entry == nullptr) return {.granted = ask.wanted};
  if (!replayed_) return {.retry_after = options_.collect_time};
  Refill(*entry, now);
  QuotaGrant grant;
  // The first request may overdraw the bucket, so that a large one isn't passed
  // over for ever by small ones. The debt is at most one request.
  if (entry->level > 0) {
    grant.granted = std::min(ask.wanted, std::max(ask.first, entry->level));
    Take(*entry, instance, grant.granted, now);
  }
  if (grant.granted >= ask.wanted) return grant;
  const double missing = ask.wanted - grant.granted - entry->level;
  const double wait = std::max(0.0, missing) / entry->quota.per_second;
  // Spread over twice the time, so that those refused don't return together.
  grant.retry_after = std::clamp(FromSeconds(wait * (1 + random_.Unit())),
                                 kMinRetryAfter, kMaxRetryAfter);
  return grant;
}

std::vector<QuotaState> QuotaIssuer::StatesFor(const InstanceId& instance,
                                               Time now) {
  ReplayIfReady(now);
  std::vector<QuotaState> states;
  for (auto& [id, entry] : accounts_) {
    if (replayed_) Refill(entry, now);
    const auto use = entry.used_by.find(instance);
    const bool used =
        use != entry.used_by.end() && UseOf(use->second, now) >= kNegligibleUse;
    if (entry.open && !used) continue;
    const double share = ShareOf(entry, instance, now);
    if (used) use->second.told_share = share;
    states.push_back({.account = id, .open = entry.open, .share = share});
  }
  return states;
}

std::vector<QuotaState> QuotaIssuer::TakeChanged(Time now) {
  std::vector<QuotaState> states;
  if (!replayed_) return states;
  for (auto& [id, entry] : accounts_) {
    if (!entry.open) Refill(entry, now);
    if (!std::exchange(entry.changed, false)) continue;
    states.push_back({.account = id, .open = entry.open});
  }
  return states;
}

int QuotaIssuer::AccountsNeedingGrants() const {
  return static_cast<int>(
      std::count_if(accounts_.begin(), accounts_.end(),
                    [](const auto& item) { return !item.second.open; }));
}

void QuotaIssuer::Expire(Time now) {
  std::erase_if(heard_at_, [&](const auto& item) {
    return now - item.second >= options_.withhold_time;
  });
  for (auto& [id, entry] : accounts_) {
    std::erase_if(entry.used_by, [&](const auto& item) {
      const auto heard = heard_at_.find(item.first);
      const bool is_silent = heard != heard_at_.end() &&
                             now - heard->second >= options_.silence_limit;
      return !is_silent && std::abs(UseOf(item.second, now)) < kNegligibleUse;
    });
  }
}

}  // namespace cassiausher
