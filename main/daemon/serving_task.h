// A task that serves callers: HTTP on the shared caller port, the requests
// accepted there, and their calls to endpoints.
#ifndef MAIN_DAEMON_SERVING_TASK_H_
#define MAIN_DAEMON_SERVING_TASK_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "core/metrics.h"
#include "core/settings.h"
#include "drivers/drain_watch.h"
#include "drivers/http_client.h"
#include "drivers/http_server.h"
#include "drivers/task.h"
#include "main/daemon/active_request.h"
#include "main/daemon/cancel_queue.h"
#include "main/daemon/messages.h"
#include "main/daemon/serving_context.h"
#include "main/daemon/sessions_call.h"
#include "main/daemon/token_table.h"
#include "main/error_body.h"
#include "servers/serving/endpoint_driver.h"

namespace cassiausher {

class ServingTask : public Task {
 public:
  ServingTask(int index, const Settings& settings, Metrics& metrics,
              const EndpointDriver& driver,
              std::function<void(ControlMessage)> to_control,
              Incarnation incarnation);
  ~ServingTask() override;

  void Post(ServingMessage message) { mailbox_.Post(std::move(message)); }

  /// Error from opening the caller port; empty on success. Valid after Start.
  const std::string& listen_error() const { return listen_error_; }
  std::uint16_t port() const { return server_->port(); }
  /// After ShutdownRequested: true while no request is open, no cancel is due
  /// and every caller has its answers, or doesn't read them. Thread-safe.
  bool drained() const { return drained_.load(); }

 protected:
  void OnStart() override;
  void OnStop() override;

 private:
  void Handle(ServingMessage& message);
  void On(PlacementGranted& message, Time now);
  void On(PlacementRefused& message, Time now);
  void On(PoolOwnerChanged& message, Time now);
  void On(CancelOrdered& message, Time now);
  void On(ConfigurationUpdated& message, Time now);
  void On(RequestRowsRequested& message, Time now);
  void On(ClaimAnswered& message, Time now);
  void On(SessionsRequested& message, Time now);
  void On(KeysChanged& message, Time now);
  void On(AdmissionChanged& message, Time now);
  void On(ShutdownRequested& message, Time now);
  void On(EndRequestsOrdered& message, Time now);
  void On(EndOrdered& message, Time now);

  void HandleHttp(HttpExchangePtr exchange);
  void HandleModels(HttpExchange& exchange);
  void HandleCompletion(HttpExchangePtr exchange, bool chat);
  void HandlePlain(HttpExchangePtr exchange);
  /// Authenticates the caller and fills account, request id, class and
  /// idempotency key. Returns false after answering with a refusal.
  bool ReadCommonHeaders(HttpExchange& exchange, CallerRequest* request);
  bool ReadLastEventId(HttpExchange& exchange, CallerRequest* request);
  bool CheckService(HttpExchange& exchange, ServiceKind kind,
                    CallerRequest* request);
  bool ReadIdempotence(HttpExchange& exchange, bool service_default,
                       CallerRequest* request);
  void Refuse(HttpExchange& exchange, ErrorAnswer error);
  void Begin(CallerRequest request, bool plain, HttpExchangePtr exchange);
  void Run(CallerRequest request, bool plain, bool claimed,
           HttpExchangePtr exchange);

  /// A request that waits for its claim, or for the request that holds the
  /// claim on the same key.
  struct ClaimWaiter {
    CallerRequest request;
    bool plain = false;
    HttpExchangePtr exchange;
    LedgerClaim claim;
    /// The claim was granted to another request with the same key.
    bool attached = false;
    Time next_poll{Time::max()};
    Time deadline{};
  };
  void Claim(CallerRequest request, bool plain, HttpExchangePtr exchange);
  /// Removes and returns the waiter, which must exist.
  ClaimWaiter RemoveClaimWaiter(const RequestId& id);
  void ReleaseClaim(const ClaimWaiter& waiter);
  void SettleClaim(ClaimWaiter waiter, const LedgerAnswer& answer);
  void Replay(const ClaimWaiter& waiter, const RecordedAnswer& answer);
  void TickClaims(Time now);
  /// Answers that the request with the same key is still running.
  void RespondStillRunning(const ClaimWaiter& waiter);
  void Tick();
  bool Drained(Time now);
  /// Runs the task until every caller has its answers. Nothing may run between
  /// this and the end of the server: it would read further requests.
  void SendLastAnswers();
  void RebuildTokens();

  const int index_;
  const Settings& settings_;
  Metrics& metrics_;
  const EndpointDriver& driver_;
  ServingMetrics serving_metrics_;
  Counter& refused_early_;
  std::unique_ptr<HttpClient> http_;
  std::unique_ptr<ServingContext> context_;
  std::unique_ptr<CancelQueue> cancels_;
  std::unique_ptr<HttpServer> server_;
  std::function<void(ControlMessage)> to_control_;
  Incarnation incarnation_;
  std::shared_ptr<const Configuration> configuration_;
  /// The settings' keys, replaced on each reload.
  std::shared_ptr<const Settings::Keys> keys_;
  TokenTable tokens_;
  std::unordered_map<RequestId, std::unique_ptr<ActiveRequest>> active_;
  std::unordered_map<RequestId, ClaimWaiter> claims_;
  std::map<EndpointId, std::unique_ptr<SessionsCall>> sessions_calls_;
  std::uint64_t next_request_;
  bool shutting_down_ = false;
  /// Set by Tick() and cleared as soon as a request is read.
  std::atomic<bool> drained_{false};
  DrainWatch drain_watch_;
  /// Set once EndOrdered was received.
  std::optional<Time> end_deadline_;
  /// When a request was last open.
  Time busy_at_{};
  /// The configuration held here is known to be current, or no instance that
  /// could hold a newer one is reachable.
  bool admits_requests_ = false;
  std::string listen_error_;
  GSourcePtr timer_;
  Mailbox<ServingMessage> mailbox_;
};

}  // namespace cassiausher

#endif  // MAIN_DAEMON_SERVING_TASK_H_
