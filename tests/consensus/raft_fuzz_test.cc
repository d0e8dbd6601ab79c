// Fuzz test. Guards against messages that crash the process: corrupted copies
// of real messages and random bytes are decoded and passed to a replica, which
// may reject them but must keep working.
#include <CppUTest/TestHarness.h>
#include <google/protobuf/stubs/logging.h>

#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

#include "core/random.h"
#include "tests/consensus/group.h"

using namespace cassiausher;  // NOLINT: test file

namespace {

constexpr int kCorruptedMessages = 400000;

/// Messages of every kind, recorded from a group during bootstrap, election,
/// replication, a snapshot transfer and a leadership transfer.
std::vector<std::string> RealMessages() {
  std::vector<std::string> messages;
  Group group({"a", "b", "c"});
  group.observer = [&](const proto::RaftMessage& message) {
    messages.push_back(message.SerializeAsString());
  };
  group.Run(Seconds(3));
  const std::string behind = group.Leader() == "c" ? "b" : "c";
  group.disconnected = {behind};
  for (int i = 0; i < 10; ++i) {
    group.LeaderRaft().Propose(std::to_string(i), group.now);
    group.Settle();
  }
  group.LeaderRaft().Compact(group.LeaderRaft().applied_index(), "some state");
  group.disconnected.clear();
  group.Run(Seconds(2));
  group.LeaderRaft().TransferLeadership({}, group.now);
  group.Run(Seconds(1));
  return messages;
}

std::string Corrupt(std::string bytes, Random& random) {
  const std::uint64_t changes = 1 + random.Below(3);
  for (std::uint64_t i = 0; i < changes && !bytes.empty(); ++i) {
    const std::size_t at = random.Below(bytes.size());
    switch (random.Below(4)) {
      case 0:
        bytes[at] = static_cast<char>(random.Below(256));
        break;
      case 1:
        bytes.resize(at);
        break;
      case 2:
        bytes[at] = static_cast<char>(bytes[at] ^ (1 << random.Below(8)));
        break;
      default:
        bytes.insert(at, 1, static_cast<char>(random.Below(256)));
    }
  }
  return bytes;
}

}  // namespace

TEST_GROUP(RaftFuzz) {
  // Protobuf logs a line for each string that is not valid UTF-8.
  google::protobuf::LogSilencer silencer;
};

TEST(RaftFuzz, CorruptedMessagesAreRejectedWithoutACrash) {
  const std::vector<std::string> real = RealMessages();
  std::uint64_t decoded = 0;
  RaftCounters rejected;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Random random(seed);
    Group group({"a", "b", "c"});
    group.Run(Seconds(3));
    for (int i = 0; i < 5; ++i) group.LeaderRaft().Propose("x", group.now);
    group.Run(Seconds(1));
    // So that messages also refer to compacted entries.
    for (auto& [name, node] : group.nodes) {
      CHECK(node.raft->Compact(node.raft->applied_index() - 2, "state"));
    }
    for (int i = 0; i < kCorruptedMessages / 20; ++i) {
      const std::string bytes =
          Corrupt(real[random.Below(real.size())], random);
      proto::RaftMessage message;
      if (!message.ParseFromString(bytes)) continue;
      ++decoded;
      // Otherwise the checks of destination, group and term would reject most
      // corrupted messages.
      Raft& raft = group.At(std::string(1, "abc"[random.Below(3)]));
      if (random.Chance(0.7)) {
        *message.mutable_to() = ToProto(raft.replica());
        message.set_group(raft.configuration().group);
      }
      if (random.Chance(0.7)) message.set_term(raft.term() + random.Below(2));
      raft.Step(message, group.now);
      if (random.Chance(0.1)) group.Settle();
      if (random.Chance(0.02)) group.Run(Milliseconds(300));
    }
    for (const auto& [name, node] : group.nodes) {
      rejected.malformed += node.raft->counters().malformed;
      rejected.non_member += node.raft->counters().non_member;
      rejected.unsafe += node.raft->counters().unsafe;
      rejected.stale += node.raft->counters().stale;
    }
  }
  std::printf(
      "%lu corrupted messages decoded; rejected as malformed %lu, "
      "non-member %lu, unsafe %lu, stale %lu\n",
      decoded, rejected.malformed, rejected.non_member, rejected.unsafe,
      rejected.stale);
  CHECK(decoded > kCorruptedMessages / 10);
  CHECK(rejected.malformed > 0 && rejected.stale > 0);
}

TEST(RaftFuzz, RandomBytesAreRejectedWithoutACrash) {
  Random random(1);
  Group group({"a", "b", "c"});
  group.Run(Seconds(3));
  for (int i = 0; i < 100000; ++i) {
    std::string bytes(random.Below(64), '\0');
    for (char& byte : bytes) byte = static_cast<char>(random.Below(256));
    proto::RaftMessage message;
    if (!message.ParseFromString(bytes)) continue;
    group.At("a").Step(message, group.now);
    group.Settle();
  }
  CHECK(group.LeaderRaft().Propose("still works", group.now).accepted());
  group.Settle();
  CHECK(group.Applied("a", "still works"));
}
