// Guards against an unfinished stream that looks complete to its caller.
#include "main/daemon/active_request.h"

#include <CppUTest/TestHarness.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "drivers/clock.h"
#include "main/daemon/cancel_queue.h"
#include "modules/openai_endpoint/openai_driver.h"
#include "tests/drivers/canned_server.h"

using namespace cassiausher;  // NOLINT: test file

namespace {

constexpr std::int64_t kMaxUnsentBytes = 4096;

struct Answer : HttpCallSink {
  void OnHeaders(int code, SoupMessageHeaders*) override { status = code; }
  void OnBody(std::string_view bytes) override { body.append(bytes); }
  void OnDone(std::string_view text, bool) override {
    error = text;
    done = true;
  }

  int status = 0;
  std::string body;
  std::string error;
  bool done = false;
};

std::string Url(const HttpServer& server) {
  return "http://127.0.0.1:" + std::to_string(server.port());
}

}  // namespace

TEST_GROUP(ActiveRequest) {
  GMainContext* context = nullptr;
  Settings settings;
  OpenAiDriver driver;
  Metrics metrics;
  std::unique_ptr<ServingMetrics> serving_metrics;
  std::unique_ptr<HttpClient> http;
  std::unique_ptr<ServingContext> serving;
  std::unique_ptr<CancelQueue> cancels;
  std::unique_ptr<HttpServer> callers;
  std::unique_ptr<HttpServer> endpoint;
  HttpExchangePtr from_caller;
  HttpExchangePtr to_endpoint;
  std::unique_ptr<ActiveRequest> request;
  // A member, since a failed check doesn't destroy the locals of a test.
  Answer answer;
  /// The last one that was reported.
  std::optional<RecordState> outcome;

  void setup() override {
    context = g_main_context_new();
    g_main_context_push_thread_default(context);
    settings.limits.unsent_bytes = kMaxUnsentBytes;
    serving_metrics = std::make_unique<ServingMetrics>(metrics);
    http = std::make_unique<HttpClient>();
    serving = std::make_unique<ServingContext>(ServingContext{
        .settings = settings,
        .http = *http,
        .driver = driver,
        .metrics = *serving_metrics,
        .to_control = [this](const ControlMessage& message) {
          const auto* reported = std::get_if<OutcomeReported>(&message);
          if (reported != nullptr) outcome = reported->result.state;
        }});
    cancels = std::make_unique<CancelQueue>(*serving);
    serving->cancels = cancels.get();
    callers = Listen(&from_caller);
    endpoint = Listen(&to_endpoint);
  }
  void teardown() override {
    request.reset();
    cancels.reset();
    http.reset();
    from_caller.reset();
    to_endpoint.reset();
    callers.reset();
    endpoint.reset();
    g_main_context_pop_thread_default(context);
    g_main_context_unref(context);
  }

  /// The server keeps the first exchange and releases the others.
  std::unique_ptr<HttpServer> Listen(HttpExchangePtr * first) const {
    auto server = std::make_unique<HttpServer>(
        HttpServerOptions{.address = "127.0.0.1"},
        [first](HttpExchangePtr exchange) {
          if (*first == nullptr) *first = std::move(exchange);
        },
        [](int, std::string_view message) { return std::string(message); });
    STRCMP_EQUAL("", server->Listen(context).c_str());
    return server;
  }

  bool RunUntil(const std::function<bool()>& done) const {
    const gint64 deadline = g_get_monotonic_time() + 8 * G_USEC_PER_SEC;
    while (!done()) {
      if (g_get_monotonic_time() > deadline) return false;
      if (!g_main_context_iteration(context, FALSE)) g_usleep(500);
    }
    return true;
  }

  /// Places the caller's request at the endpoint with that URL.
  void Place(bool plain, const std::string& url) {
    CHECK(RunUntil([this] { return from_caller != nullptr; }));
    CallerRequest call;
    call.id = RequestId("r");
    call.service = ServiceId("m");
    call.stream = !plain;
    call.idempotent = !plain;
    call.body = "{}";
    const Time now = MonotonicNow();
    request = std::make_unique<ActiveRequest>(*serving, call, plain, true,
                                              from_caller, now);
    request->Start(now);
    Grant grant;
    grant.decode = EndpointId("e");
    grant.decode_url = url;
    grant.first_token_timeout = Seconds(60);
    grant.between_tokens_timeout = Seconds(60);
    request->OnGranted({.grant = grant}, now);
  }

  void StartStream() {
    Place(false, Url(*endpoint));
    CHECK(RunUntil([this] { return to_endpoint != nullptr; }));
    to_endpoint->StartStream(200, "text/event-stream");
  }

  void SendChunk(std::uint64_t sequence, const std::string& text) const {
    to_endpoint->Write(driver.FormatChunk({}, {sequence, text, ""}));
  }
};

// The stream of a caller that was cut off for reading too slowly ended with the
// last chunk, so that the caller took the part for the whole answer.
TEST(ActiveRequest, AStreamThatIsCutForASlowCallerDoesNotLookComplete) {
  http->Start({.url = Url(*callers), .body = "{}", .new_connection = true},
              &answer);
  StartStream();
  SendChunk(1, "first");
  CHECK(
      RunUntil([&] { return answer.body.find("first") != std::string::npos; }));
  bool endpoint_is_left = false;
  to_endpoint->WatchClose([&] { endpoint_is_left = true; });
  SendChunk(2, std::string(2 * kMaxUnsentBytes, 'x'));
  CHECK(RunUntil([&] { return answer.done; }));
  LONGS_EQUAL(1, serving_metrics->slow_callers.value());
  CHECK_FALSE(answer.error.empty());
  // Neither the end mark of a complete stream nor an error in its place.
  CHECK_TRUE(answer.body.find("[DONE]") == std::string::npos);
  // The endpoint doesn't go on for nobody.
  CHECK(RunUntil([&] { return endpoint_is_left; }));
}

// The answer of a plain service was taken for complete, with status 0 and an
// empty body, and recorded as the answer to later tries.
TEST(ActiveRequest, BytesWithoutASoundHeadAreNoAnswerOfAPlainService) {
  for (const char* bytes :
       {"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n",
        "HTTP/1.1 101 OK\r\nContent-Length: 5\r\n\r\nhello"}) {
    const CannedServer faulty(bytes);
    answer = Answer();
    request.reset();
    from_caller.reset();
    http->Start({.url = Url(*callers), .body = "{}", .new_connection = true},
                &answer);
    Place(true, faulty.url());
    CHECK_TEXT(RunUntil([&] { return answer.done; }), bytes);
    CHECK_TEXT(answer.status >= 500, bytes);
    CHECK_TEXT(outcome == RecordState::kUnknown, bytes);
    LONGS_EQUAL_TEXT(1, faulty.connections(), bytes);
  }
}
