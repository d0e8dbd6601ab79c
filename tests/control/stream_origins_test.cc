// Guards against origins of streams that fill the memory of a control instance,
// or that are forgotten while their stream may be taken up.
#include "servers/control/stream_origins.h"

#include <CppUTest/TestHarness.h>

#include <string>

namespace cassiausher {
namespace {

constexpr Time kStart{Seconds(100)};

}  // namespace

TEST_GROUP(StreamOrigins) {
  StreamOrigins origins{StreamOriginsOptions{.max_names = 2}};

  bool Add(const char* name, Duration lifetime, const char* version = "v1") {
    return origins.Add(
        StreamName(name),
        {.version = SoftwareVersion(version), .expires_at = kStart + lifetime},
        kStart);
  }
};

TEST(StreamOrigins, AnOriginIsKeptForItsLifetime) {
  CHECK_TRUE(Add("a", Seconds(16)));
  CHECK_TRUE(origins.Find(StreamName("a"), kStart + Seconds(15)).has_value());
  CHECK_FALSE(origins.Find(StreamName("a"), kStart + Seconds(16)).has_value());
  CHECK_FALSE(origins.Find(StreamName("b"), kStart).has_value());
}

// A caller that names a stream by its content only may have a part of either.
TEST(StreamOrigins, TwoVersionsUnderOneNameLeaveTheVersionOpen) {
  CHECK_TRUE(Add("a", Seconds(9), "v1"));
  CHECK_TRUE(Add("a", Seconds(8), "v1"));
  CHECK_TRUE(origins.Find(StreamName("a"), kStart)->version ==
             SoftwareVersion("v1"));
  CHECK_TRUE(Add("a", Seconds(8), "v2"));
  CHECK_TRUE(Add("a", Seconds(8), "v1"));
  const auto origin =
      origins.Find(StreamName("a"), kStart + Milliseconds(8999));
  CHECK_TRUE(origin.has_value());
  CHECK_FALSE(origin->version.has_value());
}

TEST(StreamOrigins, AnExpiredStreamDoesNotContradictALaterOne) {
  CHECK_TRUE(Add("a", Seconds(1), "v1"));
  CHECK_TRUE(origins.Add(
      StreamName("a"),
      {.version = SoftwareVersion("v2"), .expires_at = kStart + Seconds(9)},
      kStart + Seconds(1)));
  CHECK_TRUE(origins.Find(StreamName("a"), kStart + Seconds(2))->version ==
             SoftwareVersion("v2"));
}

TEST(StreamOrigins, TheNumberOfStreamsIsBounded) {
  CHECK_TRUE(Add("a", Seconds(1)));
  CHECK_TRUE(Add("b", Seconds(9)));
  CHECK_FALSE(Add("c", Seconds(9)));
  CHECK_TRUE(Add("b", Seconds(10)));
  origins.Expire(kStart + Seconds(1));
  LONGS_EQUAL(1, origins.size());
  CHECK_TRUE(Add("c", Seconds(9)));
}

}  // namespace cassiausher
