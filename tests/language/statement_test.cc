// Guards against misparsed statements, findings without a place and wrong query
// results.
#include "servers/language/statement.h"

#include <fmt/format.h>
#include <rapidcheck.h>

#include <fstream>
#include <iterator>
#include <string>

#include "servers/configuration/field_table.h"

// CppUTest last: its macros clash with the standard library's headers.
#include <CppUTest/TestHarness.h>

using namespace cassiausher;  // NOLINT: test file

namespace {

constexpr const char* kChange =
    "change id \"c-17\" at revision 12 {\n"
    "  set service \"fitting-assistant\" first_token = 860ms;\n"
    "  set limit header_count = 50; # comment; with }\n"
    "  create account \"x\" role = \"viewer\", team = [\"a\", \"b\"];\n"
    "  drain endpoint \"r\\\"3\"; exclude data_centre \"west\";\n"
    "  remove voter \"east-1\"; set link \"east\" bytes_per_second = 1.5;\n"
    "}\n";

/// "place: message" of each finding, or empty for a correct statement.
std::string FindingsOf(std::string_view text) {
  const Statement statement = ParseStatement(text);
  const auto* findings = std::get_if<Findings>(&statement);
  if (findings == nullptr) return "";
  std::string all;
  for (const Finding& finding : findings->items()) {
    all += finding.place + ": " + finding.message + "\n";
  }
  return all;
}

Row MakeRow(const char* id, const char* service, int late_ms) {
  Row row;
  row.Set("id", std::string(id));
  row.Set("service", std::string(service));
  row.Set("late", Milliseconds(late_ms));
  return row;
}

std::string Ids(std::string_view text, std::vector<Row> rows) {
  const Statement statement = ParseStatement(text);
  CHECK_TEXT(std::holds_alternative<Query>(statement),
             FindingsOf(text).c_str());
  std::string ids;
  for (const Row& row : Evaluate(std::get<Query>(statement), rows)) {
    ids += std::get<std::string>(*row.Find("id"));
  }
  return ids;
}

}  // namespace

TEST_GROUP(Statement){};

TEST(Statement, ChangeParsesIntoOperationsWithPlaces) {
  const Statement statement = ParseStatement(kChange);
  CHECK_TEXT(std::holds_alternative<Change>(statement),
             FindingsOf(kChange).c_str());
  const Change& change = std::get<Change>(statement);
  CHECK(change.id == ChangeId("c-17"));
  CHECK(change.expected_revision == Revision(12));
  CHECK(change.text == kChange);
  using enum OperationKind;
  const std::vector<Operation> expected = {
      {kSet,
       ObjectKind::kService,
       "fitting-assistant",
       "first_token",
       Milliseconds(860),
       {2, 3}},
      {kSet, ObjectKind::kLimit, "header_count", "", std::int64_t{50}, {3, 3}},
      {kCreate, ObjectKind::kAccount, "x", "", false, {4, 3}},
      {kSet, ObjectKind::kAccount, "x", "role", std::string("viewer"), {4, 3}},
      {kSet,
       ObjectKind::kAccount,
       "x",
       "team",
       std::vector<std::string>{"a", "b"},
       {4, 3}},
      {kDrain, ObjectKind::kEndpoint, "r\"3", "", false, {5, 3}},
      {kExclude, ObjectKind::kDataCentre, "west", "", false, {5, 26}},
      {kRemoveVoter, ObjectKind::kVoter, "east-1", "", false, {6, 3}},
      {kSet, ObjectKind::kLink, "east", "bytes_per_second", 1.5, {6, 26}}};
  LONGS_EQUAL(expected.size(), change.operations.size());
  for (std::size_t i = 0; i < expected.size(); ++i) {
    CHECK_TEXT(expected[i] == change.operations[i], expected[i].name.c_str());
  }
}

// One submission must report every invalid operation, not only the first.
TEST(Statement, EveryInvalidOperationIsReported) {
  STRCMP_EQUAL(
      "line 2 column 5: expected service, class, account, limit, data_centre "
      "or link\n"
      "line 3 column 1: expected set, create, remove, drain, undrain, exclude, "
      "include or add\n"
      "line 4 column 16: expected a name in quotes\n",
      FindingsOf("change id \"a\" {\nset colour \"x;}\" = 1;\n"
                 "paint it;\ndrain endpoint r3;\n"
                 "drain endpoint \"r3\" }")
          .c_str());
}

TEST(Statement, SyntaxFindingsNamePlaceAndExpectation) {
  const std::pair<const char*, const char*> cases[] = {
      {"", "line 1 column 1: expected show, change or help\n"},
      {"show", "line 1 column 5: expected a table: requests"},
      {"show colours", "line 1 column 6: unknown table \"colours\""},
      {"show requests where colour = 1",
       "line 1 column 21: unknown field \"colour\", expected one of id, entry"},
      {"show requests where late > 200",
       "line 1 column 21: late is compared with a duration such as 200ms"},
      {"show requests where late > 200xs",
       "line 1 column 28: expected a value"},
      {"show requests where late 3ms",
       "line 1 column 26: expected =, !=, <, <=, > or >="},
      {"show requests where\n late > 99999999999999999999h",
       "line 2 column 9: the number is out of range"},
      {"show requests limit 5 4", "line 1 column 23: expected where"},
      {"change id \"a\" { set limit body_bytes 4 }",
       "line 1 column 38: expected =\n"},
      {"change id \"a\" { drain endpoint \"r3\" drain endpoint \"r4\" }",
       "line 1 column 37: expected ; or }\n"},
      {"change id \"a\" { drain endpoint \"r3\"",
       "line 1 column 36: expected ; or }\n"},
      {"change id \"a\" {} x",
       "line 1 column 18: expected the end of the statement\n"},
      {"change id \"\" {}", "line 1 column 1: the change id is empty\n"}};
  for (const auto& [text, expected] : cases) {
    const std::string findings = FindingsOf(text);
    CHECK_TEXT(findings.starts_with(expected), (findings + text).c_str());
  }
}

