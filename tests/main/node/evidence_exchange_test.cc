// Guards against crash evidence that doesn't reach another instance, or is lost
// when one of them restarts. Real sockets on loopback.
#include "main/node/evidence_exchange.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>

#include "drivers/clock.h"
#include "main/node/crash_service.h"
#include "tests/main/node/node_fixture.h"

namespace cassiausher {
namespace {

constexpr TraitId kService{1};
constexpr TraitId kTrait{2};

/// An instance that takes part in the exchange.
struct Participant {
  Participant(const std::string& ip, std::uint64_t process)
      : settings(SettingsOf(ip)),
        link(settings, process, metrics,
             [this](const InstanceId& from, const proto::NodeMessage& message) {
               ++received;
               if (loses_messages) return;
               exchange.OnMessage(from, Incarnation(message.incarnation()),
                                  message.crash_evidence(), BootTimeNow());
             }),
        exchange({.self = Incarnation(process)}, &evidence, &link) {}

  void Report(const std::string& endpoint) {
    evidence.AddCall({EndpointId(endpoint), Incarnation(1)}, kService, {kTrait},
                     BootTimeNow());
  }

  NodeSettings settings;
  Metrics metrics;
  NodeLink link;
  CrashEvidence evidence{CrashEvidenceOptions{}};
  EvidenceExchange exchange;
  int received = 0;
  bool loses_messages = false;
};

}  // namespace

TEST_GROUP_BASE(EvidenceExchange, NodeFixture) {
  const std::string other_ip = ip_prefix + "7";
  std::unique_ptr<Participant> first;
  std::unique_ptr<Participant> second;

  void setup() override {
    NodeFixture::setup();
    first = Start(node_ip, 10);
    second = Start(other_ip, 20);
    Introduce();
  }
  void teardown() override {
    first.reset();
    second.reset();
    NodeFixture::teardown();
  }
  std::unique_ptr<Participant> Start(const std::string& ip,
                                     std::uint64_t process) {
    auto started = std::make_unique<Participant>(ip, process);
    STRCMP_EQUAL("", started->link.Listen(context).c_str());
    return started;
  }
  // As the messages that instances send anyway do.
  void Introduce(std::uint64_t second_process = 20) const {
    first->exchange.OnPeer(InstanceId(other_ip), Incarnation(second_process),
                           BootTimeNow());
    second->exchange.OnPeer(InstanceId(node_ip), Incarnation(10),
                            BootTimeNow());
  }
  void Tick() const {
    first->exchange.Tick(BootTimeNow());
    second->exchange.Tick(BootTimeNow());
  }
  /// Exchanges messages until the second copy has as many crashes.
  bool SecondGets(std::size_t crashes) {
    return RunUntil([&] {
      Tick();
      return second->evidence.crashes().size() == crashes;
    });
  }
};

TEST(EvidenceExchange, ChangesReachTheOtherInstanceAndNoMore) {
  first->Report("e1");
  CHECK_TRUE(SecondGets(1));
  // Until the connection stands, acknowledgements may be lost.
  CHECK_TRUE(RunUntil([&] {
    Tick();
    return first->received > 0;
  }));
  const int received = first->received + second->received;
  for (int i = 0; i < 5; ++i) {
    RunFor(Milliseconds(500));
    Tick();
  }
  LONGS_EQUAL(received, first->received + second->received);
}

// The time of day stepped back before the other instance restarted, and its
// messages were dropped as those of an earlier process for ever.
TEST(EvidenceExchange, AnInstanceWithALowerIncarnationIsHeardAgain) {
  first->Report("e1");
  CHECK_TRUE(SecondGets(1));
  CHECK_TRUE(RunUntil([&] {
    Tick();
    return first->received > 0;
  }));
  second.reset();
  second = Start(other_ip, 19);
  second->Report("e2");
  CHECK_TRUE(RunUntil([&] {
    Introduce(19);
    Tick();
    return first->evidence.crashes().size() == 2 &&
           second->evidence.crashes().size() == 2;
  }));
}

TEST(EvidenceExchange, ALostMessageIsSentAgain) {
  first->Report("e1");
  CHECK_TRUE(SecondGets(1));
  second->loses_messages = true;
  first->Report("e2");
  CHECK_TRUE(RunUntil([&] {
    first->exchange.Tick(BootTimeNow());
    return second->received > 1;
  }));
  second->loses_messages = false;
  CHECK_TRUE(SecondGets(2));
}

TEST(EvidenceExchange, ARestartedInstanceGetsWhatItLost) {
  first->Report("e1");
  first->Report("e2");
  CHECK_TRUE(SecondGets(2));
  second.reset();
  second = Start(other_ip, 21);
  Introduce(21);
  CHECK_TRUE(SecondGets(2));
}

// Operators could neither see what is withheld nor end it.
TEST(EvidenceExchange, AVerdictIsListedAndLiftedEverywhere) {
  CrashService service(Incarnation(30), &second->link);
  proto::CrashEvidence message;
  proto::CrashCause* cause = message.add_causes();
  cause->add_traits(kTrait.value());
  cause->set_crashes(4);
  cause->set_last_crash_age_ms(1000);
  message.set_revision(1);
  service.OnMessage(InstanceId(node_ip), Incarnation(10), message,
                    BootTimeNow());
  const std::uint16_t port = StartServer([&](const HttpExchangePtr& call) {
    const std::string path(call->path());
    if (call->method() == "GET") return service.List(*call, BootTimeNow());
    service.Lift(*call, path.substr(1), BootTimeNow());
  });
  const std::string url =
      "http://" + node_ip + ":" + std::to_string(port) + "/";
  LONGS_EQUAL(200, Call({.method = "GET", .url = url}));
  STRCMP_CONTAINS("\"traits\":\"0000000000000002\"", response.body.c_str());
  STRCMP_CONTAINS("\"crashes\":4", response.body.c_str());
  const std::size_t id_at = response.body.find("\"id\":\"") + 6;
  const std::string id = response.body.substr(id_at, 16);
  LONGS_EQUAL(404, Call({.method = "DELETE", .url = url + "12"}));
  LONGS_EQUAL(200, Call({.method = "DELETE", .url = url + id}));
  LONGS_EQUAL(200, Call({.method = "GET", .url = url}));
  STRCMP_EQUAL("{\"verdicts\":[]}", response.body.c_str());
  // The lift is sent on to the instances that withhold the calls.
  first->evidence.AddCause({.traits = {kTrait},
                            .crashes = 4,
                            .last_crash_at = BootTimeNow() - Seconds(1)});
  LONGS_EQUAL(1, first->evidence.ActiveCauses().size());
  CHECK_TRUE(RunUntil([&] {
    service.Tick(BootTimeNow());
    return first->evidence.ActiveCauses().empty();
  }));
}

}  // namespace cassiausher
