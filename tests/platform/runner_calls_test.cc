// Guards the registry against malformed and oversized heartbeats, and against
// values of valid heartbeats that are lost.
#include "platform/runner_calls.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <tuple>

namespace cassiausher {
namespace {

constexpr const char* kHeartbeatBody =
    R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1",
    "slots":16,"state":"ready","cold-left-ms":0,"stage":"decode",
    "models":[{"name":"m","version":1,"adapters":[]}],"seq":4,
    "born":1788134613150})";

std::string Replaced(std::string text, const std::string& from,
                     const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

}  // namespace

TEST_GROUP(RunnerCalls) {
  Findings findings;
  std::optional<EndpointRecord> Read(const std::string& body) {
    return ReadHeartbeat(EndpointId("i-1"), body, &findings);
  }
};

TEST(RunnerCalls, ValidHeartbeatIsParsed) {
  const auto record = Read(kHeartbeatBody);
  CHECK_TRUE(record.has_value());
  STRCMP_EQUAL("i-1", record->id.value().c_str());
  STRCMP_EQUAL("10.0.0.9:80", record->address.c_str());
  CHECK_TRUE(record->role == EndpointRole::kDecode);
  CHECK_TRUE(record->state == EndpointLifecycle::kReady);
  LONGS_EQUAL(16, record->slots);
  LONGS_EQUAL(4, record->sequence);
  CHECK_EQUAL(1788134613150u, record->incarnation.value());
}

TEST(RunnerCalls, HeartbeatWithoutStageIsOfAPlainEndpoint) {
  const auto record =
      Read(Replaced(kHeartbeatBody, "\"stage\":\"decode\",", ""));
  CHECK_TRUE(record->role == EndpointRole::kPlain);
}

// Runners that don't send their start time use a new id after each start.
TEST(RunnerCalls, MissingStartTimeGivesIncarnationOne) {
  const auto record =
      Read(Replaced(kHeartbeatBody, ",\n    \"born\":1788134613150", ""));
  CHECK_TRUE(record.has_value());
  CHECK_EQUAL(1u, record->incarnation.value());
}

TEST(RunnerCalls, MalformedHeartbeatIsRejected) {
  for (const auto& [from, to] :
       {std::pair{"\"service\":\"s\"", "\"service\":7"},
        std::pair{"\"service\":\"s\",", ""},
        std::pair{"\"address\":\"10.0.0.9:80\"", "\"address\":\"nowhere\""},
        std::pair{"\"address\":\"10.0.0.9:80\"", "\"address\":\":80\""},
        std::pair{"\"zone\":\"z\"", "\"zone\":null"},
        std::pair{"\"slots\":16", "\"slots\":\"16\""},
        std::pair{"\"slots\":16", "\"slots\":-1"},
        std::pair{"\"state\":\"ready\"", "\"state\":\"asleep\""},
        std::pair{"\"stage\":\"decode\"", "\"stage\":\"cook\""},
        std::pair{"\"stage\":\"decode\"", "\"stage\":3"},
        std::pair{"\"seq\":4", "\"seq\":4.5"}, std::pair{"\"seq\":4,", ""},
        std::pair{"1788134613150", "1788134613150.5"},
        std::pair{"1788134613150", "0"},
        std::pair{"1788134613150", "\"now\""}}) {
    CHECK_FALSE(Read(Replaced(kHeartbeatBody, from, to)).has_value());
  }
  for (const char* body : {"", "{", "[]", "null", "\xff\xfe", "{}"}) {
    CHECK_FALSE(Read(body).has_value());
  }
}

// Slots that don't fit an int were cut down to another number, and an endpoint
// that started at the end of time could never be replaced.
TEST(RunnerCalls, NumberOutOfRangeIsRejectedWithTheNameOfItsField) {
  for (const auto& [field, from, to] :
       {std::tuple{"slots", ":16", ":2147483648"},
        std::tuple{"slots", ":16", ":4294967297"},
        std::tuple{"slots", ":16", ":9223372036854775808"},
        std::tuple{"slots", ":16", ":1e300"},
        std::tuple{"born", "1788134613150", "253402300800000"},
        std::tuple{"born", "1788134613150", "18446744073709551615"},
        std::tuple{"born", "1788134613150", "-1"}}) {
    findings = {};
    CHECK_FALSE(Read(Replaced(kHeartbeatBody, from, to)).has_value());
    STRCMP_EQUAL(field, findings.items().front().place.c_str());
  }
  const auto largest = Read(Replaced(kHeartbeatBody, ":16", ":2147483647"));
  LONGS_EQUAL(2147483647, largest->slots);
}

