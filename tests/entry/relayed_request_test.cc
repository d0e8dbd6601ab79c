// Guards against callers who are refused although another instance could serve
// them (incident out-of-reach), against a second run of a relayed request, and
// against requests that go from one instance without endpoints to the next.
#include <CppUTest/TestHarness.h>

#include <string>

#include "servers/control/rate_limits.h"
#include "servers/crashes/crash_guard.h"
#include "servers/entry/permit_holder.h"
#include "servers/entry/request_forwarder.h"

namespace cassiausher {
namespace {

constexpr Time kStart{Seconds(100)};
const ServiceId service_id("s");
const InstanceId control_id("c");

EndpointRecord Endpoint(const std::string& id, EndpointRole role) {
  return {.id = EndpointId(id),
          .service = service_id,
          .address = "10.0.0.1:80",
          .data_centre = DataCentreId("here"),
          .role = role,
          .slots = 6,
          .version = SoftwareVersion("v1"),
          .incarnation = Incarnation(1),
          .sequence = 1};
}

RequestFacts Facts(RouteKind kind, int attempts) {
  return {.kind = kind,
          .attempts = attempts,
          .service = service_id,
          .arrived = kStart,
          .deadline = kStart + Seconds(10)};
}

template <typename Step>
bool Is(const ForwardStep& step) {
  return std::holds_alternative<Step>(step);
}

bool IsRelay(const ForwardStep& step) {
  const auto* call = std::get_if<StartCall>(&step);
  return call != nullptr && call->kind == CallKind::kRelay;
}

const StartCall& Call(const ForwardStep& step) {
  return std::get<StartCall>(step);
}

}  // namespace

TEST_GROUP(RelayedRequest) {
  EndpointPool pool{EndpointPoolOptions{.data_centre = DataCentreId("here")}};
  RetryBudget budget{RetryBudgetOptions{.ratio = 1, .floor_per_second = 10}};
  RateLimits limits;
  PermitHolder permits{PermitHolderOptions{}, &limits};
  CrashEvidence evidence{CrashEvidenceOptions{}};
  CrashGuard guard{CrashGuardOptions{}, &evidence};
  RelayPlanner planner{RelayPlannerOptions{}, &pool};
  ForwarderResources resources{.pool = &pool,
                               .budget = &budget,
                               .permits = &permits,
                               .guard = &guard,
                               .relays = &planner};

  void AddPlain() {
    for (const char* id : {"p0", "p1", "p2"}) {
      pool.Merge(Endpoint(id, EndpointRole::kPlain), kStart);
    }
  }
  void AddRunners() {
    pool.Merge(Endpoint("prefill", EndpointRole::kPrefill), kStart);
    pool.Merge(Endpoint("decode1", EndpointRole::kDecode), kStart);
    pool.Merge(Endpoint("decode2", EndpointRole::kDecode), kStart);
  }
  void CutOff(EndpointRole role) {
    for (int i = 0; i < 3; ++i) {
      for (const EndpointRecord* endpoint :
           pool.ReadyEndpoints(service_id, role)) {
        planner.reach().OnUnreachable(*endpoint, kStart);
      }
    }
  }
  void CutOffAll() {
    for (const EndpointRole role :
         {EndpointRole::kPlain, EndpointRole::kPrefill,
          EndpointRole::kDecode}) {
      CutOff(role);
    }
  }
  void NameHelpers(int count) {
    NamedHelpers named;
    for (int i = 0; i < count; ++i) {
      named.helpers.push_back(
          {.address = "h" + std::to_string(i), .token = RelayToken(7)});
    }
    planner.SetHelpers(control_id, service_id, named, kStart);
  }
  static RequestFacts StreamFacts() {
    RequestFacts facts = Facts(RouteKind::kStream, 2);
    facts.resumable = true;
    facts.has_engine = true;
    facts.prompt = Tokens(5000);
    facts.output = Tokens(4000);
    facts.kv_capacity = Tokens(100000);
    return facts;
  }
  RequestForwarder Make(const RequestFacts& facts) {
    return RequestForwarder(facts, resources);
  }
};

TEST(RelayedRequest, WithoutEndpointsWithinReachItGoesToAHelper) {
  AddPlain();
  CutOffAll();
  NameHelpers(1);
  RequestForwarder forwarder = Make(Facts(RouteKind::kNonIdempotent, 1));
  const ForwardStep step = forwarder.Start(kStart);
  CHECK_TRUE(IsRelay(step));
  STRCMP_EQUAL("h0", Call(step).endpoint.address.c_str());
  CHECK_TRUE(Call(step).relay->token == RelayToken(7));
  LONGS_EQUAL(1, Call(step).relay->attempts);
}

// Its own failed connections show that nothing is within reach.
TEST(RelayedRequest, TheFirstRequestOfACutIsRelayedToo) {
  AddPlain();
  NameHelpers(1);
  RequestForwarder forwarder = Make(Facts(RouteKind::kNonIdempotent, 1));
  ForwardStep step = forwarder.Start(kStart);
  for (int i = 0; i < 3; ++i) {
    CHECK_FALSE(IsRelay(step));
    planner.reach().OnUnreachable(Call(step).endpoint, kStart);
    step = forwarder.OnCallFailed(CallFailure::kNotSent, kStart);
  }
  CHECK_TRUE(IsRelay(step));
}

TEST(RelayedRequest, ItIsRefusedAtOnceIfNobodyCanServeIt) {
  AddPlain();
  CutOffAll();
  NameHelpers(0);
  RequestForwarder forwarder = Make(Facts(RouteKind::kNonIdempotent, 1));
  const ForwardStep step = forwarder.Start(kStart + Milliseconds(500));
  CHECK_TRUE(Is<Refuse>(step));
  CHECK_TRUE(std::get<Refuse>(step).out_of_reach);
}

// Instances that are cut off at the same moment notice it one after another.
TEST(RelayedRequest, ItWaitsForTheFirstHelpers) {
  AddPlain();
  CutOffAll();
  RequestForwarder forwarder = Make(Facts(RouteKind::kNonIdempotent, 1));
  CHECK_TRUE(Is<WaitForCapacity>(forwarder.Start(kStart)));
  NameHelpers(1);
  CHECK_TRUE(IsRelay(forwarder.OnWaitElapsed(kStart + Milliseconds(10))));
}

TEST(RelayedRequest, AHelperThatCantServeItIsFollowedByAnother) {
  AddPlain();
  CutOffAll();
  NameHelpers(5);
  RequestForwarder forwarder = Make(Facts(RouteKind::kNonIdempotent, 1));
  ForwardStep step = forwarder.Start(kStart);
  std::set<std::string> helpers;
  const Time later = kStart + Milliseconds(500);
  for (int i = 0; i < 3; ++i) {
    CHECK_TRUE(IsRelay(step));
    helpers.insert(Call(step).endpoint.address);
    step = forwarder.OnCallFailed(
        i == 0 ? CallFailure::kNotSent : CallFailure::kNotExecuted, later);
  }
  LONGS_EQUAL(3, helpers.size());
  CHECK_TRUE(Is<Refuse>(step));
}

// The helper may have run it.
TEST(RelayedRequest, ThatBrokeOffIsNotRunAgainUnlessItMay) {
  AddPlain();
  CutOffAll();
  NameHelpers(2);
  RequestForwarder once = Make(Facts(RouteKind::kNonIdempotent, 2));
  once.Start(kStart);
  CHECK_TRUE(Is<Fail>(once.OnCallFailed(CallFailure::kBroken, kStart)));
  RequestForwarder idempotent = Make(Facts(RouteKind::kIdempotent, 2));
  idempotent.Start(kStart);
  const ForwardStep second =
      idempotent.OnCallFailed(CallFailure::kBroken, kStart);
  CHECK_TRUE(IsRelay(second));
  LONGS_EQUAL(1, Call(second).relay->attempts);
}

// Two instances that are cut off would relay a request to each other.
TEST(RelayedRequest, AHelperDoesntRelayItFurther) {
  AddPlain();
  CutOffAll();
  NameHelpers(2);
  RequestFacts facts = Facts(RouteKind::kIdempotent, 2);
  facts.relayed = true;
  RequestForwarder forwarder = Make(facts);
  const ForwardStep step = forwarder.Start(kStart);
  CHECK_TRUE(Is<Refuse>(step));
  CHECK_TRUE(std::get<Refuse>(step).out_of_reach);
}

// It would count at both instances, and allow two retries.
TEST(RelayedRequest, ARelayedRequestIsCountedOnce) {
  AddPlain();
  RetryBudget empty(RetryBudgetOptions{.ratio = 1, .floor_per_second = 0});
  resources.budget = &empty;
  RequestFacts facts = Facts(RouteKind::kIdempotent, 2);
  facts.relayed = true;
  RequestForwarder forwarder = Make(facts);
  forwarder.Start(kStart);
  CHECK_TRUE(Is<Fail>(forwarder.OnCallFailed(CallFailure::kBroken, kStart)));
}

TEST(RelayedRequest, AStreamThatHasBegunGoesOnAtItsVersion) {
  AddRunners();
  NameHelpers(1);
  RequestForwarder forwarder = Make(StreamFacts());
  CHECK_TRUE(Call(forwarder.Start(kStart)).kind == CallKind::kPrefill);
  const ForwardStep run = forwarder.OnPrefillDone(
      {.address = "10.0.0.1:80", .handle = "h", .endpoint = EndpointId("r")},
      kStart);
  CHECK_TRUE(Call(run).kind == CallKind::kRun);
  forwarder.OnBegun();
  CutOffAll();
  const ForwardStep step = forwarder.OnCallFailed(CallFailure::kBroken, kStart);
  CHECK_TRUE(IsRelay(step));
  CHECK_TRUE(Call(step).relay->begun_by == SoftwareVersion("v1"));
}

// A stream that began at a helper goes on at the version of the endpoint there.
TEST(RelayedRequest, TheHelperNamesTheVersion) {
  AddRunners();
  CutOffAll();
  NameHelpers(2);
  RequestForwarder forwarder = Make(StreamFacts());
  CHECK_TRUE(IsRelay(forwarder.Start(kStart)));
  forwarder.OnRelayed(SoftwareVersion("v9"));
  forwarder.OnBegun();
  const ForwardStep next = forwarder.OnCallFailed(CallFailure::kBroken, kStart);
  CHECK_TRUE(IsRelay(next));
  CHECK_TRUE(Call(next).relay->begun_by == SoftwareVersion("v9"));
}

// A stream that hangs in the cut fails over to a helper only if there is one.
TEST(RelayedRequest, ASilentCallFailsOverToAHelper) {
  AddRunners();
  RequestForwarder forwarder = Make(StreamFacts());
  forwarder.Start(kStart);
  forwarder.OnPrefillDone(
      {.address = "10.0.0.1:80", .handle = "h", .endpoint = EndpointId("r")},
      kStart);
  forwarder.OnBegun();
  CutOffAll();
  CHECK_FALSE(forwarder.TakeFailOver(kStart));
  NameHelpers(1);
  CHECK_TRUE(forwarder.TakeFailOver(kStart));
  CHECK_TRUE(IsRelay(forwarder.OnCallFailed(CallFailure::kSilent, kStart)));
}

// Runners that decode could prefill the prompt, which stalls their streams.
TEST(RelayedRequest, WithoutRunnersThatPrefillAHelperIsPreferred) {
  AddRunners();
  CutOff(EndpointRole::kPrefill);
  RequestForwarder alone = Make(StreamFacts());
  CHECK_FALSE(IsRelay(alone.Start(kStart)));
  NameHelpers(1);
  RequestForwarder helped = Make(StreamFacts());
  CHECK_TRUE(IsRelay(helped.Start(kStart)));
}

}  // namespace cassiausher
