// Guards against a fake endpoint that deviates from docs/endpoint-protocol.md,
// which would make the router's tests and the checker's results meaningless.
#include "tools/fake_endpoint/fake_endpoint.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tests/tools/raw_http_client.h"
#include "tools/fake_endpoint/answer_text.h"

using cassiausher::AnswerLength;
using cassiausher::AppendToken;
using cassiausher::EndpointOptions;
using cassiausher::EndpointRole;
using cassiausher::FakeEndpoint;
using cassiausher::RawHttpClient;
using cassiausher::RunFor;
using cassiausher::RunUntil;
using cassiausher::TextHash;
using nlohmann::json;

namespace {

constexpr const char* kPrompt = "a prompt of some length";

std::string ExpectedText(std::int64_t typical, std::int64_t after = 0) {
  const std::uint32_t hash = TextHash(kPrompt);
  const std::int64_t total = AnswerLength(hash, typical, 0);
  std::string text;
  for (std::int64_t n = after + 1; n <= total; ++n) {
    AppendToken(hash, n, total, &text);
  }
  return text;
}

struct Events {
  std::string text;
  std::vector<int> ids;
  std::string finish_reason;
  bool done = false;
};

Events ParseEvents(const std::string& body) {
  Events events;
  std::size_t at = 0;
  while (at < body.size()) {
    const std::size_t end = std::min(body.find('\n', at), body.size());
    const std::string line = body.substr(at, end - at);
    at = end + 1;
    if (line.starts_with("id: "))
      events.ids.push_back(std::stoi(line.substr(4)));
    if (line == "data: [DONE]") events.done = true;
    if (!line.starts_with("data: {")) continue;
    const json data = json::parse(line.substr(6), nullptr, false);
    if (data.is_discarded()) continue;
    const json& choice = data["choices"][0];
    events.text += choice.contains("text")
                       ? choice["text"].get<std::string>()
                       : choice["delta"]["content"].get<std::string>();
    if (choice["finish_reason"].is_string()) {
      events.finish_reason = choice["finish_reason"];
    }
  }
  return events;
}

json CompletionBody(bool stream) {
  return {{"model", "service"}, {"prompt", kPrompt}, {"stream", stream}};
}

std::string RequestIdHeader(const char* id) {
  return fmt::format("X-Request-Id: {}\r\n", id);
}

}  // namespace

TEST_GROUP(FakeEndpoint){
    std::unique_ptr<FakeEndpoint> Start(EndpointOptions options){
        auto endpoint = std::make_unique<FakeEndpoint>(std::move(options));
STRCMP_EQUAL("", endpoint->Start().c_str());
return endpoint;
}
json PostJson(const FakeEndpoint& endpoint, const char* path, const json& body,
              const std::string& headers = "", int status = 200) {
  RawHttpClient client(endpoint.url(), path, body.dump(), headers);
  const std::string text = client.ReadBody();
  LONGS_EQUAL(status, client.status());
  return json::parse(text, nullptr, false);
}
json Prefill(const FakeEndpoint& endpoint) {
  json body = CompletionBody(false);
  body["max_tokens"] = 1;
  body["kv_transfer_params"] = {{"do_remote_decode", true},
                                {"do_remote_prefill", false}};
  return PostJson(endpoint, "/v1/completions", body, RequestIdHeader("r1"));
}
void CheckNothingHeld(const FakeEndpoint& endpoint) {
  CHECK(RunUntil([&] { return endpoint.State()["held_sessions"] == 0; }));
  LONGS_EQUAL(0, endpoint.State()["held_kv_bytes"].get<int>());
  LONGS_EQUAL(0, endpoint.State()["running"].get<int>());
}
}
;

TEST(FakeEndpoint, StreamReturnsExpectedTextInNumberedChunks) {
  const auto endpoint = Start({.step_ms = 0, .output_tokens = 40});
  RawHttpClient client(endpoint->url(), "/v1/completions",
                       CompletionBody(true).dump(), RequestIdHeader("r1"));
  const Events events = ParseEvents(client.ReadBody());
  STRCMP_EQUAL(ExpectedText(40).c_str(), events.text.c_str());
  for (std::size_t i = 0; i < events.ids.size(); ++i) {
    LONGS_EQUAL(i + 1, events.ids[i]);
  }
  STRCMP_EQUAL("stop", events.finish_reason.c_str());
  CHECK(events.done);
  LONGS_EQUAL(1, endpoint->State()["executions"]["r1"].get<int>());
  CheckNothingHeld(*endpoint);
}

