// Guards against placement on departing, unreachable, slow, failing and full
// endpoints, and against needless traffic to other data centres.
#include "servers/entry/endpoint_pool.h"

#include <CppUTest/TestHarness.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "servers/control/endpoint_registry.h"
#include "servers/entry/origin_keeper.h"

namespace cassiausher {
namespace {

constexpr Time kStart{Seconds(100)};

EndpointRecord Plain(const char* id, const char* data_centre) {
  return {.id = EndpointId(id),
          .service = ServiceId("lookup"),
          .address = "10.0.0.1:80",
          .data_centre = DataCentreId(data_centre),
          .slots = 6,
          .incarnation = Incarnation(1),
          .sequence = 1};
}

EndpointRecord Decoder(const char* id) {
  EndpointRecord record = Plain(id, "here");
  record.service = ServiceId("model");
  record.role = EndpointRole::kDecode;
  return record;
}

WorkSpec Lookup() { return {.service = ServiceId("lookup")}; }

MemoryForecast Hold(std::int64_t tokens) {
  return {Tokens(tokens), Tokens(0), Tokens(0)};
}

WorkSpec Stream() {
  return {.service = ServiceId("model"),
          .role = EndpointRole::kDecode,
          .prompt = Tokens(5000),
          .memory = Hold(7000),
          .kv_capacity = Tokens(100000)};
}

}  // namespace

TEST_GROUP(EndpointPool) {
  EndpointPool pool{EndpointPoolOptions{.data_centre = DataCentreId("here")}};

  std::string PickId(const WorkSpec& work, Time now) {
    const auto placed = pool.Pick(work, now);
    return placed ? placed->endpoint.id.value() : "none";
  }
  void Finish(const char* id, WorkOutcome outcome, Duration took, Time now) {
    pool.OnStart(EndpointId(id), Lookup(), now);
    pool.OnFinish(EndpointId(id), Lookup(), outcome, took, now);
  }
  /// Takes what a control instance sends: its changed records and the silent
  /// endpoints.
  void Follow(const EndpointRegistry& registry, const char* control, Time now) {
    for (const EndpointRecord& sent : registry.ChangedSince(known[control])) {
      EndpointRecord received;
      CHECK_TRUE(FromProto(ToProto(sent), &received));
      pool.Merge(received, now);
    }
    known[control] = registry.revision();
    const std::vector<EndpointId> silent = registry.Silent(now);
    pool.SetSilent(control, {silent.begin(), silent.end()}, now);
  }

  /// Known revision of each control instance's registry.
  std::map<std::string, std::uint64_t> known;
};

TEST(EndpointPool, PrefersItsOwnDataCentre) {
  pool.Merge(Plain("a", "there"), kStart);
  pool.Merge(Plain("b", "here"), kStart);
  STRCMP_EQUAL("b", PickId(Lookup(), kStart).c_str());
}

TEST(EndpointPool, ADrainingEndpointGetsNoWork) {
  EndpointRecord record = Plain("a", "here");
  pool.Merge(record, kStart);
  record.state = EndpointLifecycle::kDraining;
  record.sequence = 2;
  pool.Merge(record, kStart);
  STRCMP_EQUAL("none", PickId(Lookup(), kStart).c_str());
}

// A restarted control instance sends a stale record of a departed runner.
// Control instances learn from heartbeats alone that an endpoint leaves; its
// answers say so earlier, and at an instance that is cut off from them.
TEST(EndpointPool, AnEndpointWhoseAnswersSayThatItLeavesGetsNoWork) {
  EndpointRecord record = Plain("e", "here");
  pool.Merge(record, kStart);
  pool.OnLeaving(EndpointId("e"), Incarnation(1), kStart);
  STRCMP_EQUAL("none", PickId(Lookup(), kStart).c_str());
  record.sequence = 9;
  pool.Merge(record, kStart);
  STRCMP_EQUAL("none", PickId(Lookup(), kStart).c_str());
  // Its record isn't forgotten soon, or a late one would make it ready.
  record.expired = true;
  pool.Merge(record, kStart);
  pool.SetSilent("control", {EndpointId("e")}, kStart);
  pool.Expire(kStart + Seconds(1));
  CHECK_TRUE(pool.Find(EndpointId("e")) != nullptr);
  record = Plain("e", "here");
  record.incarnation = Incarnation(2);
  pool.Merge(record, kStart);
  pool.OnLeaving(EndpointId("e"), Incarnation(1), kStart);
  STRCMP_EQUAL("e", PickId(Lookup(), kStart).c_str());
}

TEST(EndpointPool, AnEndpointThatTurnsRequestsAwayGetsNoneUntilItsTimeIsOver) {
  pool.Merge(Plain("e", "here"), kStart);
  const ServiceId service("lookup");
  pool.OnTurnedAway(EndpointId("e"), Incarnation(1), kStart + Seconds(3));
  // An earlier end, as of an answer that was overtaken, changes nothing.
  pool.OnTurnedAway(EndpointId("e"), Incarnation(1), kStart + Seconds(1));
  const Time before = kStart + Milliseconds(2999);
  STRCMP_EQUAL("none", PickId(Lookup(), before).c_str());
  CHECK_TRUE(pool.BackoffEnd(service, EndpointRole::kPlain, before) ==
             kStart + Seconds(3));
  STRCMP_EQUAL("e", PickId(Lookup(), kStart + Seconds(3)).c_str());
  CHECK_FALSE(
      pool.BackoffEnd(service, EndpointRole::kPlain, kStart + Seconds(3))
          .has_value());
}

TEST(EndpointPool, AStaleRecordDoesNotRestoreADepartedEndpoint) {
  EndpointRecord record = Plain("a", "here");
  record.state = EndpointLifecycle::kDeparted;
  record.sequence = 5;
  pool.Merge(record, kStart);
  pool.Merge(Plain("a", "here"), kStart);
  STRCMP_EQUAL("none", PickId(Lookup(), kStart).c_str());
}

// Runners become unreachable, and connections to them hang.
TEST(EndpointPool, OneFailedConnectionOpensTheCircuit) {
  pool.Merge(Plain("dark", "here"), kStart);
  pool.Merge(Plain("sound", "there"), kStart);
  Finish("dark", WorkOutcome::kUnreachable, Milliseconds(250), kStart);
  STRCMP_EQUAL("sound", PickId(Lookup(), kStart).c_str());
  // After the backoff, one trial request at a time probes the endpoint.
  const Time later = kStart + Seconds(30);
  STRCMP_EQUAL("dark", PickId(Lookup(), later).c_str());
  pool.OnStart(EndpointId("dark"), Lookup(), later);
  STRCMP_EQUAL("sound", PickId(Lookup(), later).c_str());
}

// An endpoint answered each call with bytes that never ended, and went on
// getting calls.
TEST(EndpointPool, AnEndpointWithExcessiveAnswersIsTriedForGrowingPeriods) {
  pool.Merge(Plain("endless", "here"), kStart);
  pool.Merge(Plain("sound", "there"), kStart);
  // Loaded so that only an open circuit keeps calls off the other one.
  for (int i = 0; i < 300; ++i) {
    pool.OnStart(EndpointId("sound"), Lookup(), kStart);
  }
  Time now = kStart;
  int calls = 0;
  for (; now < kStart + Seconds(30); now += Milliseconds(10)) {
    if (PickId(Lookup(), now) != "endless") continue;
    Finish("endless", WorkOutcome::kExcessive, Milliseconds(20), now);
    ++calls;
  }
  CHECK(calls >= 5);
  CHECK(calls <= 20);
  // Well again.
  const Time well_since = now;
  while (PickId(Lookup(), now) != "endless") now += Milliseconds(10);
  CHECK(now - well_since < Seconds(10));
  Finish("endless", WorkOutcome::kDone, Milliseconds(10), now);
  Finish("endless", WorkOutcome::kDone, Milliseconds(10), now);
  STRCMP_EQUAL("endless", PickId(Lookup(), now).c_str());
}

TEST(EndpointPool, OneExcessiveAnswerTakesAnEndpointOutForASecond) {
  pool.Merge(Plain("sound", "here"), kStart);
  pool.Merge(Plain("other", "there"), kStart);
  Finish("sound", WorkOutcome::kExcessive, Milliseconds(20), kStart);
  STRCMP_EQUAL("other", PickId(Lookup(), kStart).c_str());
  // With the other endpoint loaded, the first serves again.
  const Time later = kStart + Milliseconds(1500);
  for (int i = 0; i < 300; ++i)
    pool.OnStart(EndpointId("other"), Lookup(), later);
  STRCMP_EQUAL("sound", PickId(Lookup(), later).c_str());
}

// Runners become slow.
TEST(EndpointPool, ASlowEndpointIsAvoided) {
  pool.Merge(Plain("slow", "here"), kStart);
  pool.Merge(Plain("sound", "there"), kStart);
  for (int i = 0; i < 4; ++i) {
    Finish("slow", WorkOutcome::kDone, Milliseconds(75), kStart);
  }
  STRCMP_EQUAL("sound", PickId(Lookup(), kStart).c_str());
}

// A call that says nothing of an endpoint's cost made the cost observed long
// before count in full again.
TEST(EndpointPool, AnOldCostDoesNotReturnWithACallThatDoesNotCountForIt) {
  pool.Merge(Plain("once-slow", "here"), kStart);
  pool.Merge(Plain("sound", "there"), kStart);
  for (int i = 0; i < 4; ++i) {
    Finish("once-slow", WorkOutcome::kDone, Milliseconds(75), kStart);
  }
  const Time later = kStart + Seconds(12);
  STRCMP_EQUAL("once-slow", PickId(Lookup(), later).c_str());
  Finish("once-slow", WorkOutcome::kRejected, Milliseconds(5), later);
  STRCMP_EQUAL("once-slow", PickId(Lookup(), later + Seconds(1)).c_str());
}

// An endpoint fell silent for a second with several calls open, of which the
// entry instance gave up those that it could repeat. The share of failures then
// kept work away for over ten seconds.
TEST(EndpointPool, AnEndpointThatWasSilentGetsWorkAgainWithinASecond) {
  pool.Merge(Plain("silent", "here"), kStart);
  pool.Merge(Plain("sound", "there"), kStart);
  for (int i = 0; i < 6; ++i) {
    pool.OnStart(EndpointId("silent"), Lookup(), kStart);
  }
  const Time given_up = kStart + Milliseconds(150);
  for (int i = 0; i < 6; ++i) {
    pool.OnFinish(EndpointId("silent"), Lookup(), WorkOutcome::kSilent,
                  Milliseconds(150), given_up);
  }
  STRCMP_EQUAL("sound", PickId(Lookup(), given_up).c_str());
  STRCMP_EQUAL("silent", PickId(Lookup(), given_up + Seconds(1)).c_str());
}

// Calls that an endpoint's silence held up are answered together when it goes
// on. Their durations counted as its cost, which kept work away for over ten
// seconds.
TEST(EndpointPool, AnswersHeldUpByASilenceDontKeepWorkAway) {
  pool.Merge(Plain("silent", "here"), kStart);
  pool.Merge(Plain("sound", "there"), kStart);
  for (int i = 0; i < 6; ++i) {
    pool.OnStart(EndpointId("silent"), Lookup(), kStart);
  }
  const Time goes_on = kStart + Milliseconds(1500);
  for (int i = 0; i < 6; ++i) {
    pool.OnFinish(EndpointId("silent"), Lookup(), WorkOutcome::kDone,
                  Milliseconds(1500 - 200 * i), goes_on);
  }
  STRCMP_EQUAL("silent", PickId(Lookup(), goes_on).c_str());
}

// Calls sent shortly before a silence ended took a few times as long as others,
// which counted as the endpoint's cost and kept work away for four seconds
// (soak_silence, seed 1).
TEST(EndpointPool, CallsSentLateInASilenceDontKeepWorkAway) {
  pool.Merge(Plain("silent", "here"), kStart);
  pool.Merge(Plain("sound", "there"), kStart);
  const EndpointId silent("silent");
  const Time late = kStart + Milliseconds(1120);
  const Time goes_on = kStart + Milliseconds(1200);
  pool.OnStart(silent, Lookup(), kStart);
  for (int i = 0; i < 3; ++i) pool.OnStart(silent, Lookup(), late);
  for (int i = 0; i < 3; ++i) {
    pool.OnFinish(silent, Lookup(), WorkOutcome::kDone, goes_on - late,
                  goes_on);
  }
  pool.OnFinish(silent, Lookup(), WorkOutcome::kDone, goes_on - kStart,
                goes_on);
  STRCMP_EQUAL("silent", PickId(Lookup(), goes_on).c_str());
}

// The same with a trial call as the only one that waits, since the earlier ones
// were given up.
TEST(EndpointPool, ATrialSentLateInASilenceDoesntKeepWorkAway) {
  pool.Merge(Plain("silent", "here"), kStart);
  pool.Merge(Plain("sound", "there"), kStart);
  Finish("silent", WorkOutcome::kSilent, Milliseconds(150), kStart);
  const Time trial = kStart + Milliseconds(1120);
  const Time goes_on = kStart + Milliseconds(1200);
  pool.OnStart(EndpointId("silent"), Lookup(), trial);
  pool.OnFinish(EndpointId("silent"), Lookup(), WorkOutcome::kDone,
                goes_on - trial, goes_on);
  STRCMP_EQUAL("silent", PickId(Lookup(), goes_on).c_str());
}

// A runner with three prompts queued was taken for slow after a silence, since
// a silence had to be several times as long as reading all of them takes
// (soak_silence, seed 10).
TEST(EndpointPool, PromptsHeldUpByASilenceDontKeepWorkAway) {
  EndpointRecord silent = Decoder("silent");
  EndpointRecord sound = Decoder("sound");
  silent.role = sound.role = EndpointRole::kPrefill;
  pool.Merge(silent, kStart);
  pool.Merge(sound, kStart);
  const WorkSpec prompt{.service = ServiceId("model"),
                        .role = EndpointRole::kPrefill,
                        .prompt = Tokens(5000)};
  const Time goes_on = kStart + Milliseconds(1200);
  for (int i = 0; i < 3; ++i) pool.OnStart(silent.id, prompt, kStart);
  for (int i = 0; i < 3; ++i) {
    pool.OnResponse(silent.id, prompt, goes_on);
    pool.OnFinish(silent.id, prompt, WorkOutcome::kDone, goes_on - kStart,
                  goes_on);
  }
  STRCMP_EQUAL("silent", PickId(prompt, goes_on).c_str());
}

// An instance that sent an endpoint no call between two silences took the
// second for a continuation of the first.
TEST(EndpointPool, TwoSilencesAreNotTakenForASlowEndpoint) {
  pool.Merge(Plain("silent", "here"), kStart);
  pool.Merge(Plain("sound", "there"), kStart);
  for (const Time goes_on : {kStart + Seconds(2), kStart + Seconds(6)}) {
    const Duration took = Milliseconds(1200);
    pool.OnStart(EndpointId("silent"), Lookup(), goes_on - took);
    pool.OnFinish(EndpointId("silent"), Lookup(), WorkOutcome::kDone, took,
                  goes_on);
    STRCMP_EQUAL("silent", PickId(Lookup(), goes_on).c_str());
  }
}

// An endpoint that stays much slower than before is avoided all the same.
TEST(EndpointPool, AnEndpointThatStaysSlowIsAvoided) {
  pool.Merge(Plain("slow", "here"), kStart);
  pool.Merge(Plain("sound", "there"), kStart);
  Time now = kStart;
  for (int i = 0; i < 5; ++i) {
    now += Milliseconds(500);
    Finish("slow", WorkOutcome::kDone, Milliseconds(500), now);
  }
  STRCMP_EQUAL("sound", PickId(Lookup(), now).c_str());
}

// New streams went to a silent runner until its older ones were given up, and
// waited there for seconds.
TEST(EndpointPool, ARunnerWhoseStreamsAreQuietGetsNoNewOnes) {
  pool.Merge(Decoder("quiet"), kStart);
  pool.Merge(Decoder("sound"), kStart);
  const EndpointId quiet("quiet");
  WorkSpec first = Stream();
  pool.OnStart(quiet, first, kStart);
  pool.OnEvent(quiet, kStart, &first);
  WorkSpec next = Stream();
  next.reserved_at = quiet;
  const Time soon = kStart + Milliseconds(400);
  STRCMP_EQUAL("quiet", PickId(next, soon).c_str());
  const Time late = kStart + Milliseconds(600);
  STRCMP_EQUAL("sound", PickId(next, late).c_str());
  // It goes on, and gets work again at once.
  pool.OnEvent(quiet, late, &first);
  STRCMP_EQUAL("quiet", PickId(next, late).c_str());
  // Without streams, nothing is known of it.
  pool.OnFinish(quiet, first, WorkOutcome::kDone, Milliseconds(20), late);
  STRCMP_EQUAL("quiet", PickId(next, late + Seconds(1)).c_str());
}

// A caller that didn't read made its runner look quiet, which kept the streams
// of other callers away.
TEST(EndpointPool, ARunnerIsNotQuietWhileAStreamIsPaused) {
  pool.Merge(Decoder("paused"), kStart);
  pool.Merge(Decoder("other"), kStart);
  const EndpointId paused("paused");
  WorkSpec first = Stream();
  pool.OnStart(paused, first, kStart);
  pool.OnEvent(paused, kStart, &first);
  pool.OnPaused(paused, &first);
  WorkSpec next = Stream();
  next.reserved_at = paused;
  STRCMP_EQUAL("paused", PickId(next, kStart + Seconds(1)).c_str());
  pool.OnFinish(paused, first, WorkOutcome::kDone, Milliseconds(20), kStart);
  STRCMP_EQUAL("paused", PickId(next, kStart + Seconds(1)).c_str());
}

// The queue of connections of a silent endpoint fills, so that connecting to it
// fails until it goes on. The backoff then grew to several seconds.
TEST(EndpointPool, AnEndpointThatWasUnreachableGetsWorkAgainWithinASecond) {
  pool.Merge(Plain("silent", "here"), kStart);
  pool.Merge(Plain("sound", "there"), kStart);
  const Duration connect_timeout = Milliseconds(120);
  const Time goes_on = kStart + Milliseconds(1500);
  for (Time now = kStart; now < goes_on; now += Milliseconds(10)) {
    if (PickId(Lookup(), now) != "silent") continue;
    pool.OnStart(EndpointId("silent"), Lookup(), now);
    now += connect_timeout;
    pool.OnFinish(EndpointId("silent"), Lookup(), WorkOutcome::kUnreachable,
                  connect_timeout, now);
  }
  STRCMP_EQUAL("silent", PickId(Lookup(), goes_on + Seconds(1)).c_str());
}

// One connection to a runner failed while it ran streams. It then got no work
// before the last of them had ended.
TEST(EndpointPool, StreamsInProgressDontKeepTrialsAway) {
  pool.Merge(Decoder("a"), kStart);
  pool.Merge(Decoder("b"), kStart);
  pool.OnStart(EndpointId("a"), Stream(), kStart);
  pool.OnStart(EndpointId("a"), Stream(), kStart);
  pool.OnFinish(EndpointId("a"), Stream(), WorkOutcome::kUnreachable,
                Milliseconds(120), kStart);
  WorkSpec work = Stream();
  work.reserved_at = EndpointId("a");
  STRCMP_EQUAL("b", PickId(work, kStart).c_str());
  STRCMP_EQUAL("a", PickId(work, kStart + Milliseconds(1100)).c_str());
}

// The caller of a trial request disconnected, and the endpoint got no work
// while other requests to it were in progress.
TEST(EndpointPool, AnAbandonedTrialIsFollowedByAnother) {
  pool.Merge(Plain("a", "here"), kStart);
  pool.Merge(Plain("b", "there"), kStart);
  Finish("a", WorkOutcome::kUnreachable, Milliseconds(120), kStart);
  const Time later = kStart + Seconds(2);
  pool.OnStart(EndpointId("a"), Lookup(), later);
  STRCMP_EQUAL("b", PickId(Lookup(), later).c_str());
  pool.OnFinish(EndpointId("a"), Lookup(), WorkOutcome::kAbandoned,
                Milliseconds(10), later);
  STRCMP_EQUAL("a", PickId(Lookup(), later).c_str());
}

// An endpoint that fell silent a second time, two seconds after the first, got
// no work for over three seconds (soak_silence, seed 1).
TEST(EndpointPool, ASecondSilenceDoesNotKeepWorkAwayForLonger) {
  pool.Merge(Plain("silent", "here"), kStart);
  pool.Merge(Plain("sound", "there"), kStart);
  const Time first_end = kStart + Seconds(1);
  const Time second = first_end + Seconds(2);
  Finish("silent", WorkOutcome::kSilent, Milliseconds(150), kStart);
  Finish("silent", WorkOutcome::kDone, Milliseconds(15), first_end);
  Finish("silent", WorkOutcome::kSilent, Milliseconds(150), second);
  STRCMP_EQUAL("silent", PickId(Lookup(), second + Seconds(1)).c_str());
}

// A call that began in a silence and is given up just after its end counted as
// a failure of the endpoint that had recovered: no work for over ten seconds.
TEST(EndpointPool, CallsOfASilenceThatFailAfterItDontKeepWorkAway) {
  pool.Merge(Plain("silent", "here"), kStart);
  pool.Merge(Plain("sound", "there"), kStart);
  const EndpointId silent("silent");
  Finish("silent", WorkOutcome::kSilent, Milliseconds(150), kStart);
  const Time trial = kStart + Milliseconds(1100);
  const Time goes_on = kStart + Milliseconds(1200);
  const Time given_up = kStart + Milliseconds(1250);
  pool.OnStart(silent, Lookup(), trial);
  pool.OnStart(silent, Lookup(), trial);
  pool.OnFinish(silent, Lookup(), WorkOutcome::kDone, goes_on - trial, goes_on);
  pool.OnFinish(silent, Lookup(), WorkOutcome::kSilent, given_up - trial,
                given_up);
  STRCMP_EQUAL("silent", PickId(Lookup(), given_up).c_str());
}

// Half of the connections to an endpoint fail, as on a lossy link.
TEST(EndpointPool, AnEndpointThatFailsSoonAfterItRecoveredIsAvoided) {
  pool.Merge(Plain("lossy", "here"), kStart);
  pool.Merge(Plain("sound", "there"), kStart);
  Finish("lossy", WorkOutcome::kUnreachable, Milliseconds(120), kStart);
  const Time recovered = kStart + Seconds(1);
  STRCMP_EQUAL("lossy", PickId(Lookup(), recovered).c_str());
  Finish("lossy", WorkOutcome::kDone, Milliseconds(15), recovered);
  STRCMP_EQUAL("lossy", PickId(Lookup(), recovered).c_str());
  const Time failed = recovered + Milliseconds(120);
  Finish("lossy", WorkOutcome::kUnreachable, failed - recovered, failed);
  STRCMP_EQUAL("sound", PickId(Lookup(), failed + Seconds(5)).c_str());
}

// Runners fail some of their requests although they report good health.
TEST(EndpointPool, AFailingEndpointIsAvoidedUntilTheFailureDecays) {
  pool.Merge(Plain("grey", "here"), kStart);
  pool.Merge(Plain("sound", "there"), kStart);
  Finish("grey", WorkOutcome::kServerError, Milliseconds(10), kStart);
  STRCMP_EQUAL("sound", PickId(Lookup(), kStart).c_str());
  STRCMP_EQUAL("grey", PickId(Lookup(), kStart + Seconds(60)).c_str());
}

TEST(EndpointPool, ASilentEndpointIsOnlyTheLastResort) {
  pool.Merge(Plain("silent", "here"), kStart);
  pool.SetSilent("control", {EndpointId("silent")}, kStart);
  STRCMP_EQUAL("silent", PickId(Lookup(), kStart).c_str());
  pool.Merge(Plain("heard", "there"), kStart);
  STRCMP_EQUAL("heard", PickId(Lookup(), kStart).c_str());
  // Another control instance still receives its heartbeats.
  pool.SetSilent("other control", {}, kStart);
  STRCMP_EQUAL("silent", PickId(Lookup(), kStart).c_str());
}

// A runner crashed without a departure and came back under a new id. Once the
// control instances had dropped its old record, which ended their reports of
// its silence, the old id got work again and stayed in the pool for good.
TEST(EndpointPool, ACrashedEndpointGetsNoWorkAfterItsRecordExpires) {
  EndpointRegistry registry{EndpointRegistryOptions{}};
  registry.Update(Plain("crashed", "here"), kStart);
  for (Time now = kStart; now < kStart + Seconds(600); now += Seconds(1)) {
    registry.Expire(now);
    Follow(registry, "c1", now);
    pool.Expire(now);
  }
  const Time later = kStart + Seconds(600);
  STRCMP_EQUAL("none", PickId(Lookup(), later).c_str());
  CHECK_TRUE(pool.Find(EndpointId("crashed")) == nullptr);
}

// Nothing but its heartbeats was lost, so its incarnation is the same.
TEST(EndpointPool, AnEndpointGetsWorkAgainWithItsHeartbeatsAfterItExpired) {
  EndpointRegistry registry{EndpointRegistryOptions{}};
  EndpointRecord record = Plain("cut off", "here");
  registry.Update(record, kStart);
  // Its tombstone is still known after 150 s, and no longer after 600 s.
  Time now = kStart;
  for (const Duration silence : {Seconds(150), Seconds(600)}) {
    for (const Time end = now + silence; now < end; now += Seconds(1)) {
      registry.Expire(now);
      Follow(registry, "c1", now);
      pool.Expire(now);
    }
    STRCMP_EQUAL("none", PickId(Lookup(), now).c_str());
    ++record.sequence;
    CHECK_TRUE(registry.Update(record, now));
    Follow(registry, "c1", now);
    STRCMP_EQUAL("cut off", PickId(Lookup(), now).c_str());
  }
}

// Control instances that are cut off from an endpoint and from each other drop
// its record while another one receives its heartbeats. That one sends no new
// record, since nothing but the sequence number has changed.
TEST(EndpointPool, AnEndpointThatOneControlInstanceHearsStays) {
  EndpointRegistry cut_off{EndpointRegistryOptions{}};
  EndpointRegistry hearing{EndpointRegistryOptions{}};
  EndpointRecord record = Plain("sound", "here");
  for (Time now = kStart; now < kStart + Seconds(600); now += Seconds(1)) {
    if (now < kStart + Seconds(20)) cut_off.Update(record, now);
    hearing.Update(record, now);
    ++record.sequence;
    cut_off.Expire(now);
    hearing.Expire(now);
    Follow(cut_off, "c1", now);
    Follow(hearing, "c2", now);
    pool.Expire(now);
    STRCMP_EQUAL("sound", PickId(Lookup(), now).c_str());
    CHECK_FALSE(pool.Pick(Lookup(), now)->last_resort);
  }
}

// The leader ordered a runner to change its role, which the other control
// instances don't know of. The runner rejects all work until it has changed.
TEST(EndpointPool, ARunnerThatChangesItsRoleGetsNoWork) {
  pool.Merge(Decoder("a"), kStart);
  pool.SetChanging(EndpointId("a"), kStart + Seconds(1));
  STRCMP_EQUAL("none", PickId(Stream(), kStart).c_str());
  STRCMP_EQUAL("a", PickId(Stream(), kStart + Seconds(2)).c_str());
}

// The endpoint's address is reused by another endpoint.
TEST(EndpointPool, AMisplacedEndpointIsExcluded) {
  pool.Merge(Plain("old", "here"), kStart);
  Finish("old", WorkOutcome::kMisplaced, Milliseconds(2), kStart);
  STRCMP_EQUAL("none", PickId(Lookup(), kStart).c_str());
}

// Each of many instances called each of the endpoints that had crashed, until
// their heartbeats were missed.
TEST(EndpointPool, AnEndpointThatOthersFoundRefusingIsTheLastResort) {
  pool.Merge(Plain("a", "here"), kStart);
  pool.Merge(Plain("b", "elsewhere"), kStart);
  STRCMP_EQUAL("a", PickId(Lookup(), kStart).c_str());
  pool.SetRefusing({{EndpointId("a"), Incarnation(1)}});
  STRCMP_EQUAL("b", PickId(Lookup(), kStart).c_str());
  // It has started again.
  pool.SetRefusing({{EndpointId("a"), Incarnation(0)}});
  STRCMP_EQUAL("a", PickId(Lookup(), kStart).c_str());
  pool.SetRefusing(
      {{EndpointId("a"), Incarnation(1)}, {EndpointId("b"), Incarnation(1)}});
  CHECK_TRUE(pool.Pick(Lookup(), kStart)->last_resort);
}

// In a burst, an entry instance that counts only its own streams overfills
// runners, which then preempt or reject streams.
TEST(EndpointPool, StreamsArePlacedByFreeMemoryOverAllInstances) {
  pool.Merge(Decoder("a"), kStart);
  pool.Merge(Decoder("b"), kStart);
  pool.SetOtherLoads({{EndpointId("a"), {8, Hold(60000)}}}, 5, kStart);
  STRCMP_EQUAL("b", PickId(Stream(), kStart).c_str());
  for (int i = 0; i < 13; ++i) {
    pool.OnStart(EndpointId("b"), Stream(), kStart);
  }
  STRCMP_EQUAL("a", PickId(Stream(), kStart).c_str());
  DOUBLES_EQUAL(0.67, pool.Pick(Stream(), kStart)->occupancy, 0.001);
  // Loads of other instances expire.
  DOUBLES_EQUAL(0.07, pool.Pick(Stream(), kStart + Seconds(9))->occupancy,
                0.001);
}

// Without control instances, each entry instance knows only its own streams,
// and all instances together could overfill runners.
TEST(EndpointPool, WithoutCurrentLoadsOthersAreAssumedToHaveTheSameLoad) {
  pool.Merge(Decoder("a"), kStart);
  pool.SetOtherLoads({}, 5, kStart);
  pool.OnStart(EndpointId("a"), Stream(), kStart);
  DOUBLES_EQUAL(0.14, pool.Pick(Stream(), kStart)->occupancy, 0.001);
  DOUBLES_EQUAL(0.49, pool.Pick(Stream(), kStart + Seconds(9))->occupancy,
                0.001);
}

// In a burst, placements of other instances since their last load report must
// count, or all instances choose the same runner.
TEST(EndpointPool, PlacementsOfOtherInstancesCountAtOnce) {
  pool.Merge(Decoder("a"), kStart);
  pool.Merge(Decoder("b"), kStart);
  pool.SetOtherLoads({{EndpointId("b"), {1, Hold(10000)}}}, 5, kStart);
  STRCMP_EQUAL("a", PickId(Stream(), kStart).c_str());
  pool.AddOtherLoads({{EndpointId("a"), {2, Hold(20000)}}}, kStart);
  STRCMP_EQUAL("b", PickId(Stream(), kStart).c_str());
  // A full load report replaces the added placements.
  pool.SetOtherLoads({{EndpointId("b"), {1, Hold(10000)}}}, 5, kStart);
  STRCMP_EQUAL("a", PickId(Stream(), kStart).c_str());
}

// In a burst, prefill takes hundreds of milliseconds, in which the memory for a
// stream must not be given to other streams.
TEST(EndpointPool, AReservationCountsAndIsPublishedOnce) {
  pool.Merge(Decoder("a"), kStart);
  pool.Merge(Decoder("b"), kStart);
  WorkSpec stream = Stream();
  pool.Reserve(EndpointId("a"), stream.memory, false);
  LONGS_EQUAL(1, pool.TakePlaced()[EndpointId("a")].requests);
  LONGS_EQUAL(7000, pool.OwnLoads()[EndpointId("a")].memory.Now().value());
  STRCMP_EQUAL("b", PickId(stream, kStart).c_str());
  // The reserving stream is placed there although the other runner is emptier.
  pool.Release(EndpointId("a"), stream.memory);
  stream.reserved_at = EndpointId("a");
  pool.AddOtherLoads({{EndpointId("a"), {1, Hold(20000)}}}, kStart);
  STRCMP_EQUAL("a", PickId(stream, kStart).c_str());
  pool.OnStart(EndpointId("a"), stream, kStart);
  CHECK_TRUE(pool.TakePlaced().empty());
}

// The reserved runner has become full in the meantime.
TEST(EndpointPool, AStreamWhoseReservedRunnerIsFullIsPlacedElsewhere) {
  pool.Merge(Decoder("a"), kStart);
  pool.Merge(Decoder("b"), kStart);
  WorkSpec stream = Stream();
  stream.reserved_at = EndpointId("a");
  pool.SetOtherLoads({{EndpointId("a"), {9, Hold(99000)}}}, 5, kStart);
  STRCMP_EQUAL("b", PickId(stream, kStart).c_str());
}

// With two prefill runners left, instances that don't know each other's prompts
// would send all of them to the same runner.
TEST(EndpointPool, PromptsOfOtherInstancesCountAtOnce) {
  EndpointRecord first = Decoder("a");
  EndpointRecord second = Decoder("b");
  first.role = second.role = EndpointRole::kPrefill;
  pool.Merge(first, kStart);
  pool.Merge(second, kStart);
  pool.SetOtherLoads({{EndpointId("b"), {1, Hold(2000)}}}, 5, kStart);
  WorkSpec prompt{.service = ServiceId("model"),
                  .role = EndpointRole::kPrefill,
                  .prompt = Tokens(5000),
                  .memory = Hold(5000)};
  STRCMP_EQUAL("a", PickId(prompt, kStart).c_str());
  pool.AddOtherLoads({{EndpointId("a"), {1, Hold(5000)}}}, kStart);
  STRCMP_EQUAL("b", PickId(prompt, kStart).c_str());
  pool.OnStart(EndpointId("b"), prompt, kStart);
  LONGS_EQUAL(5000, pool.TakePlaced()[EndpointId("b")].memory.Now().value());
}

TEST(EndpointPool, PlacedStreamsArePublishedOnce) {
  pool.Merge(Decoder("a"), kStart);
  pool.OnStart(EndpointId("a"), Stream(), kStart);
  LONGS_EQUAL(7000, pool.TakePlaced()[EndpointId("a")].memory.Now().value());
  CHECK_TRUE(pool.TakePlaced().empty());
}

// Under high load, streams that are about to end free memory for new ones, and
// outputs that exceed their expected length take it. A forecast that ignores
// progress would place new streams on the wrong runner.
TEST(EndpointPool, ProgressOfStreamsChangesPlacement) {
  pool.Merge(Decoder("ending"), kStart);
  pool.Merge(Decoder("growing"), kStart);
  WorkSpec ending = Stream();
  WorkSpec growing = Stream();
  pool.OnStart(EndpointId("ending"), ending, kStart);
  pool.OnStart(EndpointId("growing"), growing, kStart);
  const Tokens step(1500);
  pool.OnProgress(EndpointId("ending"),
                  MemoryForecast(Tokens(90000), Tokens(500), step), &ending);
  pool.OnProgress(EndpointId("growing"),
                  MemoryForecast(Tokens(80000), Tokens(9000), step), &growing);
  WorkSpec next = Stream();
  next.memory = MemoryForecast(Tokens(5000), Tokens(4000), step);
  STRCMP_EQUAL("growing", PickId(next, kStart).c_str());
  DOUBLES_EQUAL(0.91, pool.Pick(next, kStart)->occupancy, 0.001);
  pool.OnFinish(EndpointId("ending"), ending, WorkOutcome::kDone, Seconds(1),
                kStart);
  STRCMP_EQUAL("ending", PickId(next, kStart).c_str());
  pool.OnFinish(EndpointId("growing"), growing, WorkOutcome::kDone, Seconds(1),
                kStart);
  CHECK_TRUE(pool.OwnLoads().empty());
}

TEST(EndpointPool, OwnLoadsAreRemovedWhenTheWorkFinishes) {
  pool.Merge(Decoder("a"), kStart);
  pool.OnStart(EndpointId("a"), Stream(), kStart);
  LONGS_EQUAL(7000, pool.OwnLoads()[EndpointId("a")].memory.Peak().value());
  pool.OnFinish(EndpointId("a"), Stream(), WorkOutcome::kDone, Seconds(1),
                kStart);
  CHECK_TRUE(pool.OwnLoads().empty());
}

// Runners that restarted under the same id got no work, since calls to their
// earlier incarnation failed after it.
TEST(EndpointPool, ResultsOfAnEarlierIncarnationDontChangeTheHealth) {
  for (const WorkOutcome outcome :
       {WorkOutcome::kUnreachable, WorkOutcome::kServerError,
        WorkOutcome::kSilent, WorkOutcome::kExcessive, WorkOutcome::kRejected,
        WorkOutcome::kMisplaced}) {
    EndpointPool other{
        EndpointPoolOptions{.data_centre = DataCentreId("here")}};
    EndpointRecord record = Decoder("restarted");
    other.Merge(record, kStart);
    EndpointRecord sound = Decoder("sound");
    sound.data_centre = DataCentreId("there");
    other.Merge(sound, kStart);
    WorkSpec work = Stream();
    work.incarnation = record.incarnation;
    for (int i = 0; i < 4; ++i) other.OnStart(record.id, work, kStart);
    WorkSpec streaming = work;
    other.OnEvent(record.id, kStart, &streaming);
    record.incarnation = Incarnation(2);
    other.Merge(record, kStart);
    other.OnResponse(record.id, work, kStart + Milliseconds(20));
    const Time end = kStart + Milliseconds(30);
    for (int i = 0; i < 3; ++i) {
      other.OnFinish(record.id, work, outcome, Milliseconds(30), end);
    }
    other.OnFinish(record.id, streaming, outcome, Milliseconds(30), end);
    CHECK_TRUE(other.OwnLoads().empty());
    CHECK_TRUE(other.OpenFor(record.id, end) == Duration(0));
    const auto placed = other.Pick(Stream(), end);
    STRCMP_EQUAL("restarted", placed->endpoint.id.value().c_str());
    CHECK_FALSE(placed->last_resort);
    // Those of the new incarnation count.
    work.incarnation = record.incarnation;
    other.OnStart(record.id, work, end);
    other.OnFinish(record.id, work, WorkOutcome::kUnreachable, Milliseconds(30),
                   end);
    CHECK_TRUE(other.OpenFor(record.id, end) > Duration(0));
  }
}

// Guards against guessing the version that began a stream while more than one
// may have (incident software-versions).
TEST(EndpointPool, ASoleVersionIsOneThatAllEndpointsHadForLong) {
  const ServiceId service = Lookup().service;
  const auto sole = [&](Time now) {
    return pool.SoleVersion(service, Seconds(60), now);
  };
  EndpointRecord record = Plain("a", "here");
  record.version = SoftwareVersion("v1");
  pool.Merge(record, kStart);
  CHECK_FALSE(sole(kStart + Seconds(59)).has_value());
  CHECK_TRUE(sole(kStart + Seconds(60)) == SoftwareVersion("v1"));
  // The same endpoint starts again with another version.
  record.incarnation = Incarnation(2);
  record.version = SoftwareVersion("v2");
  pool.Merge(record, kStart + Seconds(60));
  CHECK_FALSE(sole(kStart + Seconds(119)).has_value());
  CHECK_TRUE(sole(kStart + Seconds(120)) == SoftwareVersion("v2"));
  // One that is known from an instance of an earlier build only.
  EndpointRecord unknown = Plain("b", "here");
  unknown.version = std::nullopt;
  pool.Merge(unknown, kStart + Seconds(120));
  CHECK_FALSE(sole(kStart + Seconds(200)).has_value());
}

// Streams of a route with a long timeout may have begun at a version whose
// endpoints left and were forgotten since.
TEST(EndpointPool, AVersionThatLeftCountsUntilItsStreamsHaveEnded) {
  const ServiceId service = Lookup().service;
  EndpointRecord old_one = Plain("a", "here");
  old_one.version = SoftwareVersion("v1");
  EndpointRecord new_one = Plain("b", "here");
  new_one.version = SoftwareVersion("v2");
  pool.Merge(old_one, kStart);
  pool.Merge(new_one, kStart);
  const Time left = kStart + Seconds(400);
  old_one.state = EndpointLifecycle::kDeparted;
  ++old_one.sequence;
  pool.Merge(old_one, left);
  const Duration age = MaxStreamAge(Seconds(100));
  for (Time now = left; now < left + age; now += Seconds(20)) {
    pool.Expire(now);
    CHECK_FALSE(pool.SoleVersion(service, age, now).has_value());
  }
  pool.Expire(left + age);
  CHECK_TRUE(pool.SoleVersion(service, age, left + age) ==
             SoftwareVersion("v2"));
}

}  // namespace cassiausher
