// Guards against control instances that send the configuration again with each
// change of the registry or take heartbeats without limit, and against entry
// instances that answer by a version which they know is not the newest. Real
// sockets on loopback; each instance has an address of its own in 127.0.0.0/8.
#include <CppUTest/TestHarness.h>
#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/compression.h"
#include "core/metrics.h"
#include "drivers/http_client.h"
#include "drivers/http_server.h"
#include "main/control_node.h"
#include "main/entry_node.h"
#include "main/node_link.h"
#include "modules/file_log/register_types.h"
#include "platform/configuration_document.h"

using namespace cassiausher;  // NOLINT: test file

namespace {

constexpr std::uint16_t kPeerPort = 21930;
constexpr std::uint16_t kHttpPort = 21931;
constexpr std::uint16_t kReadinessPort = 21932;
constexpr const char* kNodeIp = "127.0.20.1";
constexpr const char* kPeerIp = "127.0.20.2";

NodeSettings SettingsOf(const std::string& ip) {
  NodeSettings settings;
  settings.instance = ip;
  settings.ip = ip;
  settings.data_centre = DataCentreId("dc1");
  settings.peer_port = kPeerPort;
  return settings;
}

std::string RouteText(int number) {
  const std::string name = std::to_string(number);
  return R"({"name":"r)" + name + R"(","host":"a.example","path-prefix":"/)" +
         name +
         R"(/","kind":"safe","timeout-ms":600,"attempts":2,"service":"s"})";
}

proto::EndpointRecord Endpoint(const std::string& id,
                               const std::string& data_centre,
                               std::uint16_t port) {
  proto::EndpointRecord record;
  record.set_id(id);
  record.set_service("s");
  record.set_role(proto::ENDPOINT_ROLE_PLAIN);
  record.set_address(std::string(kNodeIp) + ":" + std::to_string(port));
  record.set_data_centre(data_centre);
  record.set_slots(4);
  record.set_born_ms(1);
  record.set_sequence(1);
  return record;
}

/// A document with the given number of routes, /0/ and following.
std::string Document(int version, int routes) {
  std::string text = R"({"version":)" + std::to_string(version) +
                     R"(,"services":[{"name":"s"}],"routes":[)";
  for (int i = 0; i < routes; ++i) {
    if (i > 0) text += ',';
    text += RouteText(i);
  }
  return text + "]}";
}

std::string Heartbeat(int endpoint) {
  return R"({"service":"s","address":"10.9.0.)" + std::to_string(endpoint) +
         R"(:80","zone":"dc1","slots":4,"state":"ready","seq":1})";
}

struct Response : HttpCallSink {
  void OnHeaders(int code, SoupMessageHeaders* headers) override {
    status = code;
    const char* value = soup_message_headers_get_one(headers, "Retry-After");
    if (value != nullptr) retry_after = value;
  }
  void OnBody(std::string_view) override {}
  void OnDone(std::string_view, bool) override { done = true; }

  int status = 0;
  std::string retry_after;
  bool done = false;
};

// Another instance that the node under test talks to.
struct Peer {
  explicit Peer(const std::string& ip)
      : settings(SettingsOf(ip)),
        link(settings, 1, metrics,
             [this](const InstanceId&, const proto::NodeMessage& message) {
               if (on_message) on_message(message);
             }) {}

  NodeSettings settings;
  Metrics metrics;
  std::function<void(const proto::NodeMessage&)> on_message;
  NodeLink link;
};

}  // namespace