TEST(FakeEndpoint, NonStreamingAndChatRequestsReturnExpectedText) {
  const auto endpoint = Start({.step_ms = 0, .output_tokens = 10});
  const json whole = PostJson(*endpoint, "/v1/completions",
                              CompletionBody(false), RequestIdHeader("r1"));
  STRCMP_EQUAL(ExpectedText(10).c_str(),
               whole["choices"][0]["text"].get<std::string>().c_str());
  const json chat = {{"stream", true},
                     {"messages", {{{"role", "user"}, {"content", kPrompt}}}}};
  RawHttpClient client(endpoint->url(), "/v1/chat/completions", chat.dump());
  STRCMP_EQUAL(ExpectedText(10).c_str(),
               ParseEvents(client.ReadBody()).text.c_str());
}

// A KV cache that stays held after its export, or that can be exported twice,
// would hide leaks and duplicate decodes of the router.
TEST(FakeEndpoint, DecodeImportsRetainedKvCacheOnlyOnce) {
  const auto prefill = Start({.name = "p", .role = EndpointRole::kPrefill});
  const auto decode = Start({.name = "d", .step_ms = 0});
  const json result = Prefill(*prefill);
  LONGS_EQUAL(1, prefill->State()["held_sessions"].get<int>());
  CHECK(result["kv_transfer_params"]["do_remote_prefill"].get<bool>());
  json body = CompletionBody(true);
  body["kv_transfer_params"] = result["kv_transfer_params"];
  RawHttpClient client(decode->url(), "/v1/completions", body.dump(),
                       RequestIdHeader("r1"));
  STRCMP_EQUAL(ExpectedText(100).c_str(),
               ParseEvents(client.ReadBody()).text.c_str());
  CheckNothingHeld(*prefill);
  CheckNothingHeld(*decode);
  CHECK(prefill->State()["executions"].empty());
  const json again =
      PostJson(*decode, "/v1/completions", body, RequestIdHeader("r1"), 409);
  STRCMP_EQUAL("kv_not_found",
               again["error"]["code"].get<std::string>().c_str());
}

TEST(FakeEndpoint, PrefillResultIsReleasedAfterRetentionTime) {
  const auto prefill =
      Start({.role = EndpointRole::kPrefill, .retention_ms = 50});
  const auto decode = Start({.name = "d"});
  json body = CompletionBody(true);
  body["kv_transfer_params"] = Prefill(*prefill)["kv_transfer_params"];
  CheckNothingHeld(*prefill);
  PostJson(*decode, "/v1/completions", body, RequestIdHeader("r1"), 409);
  CheckNothingHeld(*decode);
}

// libsoup does not report a client that closes its connection while an answer
// is pending; without HangupWatcher the requests would stay held.
TEST(FakeEndpoint, ClientDisconnectReleasesRunningAndQueuedRequests) {
  const auto endpoint = Start({.slots = 1, .step_ms = 20});
  RawHttpClient running(endpoint->url(), "/v1/completions",
                        CompletionBody(true).dump(), RequestIdHeader("r1"));
  CHECK(running.WaitFor("id: 2\n"));
  RawHttpClient queued(endpoint->url(), "/v1/completions",
                       CompletionBody(false).dump(), RequestIdHeader("r2"));
  CHECK(RunUntil([&] { return endpoint->State()["held_sessions"] == 2; }));
  queued.Close();
  CHECK(RunUntil([&] { return endpoint->State()["held_sessions"] == 1; }));
  running.Close();
  CheckNothingHeld(*endpoint);
}

TEST(FakeEndpoint, CancelReleasesRequestAndReturnsReleasedBytes) {
  const auto endpoint = Start({.step_ms = 20});
  RawHttpClient client(endpoint->url(), "/v1/completions",
                       CompletionBody(true).dump(), RequestIdHeader("r1"));
  CHECK(client.WaitFor("id: 1\n"));
  const json answer = PostJson(*endpoint, "/cancel", {{"request_id", "r1"}});
  LONGS_EQUAL(6000, answer["released_bytes"].get<int>());
  CheckNothingHeld(*endpoint);
  CHECK(!ParseEvents(client.ReadBody()).done);
  PostJson(*endpoint, "/cancel", {{"request_id", "r1"}}, "", 404);
}

