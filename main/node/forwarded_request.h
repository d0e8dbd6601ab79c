// One caller's request at its entry instance: makes the calls that the
// forwarder decides on and relays the answer.
#ifndef MAIN_NODE_FORWARDED_REQUEST_H_
#define MAIN_NODE_FORWARDED_REQUEST_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/metrics.h"
#include "core/time.h"
#include "drivers/http_client.h"
#include "drivers/http_server.h"
#include "main/node/answer_body.h"
#include "main/node/call_observer.h"
#include "main/node/origin_client.h"
#include "main/node/permit_client.h"
#include "main/node/quota_client.h"
#include "main/node/read_times.h"
#include "main/node/relay_client.h"
#include "platform/request_headers.h"
#include "servers/entry/answer_estimate.h"
#include "servers/entry/byte_account.h"
#include "servers/entry/completion_time.h"
#include "servers/entry/endpoint_pool.h"
#include "servers/entry/event_splitter.h"
#include "servers/entry/origin_keeper.h"
#include "servers/entry/request_forwarder.h"

namespace cassiausher {

/// Objects of the entry instance that a request uses; they outlive it.
struct ForwardingContext {
  HttpClient* client = nullptr;
  EndpointPool* pool = nullptr;
  RetryBudget* budget = nullptr;
  PermitClient* permits = nullptr;
  QuotaClient* quotas = nullptr;
  OriginClient* origins = nullptr;
  const ControlDirectory* controls = nullptr;
  CallObserver* observer = nullptr;
  CallGuard* guard = nullptr;
  RelayClient* relays = nullptr;
  AnswerEstimate* answers = nullptr;
  CompletionTime* completion = nullptr;
  ReadTimes* read_times = nullptr;
  /// Of unfinished answers.
  ByteAccount* bytes = nullptr;
  Metrics* metrics = nullptr;
  GMainContext* context = nullptr;
};

/// Lives until the caller has its answer or has disconnected. Used only on the
/// task of its entry instance.
class ForwardedRequest : public HttpCallSink,
                         public std::enable_shared_from_this<ForwardedRequest> {
 public:
  ForwardedRequest(ForwardingContext context, HttpExchangePtr exchange,
                   CallerHeaders caller, RequestFacts facts, const Route& route,
                   Revision configuration);
  ~ForwardedRequest() override;

  /// `on_end` is called once, when the caller has its answer or has
  /// disconnected.
  void Start(std::function<void()> on_end);
  /// Ends the request at once, since the instance stops. A request that no
  /// endpoint may have run is refused.
  /// Returns whether its caller has a part of a stream that isn't complete.
  bool Cut();
  const RequestId& id() const { return caller_.id; }

  void OnHeaders(int status, SoupMessageHeaders* headers) override;
  void OnBody(std::string_view bytes) override;
  void OnExcess(std::string_view what) override;
  void OnDone(std::string_view error, bool sent) override;

 private:
  /// Begins once the account's quota has room; refuses if it has none.
  void TakeQuota();
  void OnQuota(const QuotaOutcome& outcome);
  void RespondOverQuota(Duration retry_after);
  /// The request hasn't run and won't.
  void ReturnQuota();
  void Begin();
  /// Whether an endpoint may run the request, or may have run it.
  bool MayRun() const;
  /// Whether the caller has a part of the stream already.
  bool TakesUp() const;
  /// What the stream may be found by later, or is searched by now.
  StreamNames Names() const;
  /// Finds the software version that began the stream which the caller takes
  /// up, then begins; refuses if nobody knows it.
  void StartTakenUp();
  void StartForwarding();
  void OnOrigin(const std::optional<StreamOrigin>& origin);
  /// Begins if the service has one software version only, as soon as that is
  /// known for certain; refuses otherwise.
  void AwaitSoleVersion();
  void BeginTakenUp(const std::optional<SoftwareVersion>& version, bool found);
  void Execute(ForwardStep step);
  /// Ends a stream that has begun and can't go on.
  void AbortBegunStream(std::string_view reason);
  /// Logs which verdict a call was withheld for, if any was.
  void LogWithheld();
  /// `outcome`: what an instance that relayed the request is told.
  void RespondRefused(std::string_view reason, Duration retry_after,
                      RelayOutcome outcome = RelayOutcome::kRefused);
  /// Tells the instance that relayed the request, if one did.
  void MarkAnswer(RelayOutcome outcome);
  void BeginCall(const StartCall& call);
  void FailCall(CallFailure failure, std::string_view reason);
  void FinishCall(WorkOutcome outcome);
  /// Ends the call in progress, as its request ends.
  void GiveUpCall(WorkOutcome outcome);
  HttpCall MakeCall(const CallPlan& plan) const;
  /// Looks at the head of a helper's answer. Returns whether it can be passed
  /// on.
  bool AcceptRelayAnswer(std::string_view header);
  /// Looks at the head of an endpoint's answer, as above.
  bool AcceptEndpointAnswer();
  /// What holds for the head of any answer to a run.
  void CheckAnswer();
  /// The relayed call ends.
  void EndRelay(RelayEnd end);
  void OnAnswerComplete();
  void OnPrefillComplete();
  /// The call in progress.
  ObservedCall Observed() const;
  /// The connection of the call ended without a whole answer, or none could be
  /// established.
  void OnConnectionLost(std::string_view error, bool sent);
  void AwaitPermit(const WaitForPermit& wait);
  void OnBuffered(std::string_view bytes);
  void OnEvents(std::string_view bytes);
  /// Pauses the call while the caller or the stream's origin is waited for, and
  /// resumes it afterwards.
  void ControlFlow();
  /// Tells the account what the call holds, which may end this call or others.
  void AccountBytes();
  void ReportProgress();
  void RelayEvents(const std::string& events);
  /// Reports once that the call's answer has been arriving for long.
  void ObserveLongAnswer(Time now);
  /// The first event has arrived.
  void BeginStream();
  /// Passes on what was held back until the stream's origin was stored.
  void ReleaseHeldEvents();
  void EndStream();
  void RespondBuffered();
  void OnCallerGone();
  void OnTimer();
  /// Outcome of the call in progress if the request's deadline ends it.
  WorkOutcome OutcomeAtDeadline(Time now) const;
  void ArmTimer();
  void End(std::string_view outcome, int status, std::string_view reason);
  void ReleaseHandle();

  ForwardingContext context_;
  HttpExchangePtr exchange_;
  CallerHeaders caller_;
  RequestFacts facts_;
  std::string route_name_;
  bool is_stream_ = false;
  Duration max_stream_age_;
  Revision configuration_;
  /// Set once the software version of a stream that is taken up is known.
  std::optional<RequestForwarder> forwarder_;
  std::function<void()> on_end_;

  /// The call in progress; none between calls.
  std::optional<StartCall> call_;
  HttpClient::CallId call_id_ = 0;
  ByteAccount::HolderId bytes_id_ = 0;
  /// Waits for the issuer of quotas.
  std::optional<QuotaTicket> quota_ticket_;
  /// Has taken its cost from the account's quota.
  bool holds_quota_ = false;
  /// Nobody knows the origin of the stream that the caller takes up.
  bool awaits_sole_version_ = false;
  /// The endpoint isn't read from, so it can't make progress.
  bool paused_ = false;
  /// The answer of the call exceeds a limit.
  bool excessive_ = false;
  Time call_started_{};
  Time connect_deadline_{};
  /// Between calls: when to check for free capacity again.
  Time wait_deadline_{};
  /// The call counts as broken if no event or answer arrives by then.
  std::optional<Time> progress_deadline_;
  std::optional<EndpointAnswer> answer_;
  /// What the helper says of its answer to a relayed call.
  std::optional<RelayAnswer> relay_answer_;
  AnswerBody body_;
  EventSplitter events_;
  int calls_ = 0;
  /// Events relayed to the caller over all runs of the request.
  std::int64_t relayed_events_ = 0;
  /// The part of `relayed_events_` that the endpoint pool has been told of.
  std::int64_t reported_events_ = 0;
  std::optional<Time> first_event_at_;
  /// First event of the call in progress.
  std::optional<Time> call_first_event_at_;
  bool long_answer_observed_ = false;
  Time last_event_at_{};
  Duration longest_gap_{};
  /// An endpoint has begun the stream; its status and headers go to the caller.
  std::optional<EndpointAnswer> begun_;
  /// Events wait in `held_events_` until the stream's origin is stored.
  bool holding_ = false;
  std::string held_events_;
  /// The stream is complete, but still held.
  bool complete_ = false;
  bool ended_ = false;
  GSourcePtr timer_;
};

}  // namespace cassiausher

#endif  // MAIN_NODE_FORWARDED_REQUEST_H_