TEST_GROUP(NodeRoles) {
  GMainContext* context = nullptr;
  std::string folder;
  Metrics metrics;
  ConfigurationDocumentCodec codec;
  // Members, since a failed check doesn't destroy the locals of a test.
  std::unique_ptr<HttpClient> client;
  std::unique_ptr<Peer> peer;
  std::unique_ptr<ControlNode> control;
  std::unique_ptr<EntryNode> entry;
  std::vector<std::unique_ptr<HttpServer>> servers;
  Response response;

  void setup() override {
    context = g_main_context_new();
    g_main_context_push_thread_default(context);
    client = std::make_unique<HttpClient>();
    peer = std::make_unique<Peer>(kPeerIp);
    STRCMP_EQUAL("", peer->link.Listen(context).c_str());
    char name[] = "/tmp/cassiausher-node-XXXXXX";
    folder = mkdtemp(name);
  }

  void teardown() override {
    client.reset();
    peer.reset();
    control.reset();
    entry.reset();
    servers.clear();
    std::filesystem::remove_all(folder);
    g_main_context_pop_thread_default(context);
    g_main_context_unref(context);
  }

  // Runs the loop until `done` or 10 s have passed.
  bool RunUntil(const std::function<bool()>& done) {
    const gint64 deadline = g_get_monotonic_time() + 10 * G_USEC_PER_SEC;
    while (!done()) {
      if (g_get_monotonic_time() > deadline) return false;
      if (!g_main_context_iteration(context, FALSE)) g_usleep(1000);
    }
    return true;
  }

  void RunFor(Duration duration) {
    const gint64 end = g_get_monotonic_time() + duration.count();
    RunUntil([end] { return g_get_monotonic_time() >= end; });
  }

  int Call(const std::string& method, const std::string& path,
           const std::string& body) {
    response = {};
    client->Start({.method = method,
                   .url = std::string("http://") + kNodeIp + ":" +
                          std::to_string(kHttpPort) + path,
                   .headers = {{"Host", "a.example"}},
                   .body = body,
                   .new_connection = true},
                  &response);
    CHECK_TRUE(RunUntil([&] { return response.done; }));
    return response.status;
  }

  std::uint16_t StartServer(HttpServer::Handler handler) {
    servers.push_back(std::make_unique<HttpServer>(
        HttpServerOptions{.address = kNodeIp}, std::move(handler),
        [](int, std::string_view message) { return std::string(message); }));
    STRCMP_EQUAL("", servers.back()->Listen(context).c_str());
    return servers.back()->port();
  }

  /// `seeds` bootstrap the log; with several, the control node has no leader.
  void StartControl(const std::vector<std::string>& seeds = {kNodeIp}) {
    static const bool registered = (RegisterFileLog(), true);
    CHECK_TRUE(registered);
    NodeSettings settings = SettingsOf(kNodeIp);
    settings.control = SocketAddress{kNodeIp, kHttpPort};
    for (const std::string& seed : seeds) {
      settings.seeds.push_back({seed, kHttpPort});
    }
    settings.first_start = true;
    settings.data_folder = folder;
    control = std::make_unique<ControlNode>(settings, codec, metrics, context);
    STRCMP_EQUAL("", control->Start().c_str());
  }

  void StartEntry() {
    NodeSettings settings = SettingsOf(kNodeIp);
    settings.callers = SocketAddress{kNodeIp, kHttpPort};
    settings.readiness = SocketAddress{kNodeIp, kReadinessPort};
    settings.seeds = {SocketAddress{kPeerIp, kHttpPort}};
    entry = std::make_unique<EntryNode>(settings, codec, metrics, context);
    STRCMP_EQUAL("", entry->Start().c_str());
  }
};

// Incident inc1: while endpoints registered and left, every change of the
// registry sent the whole document to every entry instance that didn't have it
// yet, which filled the links and the memory of the control instances.
TEST(NodeRoles, ChangesOfTheRegistryDoNotSendTheDocumentAgain) {
  constexpr int kRoutes = 1300;
  constexpr int kEndpoints = 20;
  StartControl();
  std::size_t received_bytes = 0;
  int answers = 0;
  peer->on_message = [&](const proto::NodeMessage& message) {
    received_bytes += message.ByteSizeLong();
    if (message.has_update()) ++answers;
  };
  const std::string document = Document(1, kRoutes);
  CHECK_TRUE(
      RunUntil([&] { return Call("PUT", "/api/config", document) == 200; }));
  // The entry instance names no version and doesn't follow up, as on a link
  // that is full.
  CHECK_TRUE(RunUntil([&] {
    if (answers > 0) return true;
    proto::NodeMessage follow;
    follow.mutable_follow();
    peer->link.Send(InstanceId(kNodeIp), follow);
    RunFor(Milliseconds(100));
    return answers > 0;
  }));
  RunFor(Milliseconds(300));
  received_bytes = 0;
  for (int i = 1; i <= kEndpoints; ++i) {
    const std::string path = "/api/instances/e" + std::to_string(i);
    LONGS_EQUAL(200, Call("PUT", path, Heartbeat(i)));
  }
  RunFor(Milliseconds(300));
  CHECK_TRUE(received_bytes < document.size());
}

