// State machine of one request on its entry instance: placement, prefill,
// decode, resumption and completion. It has no sockets or clocks; the serving
// task executes its outputs.
#ifndef SERVERS_SERVING_REQUEST_FLOW_H_
#define SERVERS_SERVING_REQUEST_FLOW_H_

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "core/units.h"
#include "servers/routing/router_types.h"
#include "servers/serving/endpoint_driver.h"

namespace cassiausher {

/// Identifies one call to an endpoint. Events of a call that is no longer
/// current are dropped, so that a late response can't reach the caller.
using FlowCallId = std::uint64_t;

struct RequestPlacement {
  RouteRequest request;
};
struct StartPrefill {
  FlowCallId call = 0;
  EndpointId endpoint;
  std::string url;
};
struct StartDecode {
  FlowCallId call = 0;
  EndpointId endpoint;
  std::string url;
  std::string transfer_parameters;
  /// Resume the stream that the engine still holds instead of starting one.
  bool resume = false;
};
struct StopCall {
  FlowCallId call = 0;
};
/// Free the request's memory at the endpoint; repeated until it confirms.
struct CancelAtEndpoint {
  EndpointId endpoint;
  std::string url;
};
struct DeliverChunk {
  StreamChunk chunk;
};
struct CompleteAnswer {
  std::string finish_reason;
  std::uint64_t output_tokens = 0;
};

enum class FailureKind {
  kOverloaded,
  kUnknownService,
  kPromptTooLong,
  kUnavailable,
  kOutcomeUnknown,
  kAccountLimit,
};

struct FailAnswer {
  FailureKind kind = FailureKind::kUnavailable;
  /// The request was not executed and never will be.
  bool not_run = false;
  Duration retry_after{0};
  std::string message;
};

enum class FlowProgress {
  kPrefillFinished,
  kFirstToken,
  kFinished,
  kFailed,
  kCancelled,
};
struct ReportProgress {
  FlowProgress kind = FlowProgress::kFinished;
  EndpointId endpoint;
  Tokens output_tokens{0};
};

using FlowOutput = std::variant<RequestPlacement, StartPrefill, StartDecode,
                                StopCall, CancelAtEndpoint, DeliverChunk,
                                CompleteAnswer, FailAnswer, ReportProgress>;

struct RequestFlowOptions {
  /// Maximum number of placements of a request, the first included.
  int max_attempts = 4;
  /// Maximum number of consecutive resume calls to an engine without a chunk.
  int max_resumes = 2;
  /// A sound engine may send nothing for almost this long and then go on. A
  /// call that can't be placed again is kept for at least this time.
  Duration tolerated_silence = Milliseconds(1600);
  /// A placement request without an answer for this long is sent again, since
  /// the owner may have failed or handed the pool over.
  Duration place_retry = Milliseconds(700);
  /// A request that isn't placed within this time fails.
  Duration place_timeout = Seconds(30);
  Duration unavailable_retry_after = Seconds(1);
};

enum class CallOutcome {
  kNotSent,   ///< No connection; the endpoint saw nothing.
  kRefused,   ///< The endpoint refused the call and didn't start the request.
  kNotFound,  ///< The endpoint no longer holds the KV cache or the stream.
  kBroken,    ///< The connection broke, or the response was malformed.
};

class RequestFlow {
 public:
  /// If `request.delivered_tokens` is above 0, the caller has received that
  /// many output tokens (one chunk each) over an earlier connection, and the
  /// answer resumes after them.
  RequestFlow(RouteRequest request, RequestFlowOptions options, Time now);

  void Start(Time now);
  void OnGrant(const Grant& grant, Time now);
  void OnRefusal(const RouteRefusal& refusal, Time now);
  /// The pool has a new owner: requests placement from it, unless the request
  /// is placed and so will be adopted.
  void OnOwnerChanged(Time now);

  void OnPrefillDone(FlowCallId call, const PrefillResult& result, Time now);
  void OnPrefillFailed(FlowCallId call, CallOutcome outcome, Time now);
  void OnChunk(FlowCallId call, StreamChunk chunk, Time now);
  void OnDecodeFailed(FlowCallId call, CallOutcome outcome, Time now);

  void OnCallerGone(Time now);
  void Tick(Time now);
  /// When Tick() must run next.
  Time deadline() const { return deadline_; }

  std::vector<FlowOutput> TakeOutputs();

  bool done() const { return state_ == State::kDone; }
  const RouteRequest& request() const { return request_; }
  /// Chunks delivered to the caller so far.
  std::uint64_t delivered() const { return delivered_; }
  /// Whether the request holds a placement, which a new pool owner must adopt.
  bool placed() const {
    return state_ == State::kPrefill || state_ == State::kDecode;
  }
  AdoptedRequest ToAdopted() const;
  /// If false, no engine has received the request beyond its prefill.
  bool decode_sent() const { return decode_sent_; }

 private:
  enum class State { kIdle, kPlacing, kPrefill, kDecode, kDone };

  template <typename Output>
  void Emit(Output output) {
    outputs_.emplace_back(std::move(output));
  }
  void SendPlacementRequest(Time now);
  /// Time without a chunk after which a decode call is ended; `expected` is the
  /// pool owner's value.
  Duration DecodeTimeout(Duration expected) const;
  void BeginDecode(const std::string& transfer_parameters, Time now);
  void Resume(Time now);
  void RetryPlacement(const EndpointId& failed, Time now);
  void DeliverInOrder(Time now);
  void Complete(const std::string& finish_reason);
  void Fail(FailureKind kind, Duration retry_after, std::string message);
  void StopCurrentCall();
  void CancelAtHolders();

  RouteRequest request_;
  RequestFlowOptions options_;
  State state_ = State::kIdle;
  Time started_{};
  Time deadline_ = Time::max();
  Grant grant_;
  FlowCallId next_call_ = 1;
  FlowCallId call_ = 0;
  int resumes_ = 0;
  /// A decode call may have reached an engine. From then on, `not_run` is never
  /// set and a non-idempotent request is never placed again.
  bool decode_sent_ = false;
  /// The value before the current decode call, restored if the engine reports
  /// that it didn't start the request.
  bool decode_sent_before_ = false;
  /// The prefill engine may still hold the prompt's KV cache.
  bool prefill_held_ = false;
  /// The first token of the current placement was reported to the pool owner.
  bool first_token_reported_ = false;
  /// Number of chunks delivered to the caller, in order of their sequence
  /// numbers; chunks received out of order wait in `out_of_order_`.
  std::uint64_t delivered_ = 0;
  std::map<std::uint64_t, StreamChunk> out_of_order_;
  std::vector<FlowOutput> outputs_;
};

}  // namespace cassiausher

#endif  // SERVERS_SERVING_REQUEST_FLOW_H_
