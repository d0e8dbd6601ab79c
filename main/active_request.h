// One caller's request at its entry instance: carries out the outputs of its
// RequestFlow with HTTP calls and answers the caller.
#ifndef MAIN_ACTIVE_REQUEST_H_
#define MAIN_ACTIVE_REQUEST_H_

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/time.h"
#include "drivers/http_server.h"
#include "main/serving_context.h"
#include "servers/serving/request_flow.h"

namespace cassiausher {

class CallSink;

class ActiveRequest {
 public:
  /// `plain`: a call to a plain service, passed on as it is. `claimed`: the
  /// ledger holds a claim for it, and must learn how it ends.
  ActiveRequest(ServingContext& context, CallerRequest request, bool plain,
                bool claimed, HttpExchangePtr exchange, Time now);
  ~ActiveRequest();

  void Start(Time now);
  void OnGranted(const PlacementGranted& granted, Time now);
  void OnRefused(const PlacementRefused& refused, Time now);
  void OnPoolOwnerChanged(const PoolAddress& pool, Time now);
  void Tick(Time now);

  bool done() const { return flow_.done(); }
  RequestRow Row(Time now) const;

  // Called by the sinks of its calls.
  void OnPrefillAnswer(FlowCallId call, int status, const std::string& body,
                       std::string_view error, bool sent);
  void OnChunks(FlowCallId call, std::vector<StreamChunk> chunks);
  void OnDecodeEnd(FlowCallId call, CallOutcome outcome);
  void OnPlainAnswer(FlowCallId call, int status, std::string content_type,
                     std::string body);

 private:
  void OnCallerGone();
  /// Carries out what the flow has decided.
  void Apply(Time now);
  void Do(const RequestPlacement& output, Time now);
  void Do(const StartPrefill& output, Time now);
  void Do(const StartDecode& output, Time now);
  void Do(const StopCall& output, Time now);
  void Do(const CancelAtEndpoint& output, Time now);
  void Do(const DeliverChunk& output, Time now);
  void Do(const CompleteAnswer& output, Time now);
  void Do(const FailAnswer& output, Time now);
  void Do(const ReportProgress& output, Time now);

  void StartCall(FlowCallId id, const EndpointCall& call, bool new_connection,
                 std::unique_ptr<CallSink> sink);
  EndpointCall BuildPlain(const std::string& url) const;
  CallContext Context() const;
  void Flush();
  /// Once, when the caller has its answer or is gone.
  void End();
  void RecordOutcome(RecordState state, RecordedAnswer answer);

  ServingContext& context_;
  CallerRequest request_;
  bool plain_;
  bool claimed_;
  bool asked_ = false;
  bool admitted_ = true;
  HttpExchangePtr exchange_;
  Time started_;
  Time first_chunk_{};
  Time last_chunk_{};
  Time last_offer_{};
  RequestFlow flow_;
  PlacementGranted place_;
  struct OpenCall {
    HttpClient::CallId http = 0;
    std::unique_ptr<CallSink> sink;
  };
  /// Kept until the request ends, so that a sink may outlive its own callback.
  std::unordered_map<FlowCallId, OpenCall> calls_;
  /// Text for a caller without a stream; for a plain service its answer.
  std::string text_;
  int plain_status_ = 0;
  std::string plain_content_type_;
  /// Events of this round, written together.
  std::string unwritten_;
};

}  // namespace cassiausher

#endif  // MAIN_ACTIVE_REQUEST_H_
