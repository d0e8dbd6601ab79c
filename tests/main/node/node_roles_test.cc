// Guards against control instances that send the configuration again with each
// change of the registry or take heartbeats without limit, and against entry
// instances that answer by a version which they know is not the newest.
#include <stdlib.h>
#include <sys/inotify.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/compression.h"
#include "main/node/control_node.h"
#include "modules/file_log/register_types.h"
#include "tests/main/node/control_fixture.h"

using namespace cassiausher;  // NOLINT: test file

TEST_GROUP_BASE(NodeRoles, ControlFixture) {
  /// Of the log, as the control node reports them.
  proto::Members members;

  void SendMembers() {
    proto::NodeMessage message;
    auto* sync = message.mutable_sync();
    if (members.commit() > 0) *sync->mutable_members() = members;
    peer->link.Send(InstanceId(node_ip), message);
    RunFor(Milliseconds(100));
  }
  void LearnMembers() {
    peer->on_message = [&](const proto::NodeMessage& message) {
      if (message.has_sync() && message.sync().has_members()) {
        members = message.sync().members();
      }
    };
    CHECK_TRUE(RunUntil([&] {
      SendMembers();
      return members.commit() > 0;
    }));
    peer->on_message = nullptr;
  }
  /// Puts the peer in the place of the control node.
  void ReplaceVoter() {
    members.set_commit(members.commit() + 1);
    members.mutable_configuration()->mutable_voters(0)->set_instance(peer_ip);
  }
};

// An Update to an entry instance that had just started was dropped, since the
// connection to it didn't stand yet, and the next one followed half a second
// later.
TEST(NodeRoles, AFollowerThatHasJustStartedGetsTheAnswerToItsFirstFollow) {
  StartControl();
  bool answered = false;
  peer->on_message = [&](const proto::NodeMessage& message) {
    answered |= message.has_update();
  };
  CHECK_TRUE(RunUntil([&] { return peer->link.CanSend(InstanceId(node_ip)); }));
  proto::NodeMessage follow;
  follow.mutable_follow();
  peer->link.Send(InstanceId(node_ip), follow);
  CHECK_TRUE(RunUntil([&] { return answered; }));
  // The same with the connection to its predecessor.
  peer.reset();
  RunFor(Milliseconds(300));
  answered = false;
  peer = std::make_unique<Peer>(peer_ip, 2);
  peer->on_message = [&](const proto::NodeMessage& message) {
    answered |= message.has_update();
  };
  STRCMP_EQUAL("", peer->link.Listen(context).c_str());
  CHECK_TRUE(RunUntil([&] { return peer->link.CanSend(InstanceId(node_ip)); }));
  peer->link.Send(InstanceId(node_ip), follow);
  CHECK_TRUE(RunUntil([&] { return answered; }));
}

// The first Follow was dropped, since no connection stood yet, and the next one
// followed half a second later. Until then every caller was refused.
TEST(NodeRoles, AnEntryInstanceFollowsOnceItIsConnected) {
  bool followed = false;
  peer->on_message = [&](const proto::NodeMessage& message) {
    followed |= message.has_follow();
  };
  bool soon = false;
  // A busy machine may delay one of them.
  for (int i = 0; i < 5 && !soon; ++i) {
    entry.reset();
    followed = false;
    const gint64 started = g_get_monotonic_time();
    StartEntry();
    CHECK_TRUE(RunUntil([&] { return followed; }));
    soon = Duration(g_get_monotonic_time() - started) < Milliseconds(400);
  }
  CHECK_TRUE(soon);
}

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
    peer->link.Send(InstanceId(node_ip), follow);
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

