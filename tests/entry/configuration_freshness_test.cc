// Guards against an entry instance that answers by an older configuration as if
// it were the newest (incident inc1).
#include "servers/entry/configuration_freshness.h"

#include <CppUTest/TestHarness.h>

namespace cassiausher {
namespace {

constexpr Time kStart{Seconds(100)};
constexpr Revision kOld{4};
constexpr Revision kNew{7};

}  // namespace

TEST_GROUP(ConfigurationFreshness) {
  ConfigurationFreshness freshness{ConfigurationFreshnessOptions{}};

  void setup() override {
    freshness.OnNotice(kOld, kStart, kStart);
    freshness.OnApplied(kOld);
  }
};

TEST(ConfigurationFreshness, ConfirmedConfigurationIsCurrent) {
  CHECK_FALSE(freshness.MayBeOutdated(kStart + Milliseconds(1800)));
  CHECK_FALSE(freshness.IsOverdue(kStart + Seconds(60)));
}

// Incident inc1: a route that a confirmed change had added was answered 404.
TEST(ConfigurationFreshness, KnownNewerVersionMakesItOutdated) {
  CHECK_TRUE(freshness.OnNotice(kNew, std::nullopt, kStart));
  CHECK_TRUE(freshness.MayBeOutdated(kStart));
  freshness.OnApplied(kNew);
  CHECK_FALSE(freshness.MayBeOutdated(kStart));
}

// An instance that is cut off hears of no change, so it can't rule one out.
TEST(ConfigurationFreshness, MayBeOutdatedWithoutARecentConfirmation) {
  CHECK_TRUE(freshness.MayBeOutdated(kStart + Milliseconds(1801)));
  freshness.OnNotice(kOld, kStart + Seconds(5), kStart + Seconds(5));
  CHECK_FALSE(freshness.MayBeOutdated(kStart + Seconds(5)));
}

// A control instance that is behind says truthfully that it knows of nothing
// newer than its own version.
TEST(ConfigurationFreshness, InstanceThatIsBehindConfirmsNothing) {
  freshness.OnApplied(kNew);
  const Time late = kStart + Seconds(5);
  CHECK_FALSE(freshness.OnNotice(kOld, late, late));
  CHECK_TRUE(freshness.MayBeOutdated(late));
}

TEST(ConfigurationFreshness, OverdueSinceTheOldestMissingVersionWasKnown) {
  const Duration grace = ConfigurationFreshnessOptions{}.grace;
  const Time later = kStart + Milliseconds(700);
  freshness.OnNotice(kNew, kStart, kStart);
  freshness.OnNotice(Revision(9), later, later);
  CHECK_FALSE(freshness.IsOverdue(kStart + grace - Milliseconds(1)));
  CHECK_TRUE(freshness.IsOverdue(kStart + grace));
  freshness.OnApplied(kNew);
  CHECK_FALSE(freshness.IsOverdue(kStart + grace));
  CHECK_TRUE(freshness.IsOverdue(later + grace));
}

// A data centre that is cut off goes on serving what it can, although one of
// its control instances heard of a change that it doesn't hold.
TEST(ConfigurationFreshness, NotOverdueOutOfTouch) {
  const Time cut_at = kStart + Seconds(1);
  freshness.OnNotice(kNew, cut_at, cut_at);
  CHECK_TRUE(freshness.IsOverdue(cut_at + Milliseconds(1800)));
  CHECK_FALSE(freshness.IsOverdue(cut_at + Milliseconds(1801)));
  CHECK_TRUE(freshness.MayBeOutdated(cut_at + Seconds(60)));
}

// In incident inc1, a control instance that wasn't a voter held version 2 for
// the whole day. An instance that starts may get its first document there.
TEST(ConfigurationFreshness, OutdatedFirstConfigurationGetsNoGrace) {
  ConfigurationFreshness starting{ConfigurationFreshnessOptions{}};
  starting.OnNotice(kNew, kStart, kStart);
  starting.OnApplied(kOld);
  CHECK_TRUE(starting.IsOverdue(kStart));
  starting.OnApplied(kNew);
  CHECK_FALSE(starting.IsOverdue(kStart));
}

}  // namespace cassiausher
