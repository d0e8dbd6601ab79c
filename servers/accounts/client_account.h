// Client accounts, which requests are billed to, and their limits.
#ifndef SERVERS_ACCOUNTS_CLIENT_ACCOUNT_H_
#define SERVERS_ACCOUNTS_CLIENT_ACCOUNT_H_

#include <optional>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "core/units.h"

namespace cassiausher {

/// What a quota counts.
enum class QuotaUnit {
  kRequests,
  kTokens,  ///< Prompt tokens and the maximum output of a request.
};

/// Limit of a client account over all entry instances together.
struct AccountQuota {
  QuotaUnit unit = QuotaUnit::kRequests;
  /// Units a second; 0 for no limit.
  double per_second = 0;
  /// Units that are let through at once after an idle period.
  double burst = 0;
  /// Units of a request that names no token counts, if tokens are counted.
  Tokens plain_tokens{0};

  bool operator==(const AccountQuota&) const = default;
};

/// How far the units admitted in a window may exceed a quota, which leaves room
/// for what instances don't know of each other.
struct QuotaTolerance {
  Duration window{};
  /// Share of the units of a window and its burst.
  double overage = 0;
  /// Units.
  double slack = 0;
};

/// Half of the tolerance is added to the burst, so that demand which meets the
/// quota over a window isn't refused for being uneven within it. The other half
/// covers what instances admit without knowing of each other.
AccountQuota WithTolerance(AccountQuota quota, const QuotaTolerance& tolerance);

/// What a request takes from the quota of its account.
struct QuotaCost {
  AccountId account;
  AccountQuota quota;
  double units = 0;
};

/// Who a request is billed to.
struct ClientAccount {
  AccountId id;
  std::vector<std::string> keys;
  /// Takes precedence over the priority of the route; 0 is the most urgent.
  std::optional<int> priority;
  AccountQuota quota;
};

}  // namespace cassiausher

#endif  // SERVERS_ACCOUNTS_CLIENT_ACCOUNT_H_
