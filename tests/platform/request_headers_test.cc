// Guards against callers' headers that only the system may set reaching an
// endpoint, and against the response to another request reaching a caller.
#include "platform/request_headers.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>

#include "drivers/http_server.h"

namespace cassiausher {
namespace {

struct Sink : HttpCallSink {
  void OnHeaders(int, SoupMessageHeaders*) override {}
  void OnBody(std::string_view) override {}
  void OnDone(std::string_view, bool) override {}
};

std::string ValueOf(const HttpCall& call, const std::string& name) {
  std::string value;
  for (const auto& [key, text] : call.headers) {
    if (key == name) value += value.empty() ? text : "," + text;
  }
  return value;
}

EndpointRecord Endpoint() {
  return {.id = EndpointId("i-1"), .address = "10.0.0.9:80"};
}

}  // namespace

TEST_GROUP(RequestHeaders) {
  GMainContext* context = nullptr;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<HttpClient> client;
  HttpExchangePtr exchange;
  Sink sink;

  void setup() override {
    context = g_main_context_new();
    g_main_context_push_thread_default(context);
    server = std::make_unique<HttpServer>(
        HttpServerOptions{.address = "127.0.0.1"},
        [this](HttpExchangePtr received) { exchange = std::move(received); },
        [](int, std::string_view message) { return std::string(message); });
    STRCMP_EQUAL("", server->Listen(context).c_str());
    client = std::make_unique<HttpClient>();
  }
  void teardown() override {
    exchange.reset();
    client.reset();
    server.reset();
    g_main_context_pop_thread_default(context);
    g_main_context_unref(context);
  }

  void Receive(std::vector<std::pair<std::string, std::string>> headers) {
    client->Start({.method = "POST",
                   .url = "http://127.0.0.1:" + std::to_string(server->port()) +
                          "/a%20b/c?d=%2F&e",
                   .headers = std::move(headers),
                   .content_type = "",
                   .body = "body"},
                  &sink);
    const gint64 deadline = g_get_monotonic_time() + 5 * G_USEC_PER_SEC;
    while (!exchange && g_get_monotonic_time() < deadline) {
      if (!g_main_context_iteration(context, FALSE)) g_usleep(1000);
    }
    CHECK_TRUE(exchange != nullptr);
  }
};

TEST(RequestHeaders, CallerHeadersAreParsed) {
  Receive({{"Host", "a.example:8080"},
           {"X-Request-Id", "r1"},
           {"X-Deadline-Ms", "1400"},
           {"X-Token-Counts", "1460,80"},
           {"Last-Event-Id", "12"}});
  const CallerHeaders headers = ReadCallerHeaders(*exchange);
  STRCMP_EQUAL("r1", headers.id.value().c_str());
  STRCMP_EQUAL("a.example", headers.host.c_str());
  CHECK_TRUE(*headers.timeout == Milliseconds(1400));
  LONGS_EQUAL(1460, headers.prompt.value());
  LONGS_EQUAL(80, headers.output.value());
  LONGS_EQUAL(12, *headers.last_event_id);
}

TEST(RequestHeaders, TheKeyAndWhatAQuotaCountsAreRead) {
  Receive({{"Authorization", "bearer k1"},
           {"X-Token-Counts", "1460,80"},
           {"X-Length-Hint", "500"}});
  const CallerHeaders headers = ReadCallerHeaders(*exchange);
  STRCMP_EQUAL("k1", headers.key.c_str());
  LONGS_EQUAL(1540, headers.counted_tokens->value());
  LONGS_EQUAL(500, headers.output.value());
}

// A key reached an endpoint, or a caller chose the account itself.
TEST(RequestHeaders, AnEndpointGetsTheAccountInsteadOfTheKey) {
  Receive({{"Authorization", "Bearer k1"}, {"X-Tenant", "other"}});
  CallPlan plan{.endpoint = Endpoint(), .account = AccountId("a")};
  HttpCall call = BuildCall(*exchange, plan);
  STRCMP_EQUAL("a", ValueOf(call, "X-Tenant").c_str());
  STRCMP_EQUAL("", ValueOf(call, "Authorization").c_str());
  plan.account = AccountId();
  call = BuildCall(*exchange, plan);
  STRCMP_EQUAL("", ValueOf(call, "X-Tenant").c_str());
  STRCMP_EQUAL("", ValueOf(call, "Authorization").c_str());
  // Without accounts the headers are the caller's own matter.
  plan.account.reset();
  call = BuildCall(*exchange, plan);
  STRCMP_EQUAL("Bearer k1", ValueOf(call, "Authorization").c_str());
  // The helper looks the key up itself.
  call = BuildRelayCall(*exchange, plan, {});
  STRCMP_EQUAL("Bearer k1", ValueOf(call, "Authorization").c_str());
}

// Runners admitted and preempted urgent streams like any others.
TEST(RequestHeaders, ARunnerIsToldTheRankOfARequest) {
  Receive({{"X-Request-Priority", "0"}});
  CallPlan plan{.endpoint = Endpoint()};
  plan.endpoint.role = EndpointRole::kDecode;
  STRCMP_EQUAL(
      "", ValueOf(BuildCall(*exchange, plan), "X-Request-Priority").c_str());
  plan.urgency = UrgencyRank{.rank = 2, .lowest = 3};
  STRCMP_EQUAL(
      "2", ValueOf(BuildCall(*exchange, plan), "X-Request-Priority").c_str());
  plan.urgency = UrgencyRank{.rank = 12, .lowest = 12};
  STRCMP_EQUAL(
      "9", ValueOf(BuildCall(*exchange, plan), "X-Request-Priority").c_str());
}

// A part that makes endpoints crash wasn't recognised in another request.
TEST(RequestHeaders, SharedPartsOfAPromptAreReadWithoutTheLast) {
  Receive({{"X-Prompt-Prefix", "5C1e07a2:800, 91bd3f06:410,e4402b7d:250"}});
  const CallerHeaders headers = ReadCallerHeaders(*exchange);
  LONGS_EQUAL(2, headers.shared_parts.size());
  STRCMP_EQUAL("5c1e07a2", headers.shared_parts[0].c_str());
  STRCMP_EQUAL("91bd3f06", headers.shared_parts[1].c_str());
}

// Attempts of one request weren't recognised by their ids, which differ.
TEST(RequestHeaders, AttemptsOfARequestHaveTheSameContent) {
  Receive({{"Host", "a.example"},
           {"X-Request-Id", "r1"},
           {"X-Deadline-Ms", "1400"},
           {"Authorization", "one"}});
  const CallerHeaders first = ReadCallerHeaders(*exchange);
  exchange.reset();
  // A host has no case.
  Receive({{"Authorization", "one"},
           {"Host", "A.Example"},
           {"X-Request-Id", "r2"},
           {"X-Deadline-Ms", "900"}});
  const CallerHeaders second = ReadCallerHeaders(*exchange);
  exchange.reset();
  Receive({{"Host", "a.example"}, {"Authorization", "other"}});
  const CallerHeaders of_other = ReadCallerHeaders(*exchange);
  const auto same_caller = [](const CallerHeaders& a, const CallerHeaders& b) {
    return CallerRequestTrait(a.content, "body") ==
           CallerRequestTrait(b.content, "body");
  };
  CHECK_TRUE(same_caller(first, second));
  CHECK_FALSE(same_caller(first, of_other));
  CHECK_TRUE(RequestTrait(first.content, "body") ==
             RequestTrait(of_other.content, "body"));
  CHECK_FALSE(RequestTrait(first.content, "body") ==
              RequestTrait(first.content, "body2"));
}

TEST(RequestHeaders, MalformedHeadersAreIgnored) {
  Receive({{"X-Deadline-Ms", "soon"}, {"X-Token-Counts", "-3,x"}});
  const CallerHeaders headers = ReadCallerHeaders(*exchange);
  CHECK_FALSE(headers.timeout.has_value());
  LONGS_EQUAL(0, headers.prompt.value());
  CHECK_FALSE(headers.last_event_id.has_value());
}

// Numbers near 2^63 overflowed in times and sums.
TEST(RequestHeaders, NumbersOutOfRangeAreIgnored) {
  for (const std::string number :
       {"1000000000000000000", "9223372036854775807", "9223372036854775808",
        "18446744073709551615"}) {
    Receive({{"X-Deadline-Ms", number},
             {"X-Token-Counts", number + "," + number},
             {"X-Length-Hint", number}});
    const CallerHeaders headers = ReadCallerHeaders(*exchange);
    CHECK_FALSE(headers.timeout.has_value());
    LONGS_EQUAL(0, headers.prompt.value());
    LONGS_EQUAL(0, headers.output.value());
    exchange.reset();
  }
  Receive({{"X-Deadline-Ms", "2147483648"}});
  CHECK_FALSE(ReadCallerHeaders(*exchange).timeout.has_value());
  exchange.reset();
  Receive({{"X-Deadline-Ms", "2147483647"}});
  CHECK_TRUE(ReadCallerHeaders(*exchange).timeout == Milliseconds(2147483647));
}

TEST(RequestHeaders, RequestIsForwardedUnchanged) {
  Receive({{"X-Model", "m"}, {"X-Prompt-Prefix", "5c:800"}, {"Accept", "a"}});
  const HttpCall call = BuildCall(
      *exchange, {.endpoint = Endpoint(), .time_left = Milliseconds(900)});
  STRCMP_EQUAL("POST", call.method.c_str());
  STRCMP_EQUAL("http://10.0.0.9:80/a%20b/c?d=%2F&e", call.url.c_str());
  STRCMP_EQUAL("body", call.body.c_str());
  STRCMP_EQUAL("m", ValueOf(call, "X-Model").c_str());
  STRCMP_EQUAL("5c:800", ValueOf(call, "X-Prompt-Prefix").c_str());
  STRCMP_EQUAL("900", ValueOf(call, "X-Deadline-Ms").c_str());
  STRCMP_EQUAL("i-1", ValueOf(call, "X-Expect-Instance").c_str());
  CHECK_TRUE(call.new_connection);
}

// With these headers a caller could take over another caller's KV cache.
TEST(RequestHeaders, SystemAndHopByHopHeadersOfCallersAreRemoved) {
  Receive({{"X-Kv-Source", "10.0.0.1:80/h"},
           {"x-kv-hold", "h"},
           {"X-Pin-Ms", "4000"},
           {"X-Kv-Backup", "10.0.0.1:80"},
           {"Kv-Fetch", "10.0.0.1:80"},
           {"X-Serving-Stage", "prefill"},
           {"X-Expect-Instance", "other"},
           {"X-Secret-Hop", "1"},
           {"Connection", "x-secret-hop"}});
  const HttpCall call = BuildCall(*exchange, {.endpoint = Endpoint()});
  for (const char* name :
       {"X-Kv-Source", "x-kv-hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-Fetch",
        "X-Serving-Stage", "X-Secret-Hop"}) {
    STRCMP_EQUAL("", ValueOf(call, name).c_str());
  }
  STRCMP_EQUAL("i-1", ValueOf(call, "X-Expect-Instance").c_str());
}

TEST(RequestHeaders, ResumedStreamSendsLastEventIdAndKvSource) {
  Receive({{"Last-Event-Id", "3"}});
  const HttpCall call =
      BuildCall(*exchange, {.endpoint = Endpoint(),
                            .kv_source = KvSource{"10.0.0.1:80", "h"},
                            .resume_after = 12});
  STRCMP_EQUAL("12", ValueOf(call, "Last-Event-Id").c_str());
  STRCMP_EQUAL("10.0.0.1:80/h", ValueOf(call, "X-Kv-Source").c_str());
}

TEST(RequestHeaders, TheStreamThatACallerTakesUpIsRead) {
  Receive({{"Resumes", "9c41"}, {"Last-Event-Id", "3"}});
  const CallerHeaders caller = ReadCallerHeaders(*exchange);
  STRCMP_EQUAL("9c41", caller.resumes.value().c_str());
  LONGS_EQUAL(3, *caller.last_event_id);
}

TEST(RequestHeaders, ResponsesOfWrongRequestOrEndpointAreDetected) {
  SoupMessageHeaders* headers =
      soup_message_headers_new(SOUP_MESSAGE_HEADERS_RESPONSE);
  soup_message_headers_append(headers, "X-Request-Id", "r2");
  soup_message_headers_append(headers, "X-Server-Stamp", "s");
  soup_message_headers_append(headers, "Content-Type",
                              "text/event-stream; charset=utf-8");
  soup_message_headers_append(headers, "Transfer-Encoding", "chunked");
  EndpointAnswer answer =
      ReadAnswer(200, headers, RequestId("r1"), EndpointId("i-1"));
  CHECK_TRUE(answer.other_request);
  CHECK_TRUE(answer.has_server_stamp);
  CHECK_TRUE(answer.event_stream);
  CHECK_FALSE(answer.not_executed);
  for (const auto& [name, value] : answer.headers) {
    CHECK_FALSE(name == "Transfer-Encoding");
  }
  soup_message_headers_append(headers, "X-Instance-Id", "i-2");
  answer = ReadAnswer(421, headers, RequestId("r2"), EndpointId("i-1"));
  CHECK_TRUE(answer.not_executed);
  CHECK_TRUE(answer.other_endpoint);
  soup_message_headers_unref(headers);
}

// Answers with such a type were not taken for streams.
TEST(RequestHeaders, MediaTypesAreTheSameInAnyCase) {
  for (const auto& [type, is_stream] :
       {std::pair("Text/Event-Stream", true),
        std::pair("text/event-stream ; charset=utf-8", true),
        std::pair("text/event-streams", false)}) {
    SoupMessageHeaders* headers =
        soup_message_headers_new(SOUP_MESSAGE_HEADERS_RESPONSE);
    soup_message_headers_append(headers, "Content-Type", type);
    const EndpointAnswer answer =
        ReadAnswer(200, headers, RequestId("r1"), EndpointId("i-1"));
    CHECK_EQUAL(is_stream, answer.event_stream);
    soup_message_headers_unref(headers);
  }
}

TEST(RequestHeaders, ARateLimitIsReadIfItIsADecimalNumber) {
  const auto limit_of = [](const char* text) {
    SoupMessageHeaders* headers =
        soup_message_headers_new(SOUP_MESSAGE_HEADERS_RESPONSE);
    if (text != nullptr) {
      soup_message_headers_append(headers, "Server-Limit", text);
    }
    const EndpointAnswer answer =
        ReadAnswer(200, headers, RequestId("r1"), EndpointId("i-1"));
    soup_message_headers_unref(headers);
    return answer.rate_limit;
  };
  DOUBLES_EQUAL(2.6, limit_of("2.6")->value(), 0);
  DOUBLES_EQUAL(0, limit_of("0")->value(), 0);
  for (const char* text : {"", "-1", "nan", "inf", "2.6x", "two"}) {
    CHECK_FALSE(limit_of(text).has_value());
  }
  CHECK_FALSE(limit_of(nullptr).has_value());
}

TEST(RequestHeaders, WhetherAnEndpointWantsMoreWorkIsRead) {
  const auto read = [](int status, const char* name, const char* value) {
    SoupMessageHeaders* headers =
        soup_message_headers_new(SOUP_MESSAGE_HEADERS_RESPONSE);
    soup_message_headers_append(headers, name, value);
    const EndpointAnswer answer =
        ReadAnswer(status, headers, RequestId("r1"), EndpointId("i-1"));
    soup_message_headers_unref(headers);
    return answer;
  };
  CHECK_TRUE(read(200, "Server-Leaving", "1").leaving);
  CHECK_FALSE(read(200, "Server-Leaving", "0").leaving);
  CHECK_TRUE(read(503, "Retry-After", "1.5").backoff == Milliseconds(1500));
  CHECK_TRUE(read(503, "Retry-After", "1e300").backoff > Seconds(3600));
  // Of another status it is meant for callers.
  CHECK_FALSE(read(200, "Retry-After", "1").backoff.has_value());
  for (const char* text : {"-1", "nan", "soon", "Fri, 04 Dec 2026 12:00:00"}) {
    CHECK_FALSE(read(503, "Retry-After", text).backoff.has_value());
  }
}

TEST(RequestHeaders, KvHandleIsReadFromValidBodiesOnly) {
  STRCMP_EQUAL("3f", ReadHandle(R"({"handle":"3f","tokens":1})")->c_str());
  CHECK_FALSE(ReadHandle(R"({"handle":7})").has_value());
  CHECK_FALSE(ReadHandle("{").has_value());
  CHECK_FALSE(ReadHandle("[]").has_value());
}

}  // namespace cassiausher
