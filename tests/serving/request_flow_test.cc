// Guards against late, duplicate and lost chunks in an answer, second runs of a
// non-idempotent request, and a wrong not_run.
#include "servers/serving/request_flow.h"

#include <CppUTest/TestHarness.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

using namespace cassiausher;  // NOLINT: test file

namespace {

Time At(int ms) { return Time(Milliseconds(ms)); }

// Drives a flow and keeps its outputs.
struct Driver {
  explicit Driver(bool idempotent = true)
      : flow({.id = RequestId("r"), .idempotent = idempotent}, {}, At(0)) {
    flow.Start(At(0));
    Take();
  }

  void Take() {
    for (FlowOutput& output : flow.TakeOutputs()) {
      outputs.push_back(std::move(output));
    }
  }

  template <typename Output>
  int Count() const {
    int count = 0;
    for (const FlowOutput& output : outputs) {
      count += std::holds_alternative<Output>(output);
    }
    return count;
  }

  template <typename Output>
  std::optional<Output> Last() const {
    for (auto it = outputs.rbegin(); it != outputs.rend(); ++it) {
      if (const auto* found = std::get_if<Output>(&*it)) return *found;
    }
    return std::nullopt;
  }

  std::string Text() const {
    std::string text;
    for (const FlowOutput& output : outputs) {
      if (const auto* deliver = std::get_if<DeliverChunk>(&output)) {
        text += deliver->chunk.text;
      }
    }
    return text;
  }

  void GrantPlacement(int ms, const char* prefill = "p1",
                      const char* decode = "d1") {
    Grant grant;
    grant.prefill = EndpointId(prefill);
    grant.decode = EndpointId(decode);
    grant.prefill_timeout = Milliseconds(1000);
    grant.first_token_timeout = Milliseconds(1000);
    grant.between_tokens_timeout = Milliseconds(500);
    flow.OnGrant(grant, At(ms));
    Take();
  }

  void ReachDecode(int ms) {
    GrantPlacement(ms);
    flow.OnPrefillDone(Last<StartPrefill>()->call,
                       {.transfer_parameters = "{}"}, At(ms));
    Take();
  }

  void Chunk(std::uint64_t sequence, const char* text,
             const char* finish = "") {
    flow.OnChunk(Last<StartDecode>()->call, {sequence, text, finish}, At(20));
    Take();
  }

  RequestFlow flow;
  std::vector<FlowOutput> outputs;
};

}  // namespace

TEST_GROUP(RequestFlow){};

TEST(RequestFlow, OutOfOrderAndDuplicateChunksAreDeliveredOnceInOrder) {
  Driver driver;
  driver.ReachDecode(10);
  driver.Chunk(2, "b");
  driver.Chunk(1, "a");
  driver.Chunk(1, "a");
  driver.Chunk(2, "b");
  driver.Chunk(3, "c", "stop");
  STRCMP_EQUAL("abc", driver.Text().c_str());
  LONGS_EQUAL(1, driver.Count<CompleteAnswer>());
  CHECK(driver.flow.done());
}

TEST(RequestFlow, ChunksOfAnEndedCallAreDropped) {
  Driver driver;
  driver.ReachDecode(10);
  const FlowCallId old_call = driver.Last<StartDecode>()->call;
  driver.Chunk(1, "a");
  driver.flow.OnDecodeFailed(old_call, CallOutcome::kBroken, At(30));
  driver.Take();
  driver.flow.OnChunk(old_call, {2, "x", "stop"}, At(40));
  driver.Take();
  driver.Chunk(2, "b", "stop");
  STRCMP_EQUAL("ab", driver.Text().c_str());
}

TEST(RequestFlow, AStalledStreamIsResumedThenPlacedOnAnotherEngine) {
  Driver driver;
  driver.ReachDecode(10);
  driver.Chunk(1, "a");
  driver.flow.Tick(At(521));
  driver.Take();
  CHECK(driver.Last<StartDecode>()->resume);
  driver.flow.OnDecodeFailed(driver.Last<StartDecode>()->call,
                             CallOutcome::kNotFound, At(530));
  driver.Take();
  LONGS_EQUAL(2, driver.Count<RequestPlacement>());
  const RouteRequest again = driver.Last<RequestPlacement>()->request;
  LONGS_EQUAL(1, again.attempt);
  LONGS_EQUAL(1, again.delivered_tokens.value());
  STRCMP_EQUAL("d1", again.avoid.at(0).value().c_str());
  driver.GrantPlacement(540, "", "d2");
  driver.Chunk(2, "b", "stop");
  STRCMP_EQUAL("ab", driver.Text().c_str());
}

TEST(RequestFlow, ANonIdempotentRequestIsNotPlacedAgainOnceDecodeWasSent) {
  Driver driver(false);
  driver.ReachDecode(10);
  driver.flow.OnDecodeFailed(driver.Last<StartDecode>()->call,
                             CallOutcome::kBroken, At(20));
  driver.Take();
  driver.flow.OnDecodeFailed(driver.Last<StartDecode>()->call,
                             CallOutcome::kNotFound, At(30));
  driver.Take();
  LONGS_EQUAL(1, driver.Count<RequestPlacement>());
  CHECK(driver.Last<FailAnswer>()->kind == FailureKind::kOutcomeUnknown);
  CHECK_FALSE(driver.Last<FailAnswer>()->not_run);
}

