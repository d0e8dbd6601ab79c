// Guards against departures that the replicated log loses or mixes up.
#include "servers/control/leaving_endpoints.h"

#include <CppUTest/TestHarness.h>

#include <string>

#include "servers/control/log_command.h"

namespace cassiausher {
namespace {

constexpr Time kStart{Seconds(100)};

LeavingEndpoint Leaving(EndpointLifecycle state, std::uint64_t incarnation = 1,
                        Duration age = Duration(0)) {
  return {.record = {.id = EndpointId("e1"),
                     .service = ServiceId("s"),
                     .address = "10.0.0.1:80",
                     .state = state,
                     .incarnation = Incarnation(incarnation),
                     .sequence = 3},
          .age = age};
}

}  // namespace

TEST_GROUP(LeavingEndpoints) {
  LeavingEndpoints leaving{{.lifetime = Seconds(120)}};
};

TEST(LeavingEndpoints, TheLatestStateOfTheLatestIncarnationIsKept) {
  using enum EndpointLifecycle;
  CHECK_FALSE(leaving.Apply(Leaving(kReady), kStart));
  CHECK_FALSE(leaving.Covers(Leaving(kDraining).record));
  CHECK_TRUE(leaving.Apply(Leaving(kDraining), kStart));
  CHECK_FALSE(leaving.Apply(Leaving(kDraining), kStart));
  CHECK_FALSE(leaving.Covers(Leaving(kDeparted).record));
  CHECK_TRUE(leaving.Apply(Leaving(kDeparted), kStart));
  CHECK_TRUE(leaving.Covers(Leaving(kDraining).record));
  CHECK_FALSE(leaving.Covers(Leaving(kDraining, 2).record));
  CHECK_TRUE(leaving.Apply(Leaving(kDraining, 2), kStart));
  CHECK_FALSE(leaving.Apply(Leaving(kDeparted), kStart));
  CHECK_EQUAL(1u, leaving.size());
}

TEST(LeavingEndpoints, ARecordIsForgottenAtItsAge) {
  leaving.Apply(Leaving(EndpointLifecycle::kDeparted, 1, Seconds(100)), kStart);
  CHECK_TRUE(leaving.All(kStart).front().age == Seconds(100));
  leaving.Expire(kStart + Seconds(19));
  CHECK_EQUAL(1u, leaving.size());
  leaving.Expire(kStart + Seconds(20));
  CHECK_EQUAL(0u, leaving.size());
}

TEST_GROUP(LogCommand){};

TEST(LogCommand, EncodingRoundTripsAndMalformedBytesAreRejected) {
  const LogCommand command{
      .document = {Revision(7), std::string("a\0b", 3)},
      .leaving = {Leaving(EndpointLifecycle::kDraining, 1, Seconds(2)),
                  {.record = DepartureOf(EndpointId("e2"), Incarnation(9))}}};
  LogCommand decoded;
  CHECK_TRUE(Decode(Encode(command), &decoded));
  CHECK_TRUE(command == decoded);
  CHECK_FALSE(Decode("\xff\xff\xff", &decoded));
  proto::VersionedDocument message = ToProto(command);
  message.mutable_leaving(0)->clear_address();
  CHECK_FALSE(FromProto(message, &decoded));
}

// An earlier build reads an entry of departures as a document that changes
// nothing, and its snapshots hold none.
TEST(LogCommand, EntriesOfEarlierBuildsAreRead) {
  proto::VersionedDocument earlier;
  earlier.set_version(7);
  earlier.set_document("a");
  LogCommand decoded;
  CHECK_TRUE(Decode(earlier.SerializeAsString(), &decoded));
  CHECK_TRUE(decoded ==
             (LogCommand{.document = {Revision(7), "a"}, .leaving = {}}));
  const LogCommand departure{
      .leaving = {Leaving(EndpointLifecycle::kDeparted)}};
  CHECK_EQUAL(0u, ToProto(departure).version());
}

}  // namespace cassiausher
