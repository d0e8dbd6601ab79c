// Guards against oversized requests that reach the handler, reordered or
// truncated streams, and callers whose disconnection goes unnoticed.
#include <CppUTest/TestHarness.h>

#include <string>

#include "drivers/http_client.h"
#include "drivers/http_server.h"
#include "tests/drivers/http_server_fixture.h"

using namespace cassiausher;  // NOLINT: test file

namespace {

struct Sink : HttpCallSink {
  void OnHeaders(int code, SoupMessageHeaders*) override { status = code; }
  void OnBody(std::string_view bytes) override { body.append(bytes); }
  void OnDone(std::string_view text, bool was_sent) override {
    done = true;
    error = std::string(text);
    sent = was_sent;
  }

  int status = 0;
  std::string body;
  std::string error;
  bool done = false;
  bool sent = false;
};

}  // namespace

TEST_GROUP(Http) {
  GMainContext* context = nullptr;
  std::unique_ptr<HttpServer> server;
  HttpExchangePtr held;
  std::string url;

  void setup() override {
    context = g_main_context_new();
    g_main_context_push_thread_default(context);
    server = std::make_unique<HttpServer>(
        HttpServerOptions{.address = "127.0.0.1",
                          .max_body_bytes = 1000,
                          .max_header_bytes = 2000},
        [this](HttpExchangePtr exchange) { held = std::move(exchange); },
        [](int, std::string_view message) { return std::string(message); });
    STRCMP_EQUAL("", server->Listen(context).c_str());
    url = "http://127.0.0.1:" + std::to_string(server->port()) + "/x";
  }
  void teardown() override {
    held.reset();
    server.reset();
    g_main_context_pop_thread_default(context);
    g_main_context_unref(context);
  }
};

TEST(Http, StreamArrivesInOrderAndComplete) {
  HttpClient client;
  Sink sink;
  client.Start({.url = url, .body = "in"}, &sink);
  CHECK(RunUntil(context, [&] { return held != nullptr; }));
  CHECK(held->body() == "in");
  held->StartStream(200, "text/event-stream");
  for (int i = 0; i < 100; ++i) held->Write(std::to_string(i) + ",");
  held->EndStream();
  CHECK(RunUntil(context, [&] { return sink.done; }));
  STRCMP_EQUAL("", sink.error.c_str());
  CHECK(sink.body.starts_with("0,1,2,"));
  CHECK(sink.body.ends_with("98,99,"));
}

TEST(Http, OversizedBodyIsRefusedWith413BeforeTheHandler) {
  HttpClient client;
  Sink sink;
  client.Start({.url = url, .body = std::string(5000, 'x')}, &sink);
  CHECK(RunUntil(context, [&] { return sink.done; }));
  LONGS_EQUAL(413, sink.status);
  CHECK(held == nullptr);
}

TEST(Http, OversizedHeadersAreRefusedWith431BeforeTheHandler) {
  HttpClient client;
  Sink sink;
  client.Start(
      {.url = url, .headers = {{"X-Long", std::string(3000, 'x')}}, .body = ""},
      &sink);
  CHECK(RunUntil(context, [&] { return sink.done; }));
  LONGS_EQUAL(431, sink.status);
  CHECK(held == nullptr);
}

TEST(Http, CallerDisconnectIsDetectedWhileNothingIsWritten) {
  HttpClient client;
  Sink sink;
  const auto call = client.Start({.url = url, .body = "in"}, &sink);
  CHECK(RunUntil(context, [&] { return held != nullptr; }));
  bool closed = false;
  held->WatchClose([&] { closed = true; });
  client.Cancel(call);
  CHECK(RunUntil(context, [&] { return closed; }));
  CHECK(held->finished());
}

TEST(Http, CallToAClosedPortIsReportedAsNotSent) {
  HttpClient client;
  Sink sink;
  client.Start({.url = "http://127.0.0.1:1/", .body = ""}, &sink);
  CHECK(RunUntil(context, [&] { return sink.done; }));
  CHECK_FALSE(sink.sent);
  CHECK_FALSE(sink.error.empty());
}