// Any altered statement must either parse or give findings with a place; the
// parser must neither crash nor fail without findings.
TEST(Statement, AlteredStatementParsesOrGivesFindingsWithAPlace) {
  const auto check = [] {
    std::string text = *rc::gen::elementOf(std::vector<std::string>{
        kChange,
        "show requests where late > 200ms and id = \"a\" or age <= 1.5s "
        "order by late desc, id limit 20"});
    const auto alterations = *rc::gen::inRange(1, 4);
    for (int i = 0; i < alterations; ++i) {
      const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
      text[at] = *rc::gen::element('"', '{', '}', ';', '\\', 'x', '9', '\0',
                                   '\n', '\xff', ' ', '=', '[');
    }
    const Statement statement = ParseStatement(text);
    const auto* findings = std::get_if<Findings>(&statement);
    if (findings == nullptr) return;
    RC_ASSERT(!findings->empty());
    for (const Finding& finding : findings->items()) {
      RC_ASSERT(finding.place.starts_with("line "));
    }
  };
  CHECK(rc::check("altered statements", check));
}

TEST(Statement, HelpAndCompletionKnowEveryTable) {
  const auto words = CompletionWords();
  for (const Table& table : Tables()) {
    CHECK(HelpText(table.name).find(table.columns[0].name) !=
          std::string::npos);
    CHECK(std::find(words.begin(), words.end(), table.name) != words.end());
  }
  CHECK(HelpText("change").find("change_timeout") != std::string::npos);
  CHECK(std::holds_alternative<HelpRequest>(ParseStatement("help requests")));
}

// Operators can't find a field that is missing from docs/language.md.
TEST(Statement, LanguagePageNamesEveryColumnAndField) {
  std::ifstream file(CASSIAUSHER_LANGUAGE_PAGE);
  const std::string page((std::istreambuf_iterator<char>(file)),
                         std::istreambuf_iterator<char>());
  for (const Table& table : Tables()) {
    const auto section = page.find("### show " + std::string(table.name));
    CHECK_TEXT(section != std::string::npos, table.name.data());
    const auto end = page.find("\n### ", section);
    const std::string text = page.substr(section, end - section);
    for (const Column& column : table.columns) {
      CHECK_TEXT(
          text.find(fmt::format("| `{}` |", column.name)) != std::string::npos,
          column.name.data());
    }
  }
  const auto check = [&](const auto& fields) {
    for (const auto& field : fields) {
      const std::string cell = fmt::format("| `{}` |", field.name);
      const auto line = page.find(cell);
      CHECK_TEXT(line != std::string::npos, cell.c_str());
      CHECK_TEXT(page.find(field.range, line) < page.find('\n', line),
                 cell.c_str());
    }
  };
  check(FieldsOf<ServiceSettings>());
  check(FieldsOf<ClassTargets>());
  check(FieldsOf<ClientAccount>());
  check(FieldsOf<DataCentreSettings>());
  check(FieldsOf<LinkSettings>());
  check(FieldsOf<LimitSettings>());
}

TEST_GROUP(Query){};

TEST(Query, FiltersOrdersAndLimits) {
  const std::vector<Row> rows = {MakeRow("a", "x", 100), MakeRow("b", "y", 300),
                                 MakeRow("c", "x", 250), MakeRow("d", "y", -50),
                                 MakeRow("e", "x", 300)};
  STRCMP_EQUAL("cbe", Ids("show requests where late > 200ms order by late "
                          "limit 20",
                          rows)
                          .c_str());
  // `and` binds tighter than `or`.
  STRCMP_EQUAL("ade", Ids("show requests where late < 0ms or service = \"x\" "
                          "and late != 0.25s",
                          rows)
                          .c_str());
  STRCMP_EQUAL("ec", Ids("show requests where late >= -50ms and service = "
                         "\"x\" order by late desc, id asc limit 2",
                         rows)
                         .c_str());
}

TEST(Query, MissingValuesMeetNoConditionAndSortLast) {
  Row bare;
  bare.Set("id", std::string("z"));
  const std::vector<Row> rows = {bare, MakeRow("a", "x", 1)};
  STRCMP_EQUAL("a", Ids("show requests where service != \"y\"", rows).c_str());
  STRCMP_EQUAL("az", Ids("show requests order by late desc", rows).c_str());
}

TEST(Query, DurationsAreWrittenInMilliseconds) {
  STRCMP_EQUAL(R"({"id":"a","late_ms":-1.0,"service":"x"})",
               MakeRow("a", "x", -1).ToJson().dump().c_str());
}
