#include "tools/load/load_worker.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace cassiausher {
namespace {

using nlohmann::json;

constexpr std::int64_t kMicrosPerSecond = 1'000'000;
/// A SoupSession iterates over all its open requests at each step, so that many
/// small sessions are faster than one large one.
constexpr std::int64_t kRequestsPerSession = 32;
constexpr int kMaxAttempts = 4;
constexpr std::int64_t kRetryDelayUs = 100'000;
constexpr std::uint64_t kMaxDuplicateDelayUs = 500'000;
/// When the server closes an idle connection while a request is being sent, the
/// error arrives within this time; the server has not processed the request.
constexpr std::int64_t kIdleCloseRaceUs = 10'000;

}  // namespace

struct LoadWorker::Request {
  PlannedRequest plan;
  std::int64_t sent_us = 0;
  int attempts = 0;
  int open = 0;
  bool duplicated = false;
  bool answer_counted = false;
  std::size_t last_target = 0;
};

/// One attempt while its connection is open.
struct LoadWorker::Exchange {
  LoadWorker* worker = nullptr;
  std::shared_ptr<Request> request;
  Attempt record;
  SoupMessage* message = nullptr;
  GInputStream* input = nullptr;
  GCancellable* cancel = nullptr;
  Timers::Id timeout_timer{};
  Timers::Id cancel_timer{};
  bool events = false;
  bool complete = false;
  bool saw_done_event = false;
  bool recorded = false;
  bool in_error = false;
  std::int64_t tokens = 0;
  std::int64_t last_token_us = 0;
  std::string pending;
  std::string text;
  char buffer[8192];

  ~Exchange() {
    if (message != nullptr) g_object_unref(message);
    if (input != nullptr) {
      // libsoup reuses the connection only after the stream is closed.
      g_input_stream_close(input, nullptr, nullptr);
      g_object_unref(input);
    }
    if (cancel != nullptr) g_object_unref(cancel);
  }
};

LoadWorker::LoadWorker(const LoadPlan& plan, std::int64_t index,
                       HistoryWriter& history, LoadProgress& progress)
    : plan_(plan),
      history_(history),
      progress_(progress),
      random_(plan.workload.seed * 1000 + static_cast<std::uint64_t>(index)),
      context_(g_main_context_new()),
      next_number_(index) {
  const auto share = [&](std::int64_t total) {
    return total / plan.workers + (index < total % plan.workers ? 1 : 0);
  };
  requests_left_ = plan.requests == 0 ? INT64_MAX : share(plan.requests);
  concurrency_ = std::max<std::int64_t>(1, share(plan.concurrency));
}

LoadWorker::~LoadWorker() {
  timers_.reset();
  g_main_context_unref(context_);
}

std::int64_t LoadWorker::Elapsed() const {
  return Timers::Now() - plan_.started_us;
}

bool LoadWorker::Ended() const {
  return requests_left_ <= 0 || progress_.interrupted ||
         ToSeconds(Duration(Elapsed())) >= plan_.seconds;
}

void LoadWorker::Run() {
  g_main_context_push_thread_default(context_);
  timers_ = std::make_unique<Timers>(context_);
  const std::int64_t count = concurrency_ / kRequestsPerSession + 1;
  for (std::int64_t i = 0; i < count; ++i) {
    SoupSession* session = soup_session_new_with_options(
        "max-conns", 100'000, "max-conns-per-host", 100'000, "timeout", 0,
        nullptr);
    soup_session_set_proxy_resolver(session, nullptr);
    sessions_.push_back(session);
  }
  if (plan_.rate > 0) {
    next_arrival_us_ = Timers::Now();
    OnArrival();
  } else {
    for (std::int64_t i = 0; i < concurrency_ && !Ended(); ++i) StartRequest();
  }
  ScheduleWakeup();
  while (open_requests_ > 0 || !Ended())
    g_main_context_iteration(context_, TRUE);
  totals_.seconds = ToSeconds(Duration(Elapsed()));
  for (SoupSession* session : sessions_) {
    soup_session_abort(session);
    g_object_unref(session);
  }
  while (g_main_context_iteration(context_, FALSE)) {
  }
  g_main_context_pop_thread_default(context_);
}

