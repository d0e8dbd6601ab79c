// Guards against streams whose text is joined from two software versions: the
// entry instance that began one is gone, and its caller takes it up without
// telling which request brought the first event. Real sockets on loopback.
#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "drivers/clock.h"
#include "main/node/origin_messages.h"
#include "tests/main/node/node_fixture.h"

namespace cassiausher {
namespace {

constexpr int kTimeoutMs = 5000;
constexpr int kRefused = 503;

const std::string event = "id: 1\ndata: a\n\n";

}  // namespace

/// The peer keeps origins of streams as a control instance does.
TEST_GROUP_BASE(TakenUpStream, NodeFixture) {
  StreamOrigins origins{StreamOriginsOptions{}};
  std::vector<proto::EndpointRecord> records;
  /// Calls that the endpoints of each version hold.
  std::vector<HttpExchangePtr> held_by_old;
  std::vector<HttpExchangePtr> held_by_new;
  bool connected = false;

  void setup() override {
    NodeFixture::setup();
    peer->on_message = [this](const proto::NodeMessage& message) {
      OnMessage(message);
    };
  }
  void teardown() override {
    held_by_old.clear();
    held_by_new.clear();
    NodeFixture::teardown();
  }

  void OnMessage(const proto::NodeMessage& message) {
    proto::NodeMessage answer;
    if (message.has_store_origins()) {
      answer = Keep(message.store_origins(), BootTimeNow(), &origins);
    } else if (message.has_find_origin()) {
      answer = AnswerSearch(message.find_origin(), BootTimeNow(), origins);
    } else if (message.has_follow()) {
      connected |= message.follow().configuration_version() == 1;
      WriteUpdate(answer.mutable_update());
      answer.mutable_update()->set_follow_number(message.follow().number());
    } else {
      return;
    }
    peer->link.Send(InstanceId(node_ip), answer);
  }
  void WriteUpdate(proto::Update * update) const {
    update->set_registry_epoch(1);
    update->mutable_configuration()->set_version(1);
    update->mutable_configuration()->set_document(
        ResumableStreamDocument(kTimeoutMs));
    update->set_keeps_origins(true);
    for (const auto& record : records) *update->add_records() = record;
  }
  void AddEndpoint(const std::string& id, const std::string& data_centre,
                   const std::string& version,
                   std::vector<HttpExchangePtr>* held) {
    const std::uint16_t port = StartServer(
        [held](HttpExchangePtr call) { held->push_back(std::move(call)); });
    records.push_back(Endpoint(id, data_centre, port));
    records.back().set_software_version(version);
  }
  void AddOldVersion() { AddEndpoint("old", "dc2", "v1", &held_by_old); }
  /// In the entry instance's data centre, so that it is chosen if it may be.
  void AddNewVersion() { AddEndpoint("new", "dc1", "v2", &held_by_new); }

  void StartAnew() {
    entry.reset();
    connected = false;
    StartEntry();
    CHECK_TRUE(RunUntil([this] { return connected; }));
  }
  /// Calls and waits for the endpoint's event, then loses the entry instance.
  void BreakOffStream(std::vector<HttpExchangePtr> & held) {
    response = {};
    client->Start(MakeCall("GET", "/0/", "prompt"), &response);
    CHECK_TRUE(RunUntil([&] { return !held.empty(); }));
    held.back()->StartStream(200, "text/event-stream",
                             {{"X-Server-Stamp", "e.1"}});
    held.back()->Write(event);
    CHECK_TRUE(RunUntil([this] { return !response.body.empty(); }));
    entry.reset();
    CHECK_TRUE(RunUntil([this] { return response.done; }));
  }
  void TakeUp() {
    HttpCall call = MakeCall("GET", "/0/", "prompt");
    call.headers.emplace_back("Last-Event-Id", "1");
    response = {};
    client->Start(call, &response);
  }
};

TEST(TakenUpStream, WithoutItsRequestItGoesOnAtItsVersion) {
  AddOldVersion();
  StartAnew();
  BreakOffStream(held_by_old);
  held_by_old.clear();
  AddNewVersion();
  StartAnew();
  TakeUp();
  CHECK_TRUE(RunUntil([this] {
    return response.done || !held_by_old.empty() || !held_by_new.empty();
  }));
  LONGS_EQUAL(1, held_by_old.size());
  LONGS_EQUAL(0, held_by_new.size());
}

TEST(TakenUpStream, WithoutEndpointsOfItsVersionItIsRefused) {
  AddOldVersion();
  StartAnew();
  BreakOffStream(held_by_old);
  records[0].set_state(proto::ENDPOINT_LIFECYCLE_DEPARTED);
  AddNewVersion();
  StartAnew();
  TakeUp();
  CHECK_TRUE(RunUntil([this] { return response.done; }));
  LONGS_EQUAL(kRefused, response.status);
  LONGS_EQUAL(0, held_by_new.size());
}

// The control instances were lost at the same moment.
TEST(TakenUpStream, OfAnUnknownVersionItIsRefused) {
  AddOldVersion();
  StartAnew();
  BreakOffStream(held_by_old);
  origins = StreamOrigins{StreamOriginsOptions{}};
  records.clear();
  AddNewVersion();
  StartAnew();
  TakeUp();
  CHECK_TRUE(RunUntil([this] { return response.done; }));
  LONGS_EQUAL(kRefused, response.status);
  LONGS_EQUAL(0, held_by_new.size());
}

// It isn't known which of the two streams the caller has a part of.
TEST(TakenUpStream, ThatSharesItsContentWithAnotherVersionIsRefused) {
  AddOldVersion();
  StartAnew();
  BreakOffStream(held_by_old);
  AddNewVersion();
  StartAnew();
  BreakOffStream(held_by_new);
  StartAnew();
  TakeUp();
  CHECK_TRUE(RunUntil([this] { return response.done; }));
  LONGS_EQUAL(kRefused, response.status);
}

}  // namespace cassiausher
