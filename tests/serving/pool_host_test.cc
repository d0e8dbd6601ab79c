// Guards against double placement of repeated requests, and against slots and
// engine memory that stay occupied after an entry instance is lost or for
// unknown sessions.
#include "servers/serving/pool_host.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "modules/policy_reserving/register_types.h"

using namespace cassiausher;  // NOLINT: test file

namespace {

Time At(int ms) { return Time(Seconds(1000)) + Milliseconds(ms); }

EndpointInfo Decode(const char* name) {
  EndpointInfo info;
  info.id = EndpointId(name);
  info.data_centre = DataCentreId("dc");
  info.service = ServiceId("s");
  info.role = EndpointRole::kDecode;
  info.url = "http://127.0.0.1:1";
  info.slots = 2;
  info.kv_capacity = Bytes(1 << 30);
  info.prefill_tokens_per_second = 20000;
  info.kv_bytes_per_token = Bytes(1000);
  info.incarnation = Incarnation(1);
  return info;
}

struct Pool {
  Pool() {
    RoutingPolicyRegistry registry;
    RegisterReservingPolicy(registry);
    RoutingOptions options;
    options.classes.push_back({.id = ClassId("c")});
    PoolHostOptions host_options;
    host_options.directory.data_centre = DataCentreId("dc");
    host_options.directory.service = ServiceId("s");
    host = std::make_unique<PoolHost>(registry.Create("reserving", options),
                                      host_options);
    Announce(0);
  }

  void Announce(int ms) {
    LoadReport report;
    report.endpoint = EndpointId("d1");
    report.incarnation = Incarnation(1);
    report.sequence = ++sequence;
    host->Announce(Decode("d1"), report, {}, At(ms));
  }

  void Admit(const char* id, int ms) {
    RouteRequest request;
    request.id = RequestId(id);
    request.entry = InstanceId("entry");
    request.service = ServiceId("s");
    request.class_id = ClassId("c");
    request.arrived = At(ms);
    request.prompt_tokens = Tokens(40);
    request.max_output_tokens = Tokens(20);
    host->Admit(request, At(ms));
  }

  template <typename Output>
  int Take() {
    int count = 0;
    for (const PoolOutput& output : host->TakeOutputs()) {
      count += std::holds_alternative<Output>(output.output);
    }
    return count;
  }

  std::unique_ptr<PoolHost> host;
  std::uint64_t sequence = 0;
};

}  // namespace

TEST_GROUP(PoolHost){};

TEST(PoolHost, ARepeatedRequestGetsTheSameGrantAndOneSlot) {
  Pool pool;
  pool.Admit("r1", 1);
  LONGS_EQUAL(1, pool.Take<Grant>());
  pool.Admit("r1", 2);
  LONGS_EQUAL(1, pool.Take<Grant>());
  LONGS_EQUAL(1, pool.host->policy().Requests(At(3)).size());
}

TEST(PoolHost, AnUnknownSessionIsCancelledAfterTheGracePeriod) {
  Pool pool;
  const std::vector<RequestId> sessions = {RequestId("stranger")};
  const auto live = [](const RequestId&) { return true; };
  pool.host->OnSessions(EndpointId("d1"), sessions, live, At(100));
  pool.host->OnSessions(EndpointId("d1"), sessions, live, At(4000));
  LONGS_EQUAL(0, pool.Take<CancelOrder>());
  pool.host->OnSessions(EndpointId("d1"), sessions, live, At(4700));
  LONGS_EQUAL(1, pool.Take<CancelOrder>());
}

TEST(PoolHost, AnUnknownSessionOfALostEntryInstanceIsCancelledSooner) {
  Pool pool;
  const std::vector<RequestId> sessions = {RequestId("stranger")};
  const auto not_live = [](const RequestId&) { return false; };
  pool.host->OnSessions(EndpointId("d1"), sessions, not_live, At(100));
  pool.host->OnSessions(EndpointId("d1"), sessions, not_live, At(1100));
  LONGS_EQUAL(1, pool.Take<CancelOrder>());
}

TEST(PoolHost, SessionsOfPlacedRequestsAreNotCancelled) {
  Pool pool;
  pool.Admit("r1", 1);
  pool.Take<Grant>();
  const auto not_live = [](const RequestId&) { return false; };
  for (int ms = 100; ms < 10000; ms += 1000) {
    pool.host->OnSessions(EndpointId("d1"), {RequestId("r1")}, not_live,
                          At(ms));
  }
  LONGS_EQUAL(0, pool.Take<CancelOrder>());
}

TEST(PoolHost, LossOfAnEntryInstanceFreesItsSlotsAndEngineMemory) {
  Pool pool;
  pool.Admit("r1", 1);
  pool.Admit("r2", 1);
  pool.Take<Grant>();
  pool.host->OnEntryLost(InstanceId("entry"), At(10));
  LONGS_EQUAL(2, pool.Take<CancelOrder>());
  LONGS_EQUAL(0, pool.host->policy().Requests(At(11)).size());
}

TEST(PoolHost, ASilentEndpointGetsNoNewWork) {
  Pool pool;
  pool.host->Tick(At(2000));
  pool.Admit("r1", 2001);
  LONGS_EQUAL(0, pool.Take<Grant>());
}
