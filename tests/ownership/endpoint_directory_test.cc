// States of endpoints, and rejection of invalid announcements and load reports.
#include "servers/ownership/endpoint_directory.h"

#include <CppUTest/TestHarness.h>

#include <cmath>

using namespace cassiausher;  // NOLINT

namespace {

EndpointInfo Runner(const std::string& name, std::uint64_t incarnation = 5) {
  return {.id = EndpointId(name),
          .data_centre = DataCentreId("north"),
          .service = ServiceId("chat"),
          .url = "http://127.0.0.1:9000",
          .kv_capacity = Bytes(1 << 30),
          .incarnation = Incarnation(incarnation)};
}

Time At(std::int64_t milliseconds) { return Time(Milliseconds(milliseconds)); }

}  // namespace

TEST_GROUP(EndpointDirectory) {
  EndpointDirectory directory{
      {.data_centre = DataCentreId("north"), .service = ServiceId("chat")}};

  void ExpectEvent(EndpointEventKind kind) {
    const auto events = directory.TakeEvents();
    LONGS_EQUAL(1, events.size());
    CHECK(events[0].kind == kind);
  }
};

// Guards against an endpoint that stopped announcing itself and keeps getting
// work.
TEST(EndpointDirectory, SilentEndpointBecomesSuspectThenDead) {
  CHECK(directory.Announce(Runner("r1"), At(0)));
  ExpectEvent(EndpointEventKind::kUpserted);
  CHECK(directory.NextWakeup() == At(1500));
  directory.Tick(At(1500));
  ExpectEvent(EndpointEventKind::kSuspect);
  CHECK(directory.Announce(Runner("r1"), At(1600)));
  ExpectEvent(EndpointEventKind::kAlive);
  directory.Tick(At(3100));
  ExpectEvent(EndpointEventKind::kSuspect);
  directory.Tick(At(5100));
  ExpectEvent(EndpointEventKind::kDead);
  CHECK(directory.Announce(Runner("r1"), At(6000)));
  ExpectEvent(EndpointEventKind::kUpserted);
}

// Guards against new work for an endpoint that departs or is drained, and
// against an announced departure reported as a death.
TEST(EndpointDirectory, DepartingAndDrainedEndpointsAreReportedAsDeparting) {
  EndpointInfo info = Runner("r1");
  directory.Announce(info, At(0));
  directory.TakeEvents();
  directory.SetDrained({EndpointId("r1")}, At(10));
  auto events = directory.TakeEvents();
  CHECK(events.at(0).info.departing);
  directory.SetDrained({}, At(20));
  CHECK(!directory.TakeEvents().at(0).info.departing);
  info.departing = true;
  directory.Announce(info, At(30));
  CHECK(directory.TakeEvents().at(0).info.departing);
  directory.Tick(At(5000));
  events = directory.TakeEvents();
  CHECK(events.back().kind == EndpointEventKind::kDeparted);
}

// Guards against sessions of an earlier run that are taken to exist after a
// restart, and against late announcements of that run.
TEST(EndpointDirectory, HigherIncarnationIsRestartAndLowerIsRejected) {
  directory.Announce(Runner("r1", 5), At(0));
  directory.TakeEvents();
  CHECK(directory.Announce(Runner("r1", 6), At(100)));
  ExpectEvent(EndpointEventKind::kRestarted);
  CHECK(!directory.Announce(Runner("r1", 5), At(200)));
  LONGS_EQUAL(1, directory.counters().stale_incarnation);
  STRCMP_EQUAL("endpoint r1", directory.findings().back().place.c_str());
}

// Guards against values that would break reservations, and against two
// processes that use one name.
TEST(EndpointDirectory, ImplausibleAndContradictoryAnnouncementsAreRejected) {
  directory.Announce(Runner("r1"), At(0));
  EndpointInfo info = Runner("r1");
  info.url = "http://127.0.0.1:9001";
  CHECK(!directory.Announce(info, At(1)));
  LONGS_EQUAL(1, directory.counters().contradictory);
  for (int i = 0; i < 6; ++i) {
    info = Runner("r2");
    if (i == 0) info.slots = 0;
    if (i == 1) info.slots = 1'000'000;
    if (i == 2) info.kv_capacity = Bytes(-1);
    if (i == 3) info.prefill_tokens_per_second = std::nan("");
    if (i == 4) info.kv_bytes_per_token = Bytes(std::int64_t{1} << 40);
    if (i == 5) info.incarnation = Incarnation(~std::uint64_t{0});
    CHECK(!directory.Announce(info, At(2)));
  }
  LONGS_EQUAL(6, directory.counters().implausible);
  info = Runner("r2");
  info.service = ServiceId("other");
  CHECK(!directory.Announce(info, At(3)));
  CHECK(!directory.Announce(Runner(""), At(3)));
  info = Runner("r2");
  info.url = "ftp://x";
  CHECK(!directory.Announce(info, At(3)));
  LONGS_EQUAL(1, directory.Endpoints().size());
  for (int i = 0; i < 2000; ++i) {
    directory.Announce(Runner("many-" + std::to_string(i)), At(4));
  }
  LONGS_EQUAL(1000, directory.Endpoints().size());
  LONGS_EQUAL(64, directory.findings().size());
}

// Guards against load reports that are of another run, repeated or out of
// range.
TEST(EndpointDirectory, InvalidLoadReportsAreRejected) {
  directory.Announce(Runner("r1"), At(0));
  LoadReport report{.endpoint = EndpointId("r1"),
                    .incarnation = Incarnation(5),
                    .sequence = 1,
                    .running = 3};
  CHECK(directory.Report(report, At(1)).has_value());
  CHECK(!directory.Report(report, At(2)).has_value());
  report.sequence = 2;
  report.running = -1;
  CHECK(!directory.Report(report, At(3)).has_value());
  report.running = 1;
  report.incarnation = Incarnation(4);
  CHECK(!directory.Report(report, At(4)).has_value());
  report.incarnation = Incarnation(5);
  report.age = Seconds(3600);
  CHECK(!directory.Report(report, At(5)).has_value());
  report.age = Milliseconds(250);
  CHECK(directory.Report(report, At(6)).has_value());
  LONGS_EQUAL(4, directory.counters().reports_rejected);
}
