// Guards against calls that end endpoints being made again and again: their
// callers come back, and each new endpoint ends as well. Real sockets on
// loopback.
#include <CppUTest/TestHarness.h>

#include <set>
#include <string>

#include "tests/main/node/node_fixture.h"

namespace cassiausher {
namespace {

constexpr int kEndpoints = 16;
constexpr int kRequests = 6;
// Sound calls before the first crash, as of a few seconds of traffic.
constexpr int kCallsBefore = 20;
// The platform allows this many endpoints to end before the cause is known.
constexpr std::size_t kMaxCrashes = 5;
// The same for one request.
constexpr std::size_t kMaxCrashesOfRequest = 4;
constexpr Duration kRequestGap = Milliseconds(1500);

const std::string crashing_part = "bad0c0de";
const std::string crashing_body = "crash";

}  // namespace

TEST_GROUP_BASE(CrashingCalls, NodeFixture) {
  std::set<std::string> crashed;
  /// Whether a call ends its endpoint.
  std::function<bool(const HttpExchange&)> crashes;
  int sequence = 0;

  void OnCall(int number, const HttpExchangePtr& exchange) {
    if (!crashes(*exchange)) {
      exchange->Respond(200, "text/plain", "sound",
                        {{"X-Server-Stamp", "stamp"}});
      return;
    }
    crashed.insert("e" + std::to_string(number));
    servers[static_cast<std::size_t>(number)]->StopListening();
    exchange->Abort();
  }

  void Start() {
    std::vector<std::uint16_t> ports;
    for (int i = 0; i < kEndpoints; ++i) {
      ports.push_back(StartServer(
          [this, i](const HttpExchangePtr& exchange) { OnCall(i, exchange); }));
    }
    StartEntry();
    bool applied = false;
    peer->on_message = [&](const proto::NodeMessage& message) {
      if (!message.has_follow()) return;
      applied |= message.follow().configuration_version() == 1;
      proto::NodeMessage answer;
      auto* update = answer.mutable_update();
      update->set_registry_epoch(1);
      update->mutable_configuration()->set_version(1);
      update->mutable_configuration()->set_document(Document(1, 1));
      for (std::size_t i = 0; i < ports.size(); ++i) {
        *update->add_records() =
            Endpoint("e" + std::to_string(i), "dc1", ports[i]);
      }
      peer->link.Send(InstanceId(node_ip), answer);
    };
    CHECK_TRUE(RunUntil([&] { return applied; }));
    peer->on_message = nullptr;
  }

  /// Returns the status of a request with an id of its own.
  int CallWithBody(const std::string& body) {
    HttpCall call = MakeCall("POST", "/0/", body);
    call.headers.emplace_back("X-Request-Id", "q" + std::to_string(++sequence));
    return Call(call);
  }

  /// Returns the status of a new request whose prompt has the part.
  int CallWithPart(const std::string& part) {
    const std::string number = std::to_string(++sequence);
    HttpCall call = MakeCall("POST", "/0/", "body " + number);
    call.headers.emplace_back("X-Request-Id", "r" + number);
    call.headers.emplace_back("X-Prompt-Prefix",
                              "5eed:200," + part + ":400," + number + ":90");
    return Call(call);
  }
};

// Each entry instance sent new requests with the part to the endpoints that
// were left, until none was.
TEST(CrashingCalls, APartOfPromptsThatEndsEndpointsIsNotSentOn) {
  crashes = [](const HttpExchange& call) {
    return call.header("X-Prompt-Prefix").find(crashing_part) !=
           std::string_view::npos;
  };
  Start();
  for (int i = 0; i < kCallsBefore; ++i) {
    LONGS_EQUAL(200, CallWithPart("cafe"));
  }
  for (int i = 0; i < kRequests; ++i) {
    CHECK_TRUE(CallWithPart(crashing_part) >= 500);
    RunFor(kRequestGap);
    LONGS_EQUAL(200, CallWithPart("cafe"));
  }
  CHECK_TRUE(crashed.size() <= kMaxCrashes);
  // The request hasn't run, and its caller learns so at once.
  LONGS_EQUAL(503, CallWithPart(crashing_part));
  CHECK_FALSE(response.retry_after.empty());
}

// Each attempt of the caller has another id. It was sent to the endpoints that
// were left, until none was.
TEST(CrashingCalls, ARequestThatEndsEndpointsIsNotSentOn) {
  crashes = [](const HttpExchange& call) {
    return call.body() == crashing_body;
  };
  Start();
  for (int i = 0; i < kCallsBefore; ++i) LONGS_EQUAL(200, CallWithBody("a"));
  for (int i = 0; i < kRequests; ++i) {
    CHECK_TRUE(CallWithBody(crashing_body) >= 500);
    RunFor(kRequestGap);
    LONGS_EQUAL(200, CallWithBody("b" + std::to_string(i)));
  }
  CHECK_TRUE(crashed.size() <= kMaxCrashesOfRequest);
  LONGS_EQUAL(503, CallWithBody(crashing_body));
  CHECK_FALSE(response.retry_after.empty());
}

}  // namespace cassiausher
