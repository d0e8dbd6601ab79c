#include "servers/accounts/client_account.h"

namespace cassiausher {

AccountQuota WithTolerance(AccountQuota quota,
                           const QuotaTolerance& tolerance) {
  constexpr double kUsedPart = 0.5;
  const double units =
      quota.per_second * ToSeconds(tolerance.window) + quota.burst;
  quota.burst += kUsedPart * (tolerance.overage * units + tolerance.slack);
  return quota;
}

}  // namespace cassiausher
