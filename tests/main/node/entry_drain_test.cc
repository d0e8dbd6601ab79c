// Guards against a stopping entry instance that takes requests which its end
// cuts, and against one that doesn't end.
#include <string>
#include <vector>

#include "tests/main/node/node_fixture.h"

using namespace cassiausher;  // NOLINT: test file

namespace {

constexpr int kRouteTimeoutMs = 5000;
constexpr Duration kAnswerTime = Milliseconds(500);
// Leaves 450 ms, less than an answer takes, to complete requests.
constexpr Duration kGraceBelowAnAnswer = Milliseconds(1300);
// Leaves 50 ms to complete requests.
constexpr Duration kShortGrace = Milliseconds(900);
// From this on a service's answers have an expected time.
constexpr int kObservedAnswers = 5;
// More than the kernel takes from a server whose caller doesn't read.
constexpr std::size_t kLargeBytes = 12 << 20;
// An answer that was read is noticed within this time.
constexpr Duration kPollPeriod = Milliseconds(600);

}  // namespace

TEST_GROUP_BASE(EntryDrain, HeldCallsFixture) {
  std::vector<Response> responses{kObservedAnswers};

  void Start(Duration shutdown_grace,
             const std::string& document = Document(1, 1, kRouteTimeoutMs)) {
    HeldCallsFixture::Start(shutdown_grace, document, kObservedAnswers);
  }

  void ShutDown() {
    bool done = false;
    entry->Shutdown([&] { done = true; });
    CHECK_TRUE(RunUntil([&] { return done; }));
  }

  void AnswerHeldCalls() {
    for (const HttpExchangePtr& call : held) {
      call->Respond(200, "text/plain", "x", {{"X-Server-Stamp", "e.1"}});
    }
    held.clear();
  }
};

// A request that came late in a shutdown ran until the end of the process cut
// it, although its service's answers were known to take longer.
TEST(EntryDrain, ARequestThatCannotBeCompletedInTimeIsRefusedAtOnce) {
  Start(kGraceBelowAnAnswer);
  for (Response& one : responses) {
    client->Start(MakeCall("GET", "/0/", ""), &one);
  }
  CHECK_TRUE(RunUntil([&] { return held.size() == responses.size(); }));
  RunFor(kAnswerTime);
  AnswerHeldCalls();
  for (const Response& one : responses) {
    CHECK_TRUE(RunUntil([&] { return one.done; }));
    LONGS_EQUAL(200, one.status);
  }
  entry->Shutdown([] {});
  LONGS_EQUAL(503, Call("GET", "/0/", ""));
  STRCMP_CONTAINS("the instance stops before the answer ends",
                  response.body.c_str());
  CHECK_FALSE(response.retry_after.empty());
}

// An instance that stopped went by the time until answers were handed over, and
// cut those that slow callers were still reading.
TEST(EntryDrain, AnswersCountUntilTheirCallersHaveThem) {
  Start(kGraceBelowAnAnswer);
  for (Response& one : responses) {
    const auto call = client->Start(MakeCall("GET", "/0/", ""), &one);
    CHECK_TRUE(RunUntil([&] { return !held.empty(); }));
    client->Pause(call);
    held.front()->Respond(200, "text/plain", std::string(kLargeBytes, 'x'),
                          {{"X-Server-Stamp", "e.1"}});
    held.clear();
    RunFor(kAnswerTime);
    client->Resume(call);
    CHECK_TRUE(RunUntil([&] { return one.done; }));
    LONGS_EQUAL(200, one.status);
  }
  RunFor(kPollPeriod);
  entry->Shutdown([] {});
  LONGS_EQUAL(503, Call("GET", "/0/", ""));
}

// It took any request as long as it had seen few answers.
TEST(EntryDrain, WithoutAnEstimateARequestMustEndInTimeByItsDeadline) {
  Start(kGraceBelowAnAnswer);
  entry->Shutdown([] {});
  LONGS_EQUAL(503, Call("GET", "/0/", ""));
  HttpCall short_call = MakeCall("GET", "/0/", "");
  short_call.headers.emplace_back("X-Deadline-Ms", "200");
  client->Start(short_call, &responses[0]);
  CHECK_TRUE(RunUntil([&] { return !held.empty(); }));
  AnswerHeldCalls();
  CHECK_TRUE(RunUntil([&] { return responses[0].done; }));
  LONGS_EQUAL(200, responses[0].status);
}

// With a probe each second, whose connection lingers for a second, the listener
// for readiness was never drained while it stayed open.
TEST(EntryDrain, BothListenersAreClosedAtTheEnd) {
  Start(kShortGrace);
  HttpCall readiness = MakeCall("GET", "/api/ready", "");
  readiness.url =
      "http://" + node_ip + ":" + std::to_string(kReadinessPort) + "/api/ready";
  LONGS_EQUAL(200, Call(readiness));
  ShutDown();
  LONGS_EQUAL(0, Call("GET", "/0/", ""));
  CHECK_FALSE(response.sent);
  LONGS_EQUAL(0, Call(readiness));
  CHECK_FALSE(response.sent);
}

// A request on a kept connection that came after the others had been cut was
// run if the grace period was shorter than the time in which an instance
// accepts requests.
TEST(EntryDrain, ARequestAfterTheCutIsRefused) {
  Start(kShortGrace);
  HttpCall kept = MakeCall("GET", "/0/", "");
  kept.new_connection = false;
  client->Start(kept, &response);
  CHECK_TRUE(RunUntil([&] { return held.size() == 1; }));
  AnswerHeldCalls();
  CHECK_TRUE(RunUntil([&] { return response.done; }));
  LONGS_EQUAL(200, response.status);
  ShutDown();
  LONGS_EQUAL(503, Call(kept));
  CHECK_TRUE(held.empty());
}

// A stream whose run was complete, and which only waited until its origin was
// confirmed, was answered 504 at the end of the grace period.
TEST(EntryDrain, ACompleteStreamIsReleasedAtTheCut) {
  Start(kShortGrace, ResumableStreamDocument(kRouteTimeoutMs));
  bool stored = false;
  peer->on_message = [&](const proto::NodeMessage& message) {
    stored |= message.has_store_origins();
  };
  client->Start(MakeCall("GET", "/0/", ""), &response);
  CHECK_TRUE(RunUntil([&] { return held.size() == 1; }));
  held[0]->Respond(200, "text/event-stream", "data: x\n\n",
                   {{"X-Server-Stamp", "e.1"}});
  CHECK_TRUE(RunUntil([&] { return stored; }));
  ShutDown();
  CHECK_TRUE(RunUntil([&] { return response.done; }));
  LONGS_EQUAL(200, response.status);
  STRCMP_EQUAL("data: x\n\n", response.body.c_str());
}

// Streams that the end of the process broke off weren't counted, and named by
// lines only of which at most a hundred a second are written.
TEST(EntryDrain, AStreamThatIsBrokenOffCountsAsCut) {
  HeldCallsFixture::Start(kShortGrace, ResumableStreamDocument(kRouteTimeoutMs),
                          kObservedAnswers, false);
  client->Start(MakeCall("GET", "/0/", ""), &response);
  CHECK_TRUE(RunUntil([&] { return held.size() == 1; }));
  held[0]->StartStream(200, "text/event-stream", {{"X-Server-Stamp", "e.1"}});
  held[0]->Write("data: x\n\n");
  CHECK_TRUE(RunUntil([&] { return !response.body.empty(); }));
  ShutDown();
  entry->LogCut();
  LONGS_EQUAL(1, metrics.counter("answers_cut_total").value());
}
