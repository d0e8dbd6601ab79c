// Decides where one request goes and what its caller is told when that fails:
// which calls are made to endpoints, what may be repeated, and the final
// answer.
#ifndef SERVERS_ENTRY_REQUEST_FORWARDER_H_
#define SERVERS_ENTRY_REQUEST_FORWARDER_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>

#include "core/time.h"
#include "core/units.h"
#include "servers/control/serving_configuration.h"
#include "servers/entry/endpoint_pool.h"
#include "servers/routing/retry_budget.h"

namespace cassiausher {

/// What is known of a request when it arrives.
struct RequestFacts {
  RouteKind kind = RouteKind::kNonIdempotent;
  bool resumable = false;
  /// Endpoints that may run it.
  int attempts = 1;
  ServiceId service;
  /// The service's endpoints are model runners.
  bool has_engine = false;
  /// Size of the prompt; 0 for plain services.
  Tokens prompt{0};
  /// Expected size of the answer.
  Tokens output{0};
  /// How far answers differ from that; null if unknown.
  std::optional<Tokens> output_deviation;
  int tokens_per_event = 1;
  /// Memory of one runner.
  Tokens kv_capacity{0};
  /// Requests that one runner runs at once.
  int slots = 0;
  /// Time to the first event that the caller is promised.
  Duration latency_target = Seconds(1);
  /// Time for which a runner keeps a prompt that it read.
  Duration handle_lifetime = Milliseconds(500);
  /// Its route has a small share of the traffic, so it may use the memory that
  /// is kept free of the others.
  bool small_route = false;
  Time arrived{};
  /// End of the caller's patience or of the route's timeout.
  Time deadline{};
  Duration gap_target = Milliseconds(300);
};

enum class CallKind {
  kPrefill,  ///< Only reads the prompt. Doesn't run the request.
  kRun,      ///< Runs the request.
};

/// A prompt's KV cache at the runner that read it.
struct KvSource {
  std::string address;  ///< "IP:PORT" of the runner.
  std::string handle;
};

struct StartCall {
  CallKind kind = CallKind::kRun;
  EndpointRecord endpoint;
  WorkSpec work;
  std::optional<KvSource> kv_source;
  /// The call counts as broken without an answer, or without the first event
  /// of a stream, after this time; zero: only the deadline ends it.
  Duration answer_timeout{};
  /// The same for a pause between two events.
  Duration gap_timeout{};
};

/// No runner has room; ask again at that time.
struct WaitForCapacity {
  Time until{};
  /// Share of the best runner's memory that would be in use.
  double occupancy = 0;
};

/// The request has not run and never will. The caller may come back.
struct Refuse {
  std::string_view reason;
  Duration retry_after{};
};

/// The request may have run, or there is no time left.
struct Fail {
  int status = 502;
  std::string_view reason;
};

/// A stream that has begun can't go on.
struct AbortStream {
  std::string_view reason;
};

using ForwardStep =
    std::variant<StartCall, WaitForCapacity, Refuse, Fail, AbortStream>;

enum class CallFailure {
  kNotSent,      ///< No connection; the endpoint saw nothing.
  kNotExecuted,  ///< The endpoint says that it didn't run the request.
  kMisplaced,    ///< The same, since another endpoint has the address.
  kServerError,  ///< The endpoint answered that it failed.
  kBroken,       ///< No answer or half of one; may have run.
};

/// One request. Not thread safe; pool and budget must outlive it.
class RequestForwarder {
 public:
  RequestForwarder(RequestFacts facts, EndpointPool* pool, RetryBudget* budget)
      : facts_(std::move(facts)), pool_(pool), budget_(budget) {}
  ~RequestForwarder() {
    StopWaiting();
    ReleaseRoom();
  }
  RequestForwarder(const RequestForwarder&) = delete;
  RequestForwarder& operator=(const RequestForwarder&) = delete;

  ForwardStep Start(Time now);
  /// The time of WaitForCapacity has come.
  ForwardStep OnWaitElapsed(Time now);
  ForwardStep OnPrefillDone(KvSource source, Time now);
  /// The current call failed. A server error may be relayed instead of asking;
  /// see CanRetryServerError().
  ForwardStep OnCallFailed(CallFailure failure, Time now);
  ForwardStep OnDeadline();
  /// Bytes of the answer went to the caller.
  void OnRelayed() { relayed_ = true; }
  /// So much of the answer was written, over all runs.
  void OnTokensGenerated(Tokens written) { written_ = written; }
  /// KV memory that the run in progress is expected to hold.
  MemoryForecast Memory() const;

  /// Whether a run that makes no progress can be ended and go on elsewhere. If
  /// not, its endpoint's silence is no reason to end it.
  bool CanFailOver(Time now) const;
  /// Whether an answer that says that the endpoint failed is worth another
  /// attempt. If not, it is the request's answer.
  bool CanRetryServerError(Time now) const;
  /// A handle that was never taken and still holds memory; ends with the call.
  std::optional<KvSource> TakeUnusedHandle();

 private:
  bool Repeatable() const;
  bool HandleIsFresh(Time now) const;
  ForwardStep Next(Time now);
  std::optional<ForwardStep> ChooseModelCall(Time now);
  std::optional<StartCall> ChoosePrefill(Time now) const;
  std::optional<ForwardStep> ChoosePlainCall(Time now);
  /// Whether waiting for room can still keep the latency target.
  bool MayWait(Time now) const;
  /// Share of a runner's memory that placement uses, so that streams which
  /// grow beyond what is expected still fit.
  double FullOccupancy() const;
  void StopWaiting();
  void ReserveRoom(const EndpointId& endpoint, const WorkSpec& work);
  /// Returns where room was reserved, empty for nowhere.
  EndpointId ReleaseRoom();
  Duration RetryAfter() const;
  ForwardStep Issue(StartCall call, Time now);
  ForwardStep GiveUp(std::string_view reason);
  WorkSpec Work(EndpointRole role) const;

  RequestFacts facts_;
  EndpointPool* pool_;
  RetryBudget* budget_;

  CallKind current_ = CallKind::kRun;
  EndpointId current_endpoint_;
  std::optional<KvSource> kv_source_;
  Time kv_read_at_{};
  int prefill_failures_ = 0;
  /// Runners that rejected the prompt's KV cache.
  int handle_rejections_ = 0;
  /// Endpoints that failed this request.
  std::set<EndpointId> tried_;
  /// Runs that began or may have begun. At most `attempts`, and at most one if
  /// the request can't be repeated.
  int runs_ = 0;
  /// Calls that reached an endpoint and count against the retry budget.
  int arrivals_ = 0;
  int calls_ = 0;
  /// Where the stream will run, while its prompt is read.
  struct Room {
    EndpointId endpoint;
    MemoryForecast memory;
  };
  std::optional<Room> room_;
  bool relayed_ = false;
  Tokens written_{0};
  /// Counted in the pool's waiting requests.
  bool waiting_ = false;
};

}  // namespace cassiausher

#endif  // SERVERS_ENTRY_REQUEST_FORWARDER_H_
