// Guards against an instance that takes one failed call or a silent endpoint
// for a cut, and one that doesn't notice that it reaches nothing (incident
// out-of-reach).
#include "servers/entry/endpoint_reach.h"

#include <CppUTest/TestHarness.h>

#include <string>

namespace cassiausher {
namespace {

constexpr Time kStart{Seconds(100)};
const ServiceId service_id("s");

EndpointRecord Endpoint(const std::string& id, EndpointRole role) {
  return {.id = EndpointId(id),
          .service = service_id,
          .address = "10.0.0.1:80",
          .data_centre = DataCentreId("here"),
          .role = role,
          .slots = 6,
          .incarnation = Incarnation(1),
          .sequence = 1};
}

}  // namespace

TEST_GROUP(EndpointReach) {
  EndpointPool pool{EndpointPoolOptions{.data_centre = DataCentreId("here")}};
  EndpointReach reach{EndpointReachOptions{}, &pool};

  void Add(int count, EndpointRole role, const std::string& prefix) {
    for (int i = 0; i < count; ++i) {
      pool.Merge(Endpoint(prefix + std::to_string(i), role), kStart);
    }
  }
  void Fail(const std::string& id, EndpointRole role, Time now = kStart) {
    reach.OnUnreachable(Endpoint(id, role), now);
  }
  void FailAll(int count, EndpointRole role, const std::string& prefix) {
    for (int i = 0; i < count; ++i) Fail(prefix + std::to_string(i), role);
  }
};

TEST(EndpointReach, OneEndpointThatFailsIsNoCut) {
  Add(3, EndpointRole::kPlain, "p");
  for (int i = 0; i < 20; ++i) Fail("p0", EndpointRole::kPlain);
  CHECK_TRUE(reach.Of(service_id) == Reach::kReached);
  CHECK_TRUE(reach.Doubtful().contains(service_id));
  CHECK_TRUE(reach.OutOfReach().empty());
}

TEST(EndpointReach, ARestartOfTheOnlyEndpointIsNoCut) {
  Add(1, EndpointRole::kPlain, "p");
  Fail("p0", EndpointRole::kPlain);
  CHECK_TRUE(reach.Of(service_id) == Reach::kReached);
  Fail("p0", EndpointRole::kPlain);
  Fail("p0", EndpointRole::kPlain);
  CHECK_TRUE(reach.Of(service_id) == Reach::kNone);
}

TEST(EndpointReach, WithoutAnyConnectionTheServiceIsOutOfReach) {
  Add(9, EndpointRole::kPlain, "p");
  FailAll(3, EndpointRole::kPlain, "p");
  CHECK_TRUE(reach.Of(service_id) == Reach::kNone);
  CHECK_TRUE(reach.OutOfReachSince(service_id) == kStart);
  CHECK_TRUE(reach.HasUntried(service_id));
  FailAll(9, EndpointRole::kPlain, "p");
  CHECK_FALSE(reach.HasUntried(service_id));
}

TEST(EndpointReach, AConnectionEndsTheCut) {
  Add(3, EndpointRole::kPlain, "p");
  FailAll(3, EndpointRole::kPlain, "p");
  reach.OnConnected(Endpoint("p1", EndpointRole::kPlain),
                    kStart + Milliseconds(1));
  CHECK_TRUE(reach.Of(service_id) == Reach::kReached);
  CHECK_FALSE(reach.OutOfReachSince(service_id).has_value());
  CHECK_TRUE(reach.Doubtful().empty());
}

// An answer may come late on a connection that lives on.
TEST(EndpointReach, AnEarlierConnectionSaysNothing) {
  Add(3, EndpointRole::kPlain, "p");
  FailAll(3, EndpointRole::kPlain, "p");
  reach.OnConnected(Endpoint("p1", EndpointRole::kPlain),
                    kStart - Milliseconds(1));
  CHECK_TRUE(reach.Of(service_id) == Reach::kNone);
}

TEST(EndpointReach, OneStageOutOfReach) {
  Add(3, EndpointRole::kPrefill, "r");
  Add(6, EndpointRole::kDecode, "d");
  FailAll(3, EndpointRole::kPrefill, "r");
  reach.OnConnected(Endpoint("d0", EndpointRole::kDecode), kStart);
  CHECK_TRUE(reach.Of(service_id) == Reach::kWithoutPrefill);
  FailAll(3, EndpointRole::kDecode, "d");
  CHECK_TRUE(reach.Of(service_id) == Reach::kNone);
  reach.OnConnected(Endpoint("r0", EndpointRole::kPrefill), kStart);
  CHECK_TRUE(reach.Of(service_id) == Reach::kNone);
  reach.OnConnected(Endpoint("d1", EndpointRole::kDecode), kStart);
  CHECK_TRUE(reach.Of(service_id) == Reach::kReached);
}

// A request tries two runners that prefill and then one that decodes.
TEST(EndpointReach, FailuresInBothStagesAddUp) {
  Add(3, EndpointRole::kPrefill, "r");
  Add(6, EndpointRole::kDecode, "d");
  FailAll(2, EndpointRole::kPrefill, "r");
  CHECK_TRUE(reach.Of(service_id) == Reach::kReached);
  FailAll(1, EndpointRole::kDecode, "d");
  CHECK_TRUE(reach.Of(service_id) == Reach::kNone);
}

}  // namespace cassiausher
