// Guards against streams that look complete and aren't, and against answers
// that are dropped although they are whole.
#include <string>

#include "tests/main/node/node_fixture.h"

using namespace cassiausher;  // NOLINT: test file

namespace {

constexpr const char* kEventStream = "text/event-stream";
constexpr int kSlots = 4;
constexpr int kTimeoutMs = 600;

HttpHeaders Stamp() { return {{"X-Server-Stamp", "e.1"}}; }

}  // namespace

TEST_GROUP_BASE(BrokenStream, HeldCallsFixture) {
  const std::string event = "id: 1\ndata: a\n\n";

  /// With a second endpoint, a stream goes on there.
  void StartWithTwoEndpoints() {
    Start(Seconds(8), ResumableStreamDocument(2000), kSlots, false, 2);
  }
  /// The origins of streams aren't confirmed.
  void StartWithOrigins() {
    Start(Seconds(8), ResumableStreamDocument(kTimeoutMs), kSlots);
  }

  /// Starts a stream, which its endpoint breaks off after one event.
  void BreakOffStream() {
    client->Start(MakeCall("GET", "/0/", ""), &response);
    CHECK_TRUE(RunUntil([&] { return held.size() == 1; }));
    held[0]->StartStream(200, kEventStream, Stamp());
    held[0]->Write(event);
    CHECK_TRUE(RunUntil([&] { return !response.body.empty(); }));
    held[0]->Abort();
    CHECK_TRUE(RunUntil([&] { return held.size() == 2; }));
  }
};

// A stream went on at an endpoint that answered with a document, and its caller
// got the last chunk of a complete stream.
TEST(BrokenStream, AContinuationThatIsNoEventStreamDoesntCompleteTheStream) {
  StartWithTwoEndpoints();
  BreakOffStream();
  held[1]->Respond(200, "application/json", "{}", Stamp());
  CHECK_TRUE(RunUntil([&] { return response.done; }));
  CHECK_FALSE(response.error.empty());
  STRCMP_EQUAL(event.c_str(), response.body.c_str());
}

TEST(BrokenStream, AContinuationWithoutABodyDoesntCompleteTheStream) {
  StartWithTwoEndpoints();
  BreakOffStream();
  held[1]->Respond(202, kEventStream, "", Stamp());
  CHECK_TRUE(RunUntil([&] { return response.done; }));
  CHECK_FALSE(response.error.empty());
}

// A complete stream that waited for the confirmation of its origin when its
// deadline came was dropped, and its connection closed without an answer.
TEST(BrokenStream, ACompleteStreamIsReleasedAtItsDeadline) {
  StartWithOrigins();
  client->Start(MakeCall("GET", "/0/", ""), &response);
  CHECK_TRUE(RunUntil([&] { return held.size() == 1; }));
  RunFor(Milliseconds(kTimeoutMs - 60));
  held[0]->Respond(200, kEventStream, "data: x\n\n", Stamp());
  CHECK_TRUE(RunUntil([&] { return response.done; }));
  LONGS_EQUAL(200, response.status);
  STRCMP_EQUAL("", response.error.c_str());
  STRCMP_EQUAL("data: x\n\n", response.body.c_str());
}

// The same with a stream that isn't complete: its caller gets an answer.
TEST(BrokenStream, AHeldStreamIsAnsweredAtItsDeadline) {
  StartWithOrigins();
  client->Start(MakeCall("GET", "/0/", ""), &response);
  CHECK_TRUE(RunUntil([&] { return held.size() == 1; }));
  RunFor(Milliseconds(kTimeoutMs - 60));
  held[0]->StartStream(200, kEventStream, Stamp());
  held[0]->Write("data: x\n\n");
  CHECK_TRUE(RunUntil([&] { return response.done; }));
  LONGS_EQUAL(504, response.status);
}

// Callers found the text of an error in the middle of their stream.
TEST(BrokenStream, AnErrorOfTheNextEndpointIsNotPartOfTheStream) {
  for (const char* type : {kEventStream, "application/json"}) {
    StartWithTwoEndpoints();
    response = {};
    BreakOffStream();
    held[1]->Respond(500, type, "id: 2\ndata: internal error\n\n", Stamp());
    CHECK_TRUE(RunUntil([&] { return response.done; }));
    CHECK_FALSE(response.error.empty());
    STRCMP_EQUAL(event.c_str(), response.body.c_str());
    held.clear();
    entry.reset();
  }
}
