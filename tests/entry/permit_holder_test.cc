// Guards against requests that wait for ever for a permit, and against permits
// that are lost with the request that waited for them.
#include "servers/entry/permit_holder.h"

#include <CppUTest/TestHarness.h>

namespace cassiausher {
namespace {

constexpr Time kStart{Seconds(100)};
const EndpointId endpoint_id("e");
const InstanceId issuer_id("control");

}  // namespace

TEST_GROUP(PermitHolder) {
  RateLimits limits;
  PermitHolder holder{PermitHolderOptions{}, &limits};

  void setup() override {
    holder.SetEntryInstances(10);
    holder.SetIssuer(issuer_id, kStart);
    SetLimit(5, kStart);
  }
  void SetLimit(std::optional<double> rate, Time at) {
    RateLimitObservation observation{.endpoint = endpoint_id,
                                     .observed_at = at};
    if (rate.has_value()) observation.limit = RequestRate(*rate);
    limits.Observe(observation);
  }
  void Reply(const PermitAsk& ask, int granted, Time now) {
    holder.OnReply(issuer_id,
                   {.number = ask.number,
                    .endpoint = endpoint_id,
                    .granted = granted,
                    .retry_after = Milliseconds(200)},
                   now);
  }
};

TEST(PermitHolder, AnEndpointWithoutALimitNeedsNoPermit) {
  const PermitResult result = holder.Take(EndpointId("other"), kStart);
  CHECK_TRUE(result.state == PermitState::kUnlimited);
}

TEST(PermitHolder, RequestsThatWaitShareOneAsk) {
  for (int i = 0; i < 3; ++i) {
    CHECK_TRUE(holder.Take(endpoint_id, kStart).state == PermitState::kAsked);
  }
  const auto asks = holder.TakeAsks(kStart);
  LONGS_EQUAL(1, asks.size());
  LONGS_EQUAL(3, asks[0].calls);
  Reply(asks[0], 2, kStart);
  const auto outcomes = holder.TakeOutcomes();
  LONGS_EQUAL(3, outcomes.size());
  CHECK_TRUE(outcomes[1].permit.has_value());
  CHECK_FALSE(outcomes[2].permit.has_value());
  // The limit is used up: refused at once until the issuer has permits again.
  const PermitResult next = holder.Take(endpoint_id, kStart);
  CHECK_TRUE(next.state == PermitState::kRefused);
  CHECK_TRUE(next.room_at == kStart + Milliseconds(200));
  CHECK_TRUE(holder.Take(endpoint_id, next.room_at).state ==
             PermitState::kAsked);
}

TEST(PermitHolder, APermitOfACallerThatLeftServesTheNextRequestForAWhile) {
  const PermitResult waiting = holder.Take(endpoint_id, kStart);
  const auto asks = holder.TakeAsks(kStart);
  holder.Cancel(waiting.ticket);
  Reply(asks[0], 1, kStart);
  CHECK_TRUE(holder.Take(endpoint_id, kStart + Milliseconds(299)).state ==
             PermitState::kGranted);
  Reply(asks[0], 1, kStart);
  CHECK_TRUE(holder.Take(endpoint_id, kStart + Milliseconds(300)).state ==
             PermitState::kAsked);
}

TEST(PermitHolder, AnIssuerThatDoesNotAnswerIsLeftAsideAndTriedAgain) {
  holder.Take(endpoint_id, kStart);
  const auto asks = holder.TakeAsks(kStart);
  const Time timeout = kStart + Milliseconds(100);
  holder.CheckTimeouts(timeout);
  LONGS_EQUAL(1, holder.TakeOutcomes().size());
  CHECK_FALSE(holder.Take(endpoint_id, timeout).state == PermitState::kAsked);
  LONGS_EQUAL(0, holder.TakeAsks(timeout).size());
  LONGS_EQUAL(1, holder.TakeAsks(timeout + Milliseconds(400)).size());
  Reply(asks[0], 0, timeout);
  CHECK_TRUE(holder.Take(endpoint_id, timeout).state == PermitState::kAsked);
}

TEST(PermitHolder, WithoutAnIssuerAnInstanceGetsItsShare) {
  holder.SetIssuer(InstanceId(), kStart);
  int granted = 0;
  for (int ms = 0; ms < 20000; ms += 10) {
    const PermitResult result =
        holder.Take(endpoint_id, kStart + Milliseconds(ms));
    if (result.state == PermitState::kGranted) ++granted;
  }
  // 5 a second, a tenth of it, for 20 s.
  CHECK_TRUE(granted >= 9 && granted <= 11);
}

TEST(PermitHolder, RequestsThatWaitAreLetGoWhenTheLimitEnds) {
  holder.Take(endpoint_id, kStart);
  SetLimit(std::nullopt, kStart + Milliseconds(1));
  holder.CheckTimeouts(kStart + Milliseconds(1));
  const auto outcomes = holder.TakeOutcomes();
  LONGS_EQUAL(1, outcomes.size());
  CHECK_TRUE(outcomes[0].permit.has_value());
}

TEST(PermitHolder, RequestsThatWaitAreSettledWhenTheIssuerStops) {
  holder.Take(endpoint_id, kStart);
  holder.TakeAsks(kStart);
  holder.OnNotIssuer(issuer_id, kStart);
  LONGS_EQUAL(1, holder.TakeOutcomes().size());
}

}  // namespace cassiausher
