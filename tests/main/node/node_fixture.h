// Runs an entry instance with stand-ins for its peer and its endpoints. Real
// sockets on loopback; each instance has an address of its own in 127.0.0.0/8.
#ifndef TESTS_MAIN_NODE_NODE_FIXTURE_H_
#define TESTS_MAIN_NODE_NODE_FIXTURE_H_

#include <CppUTest/TestHarness.h>
#include <unistd.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/metrics.h"
#include "drivers/http_client.h"
#include "drivers/http_server.h"
#include "main/node/entry_node.h"
#include "main/node/node_link.h"
#include "platform/configuration_document.h"
#include "servers/relay/relay_messages.h"

namespace cassiausher {

inline constexpr std::uint16_t kPeerPort = 21930;
inline constexpr std::uint16_t kHttpPort = 21931;
inline constexpr std::uint16_t kReadinessPort = 21932;
inline constexpr std::uint16_t kRelayPort = 21933;
// Depend on the process, so that runs of several builds don't meet.
inline const std::string ip_prefix =
    "127." + std::to_string(16 + getpid() % 200) + ".20.";
inline const std::string node_ip = ip_prefix + "1";
inline const std::string peer_ip = ip_prefix + "2";

inline NodeSettings SettingsOf(const std::string& ip) {
  NodeSettings settings;
  settings.instance = ip;
  settings.ip = ip;
  settings.data_centre = DataCentreId("dc1");
  settings.peer_port = kPeerPort;
  return settings;
}

inline std::string RouteText(int number, int timeout_ms) {
  const std::string name = std::to_string(number);
  return R"({"name":"r)" + name + R"(","host":"a.example","path-prefix":"/)" +
         name + R"(/","kind":"safe","timeout-ms":)" +
         std::to_string(timeout_ms) + R"(,"attempts":2,"service":"s"})";
}

inline proto::EndpointRecord Endpoint(const std::string& id,
                                      const std::string& data_centre,
                                      std::uint16_t port) {
  proto::EndpointRecord record;
  record.set_id(id);
  record.set_service("s");
  record.set_role(proto::ENDPOINT_ROLE_PLAIN);
  record.set_address(node_ip + ":" + std::to_string(port));
  record.set_data_centre(data_centre);
  record.set_slots(4);
  record.set_born_ms(1);
  record.set_sequence(1);
  return record;
}

/// A document with the given number of routes, /0/ and following.
inline std::string Document(int version, int routes, int timeout_ms = 600) {
  std::string text = R"({"version":)" + std::to_string(version) +
                     R"(,"services":[{"name":"s"}],"routes":[)";
  for (int i = 0; i < routes; ++i) {
    if (i > 0) text += ',';
    text += RouteText(i, timeout_ms);
  }
  return text + "]}";
}

struct Response : HttpCallSink {
  void OnHeaders(int code, SoupMessageHeaders* headers) override {
    status = code;
    const char* value = soup_message_headers_get_one(headers, "Retry-After");
    if (value != nullptr) retry_after = value;
    value = soup_message_headers_get_one(headers, kRelayHeader);
    if (value != nullptr) relay = value;
  }
  void OnBody(std::string_view bytes) override { body.append(bytes); }
  void OnDone(std::string_view reason, bool was_sent) override {
    error = reason;
    sent = was_sent;
    done = true;
  }

  int status = 0;
  std::string retry_after;
  /// What the answer tells an instance that relayed the request.
  std::string relay;
  std::string body;
  /// Why the answer isn't whole; empty if it is.
  std::string error;
  bool sent = false;
  bool done = false;
};

/// Another instance that the node under test talks to.
struct Peer {
  explicit Peer(const std::string& ip, std::uint64_t incarnation = 1)
      : settings(SettingsOf(ip)),
        link(settings, incarnation, metrics,
             [this](const InstanceId&, const proto::NodeMessage& message) {
               if (on_message) on_message(message);
             }) {}

  NodeSettings settings;
  Metrics metrics;
  std::function<void(const proto::NodeMessage&)> on_message;
  NodeLink link;
};

struct NodeFixture : public Utest {
  GMainContext* context = nullptr;
  Metrics metrics;
  ConfigurationDocumentCodec codec;
  // Members, since a failed check doesn't destroy the locals of a test.
  std::unique_ptr<HttpClient> client;
  std::unique_ptr<Peer> peer;
  std::unique_ptr<EntryNode> entry;
  std::vector<std::unique_ptr<HttpServer>> servers;
  Response response;