// Guards against lost or repeated tokens, and a second execution, when a stream
// is resumed while it runs or after it has finished.
TEST(FakeEndpoint, SilencedStreamResumesOnNewConnection) {
  const auto endpoint = Start({.step_ms = 5, .output_tokens = 40});
  RawHttpClient silent(endpoint->url(), "/v1/completions",
                       CompletionBody(true).dump(), RequestIdHeader("r1"));
  CHECK(silent.WaitFor("id: 3\n"));
  PostJson(*endpoint, "/fake/fault", {{"silence", true}});
  RunFor(30);
  silent.Poll();
  const std::string before = silent.received();
  RunFor(50);
  silent.Poll();
  STRCMP_EQUAL(before.c_str(), silent.received().c_str());
  for (int round = 0; round < 2; ++round) {
    RawHttpClient resumed(endpoint->url(), "/v1/completions",
                          CompletionBody(true).dump(),
                          RequestIdHeader("r1") + "Last-Event-ID: 3\r\n");
    const Events events = ParseEvents(resumed.ReadBody());
    STRCMP_EQUAL(ExpectedText(40, 3).c_str(), events.text.c_str());
    LONGS_EQUAL(4, events.ids.front());
    CHECK(events.done);
  }
  LONGS_EQUAL(1, endpoint->State()["executions"]["r1"].get<int>());
  CheckNothingHeld(*endpoint);
  PostJson(*endpoint, "/v1/completions", CompletionBody(true),
           RequestIdHeader("r9") + "Last-Event-ID: 3\r\n", 404);
}

TEST(FakeEndpoint, ResumeTokensContinueAnswerOfAnotherEngine) {
  const auto endpoint = Start({.step_ms = 0});
  json body = CompletionBody(true);
  body["cassiausher_resume_tokens"] = 30;
  RawHttpClient client(endpoint->url(), "/v1/completions", body.dump());
  const Events events = ParseEvents(client.ReadBody());
  LONGS_EQUAL(31, events.ids.front());
  STRCMP_EQUAL(ExpectedText(100, 30).c_str(), events.text.c_str());
}

// Guards against requests and orders of a former pool owner being accepted.
TEST(FakeEndpoint, StaleEpochIsRejectedUnlessFencingIsIgnored) {
  const auto endpoint = Start({.step_ms = 0});
  const std::string pool = "Cassiausher-Pool: a/b\r\nCassiausher-Epoch: ";
  const json body = CompletionBody(false);
  PostJson(*endpoint, "/v1/completions", body, pool + "5\r\n");
  const json refused =
      PostJson(*endpoint, "/v1/completions", body, pool + "4\r\n", 409);
  STRCMP_EQUAL("stale_epoch",
               refused["error"]["code"].get<std::string>().c_str());
  PostJson(*endpoint, "/orders", {{"order", "evict_prefixes"}, {"epoch", 7}});
  PostJson(*endpoint, "/orders", {{"order", "evict_prefixes"}, {"epoch", 6}},
           "", 409);
  PostJson(*endpoint, "/fake/fault", {{"fencing", "ignore"}});
  PostJson(*endpoint, "/v1/completions", body, pool + "4\r\n");
  STRCMP_EQUAL("ignore",
               endpoint->State()["fencing"].get<std::string>().c_str());
}

TEST(FakeEndpoint, QueuedRequestsRunInPriorityOrder) {
  const auto endpoint = Start({.slots = 1, .step_ms = 2, .output_tokens = 20});
  RawHttpClient first(endpoint->url(), "/v1/completions",
                      CompletionBody(true).dump(), RequestIdHeader("r1"));
  CHECK(first.WaitFor("id: 1\n"));
  json low = CompletionBody(true);
  low["priority"] = 9;
  RawHttpClient late(endpoint->url(), "/v1/completions", low.dump());
  CHECK(RunUntil([&] { return endpoint->State()["held_sessions"] == 2; }));
  RawHttpClient early(endpoint->url(), "/v1/completions",
                      CompletionBody(true).dump());
  CHECK(early.WaitFor("[DONE]"));
  late.Poll();
  CHECK(late.received().find("[DONE]") == std::string::npos);
  CHECK(late.WaitFor("[DONE]"));
}

TEST(FakeEndpoint, LateAndRepeatFaultsReorderAndDuplicateChunks) {
  const auto endpoint = Start({.step_ms = 0, .output_tokens = 200});
  PostJson(*endpoint, "/fake/fault",
           {{"late_rate", 0.3}, {"repeat_rate", 0.3}});
  RawHttpClient client(endpoint->url(), "/v1/completions",
                       CompletionBody(true).dump());
  const Events events = ParseEvents(client.ReadBody());
  const std::set<int> distinct(events.ids.begin(), events.ids.end());
  CHECK(!std::is_sorted(events.ids.begin(), events.ids.end()));
  CHECK(distinct.size() < events.ids.size());
  LONGS_EQUAL(AnswerLength(TextHash(kPrompt), 200, 0), distinct.size());
}

