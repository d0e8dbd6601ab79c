// Guards against an acknowledged departure that is forgotten, so that requests
// are sent to an endpoint that may be gone.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

#include "tests/main/node/control_fixture.h"

using namespace cassiausher;  // NOLINT: test file

TEST_GROUP_BASE(Departures, ControlFixture) {
  /// The endpoint that leaves.
  const std::string path = "/api/instances/e1";

  /// A process that starts on the disk of the one before.
  void Restart() {
    control.reset();
    StartControl({node_ip}, false);
  }

  static const proto::EndpointRecord* Find(const proto::Update& update,
                                           const std::string& id) {
    const auto found =
        std::find_if(update.records().begin(), update.records().end(),
                     [&](const auto& record) { return record.id() == id; });
    return found == update.records().end() ? nullptr : &*found;
  }
  /// Whether the control node tells followers that the endpoint is ready.
  bool TellsReady(const std::string& id) {
    const proto::Update update = AwaitUpdate();
    const proto::EndpointRecord* record = Find(update, id);
    return record != nullptr &&
           record->state() == proto::ENDPOINT_LIFECYCLE_READY;
  }
  /// Sends the call until it is acknowledged.
  bool Leave(const std::string& method, const std::string& body) {
    return RunUntil([&] { return Call(method, path, body) == 200; });
  }
};

// All control instances were killed after a departure was acknowledged; a
// heartbeat that had been held up made the endpoint ready again.
TEST(Departures, ADelayedHeartbeatAfterARestartChangesNothing) {
  StartControl();
  LONGS_EQUAL(200, Call("PUT", path, Heartbeat(7, 5)));
  CHECK_TRUE(Leave("DELETE", ""));
  Restart();
  LONGS_EQUAL(200, Call("PUT", path, Heartbeat(7, 4)));
  LONGS_EQUAL(200, Call("PUT", "/api/instances/e2", Heartbeat(8)));
  CHECK_TRUE(RunUntil([&] { return TellsReady("e2"); }));
  CHECK_FALSE(TellsReady("e1"));
}

TEST(Departures, ADrainOutlastsARestart) {
  StartControl();
  LONGS_EQUAL(200, Call("PUT", path, Heartbeat(7, 5)));
  CHECK_TRUE(Leave("PUT", Heartbeat(7, 6, "draining")));
  Restart();
  LONGS_EQUAL(200, Call("PUT", path, Heartbeat(7, 4)));
  LONGS_EQUAL(200, Call("PUT", "/api/instances/e2", Heartbeat(8)));
  CHECK_TRUE(RunUntil([&] { return TellsReady("e2"); }));
  CHECK_FALSE(TellsReady("e1"));
}

// A snapshot that was made between two entries of a batch counted as the state
// after all of them: the later ones were lost, configurations too.
TEST(Departures, ABurstOutlastsARestart) {
  constexpr int kEndpoints = 100;
  StartControl();
  CHECK_TRUE(Leave("DELETE", ""));
  std::vector<Response> answers(kEndpoints);
  for (int i = 0; i < kEndpoints; ++i) {
    client->Start(MakeCall("DELETE", path + "-" + std::to_string(i), ""),
                  &answers[i]);
  }
  CHECK_TRUE(RunUntil([&] {
    return std::all_of(answers.begin(), answers.end(),
                       [](const Response& answer) { return answer.done; });
  }));
  Restart();
  for (int i = 0; i < kEndpoints; ++i) {
    LONGS_EQUAL(200, answers[i].status);
    LONGS_EQUAL(200, Call("PUT", path + "-" + std::to_string(i), Heartbeat(i)));
  }
  LONGS_EQUAL(200, Call("PUT", "/api/instances/e2", Heartbeat(200)));
  CHECK_TRUE(RunUntil([&] { return TellsReady("e2"); }));
  const proto::Update update = AwaitUpdate();
  const auto ready = std::count_if(
      update.records().begin(), update.records().end(), [](const auto& record) {
        return record.state() == proto::ENDPOINT_LIFECYCLE_READY;
      });
  LONGS_EQUAL(1, ready);
}

