// One caller's request at its entry instance: carries out the outputs of its
// RequestFlow with HTTP calls and answers the caller.
#ifndef MAIN_DAEMON_ACTIVE_REQUEST_H_
#define MAIN_DAEMON_ACTIVE_REQUEST_H_

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/time.h"
#include "drivers/http_server.h"
#include "main/daemon/serving_context.h"
#include "servers/serving/request_flow.h"

namespace cassiausher {

class CallSink;

class ActiveRequest {
 public:
  /// `plain`: a call to a plain service, forwarded unchanged. `claimed`: the
  /// ledger holds a claim for the request, so the outcome must be reported.
  ActiveRequest(ServingContext& context, CallerRequest request, bool plain,
                bool claimed, HttpExchangePtr exchange, Time now);
  ~ActiveRequest();

  void Start(Time now);
  void OnGranted(const PlacementGranted& granted, Time now);
  void OnRefused(const PlacementRefused& refused, Time now);
  void OnPoolOwnerChanged(const PoolAddress& pool, Time now);
  void Tick(Time now);
  /// Stops the request and answers its caller with an error.
  void End(Time now);

  bool done() const { return flow_.done(); }
  RequestRow Row(Time now) const;

  // Called by the sinks of this request's calls.
  void OnPrefillAnswer(FlowCallId call, int status, const std::string& body,
                       std::string_view error, bool sent);
  void OnChunks(FlowCallId call, std::vector<StreamChunk> chunks);
  void OnDecodeEnd(FlowCallId call, CallOutcome outcome);
  void OnPlainAnswer(FlowCallId call, int status, std::string content_type,
                     std::string body);

 private:
  void OnCallerGone();
  /// Executes the pending outputs of the flow, then writes the events.
  void Apply(Time now);
  void Execute(const RequestPlacement& output, Time now);
  void Execute(const StartPrefill& output, Time now);
  void Execute(const StartDecode& output, Time now);
  void Execute(const StopCall& output, Time now);
  void Execute(const CancelAtEndpoint& output, Time now);
  void Execute(const DeliverChunk& output, Time now);
  void Execute(const CompleteAnswer& output, Time now);
  void Execute(const FailAnswer& output, Time now);
  void Execute(const ReportProgress& output, Time now);

  void StartCall(FlowCallId id, const EndpointCall& call, bool new_connection,
                 std::unique_ptr<CallSink> sink);
  EndpointCall BuildPlainCall(const std::string& url) const;
  CallContext MakeCallContext() const;
  void Flush();
  /// Called once, when the caller was answered or has disconnected.
  void OnEnded();
  void RecordOutcome(RecordState state, RecordedAnswer answer);

  ServingContext& context_;
  CallerRequest request_;
  bool plain_;
  bool claimed_;
  bool placement_requested_ = false;
  bool admitted_ = true;
  HttpExchangePtr exchange_;
  Time started_at_;
  Time first_chunk_at_{};
  Time last_chunk_at_{};
  Time last_offer_at_{};
  RequestFlow flow_;
  PlacementGranted placement_;
  struct OpenCall {
    HttpClient::CallId http = 0;
    std::unique_ptr<CallSink> sink;
  };
  /// Entries stay until the request is destroyed, so that a sink isn't
  /// destroyed inside its own callback.
  std::unordered_map<FlowCallId, OpenCall> calls_;
  /// Text generated so far; for a plain service the body of its answer.
  std::string text_;
  int plain_status_ = 0;
  std::string plain_content_type_;
  /// Events collected during Apply(), written to the caller in one piece.
  std::string unwritten_events_;
};

}  // namespace cassiausher

#endif  // MAIN_DAEMON_ACTIVE_REQUEST_H_