// Guards against a control instance that keeps heartbeats of any size.
TEST(NodeRoles, OversizedHeartbeatIsRefused) {
  StartControl();
  LONGS_EQUAL(200, Call("PUT", "/api/instances/e1", Heartbeat(1)));
  const std::string long_body = Heartbeat(1) + std::string(64 * 1024, ' ');
  LONGS_EQUAL(400, Call("PUT", "/api/instances/e1", long_body));
}

TEST(NodeRoles, DocumentIsDeliveredOnRequest) {
  StartControl();
  std::string compressed;
  peer->on_message = [&](const proto::NodeMessage& message) {
    if (!message.has_configuration_chunk()) return;
    compressed = message.configuration_chunk().data();
  };
  const std::string document = Document(1, 1300);
  CHECK_TRUE(
      RunUntil([&] { return Call("PUT", "/api/config", document) == 200; }));
  CHECK_TRUE(RunUntil([&] {
    proto::NodeMessage fetch;
    fetch.mutable_fetch_configuration()->set_version(1);
    peer->link.Send(InstanceId(kNodeIp), fetch);
    RunFor(Milliseconds(100));
    return !compressed.empty();
  }));
  // Lines of one kind repeat their names, so a document takes less than a
  // tenth.
  CHECK_TRUE(compressed.size() < document.size() / 10);
  CHECK_TRUE(Decompress(compressed, document.size()) == document);
}

// A voter whose disk was full was replaced, and crashed when it couldn't start
// its replica anew: found by a day of large configurations and a full disk.
TEST(NodeRoles, ReplacedReplicaWaitsForItsDisk) {
  StartControl();
  CHECK_TRUE(RunUntil(
      [&] { return Call("PUT", "/api/config", Document(1, 1)) == 200; }));
  proto::Members members;
  peer->on_message = [&](const proto::NodeMessage& message) {
    if (message.has_sync() && message.sync().has_members()) {
      members = message.sync().members();
    }
  };
  const auto send_members = [&] {
    proto::NodeMessage message;
    auto* sync = message.mutable_sync();
    if (members.commit() > 0) *sync->mutable_members() = members;
    peer->link.Send(InstanceId(kNodeIp), message);
    RunFor(Milliseconds(100));
  };
  CHECK_TRUE(RunUntil([&] {
    send_members();
    return members.commit() > 0;
  }));
  peer->on_message = nullptr;
  // A file in place of the folder makes every write fail.
  std::filesystem::remove_all(folder);
  CHECK_TRUE(std::ofstream(folder).put('x').good());
  members.set_commit(members.commit() + 1);
  members.mutable_configuration()->mutable_voters(0)->set_instance(kPeerIp);
  for (int i = 0; i < 5; ++i) send_members();
  LONGS_EQUAL(503, Call("GET", "/api/config", ""));
  LONGS_EQUAL(200, Call("PUT", "/api/instances/e1", Heartbeat(1)));
  std::filesystem::remove(folder);
  CHECK_TRUE(RunUntil([&] {
    RunFor(Milliseconds(100));
    return std::filesystem::exists(folder + "/log");
  }));
}

// Guards against a control instance that answers no operator because it is a
// spare: it isn't a member of the log and hears nothing from the leader's Raft.
TEST(NodeRoles, SpareSendsOperatorsCallsToTheLeader) {
  StartControl({kNodeIp, kPeerIp});
  peer->on_message = [&](const proto::NodeMessage& message) {
    if (!message.has_read_current()) return;
    proto::NodeMessage answer;
    auto* result = answer.mutable_read_result();
    result->set_read(message.read_current().read());
    result->set_served(true);
    result->mutable_document()->set_version(3);
    result->mutable_document()->set_document("{}");
    peer->link.Send(InstanceId(kNodeIp), answer);
  };
  CHECK_TRUE(RunUntil([&] {
    proto::NodeMessage message;
    auto* members = message.mutable_sync()->mutable_members();
    members->set_commit(5);
    members->mutable_configuration()->set_group(1);
    auto* voter = members->mutable_configuration()->add_voters();
    voter->set_instance(kPeerIp);
    voter->set_storage(1);
    peer->link.Send(InstanceId(kNodeIp), message);
    RunFor(Milliseconds(100));
    return Call("GET", "/api/config", "") == 200;
  }));
}

