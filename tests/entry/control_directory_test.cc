// Guards against an entry instance that keeps using a control instance which
// has gone, and against all entry instances using the same one.
#include "servers/entry/control_directory.h"

#include <CppUTest/TestHarness.h>

#include <set>
#include <string>

namespace cassiausher {
namespace {

constexpr Time kStart{Seconds(100)};

InstanceId Control(int number) {
  return InstanceId("10.0.0." + std::to_string(number));
}

ControlDirectory Directory(const std::string& self, int controls) {
  ControlDirectory directory({.self = InstanceId(self)});
  for (int i = 0; i < controls; ++i) {
    directory.OnUpdate(Control(i), {.process = Incarnation(1)}, kStart);
  }
  return directory;
}

}  // namespace

TEST_GROUP(ControlDirectory){};

TEST(ControlDirectory, LoadSourcesAreSpreadOverTheControlInstances) {
  std::set<InstanceId> chosen;
  for (int i = 0; i < 40; ++i) {
    chosen.insert(
        Directory("10.1.0." + std::to_string(i), 3).LoadSource(kStart));
  }
  LONGS_EQUAL(3, chosen.size());
}

// Evidence would reach nobody while the only partner is silent.
TEST(ControlDirectory, EvidenceIsExchangedWithTwoOfTheConnectedOnes) {
  ControlDirectory directory = Directory("10.1.0.1", 5);
  const auto partners = directory.EvidencePartners();
  LONGS_EQUAL(2, partners.size());
  CHECK_TRUE(partners.front() == directory.LoadSource(kStart));
  for (int i = 0; i < 5; ++i) {
    if (Control(i) == partners.front()) continue;
    directory.OnUpdate(Control(i), {}, kStart + Seconds(2));
  }
  directory.Disconnect(kStart + Seconds(2));
  const auto others = directory.EvidencePartners();
  LONGS_EQUAL(2, others.size());
  CHECK_TRUE(others.front() == partners.back());
}

TEST(ControlDirectory, ASilentControlInstanceIsNoLongerUsed) {
  ControlDirectory directory = Directory("10.1.0.1", 2);
  directory.OnUpdate(Control(0), {}, kStart + Seconds(2));
  LONGS_EQUAL(1, directory.Disconnect(kStart + Seconds(2)).size());
  CHECK_TRUE(directory.LoadSource(kStart + Seconds(2)) == Control(0));
  LONGS_EQUAL(0, directory.Disconnect(kStart + Seconds(2)).size());
}

// A control instance lost power, and for two seconds the instances that took
// loads from it placed streams at runners that others had filled.
TEST(ControlDirectory, LoadsAreTakenFromOneThatWasHeardLately) {
  ControlDirectory directory = Directory("10.1.0.1", 3);
  const InstanceId source = directory.LoadSource(kStart);
  const Time later = kStart + Milliseconds(970);
  for (int i = 0; i < 3; ++i) {
    if (Control(i) == source) continue;
    directory.OnUpdate(Control(i), {.process = Incarnation(1)},
                       kStart + Milliseconds(530));
  }
  CHECK_FALSE(directory.LoadSource(later) == source);
  directory.OnUpdate(source, {.process = Incarnation(1)}, later);
  CHECK_TRUE(directory.LoadSource(later) == source);
}

// A lost zone: none was heard lately.
TEST(ControlDirectory, AConnectedOneIsBetterThanNone) {
  const ControlDirectory directory = Directory("10.1.0.1", 3);
  CHECK_TRUE(directory.LoadSource(kStart + Milliseconds(900)) ==
             directory.LoadSource(kStart));
}

TEST(ControlDirectory, NumbersOfAnEarlierProcessAreNotAcknowledged) {
  ControlDirectory directory = Directory("10.1.0.1", 1);
  directory.OnMessage(Control(0), Incarnation(1), 7, 0);
  LONGS_EQUAL(7, directory.controls().at(Control(0)).last_received);
  directory.OnMessage(Control(0), Incarnation(2), 9, 0);
  LONGS_EQUAL(7, directory.controls().at(Control(0)).last_received);
}

// An instance that stood still reads updates of before it first, and may not
// know a software version that appeared meanwhile.
TEST(ControlDirectory, AnUpdateIsAsOldAsTheFollowThatItAnswers) {
  ControlDirectory directory = Directory("10.1.0.1", 1);
  const std::uint64_t before = directory.OnFollow(Control(0), kStart);
  const Time thawed = kStart + Seconds(5);
  const std::uint64_t after = directory.OnFollow(Control(0), thawed);
  directory.OnUpdate(Control(0), {.follow_number = before}, thawed);
  CHECK_FALSE(directory.IsCurrentSince(thawed));
  directory.OnUpdate(Control(0), {.follow_number = after}, thawed);
  CHECK_TRUE(directory.IsCurrentSince(thawed));
  CHECK_FALSE(directory.IsCurrentSince(thawed + Milliseconds(1)));
}

TEST(ControlDirectory, MostControlInstancesMustHaveToldTheirState) {
  ControlDirectory directory = Directory("10.1.0.1", 3);
  CHECK_FALSE(directory.IsCurrentSince(kStart));
  for (const int control : {0, 1}) {
    CHECK_FALSE(directory.IsCurrentSince(kStart));
    directory.OnUpdate(
        Control(control),
        {.follow_number = directory.OnFollow(Control(control), kStart)},
        kStart);
  }
  CHECK_TRUE(directory.IsCurrentSince(kStart));
}

TEST(ControlDirectory, AControlInstanceNobodyNamesIsDropped) {
  ControlDirectory directory = Directory("10.1.0.1", 2);
  directory.Learn(Control(1), kStart + Seconds(50));
  const auto dropped = directory.Expire(kStart + Seconds(60));
  LONGS_EQUAL(1, dropped.size());
  CHECK_TRUE(dropped.front() == Control(0));
}

}  // namespace cassiausher
