// Guards against a limit that is lost or kept although the newest answer says
// otherwise (incident server-limit).
#include "servers/control/rate_limits.h"

#include <CppUTest/TestHarness.h>

namespace cassiausher {
namespace {

constexpr Time kStart{Seconds(100)};
const EndpointId endpoint_id("e");

RateLimitObservation Seen(std::optional<double> rate, Time at,
                          std::uint64_t incarnation = 1) {
  RateLimitObservation observation{.endpoint = endpoint_id,
                                   .incarnation = Incarnation(incarnation),
                                   .observed_at = at};
  if (rate.has_value()) observation.limit = RequestRate(*rate);
  return observation;
}

}  // namespace

TEST_GROUP(RateLimits) {
  RateLimits limits;

  void Learn(std::optional<double> rate, Time at, RateLimitChange expected,
             std::uint64_t incarnation = 1) {
    CHECK_TRUE(limits.Observe(Seen(rate, at, incarnation)) == expected);
  }
};

TEST(RateLimits, TheNewestAnswerCounts) {
  Learn(5, kStart, RateLimitChange::kAppeared);
  Learn(2, kStart + Seconds(1), RateLimitChange::kValue);
  Learn(9, kStart + Milliseconds(500), RateLimitChange::kNone);
  DOUBLES_EQUAL(2, limits.Find(endpoint_id)->value(), 0);
}

TEST(RateLimits, AnOlderAnswerDoesNotBringAnEndedLimitBack) {
  Learn(5, kStart, RateLimitChange::kAppeared);
  Learn(std::nullopt, kStart + Seconds(2), RateLimitChange::kEnded);
  Learn(5, kStart + Seconds(1), RateLimitChange::kNone);
  CHECK_FALSE(limits.Find(endpoint_id).has_value());
  Learn(5, kStart + Seconds(3), RateLimitChange::kAppeared);
}

TEST(RateLimits, ANewIncarnationStartsWithoutTheOldLimit) {
  Learn(5, kStart, RateLimitChange::kAppeared, 1);
  Learn(std::nullopt, kStart - Seconds(1), RateLimitChange::kEnded, 2);
  Learn(5, kStart + Seconds(1), RateLimitChange::kNone, 1);
  CHECK_FALSE(limits.Find(endpoint_id).has_value());
}

TEST(RateLimits, LimitsOfEndpointsThatAreGoneAndOldEndsAreForgotten) {
  Learn(5, kStart, RateLimitChange::kAppeared);
  limits.Expire([](const EndpointId&, Incarnation) { return true; },
                kStart + Seconds(1000));
  LONGS_EQUAL(1, limits.All().size());
  Learn(std::nullopt, kStart + Seconds(1), RateLimitChange::kEnded);
  limits.Expire([](const EndpointId&, Incarnation) { return true; },
                kStart + Seconds(2));
  LONGS_EQUAL(1, limits.All().size());
  limits.Expire([](const EndpointId&, Incarnation) { return true; },
                kStart + Seconds(31));
  LONGS_EQUAL(0, limits.All().size());
  Learn(5, kStart + Seconds(40), RateLimitChange::kAppeared);
  limits.Expire([](const EndpointId&, Incarnation) { return false; },
                kStart + Seconds(40));
  LONGS_EQUAL(0, limits.All().size());
}

}  // namespace cassiausher