void LoadWorker::ScheduleWakeup() {
  constexpr std::int64_t kPeriodUs = 50'000;
  timers_->Schedule(Timers::Now() + kPeriodUs, [this] { ScheduleWakeup(); });
}

void LoadWorker::OnArrival() {
  const double rate = plan_.rate / static_cast<double>(plan_.workers);
  const std::int64_t now = Timers::Now();
  std::exponential_distribution<double> intervals(rate);
  while (next_arrival_us_ <= now && !Ended()) {
    next_arrival_us_ += static_cast<std::int64_t>(intervals(random_.engine()) *
                                                  kMicrosPerSecond);
    if (open_requests_ < concurrency_) {
      StartRequest();
      continue;
    }
    ++waiting_arrivals_;
    ++totals_.held_back;
  }
  if (Ended()) return;
  timers_->Schedule(next_arrival_us_, [this] { OnArrival(); });
}

void LoadWorker::StartRequest() {
  --requests_left_;
  ++open_requests_;
  ++progress_.offered;
  ++progress_.open;
  auto request = std::make_shared<Request>();
  request->plan =
      PlanRequest(plan_.workload, plan_.run_name, next_number_, random_);
  next_number_ += plan_.workers;
  request->sent_us = Elapsed();
  totals_.offering_seconds = ToSeconds(Duration(request->sent_us));
  request->last_target = random_.Below(plan_.targets.size());
  ++totals_.services[request->plan.service->name].offered;
  StartAttempt(request);
}

void LoadWorker::StartAttempt(const std::shared_ptr<Request>& request) {
  const PlannedRequest& plan = request->plan;
  const Target& target =
      plan_.targets[request->last_target % plan_.targets.size()];
  ++request->attempts;
  ++request->open;
  auto exchange = std::make_shared<Exchange>();
  exchange->worker = this;
  exchange->request = request;
  exchange->cancel = g_cancellable_new();
  Attempt& record = exchange->record;
  record.id = plan.id;
  record.key = plan.key;
  record.service = plan.service->name;
  record.instance = target.name;
  record.text_hash = plan.text_hash;
  record.plain = plan.service->plain;
  record.stream = plan.stream;
  record.idempotent = plan.idempotent;
  record.sent_us = Elapsed();
  const std::string path =
      !plan.service->plain ? "/v1/completions"
      : plan_.plain_prefix.empty()
          ? "/call"
          : plan_.plain_prefix + plan.service->name + "/call";
  exchange->message = soup_message_new("POST", (target.url + path).c_str());
  // Without this flag libsoup opens a new connection for each POST. It never
  // resends a POST on its own, with the flag or without.
  soup_message_add_flags(exchange->message, SOUP_MESSAGE_IDEMPOTENT);
  SoupMessageHeaders* headers =
      soup_message_get_request_headers(exchange->message);
  soup_message_headers_replace(headers, "X-Request-Id", plan.id.c_str());
  if (!plan.key.empty()) {
    soup_message_headers_replace(headers, "Idempotency-Key", plan.key.c_str());
  }
  if (!plan.idempotent) {
    soup_message_headers_replace(headers, "Cassiausher-Idempotent", "false");
  }
  if (!plan_.token.empty()) {
    soup_message_headers_replace(headers, "Authorization",
                                 ("Bearer " + plan_.token).c_str());
  }
  GBytes* body = g_bytes_new(plan.body.data(), plan.body.size());
  soup_message_set_request_body_from_bytes(exchange->message,
                                           "application/json", body);
  g_bytes_unref(body);
  SetTimers(exchange);
  SoupSession* session = sessions_[next_session_++ % sessions_.size()];
  soup_session_send_async(session, exchange->message, G_PRIORITY_DEFAULT,
                          exchange->cancel, &LoadWorker::OnHeaders,
                          new ExchangePtr(exchange));
}

