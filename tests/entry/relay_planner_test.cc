// Guards against requests that are relayed to an instance that can't serve
// them, or all to the same one, and against callers that wait for helpers
// although there are none.
#include "servers/entry/relay_planner.h"

#include <CppUTest/TestHarness.h>

#include <string>

namespace cassiausher {
namespace {

constexpr Time kStart{Seconds(100)};
const ServiceId service_id("s");
const InstanceId control_id("c");

EndpointRecord OnlyEndpoint() {
  return {.id = EndpointId("e"),
          .service = service_id,
          .address = "10.0.0.1:80",
          .data_centre = DataCentreId("here"),
          .incarnation = Incarnation(1),
          .sequence = 1};
}

NamedHelpers Helpers(int count) {
  NamedHelpers named;
  for (int i = 0; i < count; ++i) {
    named.helpers.push_back({.address = "h" + std::to_string(i)});
  }
  return named;
}

}  // namespace

TEST_GROUP(RelayPlanner) {
  EndpointPool pool{EndpointPoolOptions{}};
  RelayPlanner planner{RelayPlannerOptions{}, &pool};

  void setup() override {
    pool.Merge(OnlyEndpoint(), kStart);
    for (int i = 0; i < 3; ++i) {
      planner.reach().OnUnreachable(OnlyEndpoint(), kStart);
    }
  }
  std::string Pick(Time now = kStart) {
    const auto helper = planner.Pick(service_id, {}, now);
    return helper.has_value() ? helper->address : "";
  }
};

TEST(RelayPlanner, TheHelperWithTheFewestRequestsIsPicked) {
  planner.SetHelpers(control_id, service_id, Helpers(3), kStart);
  planner.OnStart("h0", kStart);
  planner.OnStart("h2", kStart);
  for (int i = 0; i < 10; ++i) STRCMP_EQUAL("h1", Pick().c_str());
  planner.OnStart("h1", kStart);
  planner.OnEnd("h2", RelayEnd::kAnswered, false, kStart);
  STRCMP_EQUAL("h2", Pick().c_str());
}

TEST(RelayPlanner, AHelperThatCantServeIsLeftAsideForAWhile) {
  planner.SetHelpers(control_id, service_id, Helpers(1), kStart);
  planner.OnStart("h0", kStart);
  planner.OnEnd("h0", RelayEnd::kUnable, false, kStart);
  STRCMP_EQUAL("", Pick(kStart + Milliseconds(900)).c_str());
  STRCMP_EQUAL("h0", Pick(kStart + Milliseconds(1100)).c_str());
}

// Requests were relayed to an instance that stood still until control instances
// missed it.
TEST(RelayPlanner, AHelperThatAnswersNothingIsTheLastResort) {
  const Time later = kStart + Milliseconds(250);
  planner.SetHelpers(control_id, service_id, Helpers(2), kStart);
  planner.OnStart("h0", kStart);
  for (int i = 0; i < 3; ++i) planner.OnStart("h1", later);
  STRCMP_EQUAL("h1", Pick(later).c_str());
  planner.OnAnswer("h0", later);
  STRCMP_EQUAL("h0", Pick(later).c_str());
  // One that is at work on a stream for long has answered.
  STRCMP_EQUAL("h0", Pick(later + Seconds(1)).c_str());
}

TEST(RelayPlanner, HelpersThatNoControlInstanceNamesAnyMoreAreNotUsed) {
  planner.SetHelpers(control_id, service_id, Helpers(1), kStart);
  STRCMP_EQUAL("", Pick(kStart + Seconds(3)).c_str());
  planner.SetHelpers(InstanceId("d"), service_id, Helpers(2),
                     kStart + Seconds(3));
  CHECK_FALSE(Pick(kStart + Seconds(3)).empty());
}

TEST(RelayPlanner, HelpersAreAwaitedForAMomentOnly) {
  CHECK_TRUE(planner.AwaitsHelpers(service_id, kStart + Milliseconds(200)));
  CHECK_FALSE(planner.AwaitsHelpers(service_id, kStart + Milliseconds(300)));
  planner.reach().OnConnected(OnlyEndpoint(), kStart);
  CHECK_FALSE(planner.AwaitsHelpers(service_id, kStart + Milliseconds(100)));
}

TEST(RelayPlanner, HowManyInstancesAreCutOffIsKnown) {
  planner.SetHelpers(control_id, service_id, {.cut_off = 6}, kStart);
  planner.SetHelpers(InstanceId("d"), service_id, {.cut_off = 7},
                     kStart + Milliseconds(1));
  LONGS_EQUAL(7, planner.CutOff(service_id));
}

}  // namespace cassiausher