// Control instances keep these strings and send them to other instances.
TEST(RunnerCalls, OversizedStringIsRejectedWithTheNameOfItsField) {
  const std::string text(257, '1');
  for (const auto& [field, from, to] :
       {std::tuple{"service", "\"s\"", "\"" + text + "\""},
        std::tuple{"address", "10.0.0.9:80", text + ":80"},
        std::tuple{"zone", "\"z\"", "\"" + text + "\""},
        std::tuple{"version", "\"v1\"", "\"" + text + "\""},
        std::tuple{"models", "\"m\"", "\"" + text + "\""}}) {
    findings = {};
    CHECK_FALSE(Read(Replaced(kHeartbeatBody, from, to)).has_value());
    STRCMP_EQUAL(field, findings.items().front().place.c_str());
  }
  findings = {};
  CHECK_FALSE(
      ReadHeartbeat(EndpointId(text), kHeartbeatBody, &findings).has_value());
  STRCMP_EQUAL("id", findings.items().front().place.c_str());
  CHECK_TRUE(
      Read(Replaced(kHeartbeatBody, "v1", std::string(256, 'v'))).has_value());
}

TEST(RunnerCalls, OversizedBodyIsRejected) {
  const std::string body = kHeartbeatBody;
  const std::string padding(64 * 1024 - body.size(), ' ');
  CHECK_TRUE(Read(body + padding).has_value());
  CHECK_FALSE(Read(body + padding + " ").has_value());
  STRCMP_EQUAL("body", findings.items().front().place.c_str());
}

TEST(RunnerCalls, TheSoftwareVersionIsOptionalButMustBeText) {
  const auto version_of = [](const std::string& field) {
    Findings findings;
    const auto record = ReadHeartbeat(
        EndpointId("i-1"),
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":1,)"
        R"("state":"ready","seq":1)" +
            field + "}",
        &findings);
    return record ? record->version : std::nullopt;
  };
  CHECK_TRUE(version_of(R"(,"version":"v1.1")") == SoftwareVersion("v1.1"));
  CHECK_TRUE(version_of("") == SoftwareVersion());
  CHECK_FALSE(version_of(R"(,"version":7)").has_value());
}

TEST(RunnerCalls, CallsAreClassifiedByMethodAndPath) {
  CHECK_TRUE(ReadControlCall("PUT", "/api/instances/i-1").kind ==
             ControlCallKind::kHeartbeat);
  CHECK_TRUE(ReadControlCall("DELETE", "/api/instances/i-1").kind ==
             ControlCallKind::kDeparture);
  CHECK_TRUE(ReadControlCall("PUT", "/api/instances/").kind ==
             ControlCallKind::kUnknown);
  CHECK_TRUE(ReadControlCall("PUT", "/api/config").kind ==
             ControlCallKind::kPutConfiguration);
  CHECK_TRUE(ReadControlCall("POST", "/api/config").kind ==
             ControlCallKind::kUnknown);
  CHECK_TRUE(ReadControlCall("GET", "/admin/v1/verdicts").kind ==
             ControlCallKind::kListVerdicts);
  const ControlCall lift = ReadControlCall("DELETE", "/admin/v1/verdicts/ab");
  CHECK_TRUE(lift.kind == ControlCallKind::kLiftVerdict);
  STRCMP_EQUAL("ab", lift.verdict.c_str());
  CHECK_TRUE(ReadControlCall("DELETE", "/admin/v1/verdicts").kind ==
             ControlCallKind::kUnknown);
  CHECK_TRUE(IsReadinessCall("GET", "/api/ready"));
  CHECK_FALSE(IsReadinessCall("GET", "/api/readyz"));
}

}  // namespace cassiausher
