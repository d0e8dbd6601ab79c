// Guards against a stream whose software version nobody knows once the entry
// instance that began it has died or was cut off (incident software-versions).
#include "servers/entry/origin_keeper.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>

namespace cassiausher {
namespace {

constexpr Time kStart{Seconds(100)};
const TraitId content{7};
const StreamNames names = NamesOf(RequestId("r1"), content);
/// The caller doesn't tell which request brought the first event.
const StreamNames unnamed = NamesOf(RequestId(), content);

OriginStore Store(const std::string& name, const std::string& data_centre,
                  std::uint64_t process = 1) {
  return {.instance = InstanceId(name),
          .process = Incarnation(process),
          .data_centre = DataCentreId(data_centre)};
}

StreamOrigin Origin(Duration lifetime = Seconds(16)) {
  return {.version = SoftwareVersion("v1.1"), .expires_at = kStart + lifetime};
}

}  // namespace

TEST_GROUP(OriginKeeper) {
  OriginKeeper keeper{OriginKeeperOptions{.data_centre = DataCentreId("a")}};

  void setup() override {
    keeper.SetStores({Store("c1", "a"), Store("c2", "b"), Store("c3", "c")},
                     true, kStart);
  }
  void Begin() {
    keeper.Begin(names, Origin(), kStart);
    copies = keeper.TakeCopies();
  }
  std::vector<OriginCopy> copies;
};

TEST(OriginKeeper, CopiesAreInOtherDataCentres) {
  for (int i = 0; i < 20; ++i) {
    keeper.Begin(NamesOf(RequestId(std::to_string(i)), content), Origin(),
                 kStart);
    copies = keeper.TakeCopies();
    LONGS_EQUAL(2, copies.size());
    for (const OriginCopy& copy : copies) {
      CHECK_FALSE(copy.store == InstanceId("c1"));
    }
    CHECK_FALSE(copies[0].store == copies[1].store);
  }
}

TEST(OriginKeeper, TheFirstEventWaitsForOneConfirmedCopy) {
  Begin();
  LONGS_EQUAL(0, keeper.TakeOutcomes().size());
  keeper.OnStored(copies[1].store, copies[1].number);
  const auto outcomes = keeper.TakeOutcomes();
  LONGS_EQUAL(1, outcomes.size());
  CHECK_TRUE(outcomes[0].copied);
  keeper.OnStored(copies[0].store, copies[0].number);
  LONGS_EQUAL(0, keeper.TakeOutcomes().size());
}

TEST(OriginKeeper, ACopyInTheOwnDataCentreCountsOnlyIfThereIsNoOther) {
  keeper.SetStores({Store("c1", "a"), Store("c2", "b")}, true, kStart);
  Begin();
  keeper.OnStored(InstanceId("c1"), copies[0].number);
  LONGS_EQUAL(0, keeper.TakeOutcomes().size());
  keeper.SetStores({Store("c1", "a")}, true, kStart);
  keeper.OnStored(InstanceId("c1"), copies[0].number);
  LONGS_EQUAL(1, keeper.TakeOutcomes().size());
}

TEST(OriginKeeper, WithoutAConfirmationTheStreamGoesOnAfterAWhile) {
  Begin();
  keeper.CheckTimeouts(kStart + Milliseconds(149));
  LONGS_EQUAL(0, keeper.TakeOutcomes().size());
  keeper.CheckTimeouts(kStart + Milliseconds(150));
  const auto outcomes = keeper.TakeOutcomes();
  LONGS_EQUAL(1, outcomes.size());
  CHECK_FALSE(outcomes[0].copied);
}

TEST(OriginKeeper, WithoutControlInstancesANewStreamDoesNotWait) {
  keeper.SetStores({}, true, kStart);
  keeper.Begin(names, Origin(), kStart);
  LONGS_EQUAL(1, keeper.TakeOutcomes().size());
}

// An entry instance that had been frozen counted all control instances as
// silent and refused every stream that was taken up (soak_versions, seed 21).
TEST(OriginKeeper, ASearchAsksControlInstancesThatAppearMeanwhile) {
  keeper.SetStores({}, true, kStart);
  keeper.Search(names, kStart);
  LONGS_EQUAL(0, keeper.TakeOutcomes().size());
  keeper.SetStores({Store("c1", "a"), Store("c2", "b")}, true, kStart);
  const auto searches = keeper.TakeSearches();
  LONGS_EQUAL(2, searches.size());
  keeper.SetStores({Store("c1", "a"), Store("c2", "b"), Store("c3", "c")}, true,
                   kStart);
  LONGS_EQUAL(1, keeper.TakeSearches().size());
  keeper.OnAnswer(InstanceId("c3"), searches[0].number, Origin(), kStart);
  CHECK_TRUE(keeper.TakeOutcomes()[0].origin.has_value());
}

// A control instance was frozen for between 1.5 and 2 s, so that its connection
// was replaced and the copy on its way was lost, but it never counted as
// disconnected. The stream was left with a single copy.
TEST(OriginKeeper, ACopyThatIsNotConfirmedIsSentAgain) {
  Begin();
  const OriginCopy lost = copies[0];
  keeper.OnStored(copies[1].store, copies[1].number);
  keeper.CheckTimeouts(kStart + Milliseconds(499));
  LONGS_EQUAL(0, keeper.TakeCopies().size());
  keeper.CheckTimeouts(kStart + Milliseconds(500));
  const auto again = keeper.TakeCopies();
  LONGS_EQUAL(1, again.size());
  CHECK_TRUE(again[0].store == lost.store);
  CHECK_TRUE(again[0].names == names);
  CHECK_TRUE(again[0].origin.version == Origin().version);
  keeper.OnStored(again[0].store, again[0].number);
  keeper.CheckTimeouts(kStart + Milliseconds(1000));
  LONGS_EQUAL(0, keeper.TakeCopies().size());
}

// A control instance that has no room for an origin never confirms it.
TEST(OriginKeeper, ACopyIsNotSentAgainForEver) {
  Begin();
  std::size_t sent = copies.size();
  for (int i = 1; i <= 100; ++i) {
    keeper.CheckTimeouts(kStart + Milliseconds(100) * i);
    sent += keeper.TakeCopies().size();
  }
  CHECK_TRUE(sent > 2);
  CHECK_TRUE(sent <= 12);
}

// The control instance isn't connected any more, and another one has the copy.
TEST(OriginKeeper, ACopyIsNotSentAgainToAControlInstanceThatIsGone) {
  Begin();
  keeper.SetStores({Store("c3", "c"), Store("c4", "b")}, true, kStart);
  keeper.TakeCopies();
  keeper.CheckTimeouts(kStart + Milliseconds(500));
  for (const OriginCopy& copy : keeper.TakeCopies()) {
    CHECK_FALSE(copy.store == InstanceId("c2"));
  }
}

// All control processes may be killed at once and lose what they kept.
TEST(OriginKeeper, ControlProcessesThatStartAnewGetTheirCopiesAgain) {
  Begin();
  keeper.SetStores(
      {Store("c1", "a", 2), Store("c2", "b", 2), Store("c3", "c", 2)}, true,
      kStart + Seconds(1));
  LONGS_EQUAL(2, keeper.TakeCopies().size());
  keeper.SetStores({Store("c2", "b", 2)}, true, kStart + Seconds(2));
  LONGS_EQUAL(0, keeper.TakeCopies().size());
  keeper.SetStores({Store("c2", "b", 2), Store("c4", "d")}, true,
                   kStart + Seconds(3));
  LONGS_EQUAL(1, keeper.TakeCopies().size());
}

TEST(OriginKeeper, ASearchEndsWithTheFirstControlInstanceThatKnows) {
  keeper.Search(names, kStart);
  const auto searches = keeper.TakeSearches();
  LONGS_EQUAL(3, searches.size());
  keeper.OnAnswer(InstanceId("c1"), searches[0].number, std::nullopt, kStart);
  LONGS_EQUAL(0, keeper.TakeOutcomes().size());
  keeper.OnAnswer(InstanceId("c3"), searches[0].number, Origin(), kStart);
  const auto outcomes = keeper.TakeOutcomes();
  LONGS_EQUAL(1, outcomes.size());
  CHECK_TRUE(outcomes[0].origin->version == SoftwareVersion("v1.1"));
  // This instance keeps the copies up from now on, and knows the stream.
  LONGS_EQUAL(1, keeper.streams());
  LONGS_EQUAL(2, keeper.TakeCopies().size());
  keeper.Search(names, kStart);
  CHECK_TRUE(keeper.TakeOutcomes()[0].origin.has_value());
}

// Callers whose streams break when all entry instances are lost may repeat
// their requests with the number of the last event only.
TEST(OriginKeeper, AStreamIsFoundByItsContent) {
  keeper.Search(unnamed, kStart);
  const auto searches = keeper.TakeSearches();
  CHECK_TRUE(searches[0].name == names.content);
  keeper.OnAnswer(InstanceId("c1"), searches[0].number, Origin(), kStart);
  keeper.OnAnswer(InstanceId("c2"), searches[0].number, Origin(), kStart);
  LONGS_EQUAL(0, keeper.TakeOutcomes().size());
  keeper.OnAnswer(InstanceId("c3"), searches[0].number, std::nullopt, kStart);
  CHECK_TRUE(keeper.TakeOutcomes()[0].origin->version ==
             SoftwareVersion("v1.1"));
  LONGS_EQUAL(2, keeper.TakeCopies().size());
}

// Two entry instances began streams with the same content, and control
// instances in different data centres keep their origins.
TEST(OriginKeeper, ControlInstancesThatDisagreeLeaveTheVersionOpen) {
  keeper.Search(unnamed, kStart);
  const auto number = keeper.TakeSearches()[0].number;
  StreamOrigin other = Origin();
  other.version = SoftwareVersion("v1");
  keeper.OnAnswer(InstanceId("c1"), number, Origin(), kStart);
  keeper.OnAnswer(InstanceId("c2"), number, std::nullopt, kStart);
  keeper.OnAnswer(InstanceId("c3"), number, other, kStart);
  const auto outcomes = keeper.TakeOutcomes();
  CHECK_TRUE(outcomes[0].origin.has_value());
  CHECK_FALSE(outcomes[0].origin->version.has_value());
  LONGS_EQUAL(0, keeper.TakeCopies().size());
}

// An instance that began a stream which never reached its caller doesn't know
// of the one that was begun elsewhere afterwards.
TEST(OriginKeeper, ControlInstancesAreAskedAlthoughTheContentIsKnownHere) {
  Begin();
  keeper.Search(unnamed, kStart);
  LONGS_EQUAL(0, keeper.TakeOutcomes().size());
  const auto number = keeper.TakeSearches()[0].number;
  StreamOrigin other = Origin();
  other.version = SoftwareVersion("v1");
  for (const char* control : {"c1", "c2", "c3"}) {
    keeper.OnAnswer(InstanceId(control), number, other, kStart);
  }
  CHECK_FALSE(keeper.TakeOutcomes()[0].origin->version.has_value());
}

TEST(OriginKeeper, ASilentControlInstanceDelaysAKnownContentOnlyShortly) {
  keeper.Search(unnamed, kStart);
  const auto number = keeper.TakeSearches()[0].number;
  keeper.OnAnswer(InstanceId("c1"), number, Origin(), kStart);
  keeper.CheckTimeouts(kStart + Milliseconds(149));
  LONGS_EQUAL(0, keeper.TakeOutcomes().size());
  keeper.CheckTimeouts(kStart + Milliseconds(150));
  CHECK_TRUE(keeper.TakeOutcomes()[0].origin->version.has_value());
}

TEST(OriginKeeper, AStreamThatNobodyKnowsIsUnknownOnceAllHaveAnswered) {
  keeper.Search(names, kStart);
  const auto number = keeper.TakeSearches()[0].number;
  for (const char* control : {"c1", "c2", "c3"}) {
    LONGS_EQUAL(0, keeper.TakeOutcomes().size());
    keeper.OnAnswer(InstanceId(control), number, std::nullopt, kStart);
  }
  CHECK_FALSE(keeper.TakeOutcomes()[0].origin.has_value());
}

// The connections of an instance that was frozen are replaced, and what was
// sent on the old ones is lost.
TEST(OriginKeeper, AControlInstanceThatDoesNotAnswerIsAskedAgain) {
  keeper.Search(names, kStart);
  const auto number = keeper.TakeSearches()[0].number;
  keeper.OnAnswer(InstanceId("c1"), number, std::nullopt, kStart);
  keeper.CheckTimeouts(kStart + Milliseconds(199));
  LONGS_EQUAL(0, keeper.TakeSearches().size());
  keeper.CheckTimeouts(kStart + Milliseconds(200));
  LONGS_EQUAL(2, keeper.TakeSearches().size());
}

// The one that knows the stream may be the one whose connection comes back
// last.
TEST(OriginKeeper, ASearchWaitsForAKnownControlInstanceWithoutConnection) {
  keeper.SetStores({Store("c1", "a")}, false, kStart);
  keeper.Search(names, kStart);
  const auto number = keeper.TakeSearches()[0].number;
  keeper.OnAnswer(InstanceId("c1"), number, std::nullopt, kStart);
  LONGS_EQUAL(0, keeper.TakeOutcomes().size());
  keeper.SetStores({Store("c1", "a"), Store("c2", "b")}, true, kStart);
  keeper.OnAnswer(InstanceId("c2"), number, Origin(), kStart);
  CHECK_TRUE(keeper.TakeOutcomes()[0].origin.has_value());
}

TEST(OriginKeeper, ASearchThatIsNotAnsweredEnds) {
  keeper.Search(names, kStart);
  keeper.CheckTimeouts(kStart + Milliseconds(1499));
  LONGS_EQUAL(0, keeper.TakeOutcomes().size());
  keeper.CheckTimeouts(kStart + Milliseconds(1500));
  const auto outcomes = keeper.TakeOutcomes();
  LONGS_EQUAL(1, outcomes.size());
  LONGS_EQUAL(3, outcomes[0].unanswered);
}

TEST(OriginKeeper, StreamsThatCanNoLongerBeTakenUpAreForgotten) {
  Begin();
  keeper.CheckTimeouts(kStart + Seconds(15));
  LONGS_EQUAL(1, keeper.streams());
  keeper.CheckTimeouts(kStart + Seconds(16));
  LONGS_EQUAL(0, keeper.streams());
}

}  // namespace cassiausher
