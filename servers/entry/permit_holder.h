// Permits of one entry instance for calls to endpoints with a rate limit: asks
// the issuer for them when requests need them. While no issuer answers, the
// instance keeps to an equal share of the limit.
#ifndef SERVERS_ENTRY_PERMIT_HOLDER_H_
#define SERVERS_ENTRY_PERMIT_HOLDER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "core/ids.h"
#include "core/random.h"
#include "core/time.h"
#include "core/units.h"
#include "servers/control/rate_limits.h"
#include "servers/entry/call_permits.h"
#include "servers/routing/token_bucket.h"

namespace cassiausher {

struct PermitHolderOptions {
  /// An issuer that doesn't answer for this long is left aside; a lookup has
  /// some hundred milliseconds in all.
  Duration answer_timeout = Milliseconds(100);
  /// An issuer that was left aside is asked again after this time.
  Duration trial_period = Milliseconds(400);
  /// A permit that nobody waits for any more may be used for this long.
  Duration permit_lifetime = Milliseconds(300);
  std::uint64_t random_seed = 1;
};

/// A request to the issuer.
struct PermitAsk {
  std::uint64_t number = 0;
  EndpointId endpoint;
  int calls = 0;
};

/// The issuer's answer to an ask.
struct PermitReply {
  std::uint64_t number = 0;
  EndpointId endpoint;
  int granted = 0;
  Duration retry_after{};
};

/// A request that waited for a permit need not wait any longer.
struct PermitOutcome {
  PermitTicket ticket{0};
  /// Null if refused.
  std::optional<CallPermit> permit;
};

/// Not thread safe; `limits` must outlive it.
class PermitHolder : public CallPermits {
 public:
  PermitHolder(PermitHolderOptions options, const RateLimits* limits)
      : options_(options), limits_(limits), random_(options.random_seed) {}

  // CallPermits.
  PermitResult Take(const EndpointId& endpoint, Time now) override;
  PermitResult TakeWithoutAsking(const EndpointId& endpoint, Time now) override;
  bool IsLimited(const EndpointId& endpoint) const override {
    return limits_->Find(endpoint).has_value();
  }
  bool MayHaveRoom(const EndpointId& endpoint, Time now) const override;
  void Return(const CallPermit& permit) override;
  void Cancel(PermitTicket ticket) override;

  /// Sets the control instance to ask; empty if there is none.
  void SetIssuer(const InstanceId& issuer, Time now);
  /// Sets how many entry instances share a limit while there is no issuer.
  void SetEntryInstances(std::uint32_t count);
  const InstanceId& issuer() const { return issuer_; }

  /// The asks to send to the issuer. Call after Take() and the calls below.
  std::vector<PermitAsk> TakeAsks(Time now);
  void OnReply(const InstanceId& from, const PermitReply& reply, Time now);
  /// The issuer answered that it no longer issues permits.
  void OnNotIssuer(const InstanceId& from, Time now);
  /// Gives up on unanswered asks, and lets requests go whose endpoint has no
  /// limit any more. Call at least every 25 ms.
  void CheckTimeouts(Time now);
  std::vector<PermitOutcome> TakeOutcomes();

 private:
  struct Ask {
    std::uint64_t number = 0;
    int calls = 0;
    Time sent_at{};
  };
  struct Endpoint {
    /// Requests that wait, in order of arrival.
    std::deque<PermitTicket> waiting;
    /// At most one ask is on its way.
    std::optional<Ask> ask;
    /// Permits that nobody waits for.
    std::deque<CallPermit> spare;
    /// The issuer has no permit before.
    Time refused_until{};
    /// This instance's share of the limit while there is no issuer.
    TokenBucket share;
    /// Value of `share_period_` for which `share` was begun.
    std::uint64_t share_period = 0;
  };

  bool IssuerAnswers() const { return !issuer_.empty() && !issuer_silent_; }
  CallPermit MakePermit(const EndpointId& endpoint, Time now) const;
  std::optional<CallPermit> TakeSpare(Endpoint& entry, Time now);
  PermitResult TakeOwnShare(const EndpointId& endpoint, Endpoint& entry,
                            RequestRate limit, Time now);
  void ReleaseUnlimited(Time now);
  /// The issuer is lost: requests that wait get a part of the own share.
  void FallBackToOwnShare(Time now);

  PermitHolderOptions options_;
  const RateLimits* limits_;
  Random random_;
  InstanceId issuer_;
  /// The issuer hasn't answered an ask in time.
  bool issuer_silent_ = false;
  Time next_trial_{};
  std::uint32_t entry_instances_ = 1;
  /// Counts the periods without an issuer.
  std::uint64_t share_period_ = 1;
  std::uint64_t next_ticket_ = 1;
  std::uint64_t next_ask_ = 1;
  std::map<EndpointId, Endpoint> endpoints_;
  std::vector<PermitOutcome> outcomes_;
};

}  // namespace cassiausher

#endif  // SERVERS_ENTRY_PERMIT_HOLDER_H_