void LoadWorker::SetTimers(const ExchangePtr& exchange) {
  const std::weak_ptr<Exchange> weak = exchange;
  const std::int64_t now = Timers::Now();
  const std::shared_ptr<Request>& request = exchange->request;
  exchange->timeout_timer =
      timers_->Schedule(now + plan_.timeout_ms * 1000, [this, weak] {
        if (const ExchangePtr late = weak.lock())
          Close(late, Outcome::kTimedOut);
      });
  if (request->plan.cancel_after_us >= 0) {
    exchange->cancel_timer =
        timers_->Schedule(now + request->plan.cancel_after_us, [this, weak] {
          if (const ExchangePtr open = weak.lock()) {
            Close(open, Outcome::kCancelled);
          }
        });
    return;
  }
  if (!request->plan.retries || request->duplicated) return;
  // Half of the retrying callers abandon the first attempt; the others leave it
  // open while the second one runs.
  const bool gives_up = random_.Chance(0.5);
  exchange->cancel_timer = timers_->Schedule(
      now + static_cast<std::int64_t>(random_.Below(kMaxDuplicateDelayUs)),
      [this, weak, request, gives_up] {
        const ExchangePtr open = weak.lock();
        if (!open || open->recorded || request->duplicated) return;
        request->duplicated = true;
        ++request->last_target;
        StartAttempt(request);
        if (gives_up) Close(open, Outcome::kCancelled);
      });
}

void LoadWorker::Close(const ExchangePtr& exchange, Outcome outcome) {
  if (exchange->recorded) return;
  g_cancellable_cancel(exchange->cancel);
  End(exchange, outcome);
}

void LoadWorker::OnHeaders(GObject* source, GAsyncResult* result,
                           gpointer data) {
  const std::unique_ptr<ExchangePtr> holder(static_cast<ExchangePtr*>(data));
  const ExchangePtr& exchange = *holder;
  GError* error = nullptr;
  exchange->input =
      soup_session_send_finish(SOUP_SESSION(source), result, &error);
  if (exchange->recorded) {
    g_clear_error(&error);
    return;
  }
  if (exchange->input == nullptr) {
    return exchange->worker->OnConnectionError(exchange, error);
  }
  exchange->record.status =
      static_cast<int>(soup_message_get_status(exchange->message));
  const char* type = soup_message_headers_get_content_type(
      soup_message_get_response_headers(exchange->message), nullptr);
  exchange->events = exchange->record.status == SOUP_STATUS_OK &&
                     type != nullptr &&
                     std::string_view(type) == "text/event-stream";
  exchange->worker->Read(exchange);
}

void LoadWorker::Read(const ExchangePtr& exchange) {
  g_input_stream_read_async(exchange->input, exchange->buffer,
                            sizeof(exchange->buffer), G_PRIORITY_DEFAULT,
                            exchange->cancel, &LoadWorker::OnBodyData,
                            new ExchangePtr(exchange));
}

void LoadWorker::OnBodyData(GObject* source, GAsyncResult* result,
                            gpointer data) {
  const std::unique_ptr<ExchangePtr> holder(static_cast<ExchangePtr*>(data));
  const ExchangePtr& exchange = *holder;
  LoadWorker& worker = *exchange->worker;
  GError* error = nullptr;
  const gssize size =
      g_input_stream_read_finish(G_INPUT_STREAM(source), result, &error);
  if (exchange->recorded) {
    g_clear_error(&error);
    return;
  }
  if (size < 0) return worker.OnConnectionError(exchange, error);
  if (size == 0) return worker.OnEndOfBody(exchange);
  exchange->pending.append(exchange->buffer, static_cast<std::size_t>(size));
  if (exchange->events) {
    std::size_t at = 0;
    for (;;) {
      const std::size_t line_end = exchange->pending.find('\n', at);
      if (line_end == std::string::npos) break;
      const std::string_view line =
          std::string_view(exchange->pending).substr(at, line_end - at);
      if (line.starts_with("data: ")) worker.OnEvent(*exchange, line.substr(6));
      at = line_end + 1;
    }
    exchange->pending.erase(0, at);
  }
  const std::int64_t limit = exchange->request->plan.cancel_after_tokens;
  if (limit > 0 && exchange->tokens >= limit && !exchange->saw_done_event) {
    return worker.Close(exchange, Outcome::kCancelled);
  }
  worker.Read(exchange);
}