TEST(FakeEndpoint, StallCancelAndErrorFaultsApplyAndInvalidFieldsAreRejected) {
  const auto endpoint = Start({.step_ms = 0});
  PostJson(*endpoint, "/fake/fault", {{"stall_ms", 300}});
  RawHttpClient client(endpoint->url(), "/v1/completions",
                       CompletionBody(true).dump(), RequestIdHeader("r1"));
  RunFor(150);
  client.Poll();
  LONGS_EQUAL(0, client.status());
  CHECK(client.WaitFor("[DONE]"));
  PostJson(*endpoint, "/fake/fault", {{"refuse_cancels", true}});
  PostJson(*endpoint, "/cancel", {{"request_id", "r1"}}, "", 500);
  PostJson(*endpoint, "/fake/fault", {{"error_rate", 1.0}});
  PostJson(*endpoint, "/v1/completions", CompletionBody(true), "", 500);
  const json wrong = PostJson(*endpoint, "/fake/fault",
                              {{"late_rate", 2}, {"unknown", 1}}, "", 400);
  STRCMP_CONTAINS("late_rate, unknown",
                  wrong["error"]["message"].get<std::string>().c_str());
}

TEST(FakeEndpoint, PlainServiceCountsExecutionsByIdempotencyKey) {
  const auto endpoint = Start({.role = EndpointRole::kPlain, .step_ms = 0});
  const std::string key = RequestIdHeader("r1") + "Idempotency-Key: k1\r\n";
  const json answer = PostJson(*endpoint, "/orders/7", {{"a", 1}}, key);
  STRCMP_EQUAL("/orders/7", answer["path"].get<std::string>().c_str());
  STRCMP_EQUAL(fmt::format("{:08x}", TextHash(json({{"a", 1}}).dump())).c_str(),
               answer["body_hash"].get<std::string>().c_str());
  PostJson(*endpoint, "/orders/7", {{"a", 1}}, key);
  LONGS_EQUAL(2, endpoint->State()["executions"]["k1"].get<int>());
}

TEST(FakeEndpoint, AnnouncementsTryNextUrlAndReportDeparture) {
  std::vector<json> announcements;
  SoupServer* instance = soup_server_new(nullptr, nullptr);
  soup_server_add_handler(
      instance, "/announce",
      [](SoupServer*, SoupServerMessage* message, const char*, GHashTable*,
         gpointer data) {
        const SoupMessageBody* body =
            soup_server_message_get_request_body(message);
        static_cast<std::vector<json>*>(data)->push_back(
            json::parse(body->data, body->data + body->length));
        soup_server_message_set_status(message, 200, nullptr);
      },
      &announcements, nullptr);
  CHECK(soup_server_listen_local(instance, 0, SOUP_SERVER_LISTEN_IPV4_ONLY,
                                 nullptr));
  GSList* uris = soup_server_get_uris(instance);
  const int port = g_uri_get_port(static_cast<GUri*>(uris->data));
  g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(&g_uri_unref));
  {
    // The first URL refuses connections, so the next one must be tried.
    const auto endpoint =
        Start({.name = "r1",
               .announce_urls = {"http://127.0.0.1:1",
                                 fmt::format("http://127.0.0.1:{}", port)},
               .slots = 7});
    CHECK(RunUntil([&] { return !announcements.empty(); }));
    LONGS_EQUAL(7, announcements[0]["slots"].get<int>());
    CHECK(!announcements[0]["departing"].get<bool>());
    CHECK(announcements[0]["load"].contains("age_ms"));
    bool departed = false;
    endpoint->Depart([&] { departed = true; });
    CHECK(RunUntil([&] { return announcements.back()["departing"] == true; }));
    PostJson(*endpoint, "/v1/completions", CompletionBody(false));
    CHECK(RunUntil([&] { return departed; }));
    LONGS_EQUAL(1, endpoint->State()["new_work_since_departing"].get<int>());
    LONGS_EQUAL(0, endpoint->State()["new_work_2s_after_departing"].get<int>());
  }
  soup_server_disconnect(instance);
  g_object_unref(instance);
}
