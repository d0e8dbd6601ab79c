// Guards against calls to endpoints whose answers say that they are about to
// end, or want no call for a while. Real sockets on loopback.
#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "tests/main/node/node_fixture.h"

namespace cassiausher {
namespace {

constexpr int kCalls = 8;
constexpr Duration kBackoff = Seconds(3);
// All calls take less than `kBackoff`, but longer than an endpoint that is full
// is left aside.
constexpr Duration kCallGap = Milliseconds(100);

}  // namespace

TEST_GROUP_BASE(EndpointReadiness, NodeFixture) {
  /// Calls that each endpoint got.
  std::vector<int> calls = {0, 0};
  /// Answers the first endpoint's calls.
  std::function<void(HttpExchange&)> answer;
  bool with_second = true;

  void OnCall(int number, HttpExchange& exchange) {
    ++calls[static_cast<std::size_t>(number)];
    if (number == 0) return answer(exchange);
    Succeed(exchange, {});
  }
  static void Succeed(HttpExchange & exchange, HttpHeaders headers) {
    headers.emplace_back("X-Server-Stamp", "stamp");
    exchange.Respond(200, "text/plain", "sound", headers);
  }

  static void TurnAway(HttpExchange & exchange) {
    exchange.Respond(503, "text/plain", "",
                     {{"Retry-After", "3"}, {"X-Not-Executed", "1"}});
  }

  /// The first endpoint is preferred, being in the instance's data centre.
  void Start() {
    std::vector<std::uint16_t> ports;
    for (int i = 0; i < 2; ++i) {
      ports.push_back(StartServer([this, i](const HttpExchangePtr& exchange) {
        OnCall(i, *exchange);
      }));
    }
    StartEntry();
    bool applied = false;
    // The control instance goes on reporting both as ready.
    peer->on_message = [this, ports, &applied](const auto& message) {
      if (!message.has_follow()) return;
      applied |= message.follow().configuration_version() == 1;
      proto::NodeMessage update_message;
      auto* update = update_message.mutable_update();
      update->set_registry_epoch(1);
      update->mutable_configuration()->set_version(1);
      update->mutable_configuration()->set_document(Document(1, 1));
      *update->add_records() = Endpoint("first", "dc1", ports[0]);
      if (with_second) {
        *update->add_records() = Endpoint("second", "dc2", ports[1]);
      }
      peer->link.Send(InstanceId(node_ip), update_message);
    };
    CHECK_TRUE(RunUntil([&] { return applied; }));
    peer->on_message = nullptr;
  }
};

// The instance went on calling the endpoint until a control instance reported
// it as draining, which may take long or never happen.
TEST(EndpointReadiness, ServerLeavingInAnAnswerEndsCallsToItsEndpoint) {
  answer = [](HttpExchange& exchange) {
    Succeed(exchange, {{"Server-Leaving", "1"}});
  };
  Start();
  for (int i = 0; i < kCalls; ++i) LONGS_EQUAL(200, Call("GET", "/0/", ""));
  LONGS_EQUAL(1, calls[0]);
  LONGS_EQUAL(kCalls - 1, calls[1]);
}

TEST(EndpointReadiness, RetryAfterOfA503KeepsCallsAwayForItsTime) {
  answer = [](HttpExchange& exchange) { Succeed(exchange, {}); };
  Start();
  for (int i = 0; i < kCalls; ++i) LONGS_EQUAL(200, Call("GET", "/0/", ""));
  LONGS_EQUAL(kCalls, calls[0]);
  answer = TurnAway;
  const gint64 start = g_get_monotonic_time();
  for (int i = 0; i < kCalls; ++i) {
    LONGS_EQUAL(200, Call("GET", "/0/", ""));
    RunFor(kCallGap);
  }
  LONGS_EQUAL(kCalls + 1, calls[0]);
  // Its time over, it is called again.
  answer = [](HttpExchange& exchange) { Succeed(exchange, {}); };
  const gint64 end = start + (kBackoff + Milliseconds(100)).count();
  CHECK_TRUE(RunUntil([&] { return g_get_monotonic_time() >= end; }));
  for (int i = 0; i < kCalls; ++i) LONGS_EQUAL(200, Call("GET", "/0/", ""));
  CHECK_TRUE(calls[0] > kCalls + 1);
}

// The caller waited for nothing, or was told to come back too early.
TEST(EndpointReadiness, RetryAfterIsPassedOnIfNoOtherEndpointIsLeft) {
  with_second = false;
  answer = TurnAway;
  Start();
  for (int i = 0; i < kCalls; ++i) {
    LONGS_EQUAL(503, Call("GET", "/0/", ""));
    CHECK_TRUE(std::stod(response.retry_after) > 0.5);
  }
  LONGS_EQUAL(1, calls[0]);
}

}  // namespace cassiausher