void LoadWorker::OnEvent(Exchange& exchange, std::string_view data) {
  if (data == "[DONE]") {
    exchange.saw_done_event = true;
    return;
  }
  const json event = json::parse(data, nullptr, false);
  if (!event.is_object()) return OnText(exchange, data);
  if (event.contains("error")) return ParseError(event["error"], exchange);
  const auto choices = event.find("choices");
  if (choices == event.end() || !choices->is_array() || choices->empty()) {
    return;
  }
  const json& choice = (*choices)[0];
  const auto text = choice.find("text");
  if (text != choice.end() && text->is_string()) {
    OnText(exchange, text->get_ref<const std::string&>());
  }
  const auto finish = choice.find("finish_reason");
  if (finish != choice.end() && finish->is_string()) exchange.complete = true;
}

void LoadWorker::OnText(Exchange& exchange, std::string_view text) {
  const std::int64_t now = Elapsed();
  ServiceTotals& totals = totals_.services[exchange.record.service];
  if (exchange.record.first_us < 0) {
    exchange.record.first_us = now;
    totals.first_token.Record(now - exchange.record.sent_us);
  } else {
    totals.between_tokens.Record(now - exchange.last_token_us);
  }
  exchange.last_token_us = now;
  ++exchange.tokens;
  ++totals.tokens;
  exchange.text += text;
}

void LoadWorker::OnEndOfBody(const ExchangePtr& exchange) {
  if (exchange->in_error) return End(exchange, Outcome::kFailed);
  if (exchange->events) {
    const bool whole = exchange->complete && exchange->saw_done_event;
    return End(exchange, whole ? Outcome::kAnswered : Outcome::kCut);
  }
  ParseWholeAnswer(*exchange);
  if (exchange->record.status == SOUP_STATUS_OK) {
    const bool answered = exchange->complete && !exchange->record.stream;
    return End(exchange, answered ? Outcome::kAnswered : Outcome::kMalformed);
  }
  End(exchange, exchange->in_error ? Outcome::kRefused : Outcome::kMalformed);
}

void LoadWorker::ParseWholeAnswer(Exchange& exchange) {
  const json body = json::parse(exchange.pending, nullptr, false);
  if (!body.is_object()) return;
  if (body.contains("error")) return ParseError(body["error"], exchange);
  if (exchange.record.plain) {
    exchange.record.answer = body.value("body_hash", "");
    exchange.complete = true;
    return;
  }
  const json::json_pointer text("/choices/0/text");
  if (!body.contains(text) || !body[text].is_string()) return;
  exchange.text = body[text].get<std::string>();
  exchange.tokens = std::count(exchange.text.begin(), exchange.text.end(), '-');
  totals_.services[exchange.record.service].tokens += exchange.tokens;
  exchange.complete = true;
}

void LoadWorker::ParseError(const json& error, Exchange& exchange) {
  if (!error.is_object()) return;
  exchange.in_error = true;
  const auto not_run = error.find("not_run");
  if (not_run != error.end() && not_run->is_boolean()) {
    exchange.record.not_run =
        not_run->get<bool>() ? NotRun::kTrue : NotRun::kFalse;
  }
  const auto code = error.find("code");
  if (code != error.end() && code->is_string()) {
    exchange.record.code = code->get<std::string>();
  }
}

void LoadWorker::OnConnectionError(const ExchangePtr& exchange, GError* error) {
  const bool refused =
      g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED);
  const bool race = exchange->record.status == 0 &&
                    Elapsed() - exchange->record.sent_us < kIdleCloseRaceUs;
  exchange->record.code = error->message;
  g_clear_error(&error);
  End(exchange, refused || race ? Outcome::kUnreachable : Outcome::kBroken);
}

