// Guards against crash evidence whose messages grow with the number of
// instances times the rate of broken calls, so that control instances run out
// of memory, and against evidence that is lost or comes too late.
#include "servers/crashes/evidence_sharing.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/random.h"

namespace cassiausher {
namespace {

constexpr TraitId kService{1};
constexpr Duration kStep = Milliseconds(5);
constexpr Duration kTickPeriod = Milliseconds(25);
constexpr int kPartners = 2;
/// Evidence may take a tenth of an entry instance's link of 10 Mbit/s.
constexpr double kMaxEntryBytesPerSecond = 125'000;
/// Half of a control instance's 0.3 cores at 30 us a message.
constexpr double kMaxControlMessagesPerSecond = 5'000;
/// A crash counts after this time.
constexpr Duration kMaxSpreadTime = Milliseconds(600);

EndpointRun Run(int number) {
  return {EndpointId("e" + std::to_string(number)), Incarnation(1)};
}

/// Of the message on the wire, roughly.
std::size_t BytesOf(const EvidenceMessage& message) {
  constexpr std::size_t kHeader = 40;
  constexpr std::size_t kTrait = 8;
  std::size_t bytes = kHeader + kHeader * message.changes.marks.size();
  for (const CrashRecord& record : message.changes.crashes) {
    bytes += kHeader;
    for (const auto& [call, broken_at] : record.crash.calls) {
      bytes += kTrait * (1 + call.size());
    }
  }
  for (const Cause& cause : message.changes.causes) {
    bytes += kTrait * (2 + cause.traits.size());
  }
  return bytes;
}

struct Node {
  Node(int number, std::uint64_t process, EvidenceScope scope)
      : id("n" + std::to_string(number)),
        process(process),
        sharing({.self = this->process, .scope = scope}, &evidence) {}

  InstanceId id;
  Incarnation process;
  CrashEvidence evidence{CrashEvidenceOptions{}};
  EvidenceSharing sharing;
  std::size_t received_bytes = 0;
  std::size_t messages = 0;
};

/// Control instances, which are all in touch, and entry instances, each of
/// which exchanges evidence with two of them.
class Fleet {
 public:
  Fleet(int controls, int entries) : controls_(controls) {
    for (int i = 0; i < controls + entries; ++i) Restart(i);
  }

  /// Its copy is lost.
  void Restart(int number) {
    const bool is_control = number < controls_;
    auto node = std::make_unique<Node>(
        number, ++processes_,
        is_control ? EvidenceScope::kAll : EvidenceScope::kObservedHere);
    if (number == static_cast<int>(nodes_.size())) nodes_.emplace_back();
    nodes_[number] = std::move(node);
  }

  Node& Entry(int number) { return *nodes_[controls_ + number]; }
  Node& Control(int number) { return *nodes_[number]; }
  int entries() const { return static_cast<int>(nodes_.size()) - controls_; }
  Time now() const { return now_; }

  void Step() {
    now_ += kStep;
    Deliver();
    if (now_.time_since_epoch() % kTickPeriod != Duration(0)) return;
    for (int i = 0; i < static_cast<int>(nodes_.size()); ++i) Tick(i);
  }

  void RunFor(Duration time) {
    for (const Time end = now_ + time; now_ < end;) Step();
  }

  /// Entry instances that know as many crashes.
  int EntriesWith(std::size_t crashes) const {
    return static_cast<int>(std::count_if(
        nodes_.begin() + controls_, nodes_.end(), [&](const auto& node) {
          return node->evidence.crashes().size() == crashes;
        }));
  }

 private:
  struct Sent {
    int from = 0;
    int to = 0;
    Incarnation process{0};
    EvidenceMessage message;
  };

  bool IsPeer(int a, int b) const {
    if (a == b) return false;
    if (a < controls_ && b < controls_) return true;
    if (a >= controls_ && b >= controls_) return false;
    const int entry = std::max(a, b);
    const int control = std::min(a, b);
    const int distance = (control - entry % controls_ + controls_) % controls_;
    return distance < kPartners;
  }

  void Tick(int number) {
    Node& node = *nodes_[number];
    for (int peer = 0; peer < static_cast<int>(nodes_.size()); ++peer) {
      if (!IsPeer(number, peer)) continue;
      node.sharing.OnPeer(nodes_[peer]->id, nodes_[peer]->process, now_);
      if (number >= controls_ && peer >= controls_) break;
    }
    for (OutgoingEvidence& outgoing : node.sharing.Tick(now_)) {
      const int to = std::stoi(outgoing.to.value().substr(1));
      ++node.messages;
      on_way_.push_back(
          {number, to, node.process, std::move(outgoing.message)});
    }
  }

  void Deliver() {
    for (Sent& sent : std::exchange(on_way_, {})) {
      Node& to = *nodes_[sent.to];
      ++to.messages;
      to.received_bytes += BytesOf(sent.message);
      to.sharing.OnMessage(nodes_[sent.from]->id, sent.process, sent.message,
                           now_);
    }
  }

