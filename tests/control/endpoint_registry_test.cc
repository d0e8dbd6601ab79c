// Guards against a departed or draining endpoint that becomes ready again, a
// delayed heartbeat that overwrites newer state, records without a limit, and
// control instances that disagree after they received the same records in
// different orders. Guards also against endpoints that crashed and get calls
// for seconds after another one has registered at their address, or again after
// a control instance restarted.
#include "servers/control/endpoint_registry.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

#include "core/random.h"

namespace cassiausher {
namespace {

constexpr Time kStart{Seconds(100)};

EndpointRecord Runner(std::uint64_t incarnation, std::uint64_t sequence,
                      EndpointLifecycle state = EndpointLifecycle::kReady) {
  return {.id = EndpointId("r1"),
          .service = ServiceId("model"),
          .address = "10.0.0.1:80",
          .role = EndpointRole::kDecode,
          .state = state,
          .incarnation = Incarnation(incarnation),
          .sequence = sequence};
}

/// Another endpoint at the same address.
EndpointRecord Successor(std::uint64_t sequence) {
  EndpointRecord record = Runner(1, sequence);
  record.id = EndpointId("r2");
  return record;
}

}  // namespace

TEST_GROUP(EndpointRegistry) {
  EndpointRegistry registry{EndpointRegistryOptions{}};
};

TEST(EndpointRegistry, UnchangedHeartbeatDoesNotIncreaseTheRevision) {
  CHECK_TRUE(registry.Update(Runner(1, 1), kStart));
  CHECK_FALSE(registry.Update(Runner(1, 2), kStart + Seconds(1)));
  CHECK_EQUAL(1u, registry.revision());
  CHECK_EQUAL(1u, registry.ChangedSince(0).size());
  CHECK_EQUAL(0u, registry.ChangedSince(1).size());
}

// A heartbeat that was sent before the drain arrives after it.
TEST(EndpointRegistry, DelayedHeartbeatDoesNotEndADrain) {
  registry.Update(Runner(1, 5, EndpointLifecycle::kDraining), kStart);
  CHECK_FALSE(registry.Update(Runner(1, 4), kStart));
  CHECK_TRUE(registry.Find(EndpointId("r1"))->state ==
             EndpointLifecycle::kDraining);
}

TEST(EndpointRegistry, DepartureIsFinalWithinAnIncarnation) {
  registry.Update(Runner(7, 5), kStart);
  CHECK_TRUE(registry.MarkDeparted(EndpointId("r1"), Incarnation(9), kStart));
  CHECK_FALSE(registry.MarkDeparted(EndpointId("r1"), Incarnation(9), kStart));
  registry.Update(Runner(7, 6), kStart);
  CHECK_TRUE(registry.Find(EndpointId("r1"))->state ==
             EndpointLifecycle::kDeparted);
}

// A record of another control instance that names no address would be called at
// none.
// Control instances of an earlier build pass records on without the software
// version, with which no stream could be continued (incident
// software-versions).
TEST(EndpointRegistry, AKnownSoftwareVersionIsNotLostToAnEarlierBuild) {
  EndpointRecord named = Runner(1, 5);
  named.version = SoftwareVersion("v1.1");
  EndpointRecord passed_on = Runner(1, 6);
  passed_on.version = std::nullopt;
  for (const bool named_first : {true, false}) {
    EndpointRegistry other{EndpointRegistryOptions{}};
    other.Update(named_first ? named : passed_on, kStart);
    other.Update(named_first ? passed_on : named, kStart);
    const EndpointRecord* record = other.Find(EndpointId("r1"));
    CHECK_TRUE(record->version == SoftwareVersion("v1.1"));
    LONGS_EQUAL(6, record->sequence);
  }
  EndpointRecord restarted = Runner(2, 1);
  restarted.version = std::nullopt;
  registry.Update(named, kStart);
  registry.Update(restarted, kStart);
  CHECK_FALSE(registry.Find(EndpointId("r1"))->version.has_value());
}

TEST(EndpointRegistry, TheSoftwareVersionTravelsWithTheRecord) {
  for (const auto& version :
       {std::optional(SoftwareVersion("v1.1")),
        std::optional(SoftwareVersion()), std::optional<SoftwareVersion>()}) {
    EndpointRecord sent = Runner(1, 1);
    sent.version = version;
    EndpointRecord received;
    CHECK_TRUE(FromProto(ToProto(sent), &received));
    CHECK_TRUE(received == sent);
  }
}

TEST(EndpointRegistry, RecordWithoutAddressIsMalformed) {
  EndpointRecord decoded;
  proto::EndpointRecord message = ToProto(Runner(1, 1));
  CHECK_TRUE(FromProto(message, &decoded));
  CHECK_TRUE(decoded == Runner(1, 1));
  message.clear_address();
  CHECK_FALSE(FromProto(message, &decoded));
}

// The departure is all that this instance hears of the endpoint, which others
// still use.
TEST(EndpointRegistry, DepartureOfAnUnknownEndpointIsKept) {
  CHECK_TRUE(registry.MarkDeparted(EndpointId("r1"), Incarnation(9), kStart));
  const EndpointRecord departed = *registry.Find(EndpointId("r1"));
  EndpointRegistry other{EndpointRegistryOptions{}};
  other.Update(Runner(7, 5), kStart);
  EndpointRecord received;
  CHECK_TRUE(FromProto(ToProto(departed), &received));
  CHECK_TRUE(other.Update(received, kStart));
  for (EndpointRegistry* each : {&registry, &other}) {
    each->Update(Runner(7, 6), kStart);
    each->Update(Runner(8, 1), kStart);
    CHECK_TRUE(each->Find(EndpointId("r1"))->state ==
               EndpointLifecycle::kDeparted);
    CHECK_EQUAL(0u, each->Ready(ServiceId("model")).size());
    // A later run of the endpoint.
    CHECK_TRUE(each->Update(Runner(10, 1), kStart));
    CHECK_EQUAL(1u, each->Ready(ServiceId("model")).size());
  }
}

// A runner may restart under the same id; its sequence numbers start again.
TEST(EndpointRegistry, LaterIncarnationReplacesADepartedOne) {
  registry.Update(Runner(7, 50), kStart);
  registry.MarkDeparted(EndpointId("r1"), Incarnation(9), kStart);
  CHECK_TRUE(registry.Update(Runner(8, 1), kStart));
  CHECK_TRUE(registry.Find(EndpointId("r1"))->state ==
             EndpointLifecycle::kReady);
  CHECK_FALSE(registry.Update(Runner(7, 51), kStart));
  CHECK_EQUAL(8u, registry.Find(EndpointId("r1"))->incarnation.value());
}

TEST(EndpointRegistry, SilentEndpointIsReportedUntilItsNextHeartbeat) {
  registry.Update(Runner(1, 1), kStart);
  CHECK_EQUAL(0u, registry.Silent(kStart + Seconds(1)).size());
  CHECK_EQUAL(1u, registry.Silent(kStart + Seconds(10)).size());
  registry.Update(Runner(1, 2), kStart + Seconds(10));
  CHECK_EQUAL(0u, registry.Silent(kStart + Seconds(10)).size());
}

// Another control instance resends a record; this isn't a new heartbeat.
TEST(EndpointRegistry, RepeatedRecordDoesNotEndSilence) {
  registry.Update(Runner(1, 1), kStart);
  registry.Update(Runner(1, 1), kStart + Seconds(9));
  CHECK_EQUAL(1u, registry.Silent(kStart + Seconds(10)).size());
}

// Entry instances took an expired endpoint, which was no longer reported as
// silent, for one whose heartbeats arrive.
TEST(EndpointRegistry, EndpointWithoutHeartbeatsExpires) {
  registry.Update(Runner(1, 1), kStart);
  CHECK_EQUAL(0u, registry.Expire(kStart + Seconds(60)).size());
  CHECK_EQUAL(1u, registry.size());
  const Time expired_at = kStart + Seconds(600);
  CHECK_EQUAL(1u, registry.Expire(expired_at).size());
  CHECK_EQUAL(1u, registry.ChangedSince(1).size());
  CHECK_TRUE(registry.ChangedSince(1).front().expired);
  CHECK_EQUAL(1u, registry.Silent(expired_at).size());
  CHECK_EQUAL(0u, registry.Ready(ServiceId("model")).size());
  CHECK_EQUAL(0u, registry.Expire(expired_at + Seconds(60)).size());
  CHECK_EQUAL(1u, registry.size());
  CHECK_EQUAL(0u, registry.Expire(expired_at + Seconds(120)).size());
  CHECK_EQUAL(0u, registry.size());
}

// Guards against an instance that removes the record before its followers have
// been told, since its own copy was due to expire as well.
TEST(EndpointRegistry, AnExpiredRecordOfAnotherInstanceIsKeptAsLong) {
  registry.Update(Runner(1, 1), kStart);
  EndpointRecord expired = Runner(1, 1);
  expired.expired = true;
  const Time received_at = kStart + Seconds(120);
  CHECK_TRUE(registry.Update(expired, received_at));
  CHECK_FALSE(registry.Update(expired, received_at + Seconds(1)));
  CHECK_EQUAL(0u, registry.Expire(received_at + Seconds(119)).size());
  CHECK_EQUAL(1u, registry.size());
  registry.Expire(received_at + Seconds(120));
  CHECK_EQUAL(0u, registry.size());
}

TEST(EndpointRegistry, ANewerHeartbeatRevokesTheExpiry) {
  registry.Update(Runner(1, 5), kStart);
  registry.Expire(kStart + Seconds(120));
  const EndpointId id("r1");
  // Delayed, or repeated by an instance of an earlier build.
  CHECK_FALSE(registry.Update(Runner(1, 4), kStart + Seconds(121)));
  CHECK_FALSE(registry.Update(Runner(1, 5), kStart + Seconds(121)));
  CHECK_TRUE(registry.Find(id)->expired);
  CHECK_TRUE(registry.Update(Runner(1, 6), kStart + Seconds(122)));
  CHECK_FALSE(registry.Find(id)->expired);
  CHECK_EQUAL(0u, registry.Silent(kStart + Seconds(122)).size());
  CHECK_EQUAL(1u, registry.Ready(ServiceId("model")).size());
  // The tombstone of another instance comes late.
  EndpointRecord expired = Runner(1, 5);
  expired.expired = true;
  CHECK_FALSE(registry.Update(expired, kStart + Seconds(123)));
  registry.Expire(kStart + Seconds(300));
  CHECK_TRUE(registry.Update(Runner(2, 1), kStart + Seconds(301)));
  CHECK_FALSE(registry.Find(id)->expired);
}

TEST(EndpointRegistry, TheExpiryTravelsWithTheRecord) {
  EndpointRecord sent = Runner(1, 1);
  sent.expired = true;
  proto::EndpointRecord message;
  CHECK_TRUE(message.ParseFromString(ToProto(sent).SerializeAsString()));
  EndpointRecord received;
  CHECK_TRUE(FromProto(message, &received));
  CHECK_TRUE(received == sent);
}

// Heartbeats of ever new ids would otherwise fill the memory of the process.
TEST(EndpointRegistry, AnEndpointExpiresWhenAnotherOneHasItsAddress) {
  const EndpointId first("r1");
  const EndpointId second("r2");
  registry.Update(Runner(1, 30), kStart);
  CHECK_TRUE(registry.ExpireReplaced(first, kStart).empty());
  const Time later = kStart + Seconds(2);
  registry.Update(Successor(1), later);
  const auto expired = registry.ExpireReplaced(second, later);
  CHECK_EQUAL(1u, expired.size());
  CHECK_TRUE(expired.front().id == first);
  CHECK_EQUAL(1u, registry.Ready(ServiceId("model")).size());
  CHECK_TRUE(registry.ExpireReplaced(second, later).empty());
}

// A heartbeat that a partition delayed arrives after the next endpoint has
// registered at the address.
TEST(EndpointRegistry, ADelayedHeartbeatDoesNotExpireTheSuccessor) {
  const EndpointId first("r1");
  const EndpointId second("r2");
  registry.Update(Runner(1, 30), kStart);
  registry.Update(Successor(1), kStart + Seconds(2));
  registry.ExpireReplaced(second, kStart + Seconds(2));
  registry.Update(Successor(40), kStart + Seconds(41));
  registry.Update(Runner(1, 31), kStart + Seconds(41));
  CHECK_TRUE(registry.ExpireReplaced(first, kStart + Seconds(41)).empty());
  registry.Update(Successor(41), kStart + Seconds(42));
  LONGS_EQUAL(1, registry.ExpireReplaced(second, kStart + Seconds(42)).size());
  CHECK_FALSE(registry.Find(second)->expired);
}

TEST(EndpointRegistry, AnUnknownEndpointWithMoreHeartbeatsIsTheEarlierOne) {
  const EndpointId first("r1");
  const EndpointId second("r2");
  registry.Update(Successor(3), kStart);
  registry.Update(Runner(1, 31), kStart + Milliseconds(10));
  CHECK_TRUE(registry.ExpireReplaced(first, kStart + Seconds(1)).empty());
  registry.Update(Successor(4), kStart + Seconds(1));
  LONGS_EQUAL(1, registry.ExpireReplaced(second, kStart + Seconds(1)).size());
}

// Another endpoint named its address by mistake, and says nothing any more.
TEST(EndpointRegistry, AnEndpointThatStillSendsHeartbeatsComesBack) {
  registry.Update(Runner(1, 30), kStart);
  registry.Update(Successor(1), kStart);
  registry.ExpireReplaced(EndpointId("r2"), kStart);
  registry.Update(Runner(1, 31), kStart + Seconds(1));
  CHECK_FALSE(registry.Find(EndpointId("r1"))->expired);
}

// The control instance has restarted, and another one sends it its records.
TEST(EndpointRegistry, ARecordFromElsewhereIsAsOldAsItsLastHeartbeat) {
  const Duration silent_after = EndpointRegistryOptions{}.silent_after;
  registry.Update(Runner(1, 30), kStart - silent_after);
  LONGS_EQUAL(1, registry.Silent(kStart).size());
  // A heartbeat that arrived there later.
  registry.Update(Runner(1, 31), kStart - Seconds(1));
  CHECK_TRUE(registry.Silent(kStart).empty());
  CHECK_TRUE(registry.LastSeen(EndpointId("r1")) == kStart - Seconds(1));
}

TEST(EndpointRegistry, NewEndpointsBeyondTheLimitAreNotAdded) {
  EndpointRecord record = Runner(1, 1);
  for (int i = 0; i < 20001; ++i) {
    record.id = EndpointId(std::to_string(i));
    registry.Update(record, kStart);
  }
  CHECK_EQUAL(20000u, registry.size());
  CHECK_TRUE(registry.Find(record.id) == nullptr);
  CHECK_EQUAL(20000u, registry.revision());
  CHECK_FALSE(registry.HasRoomFor(record.id));
  record = Runner(1, 2, EndpointLifecycle::kDraining);
  record.id = EndpointId("7");
  CHECK_TRUE(registry.HasRoomFor(record.id));
  CHECK_TRUE(registry.Update(record, kStart));
}

TEST(EndpointRegistry, RegistriesAgreeInAnyOrderOfRecords) {
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    Random random(seed);
    std::vector<EndpointRecord> records;
    for (int i = 0; i < 12; ++i) {
      const auto state = random.Chance(0.3) ? EndpointLifecycle::kDraining
                                            : EndpointLifecycle::kReady;
      EndpointRecord record =
          Runner(1 + random.Below(3), 1 + random.Below(6), state);
      // A runner's record for one sequence number is always the same.
      record.slots = static_cast<int>(record.sequence);
      record.state = record.sequence > 3 ? EndpointLifecycle::kDraining
                                         : EndpointLifecycle::kReady;
      records.push_back(record);
    }
    EndpointRegistry first{EndpointRegistryOptions{}};
    EndpointRegistry second{EndpointRegistryOptions{}};
    for (const auto& record : records) first.Update(record, kStart);
    std::shuffle(records.begin(), records.end(), random.engine());
    for (const auto& record : records) second.Update(record, kStart);
    CHECK_TRUE(*first.Find(EndpointId("r1")) == *second.Find(EndpointId("r1")));
  }
}

}  // namespace cassiausher
