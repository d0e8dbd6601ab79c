// Failure detection, refutation, reachability of data centres, and rejection of
// invalid messages.
#include "servers/membership/membership.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <algorithm>

#include "tests/membership/cluster.h"

using namespace cassiausher;  // NOLINT

namespace {

InstanceId Name(int number) {
  return InstanceId("instance-" + std::to_string(number));
}

void StartAll(Cluster& cluster) {
  for (auto& [id, node] : cluster.nodes) cluster.Start(id);
}

bool RunUntilConverged(Cluster& cluster, Duration limit) {
  const Time end = cluster.now + limit;
  while (cluster.now < end) {
    cluster.Run(Milliseconds(500));
    if (cluster.Converged()) return true;
  }
  return false;
}

int CountEvents(const Node& node, MembershipEventKind kind) {
  return static_cast<int>(
      std::count_if(node.events.begin(), node.events.end(),
                    [kind](const auto& event) { return event.kind == kind; }));
}

}  // namespace

TEST_GROUP(Membership){};

// Guards against a crashed instance that any member of its data centre, of up
// to 70 members, still takes for live after 2 s.
TEST(Membership, CrashedInstanceIsDeclaredDeadWithinTwoSeconds) {
  for (const int size : {2, 3, 7, 70}) {
    Duration worst{0};
    const int runs = size == 70 ? 6 : 30;
    for (int seed = 1; seed <= runs; ++seed) {
      Cluster cluster({size}, seed);
      StartAll(cluster);
      CHECK(RunUntilConverged(cluster, Seconds(30)));
      cluster.Run(Duration(cluster.random.Below(500'000)));
      const InstanceId victim = Name(seed % size);
      cluster.Crash(victim);
      const Time died = cluster.now;
      cluster.Run(Seconds(4));
      for (auto& [id, node] : cluster.nodes) {
        if (id == victim) continue;
        const auto found = std::find_if(
            node.events.rbegin(), node.events.rend(), [&](const auto& event) {
              return event.kind == MembershipEventKind::kDead &&
                     event.member == victim;
            });
        CHECK(found != node.events.rend());
        worst = std::max(worst, Duration(found->at - died));
      }
    }
    fmt::print(
        "detection by every member, {} members: worst {:.0f} ms in {} "
        "runs\n",
        size, ToMilliseconds(worst), runs);
    CHECK(worst <= Seconds(2));
  }
}

// Guards against members that exceed the byte budget or send more than 3000 B/s
// when idle in large deployments; prints the traffic and CPU time per member.
TEST(Membership, TrafficStaysWithinByteBudget) {
  struct Shape {
    int data_centres;
    int per_data_centre;
  };
  for (const Shape shape :
       {Shape{1, 7}, Shape{2, 25}, Shape{5, 40}, Shape{5, 80}}) {
    Cluster cluster(std::vector<int>(shape.data_centres, shape.per_data_centre),
                    1);
    StartAll(cluster);
    const Time start = cluster.now;
    CHECK(RunUntilConverged(cluster, Seconds(60)));
    const double join_seconds = ToSeconds(cluster.now - start);
    std::map<InstanceId, std::uint64_t> before;
    std::map<InstanceId, std::uint64_t> received;
    cluster.Run(Seconds(10));
    for (auto& [id, node] : cluster.nodes) {
      before[id] = node.membership->counters().bytes_sent;
      received[id] = node.membership->counters().bytes_received;
    }
    cluster.measure_cpu = true;
    constexpr int kSeconds = 10;
    cluster.Run(Seconds(kSeconds));
    double mean = 0, worst = 0, worst_both = 0, cpu = 0;
    for (auto& [id, node] : cluster.nodes) {
      const auto& counters = node.membership->counters();
      const double sent = double(counters.bytes_sent - before[id]) / kSeconds;
      const double both =
          sent + double(counters.bytes_received - received[id]) / kSeconds;
      mean += sent / double(cluster.nodes.size());
      worst = std::max(worst, sent);
      worst_both = std::max(worst_both, both);
      cpu += node.cpu_seconds / kSeconds / double(cluster.nodes.size());
      CHECK(!node.budget_exceeded);
    }
    fmt::print(
        "{} members in {} data centres: joined after {:.1f} s; idle, per "
        "node: sent {:.0f} B/s (most {:.0f}), most sent and received {:.0f} "
        "B/s, {:.2f} ms CPU per s\n",
        cluster.nodes.size(), shape.data_centres, join_seconds, mean, worst,
        worst_both, cpu * 1e3);
    CHECK(worst <= 3000);
  }
}

// Guards against a paused process that declares the others dead when it
// resumes, since it took its own pause for their silence, and against one that
// the others keep listing as dead afterwards.
TEST(Membership, ResumedInstanceSuspectsNobodyAndRefutesItsDeath) {
  Cluster cluster({7}, 3);
  StartAll(cluster);
  CHECK(RunUntilConverged(cluster, Seconds(20)));
  cluster.Pause(Name(2), Seconds(20));
  cluster.Run(Seconds(10));
  CHECK(cluster.StateAt(Name(0), Name(2)) == MemberState::kDead);
  cluster.nodes.at(Name(2)).events.clear();
  cluster.Run(Seconds(15));
  const Node& paused = cluster.nodes.at(Name(2));
  LONGS_EQUAL(0, CountEvents(paused, MembershipEventKind::kDead));
  LONGS_EQUAL(0, CountEvents(paused, MembershipEventKind::kSuspect));
  CHECK(paused.membership->counters().pauses > 0);
  CHECK(paused.membership->counters().refutations > 0);
  CHECK(cluster.Converged());
}

// Guards against a process that is paused while it suspects another, and on
// resuming counts its own pause towards the suspicion timeout.
TEST(Membership, PauseOfObserverDoesNotExpireSuspicion) {
  int paused = 0;
  for (int seed = 1; seed <= 40; ++seed) {
    Cluster cluster({7}, seed);
    StartAll(cluster);
    CHECK(RunUntilConverged(cluster, Seconds(20)));
    cluster.Pause(Name(1), Milliseconds(500));
    for (int ms = 0; ms < 500; ++ms) {
      cluster.Run(Milliseconds(1));
      if (cluster.StateAt(Name(2), Name(1)) == MemberState::kSuspect) break;
    }
    if (cluster.StateAt(Name(2), Name(1)) != MemberState::kSuspect) continue;
    cluster.Pause(Name(2), Seconds(5));
    cluster.Run(Milliseconds(4900));
    // The first pause was too short for the others to declare a death.
    CHECK(cluster.StateAt(Name(0), Name(1)) == MemberState::kAlive);
    ++paused;
    cluster.nodes.at(Name(2)).events.clear();
    cluster.Run(Seconds(5));
    LONGS_EQUAL(
        0, CountEvents(cluster.nodes.at(Name(2)), MembershipEventKind::kDead));
    CHECK(cluster.Converged());
  }
  CHECK(paused >= 5);
}

// Guards against a data centre that is cut off and whose instances are declared
// dead.
TEST(Membership, DataCentreCutOffIsUnreachableAndNotDead) {
  Cluster cluster({5, 5, 5}, 4);
  StartAll(cluster);
  CHECK(RunUntilConverged(cluster, Seconds(30)));
  const DataCentreId away("centre-2");
  const std::set<InstanceId> inside = cluster.InstancesIn(away);
  std::set<InstanceId> outside;
  for (auto& [id, node] : cluster.nodes) {
    if (inside.count(id) == 0) outside.insert(id);
    node.events.clear();
  }
  cluster.Cut(inside, outside, true);
  cluster.Run(Seconds(8));
  for (auto& [id, node] : cluster.nodes) {
    LONGS_EQUAL(0, CountEvents(node, MembershipEventKind::kDead));
    const bool is_inside = inside.count(id) > 0;
    LONGS_EQUAL(is_inside ? 2 : 1,
                CountEvents(node, MembershipEventKind::kDataCentreUnreachable));
    CHECK(node.membership->Reachable(away) == is_inside);
  }
  cluster.Heal();
  CHECK(RunUntilConverged(cluster, Seconds(10)));
}

// Guards against sides of a partition that find each other again only through a
// seed: here the seed has crashed.
TEST(Membership, PartitionHealsWithoutLiveSeed) {
  Cluster cluster({6}, 9);
  StartAll(cluster);
  CHECK(RunUntilConverged(cluster, Seconds(20)));
  cluster.Crash(Name(0));
  cluster.Cut({Name(1), Name(2)}, {Name(3), Name(4), Name(5)}, true);
  cluster.Run(Seconds(20));
  CHECK(cluster.StateAt(Name(1), Name(3)) == MemberState::kDead);
  cluster.Heal();
  CHECK(RunUntilConverged(cluster, Seconds(20)));
}

// Guards against members that stay listed as dead after a partition inside a
// data centre, and against a byte budget exceeded when several instances crash
// at once.
TEST(Membership, ConvergesAfterPartitionAndRackFailure) {
  Cluster cluster({20, 20, 20}, 8);
  StartAll(cluster);
  CHECK(RunUntilConverged(cluster, Seconds(60)));
  std::set<InstanceId> halves[2];
  for (const InstanceId& id : cluster.InstancesIn(DataCentreId("centre-0"))) {
    halves[halves[0].size() > halves[1].size()].insert(id);
  }
  cluster.Cut(halves[0], halves[1], true);
  cluster.Run(Seconds(30));
  CHECK(!cluster.Converged());
  cluster.Heal();
  Time start = cluster.now;
  CHECK(RunUntilConverged(cluster, Seconds(20)));
  fmt::print(
      "20 members in two halves for 30 s: converged {:.1f} s after "
      "healing\n",
      ToSeconds(cluster.now - start));
  for (int i = 20; i < 25; ++i) cluster.Crash(Name(i));
  start = cluster.now;
  CHECK(RunUntilConverged(cluster, Seconds(20)));
  fmt::print("5 of 20 members die at once: known everywhere after {:.1f} s\n",
             ToSeconds(cluster.now - start));
  for (auto& [id, node] : cluster.nodes) CHECK(!node.budget_exceeded);
}

// Guards against a restarted instance taken for its earlier run, and against a
// departure that is announced but listed as a death.
TEST(Membership, RestartAndLeaveAreDistinguishedFromDeath) {
  Cluster cluster({4, 4}, 5);
  StartAll(cluster);
  CHECK(RunUntilConverged(cluster, Seconds(20)));
  Node& observer = cluster.nodes.at(Name(1));
  observer.events.clear();
  cluster.Crash(Name(2));
  cluster.Run(Milliseconds(50));
  cluster.Start(Name(2));
  CHECK(RunUntilConverged(cluster, Seconds(10)));
  LONGS_EQUAL(1, CountEvents(observer, MembershipEventKind::kRestarted));
  cluster.Leave(Name(3));
  cluster.Run(Seconds(4));
  for (auto& [id, node] : cluster.nodes) {
    if (node.membership == nullptr) continue;
    CHECK(cluster.StateAt(id, Name(3)) == MemberState::kLeft);
  }
}

// Guards against payload changes that don't reach all members, and payloads
// above the size limit.
TEST(Membership, PayloadReachesAllMembersAndIsBounded) {
  Cluster cluster({4, 4}, 6);
  StartAll(cluster);
  CHECK(RunUntilConverged(cluster, Seconds(20)));
  CHECK(!cluster.At(Name(0)).SetPayload({{"v", std::string(300, 'x')}},
                                        cluster.now));
  CHECK(cluster.At(Name(0)).SetPayload({{"revision", "12"}}, cluster.now));
  cluster.Run(Seconds(5));
  for (auto& [id, node] : cluster.nodes) {
    for (const MemberRow& row : node.membership->Members()) {
      if (row.id != Name(0)) continue;
      STRCMP_EQUAL("12", row.payload.at("revision").c_str());
    }
  }
}

// Guards against malformed, replayed, stale and misaddressed messages that
// change the state or crash the process.
TEST(Membership, InvalidMessagesAreCountedAndDropped) {
  Cluster cluster({3}, 7);
  StartAll(cluster);
  CHECK(RunUntilConverged(cluster, Seconds(20)));
  std::vector<proto::MembershipMessage> seen;
  cluster.on_step = [&](Node& node, const MembershipOutputs& outputs) {
    for (const auto& send : outputs.messages) {
      if (node.id == Name(1) && send.to == Name(0)) {
        seen.push_back(send.message);
      }
    }
  };
  cluster.Run(Seconds(5));
  CHECK(seen.size() > 2);
  Membership& target = cluster.At(Name(0));
  const auto before = target.counters();
  target.OnMessage(seen.back(), cluster.now);
  LONGS_EQUAL(before.replayed + 1, target.counters().replayed);
  auto message = seen.back();
  message.set_incarnation(1);
  target.OnMessage(message, cluster.now);
  LONGS_EQUAL(before.stale + 1, target.counters().stale);
  message = seen.back();
  message.set_deployment(9);
  target.OnMessage(message, cluster.now);
  LONGS_EQUAL(before.foreign + 1, target.counters().foreign);
  message = seen.back();
  message.set_sender("stranger");
  target.OnMessage(message, cluster.now);
  LONGS_EQUAL(before.unknown_sender + 1, target.counters().unknown_sender);
  target.OnMessage(proto::MembershipMessage(), cluster.now);
  message = seen.back();
  message.add_records()->set_name(std::string(100, 'n'));
  target.OnMessage(message, cluster.now);
  message = seen.back();
  message.set_sequence(1u << 20);
  message.add_records()->set_name("instance-2");
  message.mutable_records(message.records_size() - 1)
      ->set_incarnation(std::uint64_t{1} << 63);
  target.OnMessage(message, cluster.now);
  // An unknown sender that introduces itself without an address, or as dead.
  message = seen.back();
  message.set_sender("stranger");
  message.mutable_self()->set_name("stranger");
  message.mutable_self()->set_data_centre("centre-0");
  message.mutable_self()->set_incarnation(1);
  target.OnMessage(message, cluster.now);
  message.mutable_self()->set_address("127.0.0.1:1");
  message.mutable_self()->set_state(proto::MEMBER_DEAD);
  target.OnMessage(message, cluster.now);
  LONGS_EQUAL(before.malformed + 4, target.counters().malformed);
  LONGS_EQUAL(before.foreign + 2, target.counters().foreign);
  // Randomly corrupted messages that still parse.
  for (int i = 0; i < 20000; ++i) {
    std::string bytes = seen.back().SerializeAsString();
    for (int flips = 0; flips < 3; ++flips) {
      bytes[cluster.random.Below(bytes.size())] =
          static_cast<char>(cluster.random.Below(256));
    }
    proto::MembershipMessage mutated;
    if (mutated.ParseFromString(bytes)) target.OnMessage(mutated, cluster.now);
  }
  target.TakeOutputs();
  CHECK(RunUntilConverged(cluster, Seconds(30)));
}
