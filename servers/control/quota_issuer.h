// Keeps the quotas of client accounts for all entry instances together. One
// control instance at a time is the issuer.
//
// While an account's bucket is well filled it is open: entry instances admit
// its requests by themselves and report them afterwards. Otherwise they ask
// first.
#ifndef SERVERS_CONTROL_QUOTA_ISSUER_H_
#define SERVERS_CONTROL_QUOTA_ISSUER_H_

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "core/ids.h"
#include "core/random.h"
#include "core/time.h"
#include "servers/accounts/client_account.h"

namespace cassiausher {

struct QuotaIssuerOptions {
  /// A new issuer waits this long for the histories of entry instances.
  Duration collect_time = Milliseconds(600);
  /// Length of those histories. Longer than any window in which a quota must
  /// hold, so that it holds across a change of the issuer.
  Duration history_length = Seconds(10);
  /// Share of the burst below which an account is closed.
  double closed_below = 0.5;
  /// A closed account is opened again above this share, so that it doesn't
  /// change with each request.
  double open_above = 0.6;
  /// An entry instance that wasn't heard of for this long may keep to its share
  /// of each quota by itself.
  Duration silence_limit = Milliseconds(1500);
  /// The share of a silent instance is withheld for this long.
  Duration withhold_time = Seconds(30);
  /// Part of each quota that is shared out equally; the rest goes by recent
  /// use.
  double equal_part = 0.1;
  /// Half-life of recent use.
  Duration use_half_life = Seconds(5);
  std::uint64_t random_seed = 1;
};

/// Units that an entry instance admitted, by age.
struct QuotaUse {
  Duration age{};
  double units = 0;
};

/// Requests of one account that wait at an entry instance.
struct QuotaDemand {
  AccountId account;
  /// Cost of the first request that waits.
  double first = 0;
  /// Cost of all that wait.
  double wanted = 0;
};

struct QuotaGrant {
  double granted = 0;
  /// When there is likely to be room; 0 if all was granted.
  Duration retry_after{};
};

/// What an entry instance is told of an account.
struct QuotaState {
  AccountId account;
  bool open = true;
  /// Share of the quota that the instance keeps to without an issuer; 0 if the
  /// sender doesn't say.
  double share = 0;
};

/// Not thread safe.
class QuotaIssuer {
 public:
  explicit QuotaIssuer(QuotaIssuerOptions options)
      : options_(options), random_(options.random_seed) {}

  /// This instance begins to be the issuer, without any state.
  void Begin(Time now);
  /// Whether the histories are collected.
  bool IsReady(Time now) const;
  /// Replaces the quotas. Accounts that aren't named have none.
  void SetAccounts(const std::vector<ClientAccount>& accounts);

  /// The entry instance is alive and reaches this one.
  void OnHeard(const InstanceId& instance, Time now);
  /// What an instance admitted before this one became the issuer.
  void OnHistory(const InstanceId& instance, const AccountId& account,
                 const std::vector<QuotaUse>& uses, Time now);
  /// The instance admitted that much by itself; less than 0 is given back.
  void Charge(const InstanceId& instance, const AccountId& account,
              double units, Time now);
  QuotaGrant Ask(const InstanceId& instance, const QuotaDemand& ask, Time now);

  /// The state of the accounts that are closed or that the instance used
  /// lately. All others are open.
  std::vector<QuotaState> StatesFor(const InstanceId& instance, Time now);
  /// The accounts whose state has changed since the last call.
  std::vector<QuotaState> TakeChanged(Time now);
  /// Accounts whose requests need a grant.
  int AccountsNeedingGrants() const;
  /// Forgets instances that are silent for longer than their share is withheld.
  void Expire(Time now);

 private:
  struct RecentUse {
    double units = 0;
    Time updated_at{};
    /// The share that the instance was last told.
    double told_share = 0;
  };
  struct Account {
    AccountQuota quota;
    /// Units that may be admitted now; below 0 after charges.
    double level = 0;
    Time refilled_at{};
    bool open = true;
    bool changed = false;
    std::map<InstanceId, RecentUse> used_by;
    /// Until the histories are collected.
    std::vector<std::pair<Time, double>> history;
  };

  Account* Find(const AccountId& account);
  /// Charges the histories once they are collected.
  void ReplayIfReady(Time now);
  void Refill(Account& account, Time now) const;
  /// Charges the histories to a bucket that was full before them.
  void Replay(Account& account, Time now) const;
  void Take(Account& account, const InstanceId& instance, double units,
            Time now);
  void UpdateOpen(Account& account) const;
  double UseOf(const RecentUse& use, Time now) const;
  /// Share of each known entry instance if all had the same.
  double EqualShare() const;
  double ShareOf(const Account& account, const InstanceId& instance,
                 Time now) const;
  /// Part of the account's rate that silent instances may use by themselves.
  double Withheld(const Account& account, Time now) const;

  QuotaIssuerOptions options_;
  Random random_;
  Time began_at_{};
  bool replayed_ = false;
  std::map<AccountId, Account> accounts_;
  /// When each entry instance was last heard of.
  std::map<InstanceId, Time> heard_at_;
};

}  // namespace cassiausher

#endif  // SERVERS_CONTROL_QUOTA_ISSUER_H_