// The log is compacted into a snapshot every 32 entries.
TEST(Departures, ADepartureOutlastsACompaction) {
  StartControl();
  CHECK_TRUE(Leave("DELETE", ""));
  for (int version = 1; version <= 40; ++version) {
    CHECK_TRUE(RunUntil([&] {
      return Call("PUT", "/api/config", Document(version, 1)) == 200;
    }));
  }
  Restart();
  LONGS_EQUAL(200, Call("PUT", path, Heartbeat(7, 4)));
  LONGS_EQUAL(200, Call("PUT", "/api/instances/e2", Heartbeat(8)));
  CHECK_TRUE(RunUntil([&] { return TellsReady("e2"); }));
  CHECK_FALSE(TellsReady("e1"));
}

// A control instance that had just started didn't know the endpoint, and
// dropped its departure; entry instances went on sending requests to it.
TEST(Departures, TheDepartureOfAnUnknownEndpointIsPassedOn) {
  StartControl();
  CHECK_TRUE(Leave("DELETE", ""));
  const proto::Update update = AwaitUpdate();
  const proto::EndpointRecord* record = Find(update, "e1");
  CHECK_TRUE(record != nullptr);
  LONGS_EQUAL(proto::ENDPOINT_LIFECYCLE_DEPARTED, record->state());
  LONGS_EQUAL(400,
              Call("DELETE", "/api/instances/" + std::string(300, 'e'), ""));
}

TEST(Departures, WithoutAQuorumNoneIsAcknowledged) {
  StartControl({node_ip, peer_ip});
  LONGS_EQUAL(503, Call("DELETE", path, ""));
  LONGS_EQUAL(503,
              Call("PUT", "/api/instances/e2", Heartbeat(8, 1, "draining")));
  // It is told to followers all the same.
  CHECK_FALSE(TellsReady("e2"));
}

// All control instances were killed and are back: a second without a leader
// would be one without endpoints for entry instances that were killed as well.
TEST(Departures, TheLogsOfAllVotersTellBeforeALeaderIsElected) {
  StartControl();
  CHECK_TRUE(Leave("DELETE", ""));
  Restart();
  LONGS_EQUAL(200, Call("PUT", path, Heartbeat(7, 4)));
  LONGS_EQUAL(200, Call("PUT", "/api/instances/e2", Heartbeat(8)));
  // Elections take at least 900 ms.
  RunFor(Milliseconds(300));
  CHECK_TRUE(TellsReady("e2"));
  CHECK_FALSE(TellsReady("e1"));
}

// A control instance that lost its disk may not know of a departure that the
// others have acknowledged.
TEST(Departures, ReadyEndpointsAreWithheldUntilDeparturesAreKnown) {
  StartControl({node_ip, peer_ip}, false);
  LONGS_EQUAL(200, Call("PUT", path, Heartbeat(7, 4)));
  LONGS_EQUAL(200, Call("PUT", "/api/instances/e2", Heartbeat(8)));
  const proto::Update before = AwaitUpdate();
  LONGS_EQUAL(0, before.records_size());
  CHECK_TRUE(before.registry_incomplete());
  LONGS_EQUAL(0, before.registry_revision());
  proto::NodeMessage message;
  auto* sync = message.mutable_sync();
  sync->set_whole_registry(true);
  sync->set_departures_known(true);
  proto::EndpointRecord* record = sync->add_records();
  *record = Endpoint("e1", "dc1", 80);
  record->set_sequence(5);
  record->set_state(proto::ENDPOINT_LIFECYCLE_DEPARTED);
  peer->link.Send(InstanceId(node_ip), message);
  CHECK_TRUE(RunUntil([&] { return TellsReady("e2"); }));
  CHECK_FALSE(TellsReady("e1"));
}
