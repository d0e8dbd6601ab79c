// The default policy: a single decision reserves prefill, link bandwidth and a
// decode slot together, and a request that can't meet its first-token target is
// refused at once.
#ifndef MODULES_POLICY_RESERVING_RESERVING_POLICY_H_
#define MODULES_POLICY_RESERVING_RESERVING_POLICY_H_

#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "modules/policy_reserving/class_statistics.h"
#include "modules/policy_reserving/fair_queue.h"
#include "modules/policy_reserving/link_calendar.h"
#include "modules/policy_reserving/prefix_index.h"
#include "servers/routing/policy_base.h"

namespace cassiausher {

/// Invariants: a grant never gives an engine more requests than it has slots;
/// each link reservation is released exactly once.
///
/// Memory of a queued request: about 1.3 KB with 8 prefix hashes and a
/// 35-character id. A pool keeps at most 16,384 requests.
class ReservingPolicy : public PolicyBase {
 public:
  explicit ReservingPolicy(RoutingOptions options);

  void Reconfigure(const RoutingOptions& options, Time now) override;
  void Tick(Time now) override;
  Time NextWakeup() const override;

 protected:
  void Place(Request& request, Time now) override;
  void OnCapacity(Time now) override;
  void OnDequeue(const Request& request, Time now) override;
  void OnBegin(Request& request, Time now) override;
  void OnEnd(const Request& request, Time now) override;
  void OnPrefillDone(Request& request, Time now) override;
  void OnFirstOutput(const Request& request, Time now) override;
  void OnOutputComplete(const Request& request, Tokens output,
                        Time now) override;
  void ApplyCacheEvent(const PoolEndpoint& endpoint, const CacheEvent& event,
                       Time now) override;

 private:
  /// Ordered by priority number, lowest first, then by class name.
  using ClassKey = std::pair<int, ClassId>;

  struct ClassState {
    FairQueue queue;
    ClassStatistics statistics;
    /// Requests of the class that were granted or adopted and have not ended.
    int held = 0;
  };

  /// Candidate placement of a request with its predicted times.
  struct Plan {
    std::shared_ptr<PoolEndpoint> prefill;
    std::shared_ptr<PoolEndpoint> decode;
    Tokens prefill_tokens{0};
    Time prefill_end{};
    Bytes transfer{0};
    Time first_token{};
  };

  /// What a granted or adopted request has reserved, until it ends.
  struct RequestReservation {
    LinkCalendar::Reservation link;
    Bytes transfer{0};
    Bytes kv{0};
    Time predicted_first_token{};
    /// When the transfer in progress is expected to result in a first token.
    Time transfer_due{};
  };

  enum class Outcome { kStarted, kWait, kInfeasible };

  ClassState& StateOf(const Request& request);
  Outcome TryStart(Request& request, Time now);
  /// Selects the engine with the earliest end of prefill. Returns false if no
  /// prefill engine is available.
  bool ChoosePrefill(const Request& request, Plan& plan, Time now) const;
  std::shared_ptr<PoolEndpoint> ChooseDecode(const Request& request,
                                             Time now) const;
  /// Slots kept free for classes with a lower priority number.
  int Headroom(const Request& request, Time now) const;
  /// Time from a grant to the first token on idle engines and an idle link.
  Duration UnloadedLatency(const Request& request) const;
  /// The first-token deadline. A prompt that would miss its target even on idle
  /// engines gets kRelaxedTargetFactor times its unloaded latency and margin; a
  /// request whose previous attempt failed gets a new deadline.
  Time EffectiveDeadline(const Request& request, Time now) const;
  /// Expected queueing time of a request with `ahead` requests before it.
  Duration ExpectedWait(const Request& request, std::size_t ahead,
                        Time now) const;
  /// Estimated slots freed per second, from the mean residence time of each
  /// class.
  double SlotsFreedPerSecond() const;
  /// Returns whether a transfer is overdue. No prefill is started then, as its
  /// result would be dropped before it could be transferred.
  bool LinkStalled(Time now) const;
  /// Safety margin between a predicted first token and the deadline; grows with
  /// `prefill_thrift` and the observed prediction error.
  Duration Margin(const Request& request) const;
  Duration RetryAfter() const;
  /// Takes one retry from the budget, or adds to the budget for a first
  /// attempt. Returns false if the budget is exhausted.
  bool TakeRetry(const Request& request);
  void Enqueue(Request& request, Time now);
  /// Refuses requests from the drop end of the queues while they are not
  /// expected to start in time.
  void ShedLateRequests(Time now);
  Bytes KvBytes(const PoolEndpoint& decode, Tokens tokens) const;
  /// Expected final size of the request's KV cache.
  Bytes KvNeed(const Request& request, const PoolEndpoint& decode) const;

  std::map<ClassKey, ClassState> classes_;
  /// Queued requests by `grant_by`, after which they are refused.
  std::set<std::pair<Time, RequestId>> timers_;
  std::unordered_map<RequestId, RequestReservation> reservations_;
  /// Transfers in progress by `transfer_due`.
  std::set<std::pair<Time, RequestId>> transfers_due_;
  LinkCalendar link_;
  PrefixIndex prefixes_;
  /// Prompt tokens of the queued requests that need a prefill engine.
  Tokens queued_prefill_tokens_{0};
  /// Retries left in the budget.
  double retry_tokens_;
  /// Moving average of the time to the first token, from the reserved end of
  /// the transfer or the expected end of a prefill on the decode engine.
  double first_step_seconds_;
  /// Moving average of the absolute error of the predicted first-token time of
  /// requests with a prefill engine.
  double prediction_error_seconds_ = 0;
};

}  // namespace cassiausher

#endif  // MODULES_POLICY_RESERVING_RESERVING_POLICY_H_