// Guards against endpoints that crashed and get calls for 4 s again, since a
// control instance that restarted took the records of others for heartbeats,
// or had none yet and named nobody as silent.
TEST(NodeRoles, ARestartedControlInstanceKnowsSilentEndpoints) {
  StartControl();
  CHECK_TRUE(AwaitUpdate().registry_incomplete());
  proto::NodeMessage message;
  auto* sync = message.mutable_sync();
  sync->set_whole_registry(true);
  auto* record = sync->add_records();
  *record = Endpoint("e1", "dc1", 80);
  record->set_seen_age_ms(10'000);
  peer->link.Send(InstanceId(node_ip), message);
  RunFor(Milliseconds(100));
  const proto::Update update = AwaitUpdate();
  CHECK_FALSE(update.registry_incomplete());
  LONGS_EQUAL(1, update.silent_endpoints_size());
}

// Guards against calls to an endpoint that crashed, while another one already
// sends heartbeats from its address.
TEST(NodeRoles, AnEndpointExpiresWhenAnotherOneHasItsAddress) {
  StartControl();
  LONGS_EQUAL(200, Call("PUT", "/api/instances/e1", Heartbeat(7, 30)));
  LONGS_EQUAL(200, Call("PUT", "/api/instances/e2", Heartbeat(7, 1)));
  const proto::Update update = AwaitUpdate();
  LONGS_EQUAL(1, update.silent_endpoints_size());
  STRCMP_EQUAL("e1", update.silent_endpoints(0).c_str());
}

// Guards against the refusal of a configuration that an earlier build, which
// told hosts apart by their case, has acknowledged.
TEST(NodeRoles, AConfigurationInForceIsAcknowledgedAgain) {
  StartControl();
  std::string document = Document(1, 2);
  document.replace(document.rfind("a.example"), 1, "A");
  document.replace(document.rfind("/1/"), 3, "/0/");
  LONGS_EQUAL(400, Call("PUT", "/api/config", document));
  // As an earlier build submits it to the leader.
  proto::NodeMessage message;
  auto* submit = message.mutable_submit_document();
  submit->set_submission(1);
  submit->mutable_document()->set_version(1);
  submit->mutable_document()->set_document(document);
  CHECK_TRUE(RunUntil([&] {
    peer->link.Send(InstanceId(node_ip), message);
    RunFor(Milliseconds(100));
    return Call("GET", "/api/config", "") == 200;
  }));
  LONGS_EQUAL(200, Call("PUT", "/api/config", document));
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
    peer->link.Send(InstanceId(node_ip), fetch);
    RunFor(Milliseconds(100));
    return !compressed.empty();
  }));
  // Lines of one kind repeat their names, so a document takes less than a
  // tenth.
  CHECK_TRUE(compressed.size() < document.size() / 10);
  CHECK_TRUE(Decompress(compressed, document.size()) == document);
}

// A snapshot that was made between two entries of a batch counted as the state
// after all of them: a restart brought an older configuration back.
TEST(NodeRoles, ABurstOfChangesOutlastsARestart) {
  constexpr int kChanges = 100;
  StartControl();
  CHECK_TRUE(RunUntil(
      [&] { return Call("PUT", "/api/config", Document(1, 1)) == 200; }));
  std::vector<Response> answers(kChanges);
  for (int i = 0; i < kChanges; ++i) {
    client->Start(MakeCall("PUT", "/api/config", Document(i + 2, 1)),
                  &answers[i]);
  }
  CHECK_TRUE(RunUntil([&] {
    return std::all_of(answers.begin(), answers.end(),
                       [](const Response& answer) { return answer.done; });
  }));
  LONGS_EQUAL(200, answers.back().status);
  control.reset();
  StartControl({node_ip}, false);
  CHECK_TRUE(RunUntil([&] { return Call("GET", "/api/config", "") == 200; }));
  STRCMP_EQUAL(Document(kChanges + 1, 1).c_str(), response.body.c_str());
}

// A voter whose disk was full was replaced, and crashed when it couldn't start
// its replica anew: found by a day of large configurations and a full disk.
TEST(NodeRoles, ReplacedReplicaWaitsForItsDisk) {
  StartControl();
  CHECK_TRUE(RunUntil(
      [&] { return Call("PUT", "/api/config", Document(1, 1)) == 200; }));
  LearnMembers();
  // A file in place of the folder makes every write fail.
  std::filesystem::remove_all(folder);
  CHECK_TRUE(std::ofstream(folder).put('x').good());
  ReplaceVoter();
  for (int i = 0; i < 5; ++i) SendMembers();
  LONGS_EQUAL(503, Call("GET", "/api/config", ""));
  LONGS_EQUAL(200, Call("PUT", "/api/instances/e1", Heartbeat(1)));
  std::filesystem::remove(folder);
  CHECK_TRUE(RunUntil([&] {
    RunFor(Milliseconds(100));
    return std::filesystem::exists(folder + "/log");
  }));
}

