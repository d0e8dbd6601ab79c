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
  StreamOrigins origins{StreamOriginsOptions{.max_streams = 2}};

  bool Add(const char* request, Duration lifetime) {
    return origins.Add(RequestId(request), {.version = SoftwareVersion("v1"),
                                            .expires_at = kStart + lifetime});
  }
};

TEST(StreamOrigins, AnOriginIsKeptForItsLifetime) {
  CHECK_TRUE(Add("a", Seconds(16)));
  CHECK_TRUE(origins.Find(RequestId("a"), kStart + Seconds(15)).has_value());
  CHECK_FALSE(origins.Find(RequestId("a"), kStart + Seconds(16)).has_value());
  CHECK_FALSE(origins.Find(RequestId("b"), kStart).has_value());
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