  int controls_;
  std::uint64_t processes_ = 0;
  Time now_{Seconds(1000)};
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<Sent> on_way_;
};

/// Endpoints that live break off the answers of a quarter of their calls.
class BrokenAnswers {
 public:
  static constexpr int kEndpoints = 86;
  static constexpr double kBrokenPerSecond = 120;
  static constexpr double kSoundPerSecond = 360;

  void Step(Fleet* fleet) {
    Node& entry = fleet->Entry(static_cast<int>(
        random_.Below(static_cast<std::uint64_t>(fleet->entries()))));
    const EndpointRun run = Run(static_cast<int>(random_.Below(kEndpoints)));
    const TraitId part(2 + random_.Below(200));
    if (random_.Unit() < kBrokenPerSecond * ToSeconds(kStep)) {
      entry.evidence.AddCall(run, kService,
                             MakeCallTraits({part, TraitId(next_trait_++)}),
                             fleet->now());
    }
    for (int i = 0; i < kSoundPerSecond * ToSeconds(kStep); ++i) {
      entry.evidence.OnAlive(run, fleet->now());
      entry.evidence.OnSound(part, fleet->now());
    }
  }

 private:
  Random random_{7};
  std::uint64_t next_trait_ = 1000;
};

void CheckLoadOfBrokenAnswers(int controls, int entries) {
  Fleet fleet(controls, entries);
  fleet.RunFor(Seconds(1));
  BrokenAnswers broken;
  constexpr int kSeconds = 4;
  for (const Time end = fleet.now() + Seconds(kSeconds); fleet.now() < end;) {
    broken.Step(&fleet);
    fleet.Step();
  }
  for (int i = 0; i < controls; ++i) {
    CHECK_TRUE(fleet.Control(i).messages <=
               kSeconds * kMaxControlMessagesPerSecond);
  }
  for (int i = 0; i < entries; ++i) {
    CHECK_TRUE(static_cast<double>(fleet.Entry(i).received_bytes) <=
               kSeconds * kMaxEntryBytesPerSecond);
  }
}

}  // namespace

TEST_GROUP(EvidenceSharing){};

TEST(EvidenceSharing, BrokenAnswersLoadNoInstanceAt300EntryInstances) {
  CheckLoadOfBrokenAnswers(5, 300);
}

TEST(EvidenceSharing, BrokenAnswersLoadNoInstanceAt400EntryInstances) {
  CheckLoadOfBrokenAnswers(7, 400);
}

TEST(EvidenceSharing, ACrashIsKnownEverywhereBeforeItCounts) {
  Fleet fleet(5, 300);
  for (int crash = 1; crash <= 3; ++crash) {
    fleet.Entry(crash).evidence.AddCall(Run(crash), kService, {TraitId(2)},
                                        fleet.now());
    fleet.RunFor(kMaxSpreadTime);
    LONGS_EQUAL(300, fleet.EntriesWith(crash));
  }
}

// Control instances are the only ones that pass evidence on.
TEST(EvidenceSharing, EvidenceReturnsAfterAllControlInstancesRestarted) {
  Fleet fleet(5, 30);
  fleet.Entry(3).evidence.AddCall(Run(1), kService, {TraitId(2)}, fleet.now());
  fleet.Entry(4).evidence.AddCause(
      {.traits = {TraitId(3)}, .crashes = 4, .last_crash_at = fleet.now()});
  fleet.RunFor(Seconds(1));
  for (int i = 0; i < 5; ++i) fleet.Restart(i);
  // The instance that found the cause restarts as well.
  fleet.Restart(5 + 4);
  fleet.Restart(5 + 10);
  fleet.RunFor(Seconds(1));
  LONGS_EQUAL(30, fleet.EntriesWith(1));
  LONGS_EQUAL(1, fleet.Entry(10).evidence.ActiveCauses().size());
  LONGS_EQUAL(1, fleet.Entry(4).evidence.ActiveCauses().size());
}

// A peer that doesn't read must not make the sender hold more and more.
TEST(EvidenceSharing, OneMessageIsOnItsWayToAPeerThatDoesNotAnswer) {
  CrashEvidence evidence{CrashEvidenceOptions{}};
  EvidenceSharing sharing({.self = Incarnation(1)}, &evidence);
  const InstanceId peer("silent");
  Time now{Seconds(1000)};
  int messages = 0;
  for (int i = 0; i < 1000; ++i, now += Milliseconds(10)) {
    sharing.OnPeer(peer, Incarnation(2), now);
    evidence.AddCall(Run(i % 100), kService, {TraitId(1000 + i)}, now);
    messages += static_cast<int>(sharing.Tick(now).size());
  }
  // One each second, since it may have been lost.
  CHECK_TRUE(messages <= 11);
}

// The last acknowledgement of a process arrives after its successor is known,
// which has nothing.
TEST(EvidenceSharing, AnAcknowledgementOfAnEarlierProcessIsIgnored) {
  CrashEvidence evidence{CrashEvidenceOptions{}};
  EvidenceSharing sharing({.self = Incarnation(1)}, &evidence);
  const InstanceId peer("peer");
  const Time now{Seconds(1000)};
  evidence.AddCall(Run(1), kService, {TraitId(2)}, now);
  sharing.OnPeer(peer, Incarnation(20), now);
  LONGS_EQUAL(1, sharing.Tick(now).size());
  sharing.OnPeer(peer, Incarnation(21), now);
  sharing.OnMessage(peer, Incarnation(20),
                    {.acknowledged_process = Incarnation(1),
                     .acknowledged_revision = evidence.revision()},
                    now);
  const auto outgoing = sharing.Tick(now);
  LONGS_EQUAL(1, outgoing.size());
  LONGS_EQUAL(1, outgoing.front().message.changes.crashes.size());
}

// The time of day stepped back before the peer restarted.
TEST(EvidenceSharing, ASuccessorWithALowerIncarnationGetsAll) {
  CrashEvidence evidence{CrashEvidenceOptions{}};
  EvidenceSharing sharing({.self = Incarnation(1)}, &evidence);
  const InstanceId peer("peer");
  Time now{Seconds(1000)};
  evidence.AddCall(Run(1), kService, {TraitId(2)}, now);
  sharing.OnPeer(peer, Incarnation(20), now);
  sharing.OnMessage(peer, Incarnation(20),
                    {.acknowledged_process = Incarnation(1),
                     .acknowledged_revision = evidence.revision()},
                    now);
  LONGS_EQUAL(0, sharing.Tick(now).size());
  now += Seconds(2);
  sharing.OnPeer(peer, Incarnation(19), now);
  const auto outgoing = sharing.Tick(now);
  LONGS_EQUAL(1, outgoing.size());
  LONGS_EQUAL(1, outgoing.front().message.changes.crashes.size());
  CHECK_TRUE(outgoing.front().message.acknowledged_process == Incarnation(19));
}

// A message that follows what the receiver's predecessor had arrives at its
// successor. Acknowledging it would stand for all that the successor lacks.
TEST(EvidenceSharing, AMessageToAnEarlierProcessIsNotAcknowledged) {
  CrashEvidence first{CrashEvidenceOptions{}};
  CrashEvidence second{CrashEvidenceOptions{}};
  EvidenceSharing from_first({.self = Incarnation(1)}, &first);
  EvidenceSharing from_second({.self = Incarnation(21)}, &second);
  const InstanceId first_id("first");
  const InstanceId second_id("second");
  Time now{Seconds(1000)};
  first.AddCause({.traits = {TraitId(3)}, .crashes = 4, .last_crash_at = now});
  from_first.OnPeer(second_id, Incarnation(20), now);
  from_first.Tick(now);
  from_first.OnMessage(second_id, Incarnation(20),
                       {.acknowledged_process = Incarnation(1),
                        .acknowledged_revision = first.revision()},
                       now);
  now += Seconds(1);
  first.AddCall(Run(1), kService, {TraitId(2)}, now);
  for (int i = 0; i < 10; ++i, now += Milliseconds(100)) {
    for (const OutgoingEvidence& out : from_first.Tick(now)) {
      from_second.OnMessage(first_id, Incarnation(1), out.message, now);
    }
    from_second.OnPeer(first_id, Incarnation(1), now);
    for (const OutgoingEvidence& out : from_second.Tick(now)) {
      from_first.OnMessage(second_id, Incarnation(21), out.message, now);
    }
    from_first.OnPeer(second_id, Incarnation(21), now);
  }
  LONGS_EQUAL(1, second.crashes().size());
  LONGS_EQUAL(1, second.ActiveCauses().size());
}

// An acknowledgement that is sent after a lost message must not stand for it.
TEST(EvidenceSharing, ALostMessageIsNotCoveredByALaterOne) {
  CrashEvidence first{CrashEvidenceOptions{}};
  CrashEvidence second{CrashEvidenceOptions{}};
  EvidenceSharing from_first({.self = Incarnation(1)}, &first);
  EvidenceSharing from_second({.self = Incarnation(2)}, &second);
  const InstanceId first_id("first");
  const InstanceId second_id("second");
  Time now{Seconds(1000)};
  from_first.OnPeer(second_id, Incarnation(2), now);
  from_second.OnPeer(first_id, Incarnation(1), now);
  first.AddCall(Run(1), kService, {TraitId(2)}, now);
  LONGS_EQUAL(1, from_first.Tick(now).size());  // Lost.
  second.AddCall(Run(2), kService, {TraitId(3)}, now);
  for (int i = 0; i < 20; ++i, now += Milliseconds(100)) {
    from_first.OnPeer(second_id, Incarnation(2), now);
    from_second.OnPeer(first_id, Incarnation(1), now);
    for (const OutgoingEvidence& out : from_second.Tick(now)) {
      from_first.OnMessage(second_id, Incarnation(2), out.message, now);
    }
    for (const OutgoingEvidence& out : from_first.Tick(now)) {
      from_second.OnMessage(first_id, Incarnation(1), out.message, now);
    }
  }
  LONGS_EQUAL(2, first.crashes().size());
  LONGS_EQUAL(2, second.crashes().size());
}

}  // namespace cassiausher
