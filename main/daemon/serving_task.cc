#include "main/daemon/serving_task.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "core/json_reader.h"
#include "core/log.h"
#include "drivers/clock.h"
#include "drivers/process_setup.h"
#include "main/daemon/request_id.h"

namespace cassiausher {
namespace {

// Deadlines of requests and cancels are checked this often.
constexpr Duration kTickPeriod = Milliseconds(20);
constexpr std::size_t kMaxKeyBytes = 255;
constexpr Duration kBusyRetryAfter = Seconds(1);
// A request with a repeated key waits this long for the one that holds the
// claim.
constexpr Duration kAttachTimeout = Seconds(120);
constexpr Duration kAttachPollPeriod = Milliseconds(100);
// At the end of the process, cancels that endpoints don't confirm are given up
// after this long; pool owners repeat them.
constexpr Duration kLastCancelPeriod = Seconds(2);
constexpr std::uint64_t kMaxEventId = 1 << 20;
constexpr std::string_view kServicesPrefix = "/services/";

ErrorAnswer ShuttingDownError() {
  return {.status = 503,
          .type = "unavailable",
          .code = "shutting_down",
          .message = "this instance is shutting down",
          .retry_after = kBusyRetryAfter};
}

bool IsSafeMethod(std::string_view method) {
  return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

}  // namespace

ServingMetrics::ServingMetrics(Metrics& metrics)
    : requests(metrics.counter("requests_total")),
      answered(metrics.counter("requests_answered_total")),
      refused(metrics.counter("requests_refused_total")),
      failed(metrics.counter("requests_failed_total")),
      unknown_outcome(metrics.counter("requests_unknown_outcome_total")),
      cancelled(metrics.counter("requests_cancelled_total")),
      chunks(metrics.counter("chunks_delivered_total")),
      resumes(metrics.counter("streams_resumed_total")),
      placed_again(metrics.counter("requests_placed_again_total")),
      cancels_sent(metrics.counter("cancels_sent_total")),
      cancels_unconfirmed(metrics.counter("cancels_unconfirmed_total")),
      replayed(metrics.counter("answers_replayed_total")),
      slow_callers(metrics.counter("slow_callers_cut_total")),
      open(metrics.gauge("requests_open")),
      claims(metrics.gauge("claims_waiting")),
      first_token(metrics.distribution("first_token_seconds")),
      between_tokens(metrics.distribution("between_tokens_seconds")) {}

ServingTask::ServingTask(int index, const Settings& settings, Metrics& metrics,
                         const EndpointDriver& driver,
                         std::function<void(ControlMessage)> to_control,
                         Incarnation incarnation)
    : Task(fmt::format("serving-{}", index)),
      index_(index),
      settings_(settings),
      metrics_(metrics),
      driver_(driver),
      serving_metrics_(metrics),
      refused_early_(metrics.counter("requests_refused_early_total")),
      to_control_(std::move(to_control)),
      incarnation_(incarnation),
      configuration_(std::make_shared<Configuration>()),
      keys_(std::make_shared<Settings::Keys>(settings.keys)),
      // Starts at the clock, so that ids of an earlier run of this instance
      // aren't reused.
      next_request_(static_cast<std::uint64_t>(g_get_real_time())),
      mailbox_(context(),
               [this](ServingMessage& message) { Handle(message); }) {}

ServingTask::~ServingTask() { Stop(); }

void ServingTask::OnStart() {
  http_ = std::make_unique<HttpClient>();
  context_ = std::make_unique<ServingContext>(
      ServingContext{.settings = settings_,
                     .http = *http_,
                     .driver = driver_,
                     .metrics = serving_metrics_,
                     .to_control = to_control_,
                     .incarnation = incarnation_});
  cancels_ = std::make_unique<CancelQueue>(*context_);
  context_->cancels = cancels_.get();
  RebuildTokens();
  server_ = std::make_unique<HttpServer>(
      HttpServerOptions{
          .address = settings_.listen.caller.ip,
          .port = settings_.listen.caller.port,
          .share_port = true,
          .tls_certificate_file = settings_.listen.tls_certificate_file,
          .tls_key_file = settings_.listen.tls_key_file,
          .max_body_bytes = settings_.limits.body_bytes,
          .max_header_bytes = settings_.limits.header_bytes,
          .max_descriptor = MaxForwardedDescriptor()},
      [this](HttpExchangePtr exchange) { HandleHttp(std::move(exchange)); },
      [this](int status, std::string_view message) {
        drained_.store(false);
        refused_early_.Add();
        return FormatError({.status = status,
                            .type = "invalid_request",
                            .code = "too_large",
                            .message = std::string(message),
                            .not_run = true});
      });
  listen_error_ = server_->Listen(context());
  timer_ = AddTimer(kTickPeriod, [this] { Tick(); });
}

void ServingTask::SendLastAnswers() {
  if (!end_deadline_) return;
  RunUntilDrained(
      context(), [this] { return Drained(MonotonicNow()); },
      BootTimeNow() + (*end_deadline_ - MonotonicNow()));
}

void ServingTask::OnStop() {
  SendLastAnswers();
  timer_.reset();
  LogCutAnswers(server_->UnsentAnswers(), "callers", metrics_);
  active_.clear();
  claims_.clear();
  sessions_calls_.clear();
  server_.reset();
  cancels_.reset();
  context_.reset();
  http_.reset();
}

void ServingTask::RebuildTokens() {
  tokens_ = TokenTable();
  for (const TokenSettings& token : keys_->callers) {
    tokens_.Add(token.sha256, {token.name, ""});
  }
  for (const auto& [id, account] : configuration_->accounts) {
    tokens_.Add(account.token_hash, {id.value(), ""});
  }
}

void ServingTask::Handle(ServingMessage& message) {
  const Time now = MonotonicNow();
  std::visit([&](auto& value) { On(value, now); }, message);
}

void ServingTask::On(PlacementGranted& message, Time now) {
  const auto found = active_.find(message.grant.request);
  if (found != active_.end()) {
    found->second->OnGranted(message, now);
    return;
  }
  // The request ended before its grant arrived: returns the placement.
  to_control_(PlacementProgress{
      message.grant.request, message.pool, {FlowProgress::kCancelled, {}, {}}});
}

void ServingTask::On(PlacementRefused& message, Time now) {
  const auto found = active_.find(message.refusal.request);
  if (found != active_.end()) found->second->OnRefused(message, now);
}

void ServingTask::On(PoolOwnerChanged& message, Time now) {
  for (auto& [id, request] : active_) {
    request->OnPoolOwnerChanged(message.pool, now);
  }
}

void ServingTask::On(CancelOrdered& message, Time now) {
  cancels_->Add(message.order.request, message.order.endpoint,
                message.order.url, message.pool, now);
}

void ServingTask::On(ConfigurationUpdated& message, Time) {
  configuration_ = message.configuration;
  RebuildTokens();
}

void ServingTask::On(SessionsRequested& message, Time) {
  // A call that is still unanswered is replaced by one on a new connection.
  auto& call = sessions_calls_[message.endpoint];
  const bool unanswered = call != nullptr && !call->done();
  call = std::make_unique<SessionsCall>(*context_, message, unanswered);
}

void ServingTask::On(AdmissionChanged& message, Time) {
  admits_requests_ = message.admits;
}

void ServingTask::On(KeysChanged& message, Time) {
  keys_ = message.keys;
  RebuildTokens();
}

void ServingTask::On(RequestRowsRequested& message, Time now) {
  std::vector<RequestRow> rows;
  for (const auto& [id, request] : active_) {
    if (!request->done()) rows.push_back(request->Row(now));
  }
  message.reply(std::move(rows));
}

void ServingTask::On(ShutdownRequested&, Time) {
  shutting_down_ = true;
  server_->BeginDrain();
  server_->StopListening();
}

void ServingTask::On(EndRequestsOrdered&, Time now) {
  for (auto& [id, request] : active_) request->End(now);
  while (!claims_.empty()) {
    const ClaimWaiter waiter = RemoveClaimWaiter(claims_.begin()->first);
    ReleaseClaim(waiter);
    if (waiter.attached) {
      RespondStillRunning(waiter);
      continue;
    }
    Refuse(*waiter.exchange, ShuttingDownError());
  }
}

void ServingTask::On(EndOrdered& message, Time) {
  end_deadline_ = message.deadline;
}

bool ServingTask::Drained(Time now) {
  const bool answered = drain_watch_.Done(*server_, now);
  if (!active_.empty() || !claims_.empty()) {
    busy_at_ = now;
    return false;
  }
  const bool cancelled =
      cancels_->empty() || now - busy_at_ >= kLastCancelPeriod;
  return answered && cancelled;
}

void ServingTask::Tick() {
  const Time now = MonotonicNow();
  for (auto it = active_.begin(); it != active_.end();) {
    if (it->second->done()) {
      it = active_.erase(it);
      continue;
    }
    it->second->Tick(now);
    ++it;
  }
  cancels_->Tick(now);
  TickClaims(now);
  if (shutting_down_) drained_.store(Drained(now));
}

void ServingTask::Refuse(HttpExchange& exchange, ErrorAnswer error) {
  refused_early_.Add();
  error.not_run = true;
  RespondError(exchange, error);
}

void ServingTask::HandleHttp(HttpExchangePtr exchange) {
  drained_.store(false);
  const std::string_view path = exchange->path();
  exchange->SetLabel(path);
  if (path == "/healthz") {
    exchange->Respond(200, "text/plain", "ok\n");
    return;
  }
  if (path == "/readyz") {
    exchange->Respond(shutting_down_ || !admits_requests_ ? 503 : 200,
                      "text/plain",
                      shutting_down_      ? "shutting down\n"
                      : !admits_requests_ ? "no current configuration\n"
                                          : "ready\n");
    return;
  }
  if (path == "/v1/models") return HandleModels(*exchange);
  if (path == "/v1/completions") {
    return HandleCompletion(std::move(exchange), false);
  }
  if (path == "/v1/chat/completions") {
    return HandleCompletion(std::move(exchange), true);
  }
  if (path.starts_with(kServicesPrefix)) {
    return HandlePlain(std::move(exchange));
  }
  Refuse(*exchange, {.status = 404,
                     .type = "invalid_request",
                     .code = "unknown_path",
                     .message = fmt::format("there is no {}", path)});
}

void ServingTask::HandleModels(HttpExchange& exchange) {
  CallerRequest request;
  if (!ReadCommonHeaders(exchange, &request)) return;
  nlohmann::json data = nlohmann::json::array();
  for (const auto& [id, service] : configuration_->services) {
    if (service.kind != ServiceKind::kRunner) continue;
    data.push_back(
        {{"id", id.value()}, {"object", "model"}, {"owned_by", "cassiausher"}});
  }
  exchange.Respond(
      200, "application/json",
      DumpJson(nlohmann::json{{"object", "list"}, {"data", data}}));
}

bool ServingTask::ReadCommonHeaders(HttpExchange& exchange,
                                    CallerRequest* request) {
  const auto owner =
      tokens_.Find(BearerToken(exchange.header("Authorization")));
  if (!owner.has_value()) {
    Refuse(exchange, {.status = 401,
                      .type = "authentication",
                      .code = "bad_token",
                      .message = "the bearer token is missing or unknown"});
    return false;
  }
  request->account = AccountId(owner->name);

  const std::string_view caller_id = exchange.header("X-Request-Id");
  if (!caller_id.empty() && !IsCallerRequestId(caller_id)) {
    Refuse(exchange,
           {.status = 400,
            .type = "invalid_request",
            .code = "bad_request_id",
            .message = "X-Request-Id must be 1 to 64 letters, "
                       "digits, dots, dashes, underscores or colons"});
    return false;
  }
  request->id =
      MakeRequestId(caller_id, settings_.instance, index_, next_request_++);
  exchange.SetLabel(request->id.value());

  const std::string_view key = exchange.header("Idempotency-Key");
  if (key.size() > kMaxKeyBytes) {
    Refuse(exchange, {.status = 400,
                      .type = "invalid_request",
                      .code = "bad_idempotency_key",
                      .message = "Idempotency-Key is longer than 255 bytes"});
    return false;
  }
  request->key = IdempotencyKey(std::string(key));
  request->class_id =
      ClassId(std::string(exchange.header("Cassiausher-Class")));
  return true;
}

bool ServingTask::ReadLastEventId(HttpExchange& exchange,
                                  CallerRequest* request) {
  const std::string_view text = exchange.header("Last-Event-ID");
  if (text.empty()) return true;
  const char* end = text.data() + text.size();
  const auto parsed =
      std::from_chars(text.data(), end, request->received_chunks);
  const bool well_formed = parsed.ec == std::errc() && parsed.ptr == end &&
                           request->received_chunks <= kMaxEventId;
  if (well_formed && request->stream) return true;
  Refuse(exchange, {.status = 400,
                    .type = "invalid_request",
                    .code = "bad_last_event_id",
                    .message = "Last-Event-ID must be the number of a chunk "
                               "of a streamed answer"});
  return false;
}

bool ServingTask::ReadIdempotence(HttpExchange& exchange, bool service_default,
                                  CallerRequest* request) {
  const std::string_view value = exchange.header("Cassiausher-Idempotent");
  request->idempotent = service_default;
  if (value.empty()) return true;
  if (value != "true" && value != "false") {
    Refuse(exchange, {.status = 400,
                      .type = "invalid_request",
                      .code = "bad_idempotent_mark",
                      .message = "Cassiausher-Idempotent must be true or "
                                 "false"});
    return false;
  }
  request->idempotent = value == "true";
  return true;
}

bool ServingTask::CheckService(HttpExchange& exchange, ServiceKind kind,
                               CallerRequest* request) {
  if (configuration_->revision == Revision(0)) {
    Refuse(exchange, {.status = 503,
                      .type = "unavailable",
                      .code = "no_configuration",
                      .message = "this instance has no configuration yet",
                      .retry_after = kBusyRetryAfter});
    return false;
  }
  const auto found = configuration_->services.find(request->service);
  if (found == configuration_->services.end() || found->second.kind != kind) {
    Refuse(exchange, {.status = 404,
                      .type = "invalid_request",
                      .code = "unknown_service",
                      .message = fmt::format("there is no service {}",
                                             request->service.value())});
    return false;
  }
  const ServiceSettings& service = found->second;
  if (request->class_id.empty()) request->class_id = service.default_class;
  const bool class_known =
      std::find(service.classes.begin(), service.classes.end(),
                request->class_id) != service.classes.end();
  if (!class_known) {
    Refuse(exchange, {.status = 400,
                      .type = "invalid_request",
                      .code = "unknown_class",
                      .message = fmt::format("service {} has no class {}",
                                             request->service.value(),
                                             request->class_id.value())});
    return false;
  }
  if (request->prompt_tokens > service.max_prompt_tokens) {
    Refuse(exchange,
           {.status = 413,
            .type = "invalid_request",
            .code = "prompt_too_long",
            .message = fmt::format("the prompt has about {} tokens, the limit "
                                   "is {}",
                                   request->prompt_tokens.value(),
                                   service.max_prompt_tokens.value())});
    return false;
  }
  return ReadIdempotence(exchange, request->idempotent && service.idempotent,
                         request);
}

void ServingTask::HandleCompletion(HttpExchangePtr exchange, bool chat) {
  if (exchange->method() != "POST") {
    return Refuse(*exchange, {.status = 405,
                              .type = "invalid_request",
                              .code = "bad_method",
                              .message = "use POST"});
  }
  CallerRequest request;
  if (!ReadCommonHeaders(*exchange, &request)) return;
  request.chat = chat;
  request.path = std::string(exchange->path());
  request.body = std::string(exchange->body());
  Findings findings;
  driver_.ParseRequest(&request, &findings);
  if (!findings.empty()) {
    return Refuse(*exchange, {.status = 400,
                              .type = "invalid_request",
                              .code = "bad_body",
                              .message = ToString(findings)});
  }
  if (!ReadLastEventId(*exchange, &request)) return;
  if (!CheckService(*exchange, ServiceKind::kRunner, &request)) return;
  Begin(std::move(request), false, std::move(exchange));
}

void ServingTask::HandlePlain(HttpExchangePtr exchange) {
  CallerRequest request;
  if (!ReadCommonHeaders(*exchange, &request)) return;
  std::string_view rest = exchange->path();
  rest.remove_prefix(kServicesPrefix.size());
  const std::size_t slash = rest.find('/');
  request.service = ServiceId(std::string(rest.substr(0, slash)));
  request.path =
      slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
  if (!exchange->query().empty()) {
    request.path += "?" + std::string(exchange->query());
  }
  request.method = std::string(exchange->method());
  const std::string_view type = exchange->header("Content-Type");
  if (!type.empty()) request.content_type = std::string(type);
  request.body = std::string(exchange->body());
  // Unless the caller's Cassiausher-Idempotent header overrides it, only
  // methods without side effects may be retried.
  request.idempotent = IsSafeMethod(request.method);
  if (!CheckService(*exchange, ServiceKind::kPlain, &request)) return;
  Begin(std::move(request), true, std::move(exchange));
}

void ServingTask::Begin(CallerRequest request, bool plain,
                        HttpExchangePtr exchange) {
  if (shutting_down_) {
    return Refuse(*exchange, ShuttingDownError());
  }
  if (!admits_requests_) {
    return Refuse(*exchange,
                  {.status = 503,
                   .type = "unavailable",
                   .code = "catching_up",
                   .message = "this instance follows missed changes first",
                   .retry_after = kBusyRetryAfter});
  }
  if (serving_metrics_.open.value() >= settings_.limits.open_requests) {
    return Refuse(*exchange, {.status = 503,
                              .type = "overloaded",
                              .code = "too_many_requests",
                              .message = "too many requests are in progress",
                              .retry_after = kBusyRetryAfter});
  }
  serving_metrics_.requests.Add();
  if (!request.idempotent && !request.key.empty()) {
    Claim(std::move(request), plain, std::move(exchange));
    return;
  }
  Run(std::move(request), plain, false, std::move(exchange));
}

void ServingTask::Run(CallerRequest request, bool plain, bool claimed,
                      HttpExchangePtr exchange) {
  const Time now = MonotonicNow();
  const RequestId id = request.id;
  auto active = std::make_unique<ActiveRequest>(
      *context_, std::move(request), plain, claimed, std::move(exchange), now);
  ActiveRequest& started = *active;
  active_[id] = std::move(active);
  started.Start(now);
}

// ---- Claims --------------------------------------------------------------

void ServingTask::Claim(CallerRequest request, bool plain,
                        HttpExchangePtr exchange) {
  const RequestId id = request.id;
  serving_metrics_.claims.Add(1);
  ClaimWaiter& waiter = claims_[id];
  const std::string hash_input =
      request.method + ' ' + request.path + '\n' + request.body;
  waiter.claim = {
      .key = {request.account, request.key},
      .instance = settings_.instance,
      .incarnation = context_->incarnation,
      .request = id,
      .body_hash = XXH3_64bits(hash_input.data(), hash_input.size())};
  waiter.request = std::move(request);
  waiter.plain = plain;
  waiter.exchange = std::move(exchange);
  waiter.deadline = MonotonicNow() + kAttachTimeout;
  waiter.exchange->WatchClose([this, id] {
    const auto found = claims_.find(id);
    if (found == claims_.end()) return;
    serving_metrics_.cancelled.Add();
    ReleaseClaim(RemoveClaimWaiter(id));
  });
  to_control_(ClaimRequested{waiter.claim});
}

ServingTask::ClaimWaiter ServingTask::RemoveClaimWaiter(const RequestId& id) {
  const auto found = claims_.find(id);
  ClaimWaiter waiter = std::move(found->second);
  claims_.erase(found);
  serving_metrics_.claims.Add(-1);
  return waiter;
}

void ServingTask::ReleaseClaim(const ClaimWaiter& waiter) {
  to_control_(OutcomeReported{{.key = waiter.claim.key,
                               .request = waiter.claim.request,
                               .state = RecordState::kNotRun}});
}

void ServingTask::On(ClaimAnswered& message, Time now) {
  const auto found = claims_.find(message.request);
  if (found == claims_.end()) return;
  ClaimWaiter& waiter = found->second;
  const bool attached =
      message.answer.has_value() &&
      std::holds_alternative<AttachToRequest>(*message.answer);
  if (attached) {
    waiter.attached = true;
    waiter.next_poll = now + kAttachPollPeriod;
    return;
  }
  ClaimWaiter settled = RemoveClaimWaiter(message.request);
  if (message.answer.has_value()) {
    SettleClaim(std::move(settled), *message.answer);
    return;
  }
  // The claim may still be committed later, so it is released.
  ReleaseClaim(settled);
  const bool not_run = !settled.attached;
  RespondError(*settled.exchange,
               {.status = 503,
                .type = not_run ? "unavailable" : "unknown_outcome",
                .code = "no_quorum",
                .message = "no quorum holds the at-most-once records",
                .not_run = not_run,
                .retry_after = kBusyRetryAfter},
               settled.request.id.value());
}

void ServingTask::SettleClaim(ClaimWaiter waiter, const LedgerAnswer& answer) {
  if (std::holds_alternative<RunRequest>(answer)) {
    // From now on ActiveRequest::Start() watches for the close of the exchange.
    Run(std::move(waiter.request), waiter.plain, true,
        std::move(waiter.exchange));
    return;
  }
  if (const auto* replay = std::get_if<ReplayAnswer>(&answer)) {
    Replay(waiter, replay->answer);
    return;
  }
  const std::string id = waiter.request.id.value();
  if (const auto* refused = std::get_if<ClaimRefused>(&answer)) {
    const bool body_differs = refused->reason == LedgerRefusal::kOtherBody;
    refused_early_.Add();
    RespondError(
        *waiter.exchange,
        {.status = body_differs ? 409 : 503,
         .type = body_differs ? "invalid_request" : "unavailable",
         .code = body_differs ? "key_reused" : "ledger_unavailable",
         .message = body_differs ? "this Idempotency-Key was used with another "
                                   "request"
                                 : "the ledger can't take this key now",
         .not_run = true,
         .retry_after = body_differs ? Duration(0) : kBusyRetryAfter},
        id);
    return;
  }
  serving_metrics_.unknown_outcome.Add();
  RespondError(*waiter.exchange,
               {.status = 502,
                .type = "unknown_outcome",
                .code = "outcome_unknown",
                .message = "an earlier request with this key may have run"},
               id);
}

void ServingTask::Replay(const ClaimWaiter& waiter,
                         const RecordedAnswer& answer) {
  serving_metrics_.replayed.Add();
  HttpExchange& exchange = *waiter.exchange;
  const HttpHeaders headers = {{"X-Request-Id", waiter.request.id.value()},
                               {"Cassiausher-Replayed", "true"}};
  if (!answer.kept) {
    RespondError(exchange,
                 {.status = 409,
                  .type = "completed",
                  .code = "answer_not_kept",
                  .message = "the request with this key ran; its answer was "
                             "too large to keep"},
                 waiter.request.id.value());
    return;
  }
  if (waiter.request.received_chunks > 0) {
    // The record doesn't say where each chunk ended.
    RespondError(exchange,
                 {.status = 409,
                  .type = "completed",
                  .code = "ask_for_whole_answer",
                  .message = "the answer is recorded as a whole; ask again "
                             "without Last-Event-ID"},
                 waiter.request.id.value());
    return;
  }
  StreamChunk chunk;
  const bool as_stream =
      !waiter.plain && waiter.request.stream &&
      driver_.ReadAnswer(waiter.request.chat, answer.body, &chunk);
  if (!as_stream) {
    exchange.Respond(answer.status, answer.content_type, answer.body, headers);
    return;
  }
  exchange.StartStream(200, "text/event-stream", headers);
  exchange.Write(driver_.FormatChunk(waiter.request, chunk) +
                 driver_.FormatStreamEnd());
  exchange.EndStream();
}

void ServingTask::TickClaims(Time now) {
  std::vector<RequestId> expired;
  for (auto& [id, waiter] : claims_) {
    if (now >= waiter.deadline) {
      expired.push_back(id);
    } else if (now >= waiter.next_poll) {
      waiter.next_poll = Time::max();
      to_control_(ClaimRequested{waiter.claim});
    }
  }
  for (const RequestId& id : expired) {
    const ClaimWaiter waiter = RemoveClaimWaiter(id);
    ReleaseClaim(waiter);
    RespondStillRunning(waiter);
  }
}

void ServingTask::RespondStillRunning(const ClaimWaiter& waiter) {
  RespondError(*waiter.exchange,
               {.status = 504,
                .type = "unknown_outcome",
                .code = "still_running",
                .message = "the request with this key is still running",
                .retry_after = kBusyRetryAfter},
               waiter.request.id.value());
}

}  // namespace cassiausher