// A sound engine may send nothing for 1.5 s. The call was closed earlier to
// resume the stream, and a request that can't be placed again failed if its
// engine had ended the stream with the call.
TEST(RequestFlow, ANonIdempotentStreamOutlastsAShortSilenceOfItsEngine) {
  Driver driver(false);
  driver.ReachDecode(10);
  driver.flow.Tick(At(10 + 1500));
  driver.Take();
  LONGS_EQUAL(0, driver.Count<StopCall>());
  driver.Chunk(1, "a");
  driver.flow.Tick(At(20 + 1500));
  driver.Take();
  LONGS_EQUAL(0, driver.Count<StopCall>());
  driver.flow.Tick(At(20 + 1700));
  driver.Take();
  CHECK(driver.Last<StartDecode>()->resume);
  // The engine answers the resume call only when it goes on.
  driver.flow.Tick(At(20 + 1700 + 1500));
  driver.Take();
  LONGS_EQUAL(1, driver.Count<StopCall>());
}

TEST(RequestFlow, ANonIdempotentRequestRefusedByItsEngineIsPlacedAgain) {
  Driver driver(false);
  driver.ReachDecode(10);
  driver.flow.OnDecodeFailed(driver.Last<StartDecode>()->call,
                             CallOutcome::kRefused, At(20));
  driver.Take();
  LONGS_EQUAL(2, driver.Count<RequestPlacement>());
  driver.flow.OnRefusal({.reason = RefusalReason::kOverloaded}, At(30));
  driver.Take();
  CHECK(driver.Last<FailAnswer>()->not_run);
}

TEST(RequestFlow, NotRunIsNotSetAfterABrokenDecodeCall) {
  Driver driver;
  driver.ReachDecode(10);
  const FlowCallId first = driver.Last<StartDecode>()->call;
  driver.flow.OnDecodeFailed(first, CallOutcome::kBroken, At(20));
  driver.Take();
  driver.flow.OnDecodeFailed(driver.Last<StartDecode>()->call,
                             CallOutcome::kNotFound, At(30));
  driver.Take();
  driver.flow.OnRefusal({.reason = RefusalReason::kOverloaded}, At(40));
  driver.Take();
  CHECK_FALSE(driver.Last<FailAnswer>()->not_run);
}

TEST(RequestFlow, ACallerDisconnectCancelsAtBothEngines) {
  Driver driver;
  driver.ReachDecode(10);
  driver.flow.OnCallerGone(At(20));
  driver.Take();
  LONGS_EQUAL(2, driver.Count<CancelAtEndpoint>());
  LONGS_EQUAL(1, driver.Count<StopCall>());
  CHECK(driver.Last<ReportProgress>()->kind == FlowProgress::kCancelled);
}

TEST(RequestFlow, ARequestFailsOnceWhenAllAttemptsFail) {
  Driver driver;
  int ms = 10;
  while (!driver.flow.done() && ms < 1000) {
    driver.GrantPlacement(ms);
    driver.flow.OnPrefillFailed(driver.Last<StartPrefill>()->call,
                                CallOutcome::kNotSent, At(ms));
    driver.Take();
    ms += 10;
  }
  CHECK(driver.flow.done());
  LONGS_EQUAL(1, driver.Count<FailAnswer>());
  CHECK(driver.Last<FailAnswer>()->not_run);
  LONGS_EQUAL(4, driver.Count<StartPrefill>());
}

TEST(RequestFlow, AReconnectedCallerGetsOnlyTheChunksItLacks) {
  RequestFlow flow({.id = RequestId("r"), .delivered_tokens = Tokens(2)}, {},
                   At(0));
  flow.Start(At(0));
  flow.TakeOutputs();
  Grant grant;
  grant.decode = EndpointId("d1");
  flow.OnGrant(grant, At(1));
  const auto outputs = flow.TakeOutputs();
  const FlowCallId call = std::get<StartDecode>(outputs.at(0)).call;
  flow.OnChunk(call, {2, "b", ""}, At(2));
  CHECK(flow.TakeOutputs().empty());
  flow.OnChunk(call, {3, "c", "stop"}, At(3));
  LONGS_EQUAL(3, flow.delivered());
  CHECK(flow.done());
}

TEST(RequestFlow, EachPlacementReportsItsOwnFirstToken) {
  Driver driver;
  driver.ReachDecode(10);
  driver.Chunk(1, "a");
  driver.flow.OnDecodeFailed(driver.Last<StartDecode>()->call,
                             CallOutcome::kNotFound, At(30));
  driver.Take();
  driver.GrantPlacement(40, "", "d2");
  driver.Chunk(2, "b", "stop");
  int first_tokens = 0;
  for (const FlowOutput& output : driver.outputs) {
    const auto* report = std::get_if<ReportProgress>(&output);
    if (report != nullptr && report->kind == FlowProgress::kFirstToken) {
      ++first_tokens;
    }
  }
  LONGS_EQUAL(2, first_tokens);
}
