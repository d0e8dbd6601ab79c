// Guards against fields lost in JSON, validation that stops at the first fault
// and changes that are applied in part.
#include "servers/configuration/configuration.h"

#include <string>

#include "servers/configuration/change.h"
#include "tests/configuration/test_configuration.h"

// CppUTest last: its macros clash with the standard library's headers.
#include <CppUTest/TestHarness.h>

using namespace cassiausher;  // NOLINT: test file

namespace {

Operation MakeOperation(OperationKind kind, ObjectKind object,
                        const std::string& name, const std::string& field = "",
                        Value value = false, int line = 1) {
  return {kind, object, name, field, std::move(value), {line, 1}};
}

std::string AllFindings(const Findings& findings) {
  std::string text;
  for (const Finding& finding : findings.items()) {
    text += finding.place + ": " + finding.message + "\n";
  }
  return text;
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_GROUP(Configuration){};

// A field missing in one direction would be lost at the first snapshot.
TEST(Configuration, JsonRoundTripKeepsEveryField) {
  Configuration configuration = TestConfiguration();
  auto& service = configuration.services.begin()->second;
  service.kind = ServiceKind::kPlain;
  service.idempotent = false;
  service.link_share = 0.25;
  service.admission_deadline = Duration(1500250);
  service.local_prefill_limit = Tokens(7);
  service.kv_retention = Milliseconds(333);
  service.prefill_thrift = 1;
  service.honours_fencing = false;
  service.max_prompt_tokens = Tokens(9);
  auto& account = configuration.accounts.begin()->second;
  account = {std::string(64, 'b'),
             AdminRole::kOperator,
             {ServiceId("fitting-assistant")},
             3.5,
             4,
             0.5};
  configuration.drained_endpoints = {EndpointId("r3")};
  configuration.excluded_data_centres = {DataCentreId("west")};
  configuration.limits.change_timeout = Milliseconds(2500);
  configuration.data_centres[DataCentreId("east")] = {false, Duration(1)};
  const auto text = ToJson(configuration).dump();
  const auto read = ConfigurationFromJson(nlohmann::json::parse(text));
  CHECK(std::holds_alternative<Configuration>(read));
  CHECK(std::get<Configuration>(read) == configuration);
}

// Operators can correct a file in one pass only if every fault is reported.
TEST(Configuration, EveryFindingIsReportedWithItsPointer) {
  const auto json = nlohmann::json::parse(R"({
    "colour": 1, "revision": -4, "voters": "x",
    "services": {"a/b": {"classes": ["none"], "default_class": "none",
                         "prefill_thrift": 2, "speed": 1,
                         "kv_retention_ms": "long"}},
    "accounts": {"x": {"role": "king"}},
    "links": {"south": {}}, "limits": {"header_count": 1.5}})");
  const auto read = ConfigurationFromJson(json);
  CHECK(std::holds_alternative<Findings>(read));
  const std::string text = AllFindings(std::get<Findings>(read));
  for (const char* part :
       {"/colour: unknown key", "/revision: ", "/voters: ",
        "/services/a~1b/speed: unknown key", "/services/a~1b/prefill_thrift: ",
        "/services/a~1b/kv_retention_ms: expected milliseconds",
        "/services/a~1b/classes: class \"none\" does not exist",
        "/accounts/x/role: ", "/accounts/x/token_hash: ",
        "/links/south: data centre", "/limits/header_count: "}) {
    CHECK_TEXT(Contains(text, part), part);
  }
}

TEST_GROUP(Change){};

TEST(Change, OperationsApplyInOrderAndIncrementTheRevision) {
  Change change;
  change.operations = {
      MakeOperation(OperationKind::kCreate, ObjectKind::kClass, "kiosk"),
      MakeOperation(OperationKind::kSet, ObjectKind::kClass, "kiosk",
                    "priority", std::int64_t{0}),
      // Sets the target of the service's default class, "long".
      MakeOperation(OperationKind::kSet, ObjectKind::kService,
                    "fitting-assistant", "first_token", Milliseconds(900)),
      MakeOperation(OperationKind::kDrain, ObjectKind::kEndpoint, "r3"),
      MakeOperation(OperationKind::kSet, ObjectKind::kLimit, "header_count", "",
                    std::int64_t{50}),
      MakeOperation(OperationKind::kSet, ObjectKind::kLink, "east",
                    "bytes_per_second", std::int64_t{2000000})};
  const auto applied = ApplyChange(change, TestConfiguration());
  CHECK(std::holds_alternative<Configuration>(applied));
  const auto& result = std::get<Configuration>(applied);
  LONGS_EQUAL(13, result.revision.value());
  LONGS_EQUAL(0, result.classes.at(ClassId("kiosk")).priority);
  CHECK(result.classes.at(ClassId("kiosk")).id == ClassId("kiosk"));
  CHECK(result.classes.at(ClassId("long")).first_token == Milliseconds(900));
  CHECK(result.drained_endpoints.contains(EndpointId("r3")));
  LONGS_EQUAL(50, result.limits.header_count);
  DOUBLES_EQUAL(2e6, result.links.at(DataCentreId("east")).bytes_per_second, 0);
}

TEST(Change, EveryInvalidOperationIsReportedAndNothingIsApplied) {
  Change change;
  change.operations = {
      MakeOperation(OperationKind::kSet, ObjectKind::kService,
                    "fitting-assistant", "colour", true, 1),
      MakeOperation(OperationKind::kSet, ObjectKind::kService, "nobody",
                    "idempotent", true, 2),
      MakeOperation(OperationKind::kUndrain, ObjectKind::kEndpoint, "r3", "",
                    true, 3),
      MakeOperation(OperationKind::kRemove, ObjectKind::kClass, "short", "",
                    true, 4),
      MakeOperation(OperationKind::kAddVoter, ObjectKind::kVoter, "a", "", true,
                    5),
      MakeOperation(OperationKind::kRemoveVoter, ObjectKind::kVoter, "east-1",
                    "", true, 6),
      MakeOperation(OperationKind::kExclude, ObjectKind::kDataCentre, "south",
                    "", true, 7),
      MakeOperation(OperationKind::kSet, ObjectKind::kClass, "long",
                    "first_token", std::int64_t{860}, 8)};
  const auto applied = ApplyChange(change, TestConfiguration());
  CHECK(std::holds_alternative<Findings>(applied));
  const std::string text = AllFindings(std::get<Findings>(applied));
  for (const char* part :
       {"line 1 column 1: unknown field \"colour\"", "line 2 column 1: service",
        "line 3 column 1: endpoint \"r3\" is not drained",
        "line 4 column 1: class \"short\" does not exist",
        "line 6 column 1: a change adds or removes one voter",
        "line 7 column 1: data centre \"south\" does not exist",
        "line 8 column 1: first_token expects a duration"}) {
    CHECK_TEXT(Contains(text, part), part);
  }
  LONGS_EQUAL(7, std::get<Findings>(applied).items().size());
}

TEST(Change, ExcludingAllDataCentresOrRemovingTheLastVoterFails) {
  Configuration base = TestConfiguration();
  base.voters = {InstanceId("east-1")};
  Change change;
  change.operations = {
      MakeOperation(OperationKind::kRemoveVoter, ObjectKind::kVoter, "east-1"),
      MakeOperation(OperationKind::kExclude, ObjectKind::kDataCentre, "east"),
      MakeOperation(OperationKind::kExclude, ObjectKind::kDataCentre, "north"),
      MakeOperation(OperationKind::kExclude, ObjectKind::kDataCentre, "west")};
  const auto applied = ApplyChange(change, base);
  CHECK(std::holds_alternative<Findings>(applied));
  LONGS_EQUAL(2, std::get<Findings>(applied).items().size());
}

// An operator must not affect other teams through shared classes.
TEST(Change, OperatorChangesOnlyTheServicesOfItsTeam) {
  Configuration base = TestConfiguration();
  ClientAccount account;
  account.role = AdminRole::kOperator;
  account.team = {ServiceId("fitting-assistant")};
  const auto service_of = [](const EndpointId& endpoint) {
    return ServiceId(endpoint == EndpointId("r3") ? "fitting-assistant" : "");
  };
  Change change;
  change.operations = {
      MakeOperation(OperationKind::kDrain, ObjectKind::kEndpoint, "r3"),
      MakeOperation(OperationKind::kSet, ObjectKind::kService,
                    "fitting-assistant", "first_token", Milliseconds(900))};
  CHECK(CheckPermission(change, account, base, service_of).empty());
  auto& other = base.services[ServiceId("kiosk-lookup")];
  other.classes = {ClassId("long")};
  other.default_class = ClassId("long");
  change.operations.push_back(
      MakeOperation(OperationKind::kDrain, ObjectKind::kEndpoint, "r4"));
  change.operations.push_back(MakeOperation(
      OperationKind::kRemove, ObjectKind::kService, "fitting-assistant"));
  LONGS_EQUAL(
      3, CheckPermission(change, account, base, service_of).items().size());
  account.role = AdminRole::kAdministrator;
  CHECK(CheckPermission(change, account, base, service_of).empty());
  account.role = AdminRole::kViewer;
  LONGS_EQUAL(
      4, CheckPermission(change, account, base, service_of).items().size());
}
