#include "main/daemon/admin_task.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "core/json_reader.h"
#include "drivers/clock.h"
#include "drivers/process_setup.h"
#include "main/daemon/announcement.h"

namespace cassiausher {
namespace {

constexpr std::int64_t kMaxAdminBody = 1 << 20;
constexpr Duration kDrainPollPeriod = Milliseconds(20);

ErrorAnswer BadRequest(std::string message) {
  return {.status = 400,
          .type = "invalid_request",
          .code = "bad_body",
          .message = std::move(message),
          .not_run = true};
}

ErrorAnswer Stopping() {
  return {.status = 503,
          .type = "unavailable",
          .code = "shutting_down",
          .message = "this instance is shutting down",
          .not_run = true,
          .retry_after = Seconds(1)};
}

}  // namespace

AdminTask::AdminTask(const Settings& settings, Metrics& metrics,
                     std::function<void(ControlMessage)> to_control)
    : Task("admin"),
      settings_(settings),
      metrics_(metrics),
      to_control_(std::move(to_control)),
      announcements_(metrics.counter("announcements_total")),
      refused_announcements_(metrics.counter("announcements_refused_total")),
      replies_(context(),
               [](Reply& reply) {
                 reply.exchange->Respond(reply.status, "application/json",
                                         reply.body);
               }),
      mailbox_(context(), [this](AdminMessage& message) {
        std::visit([this](auto& value) { On(value); }, message);
      }) {
  SetKeys(settings.keys);
}

void AdminTask::SetKeys(const Settings::Keys& keys) {
  operators_ = TokenTable();
  endpoints_ = TokenTable();
  for (const TokenSettings& token : keys.operators) {
    operators_.Add(token.sha256, {token.name, token.role});
  }
  for (const TokenSettings& token : keys.endpoints) {
    endpoints_.Add(token.sha256, {token.name, ""});
  }
}

AdminTask::~AdminTask() { Stop(); }

void AdminTask::OnStart() {
  server_ = std::make_unique<HttpServer>(
      HttpServerOptions{
          .address = settings_.listen.admin.ip,
          .port = settings_.listen.admin.port,
          .tls_certificate_file = settings_.listen.tls_certificate_file,
          .tls_key_file = settings_.listen.tls_key_file,
          .max_body_bytes = kMaxAdminBody,
          .max_header_bytes = settings_.limits.header_bytes,
          .max_descriptor = MaxServedDescriptor()},
      [this](HttpExchangePtr exchange) { HandleHttp(std::move(exchange)); },
      [this](int status, std::string_view message) {
        drained_.store(false);
        return FormatError({.status = status,
                            .type = "invalid_request",
                            .code = "too_large",
                            .message = std::string(message),
                            .not_run = true});
      });
  listen_error_ = server_->Listen(context());
}

void AdminTask::SendLastAnswers() {
  if (!end_deadline_) return;
  RunUntilDrained(
      context(), [this] { return drain_watch_.Done(*server_, MonotonicNow()); },
      BootTimeNow() + (*end_deadline_ - MonotonicNow()));
}

void AdminTask::OnStop() {
  SendLastAnswers();
  drain_timer_.reset();
  LogCutAnswers(server_->UnsentAnswers(), "admin", metrics_);
  server_.reset();
}

void AdminTask::On(KeysChanged& message) { SetKeys(*message.keys); }

void AdminTask::On(DrainRequested&) {
  ready_ = false;
  server_->BeginDrain();
}

void AdminTask::On(StopRequested&) {
  if (stopping_) return;
  stopping_ = true;
  server_->StopListening();
  drain_timer_ = AddTimer(kDrainPollPeriod, [this] {
    drained_.store(drain_watch_.Done(*server_, MonotonicNow()));
  });
}

void AdminTask::On(EndOrdered& message) { end_deadline_ = message.deadline; }

void AdminTask::HandleHttp(HttpExchangePtr exchange) {
  drained_.store(false);
  const std::string path(exchange->path());
  exchange->SetLabel(path);
  if (path == "/healthz") {
    exchange->Respond(200, "text/plain", "ok\n");
    return;
  }
  if (path == "/readyz") {
    exchange->Respond(ready_ ? 200 : 503, "text/plain",
                      ready_ ? "ready\n" : "shutting down\n");
    return;
  }
  if (path == "/metrics") {
    exchange->Respond(200, "text/plain; version=0.0.4", metrics_.Render());
    return;
  }
  if (path == "/announce") {
    HandleAnnouncement(*exchange);
    return;
  }
  if (path == "/admin/v1/query" || path == "/admin/v1/change") {
    HandleStatement(std::move(exchange));
    return;
  }
  if (path == "/admin/v1/state") {
    HandleState(std::move(exchange));
    return;
  }
  RespondError(*exchange, {.status = 404,
                           .type = "invalid_request",
                           .code = "unknown_path",
                           .message = fmt::format("there is no {}", path),
                           .not_run = true});
}

std::optional<TokenOwner> AdminTask::Authorize(HttpExchange& exchange,
                                               const TokenTable& tokens) {
  auto owner = tokens.Find(BearerToken(exchange.header("Authorization")));
  if (owner.has_value()) return owner;
  RespondError(exchange, {.status = 401,
                          .type = "authentication",
                          .code = "bad_token",
                          .message = "the bearer token is missing or unknown",
                          .not_run = true});
  return std::nullopt;
}

std::function<void(int, std::string)> AdminTask::ReplyTo(
    HttpExchangePtr exchange) {
  return [this, exchange](int status, std::string body) {
    replies_.Post({exchange, status, std::move(body)});
  };
}

void AdminTask::HandleStatement(HttpExchangePtr exchange) {
  const auto owner = Authorize(*exchange, operators_);
  if (!owner.has_value()) return;
  const nlohmann::json body = ParseJson(exchange->body());
  if (!body.is_object() || !body.contains("text") ||
      !body["text"].is_string()) {
    RespondError(*exchange, BadRequest("body#/text must be a string"));
    return;
  }
  if (stopping_) return RespondError(*exchange, Stopping());
  to_control_(StatementRequested{*owner, body["text"].get<std::string>(),
                                 ReplyTo(exchange)});
}

void AdminTask::HandleState(HttpExchangePtr exchange) {
  if (!Authorize(*exchange, operators_).has_value()) return;
  if (stopping_) return RespondError(*exchange, Stopping());
  to_control_(DumpRequested{[reply = ReplyTo(exchange)](std::string json) {
    reply(200, std::move(json));
  }});
}

void AdminTask::HandleAnnouncement(HttpExchange& exchange) {
  if (!Authorize(exchange, endpoints_).has_value()) {
    refused_announcements_.Add();
    return;
  }
  // The endpoint announces itself to another instance instead.
  if (stopping_) return RespondError(exchange, Stopping());
  Findings findings;
  proto::Announcement announcement =
      ParseAnnouncement(exchange.body(), &findings);
  if (findings.empty() &&
      announcement.data_centre() != settings_.data_centre.value()) {
    findings.Add("body#/data_centre",
                 "is not the data centre of this instance");
  }
  if (!findings.empty()) {
    refused_announcements_.Add();
    RespondError(exchange, BadRequest(ToString(findings)));
    return;
  }
  announcements_.Add();
  to_control_(EndpointAnnounced{std::move(announcement)});
  exchange.Respond(200, "application/json", R"({"accepted":true})");
}

}  // namespace cassiausher
