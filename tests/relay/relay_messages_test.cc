// Guards against relayed requests whose token, configuration or software
// version is lost on the way, and against answers of strangers.
#include "servers/relay/relay_messages.h"

#include <CppUTest/TestHarness.h>

#include <string>

namespace cassiausher {

TEST_GROUP(RelayMessages){};

TEST(RelayMessages, ARequestIsReadAsItWasWritten) {
  const RelayRequest sent{.token = RelayToken(0xfedcba9876543210),
                          .configuration = Revision(12),
                          .attempts = 2,
                          .begun_by = SoftwareVersion("v1;=\n")};
  const auto read = ReadRelayRequest(ToHeader(sent));
  CHECK_TRUE(read.has_value());
  CHECK_TRUE(read->token == sent.token);
  CHECK_TRUE(read->configuration == sent.configuration);
  LONGS_EQUAL(2, read->attempts);
  CHECK_TRUE(read->begun_by == sent.begun_by);
}

TEST(RelayMessages, AnEmptyVersionIsNotAnUnknownOne) {
  const auto read =
      ReadRelayRequest(ToHeader(RelayRequest{.begun_by = SoftwareVersion()}));
  CHECK_TRUE(read->begun_by.has_value());
  CHECK_FALSE(ReadRelayRequest(ToHeader(RelayRequest{}))->begun_by.has_value());
}

TEST(RelayMessages, AnAnswerIsReadAsItWasWritten) {
  for (const RelayOutcome outcome :
       {RelayOutcome::kServed, RelayOutcome::kRefused, RelayOutcome::kUnable}) {
    const auto read = ReadRelayAnswer(
        ToHeader(RelayAnswer{.outcome = outcome,
                             .configuration = Revision(7),
                             .version = SoftwareVersion("v2")}));
    CHECK_TRUE(read.has_value());
    CHECK_TRUE(read->outcome == outcome);
    CHECK_TRUE(read->configuration == Revision(7));
    CHECK_TRUE(read->version == SoftwareVersion("v2"));
  }
}

TEST(RelayMessages, OtherTextsAreNotRead) {
  for (const char* text :
       {"", "token=", "token=1", "token=1;configuration=1;attempts=0",
        "token=g;configuration=1;attempts=1",
        "token=1;configuration=-1;attempts=1",
        "token=1;configuration=1;attempts=1;begun-by=7",
        "token=1;configuration=1;attempts=1;begun-by=zz"}) {
    CHECK_FALSE(ReadRelayRequest(text).has_value());
  }
  for (const char* text : {"", "outcome=served", "outcome=;configuration=1",
                           "outcome=done;configuration=1"}) {
    CHECK_FALSE(ReadRelayAnswer(text).has_value());
  }
}

}  // namespace cassiausher