// Guards against a control instance that takes the leader's answer to a call of
// its previous process, which was killed, for the answer to one of its own: a
// change was acknowledged before it was committed, and a read showed an older
// version.
TEST(NodeRoles, AnswersToAnEarlierProcessAreIgnored) {
  StartControl({kNodeIp, kPeerIp});
  GSource* timer = g_timeout_source_new(50);
  g_source_set_callback(
      timer,
      [](gpointer data) -> gboolean {
        // The calls of a process that served a few before it was killed.
        for (std::uint64_t id = 1; id <= 10; ++id) {
          proto::NodeMessage submitted;
          submitted.mutable_submit_result()->set_submission(id);
          submitted.mutable_submit_result()->set_committed(true);
          static_cast<Peer*>(data)->link.Send(InstanceId(kNodeIp), submitted);
          proto::NodeMessage read;
          read.mutable_read_result()->set_read(id);
          read.mutable_read_result()->set_served(true);
          read.mutable_read_result()->mutable_document()->set_version(1);
          static_cast<Peer*>(data)->link.Send(InstanceId(kNodeIp), read);
        }
        return G_SOURCE_CONTINUE;
      },
      peer.get(), nullptr);
  g_source_attach(timer, context);
  const int submitted = Call("PUT", "/api/config", Document(2, 1));
  const int read = Call("GET", "/api/config", "");
  g_source_destroy(timer);
  g_source_unref(timer);
  LONGS_EQUAL(503, submitted);
  LONGS_EQUAL(503, read);
}

// Guards against the log of a replaced replica that stays on the disk because
// the process was killed before it had removed all of it.
TEST(NodeRoles, RemainsOfAReplacedLogAreRemoved) {
  const std::string remains = folder + "/log.replaced";
  std::filesystem::create_directories(remains);
  CHECK_TRUE(std::ofstream(remains + "/segment-0000000000000002").good());
  StartControl();
  CHECK_FALSE(std::filesystem::exists(remains));
  CHECK_TRUE(RunUntil(
      [&] { return Call("PUT", "/api/config", Document(1, 1)) == 200; }));
}

// Incident inc1: a route of a confirmed change was answered 404 by an entry
// instance that hadn't received the change.
TEST(NodeRoles, UnknownRouteIsNotRejectedWhileANewerVersionIsKnown) {
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
    update->mutable_notice()->set_newest_version(2);
    update->mutable_notice()->set_confirmed_ms_ago(0);
    peer->link.Send(InstanceId(kNodeIp), answer);
  };
  CHECK_TRUE(RunUntil([&] { return applied; }));
  LONGS_EQUAL(503, Call("GET", "/1/", ""));
  CHECK_FALSE(response.retry_after.empty());
}

// A call that was given up for silence was finished twice, the second time as
// one whose answer exceeded a limit. The instance reported one request less
// than none at the endpoint, and kept work away from it for up to 5 s.
TEST(NodeRoles, ACallGivenUpForSilenceIsFinishedOnce) {
  std::vector<HttpExchangePtr> held;
  const std::uint16_t silent_port = StartServer(
      [&](HttpExchangePtr exchange) { held.push_back(std::move(exchange)); });
  const std::uint16_t sound_port =
      StartServer([](const HttpExchangePtr& exchange) {
        exchange->Respond(200, "text/plain", "sound",
                          {{"X-Server-Stamp", "sound.1"}});
      });
  StartEntry();
  bool applied = false;
  proto::Follow last;
  peer->on_message = [&](const proto::NodeMessage& message) {
    if (!message.has_follow()) return;
    last = message.follow();
    applied |= last.configuration_version() == 1;
    proto::NodeMessage answer;
    auto* update = answer.mutable_update();
    update->set_registry_epoch(1);
    update->mutable_configuration()->set_version(1);
    update->mutable_configuration()->set_document(Document(1, 1));
    *update->add_records() = Endpoint("silent", "dc1", silent_port);
    *update->add_records() = Endpoint("sound", "dc2", sound_port);
    peer->link.Send(InstanceId(kNodeIp), answer);
  };
  CHECK_TRUE(RunUntil([&] { return applied; }));
  LONGS_EQUAL(200, Call("GET", "/0/", ""));
  LONGS_EQUAL(1, held.size());
  last.Clear();
  CHECK_TRUE(RunUntil([&] { return last.configuration_version() == 1; }));
  LONGS_EQUAL(0, last.loads_size());
}
