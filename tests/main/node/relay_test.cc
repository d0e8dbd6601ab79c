// Guards against callers who are refused by an instance that reaches no
// endpoint although another one does (incident out-of-reach), and against
// requests and answers of strangers on the way between two instances. Real
// sockets on loopback.
#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "servers/relay/relay_messages.h"
#include "tests/main/node/node_fixture.h"

namespace cassiausher {
namespace {

// Nothing listens there.
constexpr std::uint16_t kClosedPort = 1;
constexpr std::uint64_t kHelperToken = 77;
constexpr int kSlots = 4;

HttpHeaders Stamp() { return {{"X-Server-Stamp", "e.1"}}; }

}  // namespace

/// An instance that others relay requests to. Its endpoint holds its calls.
TEST_GROUP_BASE(RelayHelping, HeldCallsFixture) {
  RelayToken token{0};

  void StartHelper() {
    Start(Seconds(8), Document(1, 1), kSlots);
    peer->on_message = [this](const proto::NodeMessage& message) {
      if (!message.has_follow() || !message.follow().has_relay_offer()) return;
      token = RelayToken(message.follow().relay_offer().token());
    };
    CHECK_TRUE(RunUntil([this] { return token != RelayToken(0); }));
  }
  HttpCall Relayed(const RelayRequest& relay) {
    HttpCall call = MakeCall("GET", "/0/", "");
    call.url = "http://" + node_ip + ":" + std::to_string(kRelayPort) + "/0/";
    call.headers.emplace_back(kRelayHeader, ToHeader(relay));
    return call;
  }
  RelayOutcome Outcome() const {
    const auto answer = ReadRelayAnswer(response.relay);
    CHECK_TRUE(answer.has_value());
    return answer->outcome;
  }
};

TEST(RelayHelping, ARelayedRequestIsServed) {
  StartHelper();
  response = {};
  client->Start(Relayed({.token = token}), &response);
  CHECK_TRUE(RunUntil([this] { return !held.empty(); }));
  CHECK_TRUE(held[0]->header(kRelayHeader).empty());
  held[0]->Respond(200, "text/plain", "x", Stamp());
  CHECK_TRUE(RunUntil([this] { return response.done; }));
  LONGS_EQUAL(200, response.status);
  CHECK_TRUE(Outcome() == RelayOutcome::kServed);
  CHECK_TRUE(ReadRelayAnswer(response.relay)->configuration == Revision(1));
}

TEST(RelayHelping, WithoutTheTokenOfThisProcessItIsRefused) {
  StartHelper();
  for (const RelayToken wrong :
       {RelayToken(0), RelayToken(token.value() + 1)}) {
    LONGS_EQUAL(503, Call(Relayed({.token = wrong})));
    CHECK_TRUE(Outcome() == RelayOutcome::kUnable);
  }
  HttpCall unmarked = Relayed({.token = token});
  unmarked.headers.pop_back();
  LONGS_EQUAL(503, Call(unmarked));
  CHECK_TRUE(held.empty());
}

// Callers of the other instance were served by the newer one already.
TEST(RelayHelping, WithAnOlderConfigurationItIsRefused) {
  StartHelper();
  LONGS_EQUAL(503,
              Call(Relayed({.token = token, .configuration = Revision(2)})));
  CHECK_TRUE(Outcome() == RelayOutcome::kUnable);
  CHECK_TRUE(held.empty());
}

TEST(RelayHelping, ACallerCantPassForAnInstance) {
  StartHelper();
  HttpCall call = MakeCall("GET", "/0/", "");
  call.headers.emplace_back(kRelayHeader, ToHeader(RelayRequest{}));
  response = {};
  client->Start(call, &response);
  CHECK_TRUE(RunUntil([this] { return !held.empty(); }));
  CHECK_TRUE(held[0]->header(kRelayHeader).empty());
  held[0]->Respond(200, "text/plain", "x", Stamp());
  CHECK_TRUE(RunUntil([this] { return response.done; }));
  STRCMP_EQUAL("", response.relay.c_str());
}

// Its requests would be cut by the end of the process.
TEST(RelayHelping, AnInstanceThatStopsIsNoHelper) {
  StartHelper();
  bool offers = true;
  peer->on_message = [&](const proto::NodeMessage& message) {
    if (message.has_follow()) offers = message.follow().has_relay_offer();
  };
  entry->Shutdown([] {});
  CHECK_TRUE(RunUntil([&] { return !offers; }));
}

/// An instance whose endpoints refuse all connections, and a stand-in for its
/// helper, which holds what is relayed to it.
TEST_GROUP_BASE(RelayAsking, NodeFixture) {
  std::vector<HttpExchangePtr> relayed;
  /// The entry instance has its configuration.
  bool applied = false;

  void teardown() override {
    relayed.clear();
    NodeFixture::teardown();
  }
  void StartCutOff(bool has_helper = true) {
    const std::uint16_t port = StartServer([this](HttpExchangePtr exchange) {
      relayed.push_back(std::move(exchange));
    });
    StartEntry();
    peer->on_message = [this, port,
                        has_helper](const proto::NodeMessage& message) {
      if (!message.has_follow()) return;
      applied |= message.follow().configuration_version() == 1;
      proto::NodeMessage answer;
      WriteUpdate(message.follow(), has_helper, port, answer.mutable_update());
      peer->link.Send(InstanceId(node_ip), answer);
    };
    CHECK_TRUE(RunUntil([this] { return applied; }));
  }
  static void WriteUpdate(const proto::Follow& follow, bool has_helper,
                          std::uint16_t port, proto::Update* update) {
    update->set_registry_epoch(1);
    update->mutable_configuration()->set_version(1);
    update->mutable_configuration()->set_document(Document(1, 1, 2000));
    for (const char* id : {"e0", "e1", "e2"}) {
      *update->add_records() = Endpoint(id, "dc1", kClosedPort);
    }
    for (const std::string& service : follow.services_out_of_reach()) {
      proto::RelayHelpers* helpers = update->add_relay_helpers();
      helpers->set_service(service);
      if (!has_helper) continue;
      proto::RelayOffer* offer = helpers->add_helpers();
      offer->set_address(node_ip + ":" + std::to_string(port));
      offer->set_token(kHelperToken);
    }
  }
  /// Sends a request and waits until the helper has it.
  void Relay() {
    HttpCall call = MakeCall("GET", "/0/", "");
    call.headers.emplace_back("X-Request-Id", "r1");
    call.headers.emplace_back("X-Deadline-Ms", "1500");
    response = {};
    client->Start(call, &response);
    CHECK_TRUE(RunUntil([this] { return !relayed.empty(); }));
  }
  void Answer(int status, const std::string& body, HttpHeaders headers,
              RelayOutcome outcome) {
    headers.emplace_back(kRelayHeader,
                         ToHeader(RelayAnswer{.outcome = outcome}));
    relayed[0]->Respond(status, "text/plain", body, headers);
    CHECK_TRUE(RunUntil([this] { return response.done; }));
  }
};

TEST(RelayAsking, ItsCallersGetTheAnswerOfTheHelper) {
  StartCutOff();
  Relay();
  const auto relay = ReadRelayRequest(relayed[0]->header(kRelayHeader));
  CHECK_TRUE(relay.has_value());
  CHECK_TRUE(relay->token == RelayToken(kHelperToken));
  CHECK_TRUE(relay->configuration == Revision(1));
  STRCMP_EQUAL("a.example", std::string(relayed[0]->header("Host")).c_str());
  STRCMP_EQUAL("r1", std::string(relayed[0]->header("X-Request-Id")).c_str());
  CHECK_COMPARE(std::stoi(std::string(relayed[0]->header("X-Deadline-Ms"))), <=,
                1500);
  CHECK_TRUE(relayed[0]->header("X-Expect-Instance").empty());
  Answer(200, "answer", Stamp(), RelayOutcome::kServed);
  LONGS_EQUAL(200, response.status);
  STRCMP_EQUAL("answer", response.body.c_str());
  STRCMP_EQUAL("", response.relay.c_str());
}

TEST(RelayAsking, ARefusalOfTheHelperIsPassedOn) {
  StartCutOff();
  Relay();
  Answer(503, "full", {{"Retry-After", "0.700"}}, RelayOutcome::kRefused);
  LONGS_EQUAL(503, response.status);
  STRCMP_EQUAL("0.700", response.retry_after.c_str());
}

TEST(RelayAsking, WithoutAnotherHelperItRefusesWhatTheFirstCantServe) {
  StartCutOff();
  Relay();
  Answer(503, "", {}, RelayOutcome::kUnable);
  LONGS_EQUAL(503, response.status);
  STRCMP_CONTAINS("no endpoint is within reach", response.body.c_str());
}

// Another program may have the address of an instance that has ended.
TEST(RelayAsking, AnAnswerThatIsNoHelpersIsNotPassedOn) {
  StartCutOff();
  Relay();
  relayed[0]->Respond(200, "text/plain", "of a stranger", Stamp());
  CHECK_TRUE(RunUntil([this] { return response.done; }));
  LONGS_EQUAL(502, response.status);
  CHECK_TRUE(response.body.find("stranger") == std::string::npos);
}

TEST(RelayAsking, ACallerThatLeavesEndsTheWorkOfTheHelper) {
  StartCutOff();
  Relay();
  bool closed = false;
  relayed[0]->WatchClose([&closed] { closed = true; });
  client = std::make_unique<HttpClient>();
  CHECK_TRUE(RunUntil([&closed] { return closed; }));
}

TEST(RelayAsking, WithoutAHelperItRefusesAtOnce) {
  StartCutOff(false);
  Call("GET", "/0/", "");
  RunFor(Milliseconds(400));
  const gint64 began = g_get_monotonic_time();
  LONGS_EQUAL(503, Call("GET", "/0/", ""));
  CHECK_COMPARE(g_get_monotonic_time() - began, <, 200 * 1000);
  STRCMP_CONTAINS("no endpoint is within reach", response.body.c_str());
}

}  // namespace cassiausher
