// Guards against a load run that misreads answers: a fault-free endpoint must
// yield a history without violations, and faults must be detected.
#include "tools/load/load_run.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <cstdio>
#include <string>
#include <thread>

#include "tests/tools/raw_http_client.h"
#include "tools/fake_endpoint/fake_endpoint.h"
#include "tools/load/checker.h"
#include "tools/load/latency_histogram.h"

using cassiausher::CheckHistory;
using cassiausher::EndpointRole;
using cassiausher::FakeEndpoint;
using cassiausher::Findings;
using cassiausher::History;
using cassiausher::LatencyHistogram;
using cassiausher::LoadTotals;
using cassiausher::ParseMix;
using cassiausher::ParsePairs;
using cassiausher::RawHttpClient;
using cassiausher::ReadHistory;
using cassiausher::RunLoad;
using cassiausher::RunOptions;
using cassiausher::RunResult;
using cassiausher::RunUntil;
using cassiausher::ServiceLoad;
using cassiausher::Violation;
using cassiausher::Workload;

TEST_GROUP(LoadRun) {
  const std::string path = "load_run_test.jsonl";
  std::unique_ptr<FakeEndpoint> endpoint;
  RunOptions options;
  History history;

  void teardown() override { std::remove(path.c_str()); }

  void Start(EndpointRole role) {
    endpoint = std::make_unique<FakeEndpoint>(
        cassiausher::EndpointOptions{.role = role,
                                     .prefill_tokens_per_second = 1e6,
                                     .step_ms = 1,
                                     .output_tokens = 20});
    STRCMP_EQUAL("", endpoint->Start().c_str());
    options.plan.targets = {{"direct", endpoint->url()}};
    options.endpoints = options.plan.targets;
    options.plan.workload.services = {
        {.name = "service", .plain = role == EndpointRole::kPlain}};
    options.plan.requests = 200;
    options.plan.concurrency = 10;
    options.plan.workers = 2;
    options.history_path = path;
    options.settle_ms = 0;
  }
  void Fault(const char* fault) {
    RawHttpClient client(endpoint->url(), "/fake/fault", fault);
    client.ReadBody();
    LONGS_EQUAL(200, client.status());
  }
  LoadTotals Run() {
    std::atomic<bool> done{false};
    RunResult result;
    std::thread load_thread([&] {
      result = RunLoad(options);
      done = true;
    });
    constexpr int kTimeoutSeconds = 60;
    const bool ended = RunUntil([&] { return done.load(); }, kTimeoutSeconds);
    load_thread.join();
    CHECK(ended);
    STRCMP_EQUAL("", result.failure.c_str());
    Findings findings;
    history = ReadHistory(path, &findings);
    CHECK(findings.empty());
    return result.totals;
  }
};

TEST(LoadRun, EveryAnswerOfFaultFreeEndpointIsRecorded) {
  Start(EndpointRole::kDecode);
  options.plan.workload.stream_share = 0.5;
  options.plan.workload.non_idempotent_share = 0.5;
  const LoadTotals totals = Run();
  LONGS_EQUAL(200, totals.services.at("service").answered);
  LONGS_EQUAL(200, history.attempts.size());
  LONGS_EQUAL(1, history.states.size());
  LONGS_EQUAL(0, CheckHistory(history).size());
}

TEST(LoadRun, CancelledRequestsAreReleased) {
  Start(EndpointRole::kDecode);
  options.plan.workload.cancel_share = 1;
  const LoadTotals totals = Run();
  CHECK(totals.services.at("service").cancelled > 0);
  LONGS_EQUAL(0, CheckHistory(history).size());
  CHECK(RunUntil([&] { return endpoint->State()["held_sessions"] == 0; }));
}

TEST(LoadRun, RepeatedChunksAreDoubled) {
  Start(EndpointRole::kDecode);
  Fault(R"({"repeat_rate":0.1})");
  Run();
  const std::vector<Violation> violations = CheckHistory(history);
  CHECK(!violations.empty());
  STRCMP_EQUAL("doubled", violations[0].invariant.c_str());
}

TEST(LoadRun, ErrorsCountAsRefusedAndNotAnswered) {
  Start(EndpointRole::kPlain);
  Fault(R"({"error_rate":1.0})");
  const LoadTotals totals = Run();
  LONGS_EQUAL(200, totals.services.at("service").refused);
  LONGS_EQUAL(0, totals.services.at("service").answered);
}

TEST(LoadRun, PlainAnswersMatchTheirRequestBody) {
  Start(EndpointRole::kPlain);
  const LoadTotals totals = Run();
  LONGS_EQUAL(200, totals.services.at("service").answered);
  LONGS_EQUAL(0, CheckHistory(history).size());
}

TEST_GROUP(LoadOptions){};

TEST(LoadOptions, EveryInvalidPartIsReported) {
  cassiausher::Addresses addresses;
  addresses.services = {{"a", false}, {"b", true}};
  Workload workload;
  Findings findings;
  ParseMix("a=1,c=2,b,a=x", addresses, &workload, &findings);
  LONGS_EQUAL(3, findings.items().size());
  const auto set = [](ServiceLoad& service, double first, double) {
    service.prompt_median = first;
  };
  ParsePairs("--prompt-tokens", "a=5:1,z=1:1,a=5", set, &workload, &findings);
  LONGS_EQUAL(5, findings.items().size());
  DOUBLES_EQUAL(5, workload.services[0].prompt_median, 0);
}

TEST(LoadOptions, PercentilesAreExactToOneBinWidth) {
  LatencyHistogram histogram;
  for (int ms = 1; ms <= 1000; ++ms) histogram.Record(ms * 1000);
  LONGS_EQUAL(1000, histogram.count());
  DOUBLES_EQUAL(500, histogram.Percentile(50), 500 * 0.012);
  DOUBLES_EQUAL(990, histogram.Percentile(99), 990 * 0.012);
  DOUBLES_EQUAL(0, LatencyHistogram().Percentile(99), 0);
}