  void setup() override {
    context = g_main_context_new();
    g_main_context_push_thread_default(context);
    client = std::make_unique<HttpClient>();
    peer = std::make_unique<Peer>(peer_ip);
    STRCMP_EQUAL("", peer->link.Listen(context).c_str());
  }

  void teardown() override {
    client.reset();
    peer.reset();
    entry.reset();
    servers.clear();
    g_main_context_pop_thread_default(context);
    g_main_context_unref(context);
  }

  /// Runs the loop until `done` or 10 s have passed.
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

  static HttpCall MakeCall(const std::string& method, const std::string& path,
                           const std::string& body) {
    return {.method = method,
            .url = "http://" + node_ip + ":" + std::to_string(kHttpPort) + path,
            .headers = {{"Host", "a.example"}},
            .body = body,
            .new_connection = true};
  }

  /// Returns the status; 0 if there was no answer.
  int Call(const HttpCall& call) {
    response = {};
    client->Start(call, &response);
    CHECK_TRUE(RunUntil([&] { return response.done; }));
    return response.status;
  }
  int Call(const std::string& method, const std::string& path,
           const std::string& body) {
    return Call(MakeCall(method, path, body));
  }

  std::uint16_t StartServer(HttpServer::Handler handler) {
    servers.push_back(std::make_unique<HttpServer>(
        HttpServerOptions{.address = node_ip}, std::move(handler),
        [](int, std::string_view message) { return std::string(message); }));
    STRCMP_EQUAL("", servers.back()->Listen(context).c_str());
    return servers.back()->port();
  }

  void StartEntry(Duration shutdown_grace = NodeSettings().shutdown_grace) {
    NodeSettings settings = SettingsOf(node_ip);
    settings.callers = SocketAddress{node_ip, kHttpPort};
    settings.readiness = SocketAddress{node_ip, kReadinessPort};
    settings.relay = SocketAddress{node_ip, kRelayPort};
    settings.seeds = {SocketAddress{peer_ip, kHttpPort}};
    settings.shutdown_grace = shutdown_grace;
    entry = std::make_unique<EntryNode>(settings, codec, metrics, context);
    STRCMP_EQUAL("", entry->Start().c_str());
  }
};

/// An entry instance with one endpoint, which holds its calls.
struct HeldCallsFixture : public NodeFixture {
  std::vector<HttpExchangePtr> held;

  void teardown() override {
    held.clear();
    NodeFixture::teardown();
  }

  /// All `endpoints` have one address.
  /// `keeps_origins`: the peer says that it keeps origins of streams, but
  /// confirms none.
  void Start(Duration shutdown_grace, const std::string& document, int slots,
             bool keeps_origins = true, int endpoints = 1) {
    const std::uint16_t port = StartServer(
        [this](HttpExchangePtr call) { held.push_back(std::move(call)); });
    StartEntry(shutdown_grace);
    bool applied = false;
    peer->on_message = [&, port](const proto::NodeMessage& message) {
      if (!message.has_follow()) return;
      applied |= message.follow().configuration_version() == 1;
      proto::NodeMessage answer;
      auto* update = answer.mutable_update();
      update->set_registry_epoch(1);
      update->mutable_configuration()->set_version(1);
      update->mutable_configuration()->set_document(document);
      update->set_keeps_origins(keeps_origins);
      for (int i = 0; i < endpoints; ++i) {
        proto::EndpointRecord* record = update->add_records();
        *record = Endpoint("e" + std::to_string(i), "dc1", port);
        record->set_slots(slots);
        record->set_software_version("v1");
      }
      peer->link.Send(InstanceId(node_ip), answer);
    };
    CHECK_TRUE(RunUntil([&] { return applied; }));
    peer->on_message = nullptr;
  }
};

/// One route /0/ for streams that go on elsewhere if their endpoint fails.
inline std::string ResumableStreamDocument(int timeout_ms) {
  return R"({"version":1,"services":[{"name":"s"}],"routes":[{"name":"r",)"
         R"("host":"a.example","path-prefix":"/0/","kind":"stream",)"
         R"("timeout-ms":)" +
         std::to_string(timeout_ms) +
         R"(,"attempts":2,"service":"s","resumable":true}]})";
}

}  // namespace cassiausher

#endif  // TESTS_MAIN_NODE_NODE_FIXTURE_H_