// A kill while the log of a replaced replica was removed in its place left a
// part of it, which was refused as damaged at each later start.
TEST(NodeRoles, ReplacedLogIsMovedAwayBeforeItIsRemoved) {
  StartControl();
  CHECK_TRUE(RunUntil(
      [&] { return Call("PUT", "/api/config", Document(1, 1)) == 200; }));
  LearnMembers();
  const int watch = inotify_init1(IN_NONBLOCK | IN_CLOEXEC);
  inotify_add_watch(watch, (folder + "/log").c_str(), IN_MOVE_SELF | IN_DELETE);
  ReplaceVoter();
  alignas(inotify_event) std::array<char, 4096> events{};
  CHECK_TRUE(RunUntil([&] {
    SendMembers();
    return read(watch, events.data(), events.size()) > 0;
  }));
  close(watch);
  const auto* first = reinterpret_cast<const inotify_event*>(events.data());
  LONGS_EQUAL(IN_MOVE_SELF, first->mask);
}

// Guards against a control instance that answers no operator because it is a
// spare: it isn't a member of the log and hears nothing from the leader's Raft.
TEST(NodeRoles, SpareSendsOperatorsCallsToTheLeader) {
  StartControl({node_ip, peer_ip});
  peer->on_message = [&](const proto::NodeMessage& message) {
    if (!message.has_read_current()) return;
    proto::NodeMessage answer;
    auto* result = answer.mutable_read_result();
    result->set_read(message.read_current().read());
    result->set_served(true);
    result->mutable_document()->set_version(3);
    result->mutable_document()->set_document("{}");
    peer->link.Send(InstanceId(node_ip), answer);
  };
  CHECK_TRUE(RunUntil([&] {
    proto::NodeMessage message;
    auto* members = message.mutable_sync()->mutable_members();
    members->set_commit(5);
    members->mutable_configuration()->set_group(1);
    auto* voter = members->mutable_configuration()->add_voters();
    voter->set_instance(peer_ip);
    voter->set_storage(1);
    peer->link.Send(InstanceId(node_ip), message);
    RunFor(Milliseconds(100));
    return Call("GET", "/api/config", "") == 200;
  }));
}

// Guards against a control instance that takes the leader's answer to a call of
// its previous process, which was killed, for the answer to one of its own: a
// change was acknowledged before it was committed, and a read showed an older
// version.
TEST(NodeRoles, AnswersToAnEarlierProcessAreIgnored) {
  StartControl({node_ip, peer_ip});
  GSource* timer = g_timeout_source_new(50);
  g_source_set_callback(
      timer,
      [](gpointer data) -> gboolean {
        // The calls of a process that served a few before it was killed.
        for (std::uint64_t id = 1; id <= 10; ++id) {
          proto::NodeMessage submitted;
          submitted.mutable_submit_result()->set_submission(id);
          submitted.mutable_submit_result()->set_committed(true);
          static_cast<Peer*>(data)->link.Send(InstanceId(node_ip), submitted);
          proto::NodeMessage read;
          read.mutable_read_result()->set_read(id);
          read.mutable_read_result()->set_served(true);
          read.mutable_read_result()->mutable_document()->set_version(1);
          static_cast<Peer*>(data)->link.Send(InstanceId(node_ip), read);
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
    peer->link.Send(InstanceId(node_ip), answer);
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
    peer->link.Send(InstanceId(node_ip), answer);
  };
  CHECK_TRUE(RunUntil([&] { return applied; }));
  LONGS_EQUAL(200, Call("GET", "/0/", ""));
  LONGS_EQUAL(1, held.size());
  last.Clear();
  CHECK_TRUE(RunUntil([&] { return last.configuration_version() == 1; }));
  LONGS_EQUAL(0, last.loads_size());
}
