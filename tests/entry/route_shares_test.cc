// Guards against starvation of small routes in overload, such as triage notes
// once a minute beside reviews ten times a second.
#include "servers/entry/route_shares.h"

#include <CppUTest/TestHarness.h>

namespace cassiausher {
namespace {

constexpr Time kStart{Seconds(100)};

}  // namespace

TEST_GROUP(RouteShares) { RouteShares shares; };

TEST(RouteShares, ARareRouteIsSmall) {
  for (int i = 0; i < 40; ++i) shares.OnRequest("reviews", kStart);
  shares.OnRequest("notes", kStart);
  CHECK_TRUE(shares.IsSmall("notes", kStart));
  CHECK_FALSE(shares.IsSmall("reviews", kStart));
}

TEST(RouteShares, EqualRoutesAreNotSmall) {
  for (int i = 0; i < 20; ++i) {
    shares.OnRequest("a", kStart);
    shares.OnRequest("b", kStart);
  }
  CHECK_FALSE(shares.IsSmall("a", kStart));
  CHECK_FALSE(shares.IsSmall("b", kStart));
}

TEST(RouteShares, NoRouteIsSmallWhileThereAreFewRequests) {
  shares.OnRequest("a", kStart);
  shares.OnRequest("a", kStart);
  shares.OnRequest("b", kStart);
  CHECK_FALSE(shares.IsSmall("b", kStart));
}

// A route that has become large loses its preference.
TEST(RouteShares, OldRequestsDecay) {
  for (int i = 0; i < 40; ++i) shares.OnRequest("reviews", kStart);
  const Time later = kStart + Seconds(120);
  for (int i = 0; i < 20; ++i) shares.OnRequest("notes", later);
  CHECK_FALSE(shares.IsSmall("notes", later));
}

}  // namespace cassiausher
