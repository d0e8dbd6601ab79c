// Guards against a relay that closes the connections it should only silence:
// the router would then get an error instead of no data.
#include "tools/load/silent_relay/silent_relay.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <string>

#include "tests/tools/raw_http_client.h"
#include "tools/fake_endpoint/fake_endpoint.h"

using cassiausher::FakeEndpoint;
using cassiausher::RawHttpClient;
using cassiausher::RunUntil;
using cassiausher::SilentRelay;

TEST_GROUP(SilentRelay) {
  FakeEndpoint endpoint{{.step_ms = 5, .output_tokens = 40}};
  std::string relay_url;

  void Start(SilentRelay & relay) {
    STRCMP_EQUAL("", relay.Start("127.0.0.1:0").c_str());
    relay_url = fmt::format("http://127.0.0.1:{}", relay.port());
  }
  std::string Target() {
    STRCMP_EQUAL("", endpoint.Start().c_str());
    return endpoint.url().substr(std::string("http://").size());
  }
};

TEST(SilentRelay, SilencedConnectionsStayOpenAndNewOnesWork) {
  SilentRelay relay(Target());
  Start(relay);
  const std::string body = R"({"prompt":"abc","stream":true})";
  RawHttpClient silenced(relay_url, "/v1/completions", body);
  CHECK(silenced.WaitFor("id: 2\n"));
  LONGS_EQUAL(1, relay.SilenceOpenConnections());
  silenced.Poll();
  const std::string before = silenced.received();
  RawHttpClient working(relay_url, "/v1/completions", body);
  CHECK(working.WaitFor("[DONE]"));
  silenced.Poll();
  STRCMP_EQUAL(before.c_str(), silenced.received().c_str());
  CHECK(!silenced.closed_by_server());
}

TEST(SilentRelay, ClientCloseIsForwarded) {
  SilentRelay relay(Target());
  Start(relay);
  RawHttpClient client(relay_url, "/v1/completions",
                       R"({"prompt":"abc","stream":true})");
  CHECK(client.WaitFor("id: 2\n"));
  client.Close();
  CHECK(RunUntil([&] { return endpoint.State()["held_sessions"] == 0; }));
}

TEST(SilentRelay, InvalidListenAddressIsReported) {
  SilentRelay relay("127.0.0.1:1");
  CHECK(!relay.Start("nowhere.invalid:0").empty());
}
