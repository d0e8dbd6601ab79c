// Decides how one request is forwarded: which calls are made to endpoints, when
// a failed call is retried, and how the request ends if no endpoint completes
// it.
#ifndef SERVERS_ENTRY_REQUEST_FORWARDER_H_
#define SERVERS_ENTRY_REQUEST_FORWARDER_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/time.h"
#include "core/units.h"
#include "servers/control/serving_configuration.h"
#include "servers/crashes/call_guard.h"
#include "servers/crashes/call_traits.h"
#include "servers/entry/call_failure.h"
#include "servers/entry/call_permits.h"
#include "servers/entry/endpoint_pool.h"
#include "servers/entry/relay_planner.h"
#include "servers/relay/relay_messages.h"
#include "servers/routing/retry_budget.h"

namespace cassiausher {

/// Properties of a request that are known on arrival.
struct RequestFacts {
  RouteKind kind = RouteKind::kNonIdempotent;
  /// A broken stream may resume at another endpoint.
  bool resumable = false;
  /// Maximum number of runs, the first included.
  int attempts = 1;
  ServiceId service;
  /// The service's endpoints are model runners.
  bool has_engine = false;
  /// Prompt length; 0 for plain services.
  Tokens prompt{0};
  /// Expected output length.
  Tokens output{0};
  /// Standard deviation of output lengths from `output`; null if unknown.
  std::optional<Tokens> output_deviation;
  int tokens_per_event = 1;
  /// KV memory of one runner.
  Tokens kv_capacity{0};
  /// Requests that one runner runs concurrently.
  int slots = 0;
  /// Target for the time from arrival to the first event.
  Duration latency_target = Seconds(1);
  /// Time for which a prefill runner keeps a prompt's KV cache.
  Duration handle_lifetime = Milliseconds(500);
  /// Client account that the request is billed to; empty for a caller without
  /// one, null if the deployment has no accounts.
  std::optional<AccountId> account;
  /// Null if the account has no quota, or another instance has charged it.
  std::optional<QuotaCost> quota_cost;
  /// Null if all requests of the service are equally urgent.
  std::optional<UrgencyRank> urgency;
  /// The route has a small share of the traffic, so the request may use memory
  /// that is kept free of other routes.
  bool small_route = false;
  Time arrived{};
  /// Earlier one of the caller's own deadline and the route's timeout.
  Time deadline{};
  Duration gap_target = Milliseconds(300);
  /// What the request's calls may have in common with those of others.
  CallTraits traits;
  /// Software version that began the stream, if its caller takes it up; null
  /// for a new one.
  std::optional<SoftwareVersion> begun_by;
  /// Another entry instance, which counts it, relayed the request to this one.
  bool relayed = false;
};

enum class CallKind {
  kPrefill,  ///< Only prefills the prompt; doesn't run the request.
  kRun,      ///< Runs the request.
  kRelay,    ///< Another entry instance serves the request.
};

/// A prompt's KV cache on the runner that prefilled it.
struct KvSource {
  std::string address;  ///< "IP:PORT" of the runner.
  std::string handle;
  EndpointId endpoint;  ///< The runner.
};

struct StartCall {
  CallKind kind = CallKind::kRun;
  /// Of a relayed request, only with the address of the helper, also as id.
  EndpointRecord endpoint;
  WorkSpec work;
  /// Runner that decodes the stream: `endpoint`, or the one that is reserved
  /// while the prompt is prefilled. Empty for plain services.
  EndpointId decode_runner;
  /// Share of its memory or slots in use with this stream, as forecast here.
  double decode_occupancy = 0;
  std::optional<KvSource> kv_source;
  /// Maximum time to the response, or to the first event of a stream, before
  /// the call counts as broken; zero for the deadline only.
  Duration answer_timeout{};
  /// An endpoint that sends nothing for this long counts as silent.
  Duration silence_limit{};
  /// Maximum time between two events; zero for the deadline only.
  Duration gap_timeout{};
  /// What the helper of a relayed request is told, but for the configuration.
  std::optional<RelayRequest> relay;
};

/// No runner has free capacity; call OnWaitElapsed() at `until`.
struct WaitForCapacity {
  Time until{};
  /// Occupancy that the picked runner would have with this request.
  double occupancy = 0;
};

/// The endpoint has a rate limit, and a permit was asked for; call OnPermit().
struct WaitForPermit {
  EndpointId endpoint;
  PermitTicket ticket{0};
};

/// The request was not executed and never will be; the caller may retry.
struct Refuse {
  std::string_view reason;
  Duration retry_after{};
  /// This instance doesn't reach the service; another one may.
  bool out_of_reach = false;
};

/// The request may have been executed, or its deadline has passed.
struct Fail {
  int status = 502;
  std::string_view reason;
};

/// A stream that the caller has a part of can't be continued.
struct AbortStream {
  std::string_view reason;
};

using ForwardStep = std::variant<StartCall, WaitForCapacity, WaitForPermit,
                                 Refuse, Fail, AbortStream>;

/// What the requests of an instance share.
struct ForwarderResources {
  EndpointPool* pool = nullptr;
  RetryBudget* budget = nullptr;
  CallPermits* permits = nullptr;
  CallGuard* guard = nullptr;
  /// Null if requests are never relayed.
  RelayPlanner* relays = nullptr;
};

/// Forwards one request. Not thread safe; the resources must outlive it.
class RequestForwarder {
 public:
  RequestForwarder(RequestFacts facts, const ForwarderResources& resources)
      : facts_(std::move(facts)),
        pool_(resources.pool),
        budget_(resources.budget),
        permits_(resources.permits),
        guard_(resources.guard),
        relays_(resources.relays),
        version_(facts_.begun_by) {}
  ~RequestForwarder() {
    StopWaiting();
    ReleaseReservation();
    ReturnPermits();
    if (awaited_.has_value()) permits_->Cancel(awaited_->ticket);
  }
  RequestForwarder(const RequestForwarder&) = delete;
  RequestForwarder& operator=(const RequestForwarder&) = delete;