void LoadWorker::End(const ExchangePtr& exchange, Outcome outcome) {
  exchange->recorded = true;
  timers_->Cancel(exchange->timeout_timer);
  timers_->Cancel(exchange->cancel_timer);
  exchange->record.end_us = Elapsed();
  exchange->record.outcome = outcome;
  if (!exchange->record.plain) {
    exchange->record.answer = EncodeAnswer(exchange->text);
  }
  history_.Add(FormatAttempt(exchange->record));
  UpdateTotals(*exchange);
  --exchange->request->open;
  AfterAttempt(exchange->request, outcome);
}

void LoadWorker::UpdateTotals(Exchange& exchange) {
  const Attempt& record = exchange.record;
  ServiceTotals& totals = totals_.services[record.service];
  switch (record.outcome) {
    case Outcome::kAnswered:
      break;
    case Outcome::kRefused:
      ++totals.codes[record.code];
      ++totals.refused;
      if (record.not_run == NotRun::kTrue) ++totals.refused_not_run;
      return;
    case Outcome::kFailed:
      ++totals.codes[record.code];
      ++totals.failed;
      return;
    case Outcome::kCancelled:
      // A caller that abandoned an attempt and retries is still waiting.
      if (!exchange.request->plan.retries) ++totals.cancelled;
      return;
    case Outcome::kUnreachable:
      ++totals.unreachable;
      return;
    case Outcome::kCut:
    case Outcome::kBroken:
    case Outcome::kTimedOut:
    case Outcome::kMalformed:
      ++totals.broken;
      return;
  }
  totals.whole.Record(record.end_us - record.sent_us);
  if (exchange.request->answer_counted) return;
  exchange.request->answer_counted = true;
  ++totals.answered;
  ++progress_.answered;
  const ServiceLoad& service = *exchange.request->plan.service;
  const std::int64_t sent_us = exchange.request->sent_us;
  const auto within = [](double milliseconds, double target) {
    return target == 0 || milliseconds <= target;
  };
  const double first =
      static_cast<double>((record.stream ? record.first_us : record.end_us) -
                          sent_us) /
      1e3;
  const double between =
      exchange.tokens < 2
          ? 0
          : static_cast<double>(exchange.last_token_us - record.first_us) /
                1e3 / static_cast<double>(exchange.tokens - 1);
  // The time of the first token of a non-streamed answer is unknown.
  const bool first_seen = record.stream || record.plain;
  const bool first_on_time =
      !first_seen || within(first, service.first_token_ms);
  const bool between_on_time =
      !record.stream || within(between, service.between_tokens_ms);
  if (first_on_time && between_on_time) ++totals.on_time;
}

void LoadWorker::AfterAttempt(const std::shared_ptr<Request>& request,
                              Outcome outcome) {
  const bool lost = outcome == Outcome::kBroken ||
                    outcome == Outcome::kTimedOut || outcome == Outcome::kCut;
  const bool retry =
      outcome == Outcome::kUnreachable || (lost && request->plan.retries);
  if (retry && request->attempts < kMaxAttempts && request->open == 0) {
    ++request->last_target;
    ++request->open;
    timers_->Schedule(Timers::Now() + kRetryDelayUs, [this, request] {
      --request->open;
      StartAttempt(request);
    });
    return;
  }
  if (request->open > 0) return;
  --open_requests_;
  --progress_.open;
  const bool closed_loop = plan_.rate == 0;
  if (Ended() || (!closed_loop && waiting_arrivals_ == 0)) return;
  if (!closed_loop) --waiting_arrivals_;
  // Deferred to a later main loop iteration, so that requests that fail at once
  // don't recurse.
  timers_->Schedule(Timers::Now(), [this] {
    if (!Ended()) StartRequest();
  });
}

}  // namespace cassiausher
