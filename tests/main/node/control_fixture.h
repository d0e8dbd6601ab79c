// Runs a control instance, whose log is on disk, with stand-ins for its peer
// and its endpoints.
#ifndef TESTS_MAIN_NODE_CONTROL_FIXTURE_H_
#define TESTS_MAIN_NODE_CONTROL_FIXTURE_H_

#include <stdlib.h>

#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "main/node/control_node.h"
#include "modules/file_log/register_types.h"
#include "tests/main/node/node_fixture.h"

namespace cassiausher {

inline std::string Heartbeat(int host, int sequence = 1,
                             const std::string& state = "ready") {
  return R"({"service":"s","address":"10.9.0.)" + std::to_string(host) +
         R"(:80","zone":"dc1","slots":4,"state":")" + state + R"(","seq":)" +
         std::to_string(sequence) + "}";
}

struct ControlFixture : public NodeFixture {
  std::string folder;
  std::unique_ptr<ControlNode> control;

  void setup() override {
    NodeFixture::setup();
    char name[] = "/tmp/cassiausher-node-XXXXXX";
    folder = mkdtemp(name);
  }

  void teardown() override {
    control.reset();
    NodeFixture::teardown();
    std::filesystem::remove_all(folder);
  }

  /// `seeds` bootstrap the log; with several, the control node has no leader.
  void StartControl(const std::vector<std::string>& seeds = {node_ip},
                    bool first_start = true) {
    static const bool registered = (RegisterFileLog(), true);
    CHECK_TRUE(registered);
    NodeSettings settings = SettingsOf(node_ip);
    settings.control = SocketAddress{node_ip, kHttpPort};
    for (const std::string& seed : seeds) {
      settings.seeds.push_back({seed, kHttpPort});
    }
    settings.first_start = first_start;
    settings.data_folder = folder;
    control = std::make_unique<ControlNode>(settings, codec, metrics, context);
    STRCMP_EQUAL("", control->Start().c_str());
  }

  /// The control node's next Update, for the peer as a follower.
  proto::Update AwaitUpdate() {
    std::optional<proto::Update> update;
    peer->on_message = [&](const proto::NodeMessage& message) {
      if (message.has_update()) update = message.update();
    };
    CHECK_TRUE(RunUntil([&] {
      proto::NodeMessage follow;
      follow.mutable_follow();
      peer->link.Send(InstanceId(node_ip), follow);
      RunFor(Milliseconds(50));
      return update.has_value();
    }));
    peer->on_message = nullptr;
    return update.value_or(proto::Update());
  }
};

}  // namespace cassiausher

#endif  // TESTS_MAIN_NODE_CONTROL_FIXTURE_H_