  ForwardStep Start(Time now);
  /// The time of the last WaitForCapacity step has come.
  ForwardStep OnWaitElapsed(Time now);
  /// The permit of the last WaitForPermit step; null if it was refused.
  ForwardStep OnPermit(const std::optional<CallPermit>& permit, Time now);
  ForwardStep OnPrefillDone(KvSource source, Time now);
  /// The current call failed. A server error may be relayed to the caller
  /// instead; see TakeServerErrorRetry().
  ForwardStep OnCallFailed(CallFailure failure, Time now);
  /// `may_run`: an endpoint may run the request or may have run it.
  ForwardStep OnDeadline(bool may_run, Time now);
  /// Whether an earlier call may have run the request.
  bool MayHaveRun() const { return begun_ || runs_ > 0; }
  /// The first event of the stream arrived from the current endpoint. From now
  /// on only endpoints with its software version can continue the stream.
  void OnBegun();
  /// Software version of the endpoint at which the helper runs the request;
  /// null if unknown.
  void OnRelayed(const std::optional<SoftwareVersion>& version) {
    current_version_ = version;
  }
  /// Software version that the stream must stay at; null if it hasn't begun.
  const std::optional<SoftwareVersion>& FixedVersion() const {
    return version_;
  }
  /// Software version of the current endpoint; null if unknown.
  const std::optional<SoftwareVersion>& CurrentVersion() const {
    return current_version_;
  }
  /// The verdict that a call was withheld for; null if none was.
  const std::optional<VerdictId>& withheld_for() const { return withheld_for_; }
  /// Sets the number of output tokens generated so far, over all runs.
  void OnTokensGenerated(Tokens generated) { generated_ = generated; }
  /// KV memory that the request is expected to hold on its runner.
  MemoryForecast Memory() const;

  /// Whether a call that makes no progress is to be ended and continued at
  /// another endpoint. If so, the retries for that are taken, and
  /// OnCallFailed() must follow. If not, the call is kept despite its
  /// endpoint's silence.
  bool TakeFailOver(Time now);
  /// Whether a server error is to be retried at another endpoint. If so, the
  /// retries for that are taken, and OnCallFailed() must follow. If not, the
  /// error is relayed to the caller.
  bool TakeServerErrorRetry(Time now);
  /// Returns and clears a handle that no run has used and that may still hold
  /// memory.
  std::optional<KvSource> TakeUnusedHandle();

 private:
  /// Whether the request may run more than once.
  bool IsRetryable() const;
  /// Calls that one more run takes.
  int CallsPerRun() const;
  /// Whether another run may follow a failure of the current one.
  bool HasAnotherRun() const;
  /// Takes the retries for one more run. All are taken at the decision, since
  /// other requests use the budget while the prompt is prefilled again.
  bool ReserveRetries(int count, Time now);
  /// TakeFailOver() for a prefill call.
  bool TakePrefillFailOver(Time now);
  /// Whether another prefill runner would get the prompt after the current one.
  bool HasAnotherPrefillRunner(Time now);
  /// Takes a reserved retry, or else one from the budget.
  bool TakeRetry(Time now);
  bool HandleIsFresh(Time now) const;
  /// Whether a runner that is as full as this one gets the KV cache only later,
  /// since it would reject it and other runners may get room in time.
  bool ShouldKeepHandle(const Placement& runner, Time now) const;
  ForwardStep Next(Time now);
  /// The end of the request if its next call would make the endpoint crash;
  /// null if it may be made.
  std::optional<ForwardStep> Withhold(Time now);
  Reach ServiceReach() const;
  /// How the request goes on while its endpoints are out of reach; null if it
  /// is to be sent to an endpoint.
  std::optional<ForwardStep> ChooseRelay(Time now);
  ForwardStep Relay(const RelayHelper& helper, Time now);
  /// The next call; null if no endpoint can take it.
  std::optional<ForwardStep> ChooseCall(Time now);
  /// Admits the endpoints that may be sound although a call to them was given
  /// up. Returns whether there are any.
  bool ReadmitSilentEndpoints();
  /// Why no call can be made.
  std::string_view NoEndpointReason(Time now) const;
  /// As EndpointPool::Pick(), among the endpoints whose rate limit has room for
  /// this call. Null with `awaited_` set if that isn't known yet.
  std::optional<Placement> PickWithPermit(WorkSpec work, Time now);
  /// When endpoints that the request could use take work again, if some turned
  /// requests away; null if none did.
  std::optional<Time> BackoffEnd(Time now) const;
  bool HoldsPermit(const EndpointId& endpoint) const;
  void UsePermit(const EndpointId& endpoint);
  void ReturnPermits();
  /// Whether a retry finds an endpoint that has no rate limit or, with
  /// `may_ask`, one whose limit isn't known to be used up. Endpoints that are a
  /// last resort don't count: a retry there could fail.
  bool HasRoomForRetry(bool may_ask, Time now);
  std::optional<ForwardStep> ChooseModelCall(Time now);
  std::optional<StartCall> ChoosePrefill(
      const std::optional<SoftwareVersion>& version, Time now);
  /// A decode runner and a prefill runner of the same software version, where
  /// the picked decode runner has no prefill runner of its own version.
  std::optional<ForwardStep> ChoosePairOfOtherVersion(const WorkSpec& decode,
                                                      Time now);
  /// The call to the prefill runner, with the decode runner reserved.
  ForwardStep Prefill(StartCall prefill, const Placement& runner,
                      const WorkSpec& decode);
  std::optional<ForwardStep> ChoosePlainCall(Time now);
  /// Whether the request can wait for capacity and still meet its latency
  /// target.
  bool CanWaitForCapacity(Time now) const;
  /// Share of a runner's memory that placement may fill. The rest is kept for
  /// outputs that exceed their expected length.
  double FullOccupancy() const;
  /// The same for this request: higher on a rare route, lower for a less urgent
  /// request, which leaves headroom for urgent ones.
  double OccupancyLimit(double full_occupancy) const;
  void StopWaiting();
  void ReserveMemory(const EndpointId& endpoint, const WorkSpec& work);
  /// Returns the endpoint of the reservation; empty if there was none.
  EndpointId ReleaseReservation();
  Duration RetryAfter(Time now) const;
  ForwardStep Issue(StartCall call, Time now);
  ForwardStep GiveUp(std::string_view reason, Time now);
  WorkSpec MakeWorkSpec(EndpointRole role) const;
  /// How long a stream that can fail over may pause.
  Duration GapTimeout() const;

  RequestFacts facts_;
  EndpointPool* pool_;
  RetryBudget* budget_;
  CallPermits* permits_;
  CallGuard* guard_;
  RelayPlanner* relays_;

  CallKind current_ = CallKind::kRun;
  EndpointId current_endpoint_;
  std::optional<SoftwareVersion> current_version_;
  std::optional<KvSource> kv_source_;
  /// Software version of the decode runner that the prompt is prefilled for;
  /// null if unknown. Only runners of this version can use the KV cache.
  std::optional<SoftwareVersion> prefill_version_;
  Time prefilled_at_{};
  int prefill_failures_ = 0;
  /// Runs that were rejected without being executed.
  int handle_rejections_ = 0;
  /// Excluded from further calls.
  std::set<EndpointId> failed_endpoints_;
  /// The part of `failed_endpoints_` that only sent nothing in time.
  std::set<EndpointId> silent_endpoints_;
  /// Failed runs that began or may have begun. At most `attempts`, and at most
  /// one if the request isn't retryable.
  int runs_ = 0;
  /// Failed calls that reached an endpoint. After the first, every further call
  /// takes a retry from the budget.
  int failed_calls_sent_ = 0;
  int calls_ = 0;
  /// Addresses of the helpers that the request was relayed to.
  std::set<std::string> tried_helpers_;
  /// The current call took a retry.
  bool is_retry_ = false;
  /// Taken from the budget and not used yet.
  int reserved_retries_ = 0;
  /// Decode runner of the stream while its prompt is prefilled.
  struct Reservation {
    EndpointId endpoint;
    MemoryForecast memory;
  };
  std::optional<Reservation> reservation_;
  /// Permits that were granted and not used yet.
  std::vector<CallPermit> held_permits_;
  std::optional<WaitForPermit> awaited_;
  /// The request is the trial of a verdict, until one of its calls fails at an
  /// endpoint.
  bool is_trial_ = false;
  std::optional<VerdictId> withheld_for_;
  /// When a trial of that verdict is due.
  Time withheld_until_{};
  /// Earliest time at which an endpoint that refused a permit may have room.
  std::optional<Time> room_at_;
  /// An endpoint has begun the stream for this request.
  bool begun_ = false;
  /// Software version that began the stream; null before, or if unknown.
  std::optional<SoftwareVersion> version_;
  Tokens generated_{0};
  /// Counted in the pool's waiting requests.
  bool waiting_ = false;
  /// All other runners were full.
  bool accepts_quiet_ = false;
};

}  // namespace cassiausher

#endif  // SERVERS_ENTRY_REQUEST_FORWARDER_H_
