// PEGTL grammar of the operator language and the actions that build
// statements from it.
#include "servers/language/statement.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <set>
#include <tao/pegtl.hpp>
#include <utility>

#include "servers/configuration/field_table.h"

namespace cassiausher {
namespace {

namespace pegtl = tao::pegtl;

constexpr std::int64_t kMaxRows = 1'000'000;
constexpr double kMaxMicroseconds = 9e18;

// Grammar. A rule named Expected… fails only where no other rule could match;
// kExpected<Rule> is the message for it. `failure` as the last alternative
// makes the rule rewind, so that the finding names the start of the token.

struct Comment : pegtl::seq<pegtl::one<'#'>, pegtl::until<pegtl::eolf>> {};
struct Spacing : pegtl::star<pegtl::sor<pegtl::space, Comment>> {};
struct WordCharacter
    : pegtl::sor<pegtl::alnum, pegtl::one<'_'>, pegtl::one<'-'>> {};
template <typename Rule>
struct Token : pegtl::seq<Rule, Spacing> {};
template <char... Characters>
struct Word : Token<pegtl::seq<pegtl::string<Characters...>,
                               pegtl::not_at<WordCharacter>>> {};
template <char C>
struct Symbol : Token<pegtl::one<C>> {};
template <typename Rule>
struct Expect : pegtl::sor<Rule, pegtl::failure> {};

// Names are UTF-8, because they appear in JSON.
struct UnescapedCharacter : pegtl::utf8::not_one<'"', '\\', '\n', '\r', '\0'> {
};
struct Escape : pegtl::seq<pegtl::one<'\\'>, pegtl::one<'"', '\\'>> {};
struct QuotedContent : pegtl::star<pegtl::sor<UnescapedCharacter, Escape>> {};
struct Quoted : pegtl::seq<pegtl::one<'"'>, QuotedContent, pegtl::one<'"'>> {};
struct Identifier
    : pegtl::seq<
          pegtl::sor<pegtl::lower, pegtl::one<'_'>>,
          pegtl::star<pegtl::sor<pegtl::lower, pegtl::digit, pegtl::one<'_'>>>,
          pegtl::not_at<WordCharacter>> {};

struct True : Word<'t', 'r', 'u', 'e'> {};
struct False : Word<'f', 'a', 'l', 's', 'e'> {};
struct Unit : pegtl::sor<pegtl::string<'u', 's'>, pegtl::string<'m', 's'>,
                         pegtl::one<'s', 'm', 'h'>> {};
struct Numeric
    : pegtl::seq<pegtl::opt<pegtl::one<'-'>>, pegtl::plus<pegtl::digit>,
                 pegtl::opt<pegtl::one<'.'>, pegtl::plus<pegtl::digit>>,
                 pegtl::opt<Unit>, pegtl::not_at<WordCharacter>,
                 pegtl::not_at<pegtl::one<'.'>>> {};
struct StringValue : Token<Quoted> {};
struct ExpectedItem : Expect<Token<Quoted>> {};
struct ListItem : pegtl::must<ExpectedItem> {};
struct ExpectedListEnd : Expect<Symbol<']'>> {};
struct ListBegin : Symbol<'['> {};
struct ListValue : pegtl::seq<ListBegin,
                              pegtl::opt<pegtl::not_at<pegtl::one<']'>>,
                                         pegtl::list<ListItem, Symbol<','>>>,
                              pegtl::must<ExpectedListEnd>> {};
struct ExpectedValue
    : Expect<pegtl::sor<True, False, Token<Numeric>, StringValue, ListValue>> {
};

// show
struct ExpectedTable : Expect<Token<Identifier>> {};
struct ExpectedConditionField : Expect<Token<Identifier>> {};
struct ComparisonSign
    : pegtl::sor<pegtl::string<'!', '='>, pegtl::string<'<', '='>,
                 pegtl::string<'>', '='>, pegtl::one<'=', '<', '>'>> {};
struct ExpectedComparison : Expect<Token<ComparisonSign>> {};
struct ConditionRule
    : pegtl::must<ExpectedConditionField, ExpectedComparison, ExpectedValue> {};
struct And : Word<'a', 'n', 'd'> {};
struct Or : Word<'o', 'r'> {};
struct Where : Word<'w', 'h', 'e', 'r', 'e'> {};
struct WhereClause
    : pegtl::seq<Where, ConditionRule,
                 pegtl::star<pegtl::sor<And, Or>, ConditionRule>> {};
struct ExpectedOrderField : Expect<Token<Identifier>> {};
struct Descending : Word<'d', 'e', 's', 'c'> {};
struct OrderKeyRule
    : pegtl::seq<pegtl::must<ExpectedOrderField>,
                 pegtl::opt<pegtl::sor<Descending, Word<'a', 's', 'c'>>>> {};
struct ExpectedBy : Expect<Word<'b', 'y'>> {};
struct OrderClause
    : pegtl::seq<Word<'o', 'r', 'd', 'e', 'r'>, pegtl::must<ExpectedBy>,
                 pegtl::list<OrderKeyRule, Symbol<','>>> {};
struct RowCount
    : pegtl::seq<pegtl::plus<pegtl::digit>, pegtl::not_at<WordCharacter>> {};
struct ExpectedRowCount : Expect<Token<RowCount>> {};
struct LimitClause
    : pegtl::seq<Word<'l', 'i', 'm', 'i', 't'>, pegtl::must<ExpectedRowCount>> {
};
struct ExpectedEnd : Expect<pegtl::eof> {};
struct ExpectedShowEnd : Expect<pegtl::eof> {};
struct Show
    : pegtl::seq<Word<'s', 'h', 'o', 'w'>, pegtl::must<ExpectedTable>,
                 pegtl::opt<WhereClause>, pegtl::opt<OrderClause>,
                 pegtl::opt<LimitClause>, pegtl::must<ExpectedShowEnd>> {};

// change
struct ServiceWord : Word<'s', 'e', 'r', 'v', 'i', 'c', 'e'> {};
struct ClassWord : Word<'c', 'l', 'a', 's', 's'> {};
struct AccountWord : Word<'a', 'c', 'c', 'o', 'u', 'n', 't'> {};
struct LimitWord : Word<'l', 'i', 'm', 'i', 't'> {};
struct DataCentreWord
    : Word<'d', 'a', 't', 'a', '_', 'c', 'e', 'n', 't', 'r', 'e'> {};
struct LinkWord : Word<'l', 'i', 'n', 'k'> {};
struct EndpointWord : Word<'e', 'n', 'd', 'p', 'o', 'i', 'n', 't'> {};
struct VoterWord : Word<'v', 'o', 't', 'e', 'r'> {};
struct ExpectedEndpointWord : Expect<EndpointWord> {};
struct ExpectedDataCentreWord : Expect<DataCentreWord> {};
struct ExpectedVoterWord : Expect<VoterWord> {};
struct ExpectedCreatable
    : Expect<pegtl::sor<ServiceWord, ClassWord, AccountWord, DataCentreWord>> {
};
struct ExpectedSettable : Expect<pegtl::sor<ServiceWord, ClassWord, AccountWord,
                                            DataCentreWord, LinkWord>> {};

struct ObjectName : Token<Quoted> {};
struct ExpectedName : Expect<ObjectName> {};
struct LimitName : Token<Identifier> {};
struct ExpectedLimitName : Expect<LimitName> {};
struct FieldName : Token<Identifier> {};
struct ExpectedField : Expect<FieldName> {};
struct ExpectedEquals : Expect<Symbol<'='>> {};
struct Assignment : pegtl::must<ExpectedField, ExpectedEquals, ExpectedValue> {
};
struct Assignments : pegtl::list<Assignment, Symbol<','>> {};

struct SetWord : Word<'s', 'e', 't'> {};
struct LimitAssignment
    : pegtl::must<ExpectedLimitName, ExpectedEquals, ExpectedValue> {};
struct Set
    : pegtl::seq<
          SetWord,
          pegtl::sor<pegtl::seq<LimitWord, LimitAssignment>,
                     pegtl::seq<pegtl::must<ExpectedSettable, ExpectedName>,
                                Assignments>>> {};
struct CreateWord : Word<'c', 'r', 'e', 'a', 't', 'e'> {};
struct CreatedName : pegtl::must<ExpectedName> {};
struct Create
    : pegtl::seq<CreateWord, pegtl::must<ExpectedCreatable>, CreatedName,
                 pegtl::opt<pegtl::at<pegtl::lower>, Assignments>> {};
struct RemoveWord : Word<'r', 'e', 'm', 'o', 'v', 'e'> {};
struct ExpectedRemovable
    : Expect<pegtl::sor<ServiceWord, ClassWord, AccountWord, DataCentreWord,
                        VoterWord>> {};
struct Remove
    : pegtl::seq<RemoveWord, pegtl::must<ExpectedRemovable, ExpectedName>> {};
struct DrainWord : Word<'d', 'r', 'a', 'i', 'n'> {};
struct UndrainWord : Word<'u', 'n', 'd', 'r', 'a', 'i', 'n'> {};
struct Drain : pegtl::seq<pegtl::sor<DrainWord, UndrainWord>,
                          pegtl::must<ExpectedEndpointWord, ExpectedName>> {};
struct ExcludeWord : Word<'e', 'x', 'c', 'l', 'u', 'd', 'e'> {};
struct IncludeWord : Word<'i', 'n', 'c', 'l', 'u', 'd', 'e'> {};
struct Exclude : pegtl::seq<pegtl::sor<ExcludeWord, IncludeWord>,
                            pegtl::must<ExpectedDataCentreWord, ExpectedName>> {
};
struct AddWord : Word<'a', 'd', 'd'> {};
struct Add : pegtl::seq<AddWord, pegtl::must<ExpectedVoterWord, ExpectedName>> {
};
struct OperationWithoutAssignments : pegtl::sor<Remove, Drain, Exclude, Add> {};
struct OperationStart : pegtl::success {};
struct ExpectedOperation
    : Expect<pegtl::seq<OperationStart,
                        pegtl::sor<Set, Create, OperationWithoutAssignments>>> {
};
struct ExpectedOperationEnd
    : Expect<pegtl::at<pegtl::sor<pegtl::one<';', '}'>>>> {};
struct CheckedOperation
    : pegtl::try_catch<pegtl::must<ExpectedOperation, ExpectedOperationEnd>> {};
// Skips an invalid operation, so that those after it are checked as well.
struct SkippedOperation
    : pegtl::plus<pegtl::sor<Quoted, pegtl::not_one<';', '}'>>> {};
struct Operations
    : pegtl::star<pegtl::sor<
          Symbol<';'>,
          pegtl::seq<pegtl::not_at<pegtl::sor<pegtl::one<'}'>, pegtl::eof>>,
                     pegtl::sor<CheckedOperation, SkippedOperation>>>> {};
struct IdText : Token<Quoted> {};
struct ExpectedId : Expect<IdText> {};
struct ExpectedIdWord : Expect<Word<'i', 'd'>> {};
struct RevisionNumber
    : pegtl::seq<pegtl::plus<pegtl::digit>, pegtl::not_at<WordCharacter>> {};
struct ExpectedRevision : Expect<Token<RevisionNumber>> {};
struct ExpectedRevisionWord
    : Expect<Word<'r', 'e', 'v', 'i', 's', 'i', 'o', 'n'>> {};
struct AtRevision
    : pegtl::seq<Word<'a', 't'>,
                 pegtl::must<ExpectedRevisionWord, ExpectedRevision>> {};
struct ExpectedOpen : Expect<Symbol<'{'>> {};
struct ExpectedClose : Expect<Symbol<'}'>> {};
struct ChangeRule
    : pegtl::seq<Word<'c', 'h', 'a', 'n', 'g', 'e'>,
                 pegtl::must<ExpectedIdWord, ExpectedId>,
                 pegtl::opt<AtRevision>, pegtl::must<ExpectedOpen>, Operations,
                 pegtl::must<ExpectedClose, ExpectedEnd>> {};

// help
struct HelpTopic : Token<Identifier> {};
struct Help : pegtl::seq<Word<'h', 'e', 'l', 'p'>, pegtl::opt<HelpTopic>,
                         pegtl::must<ExpectedEnd>> {};

struct ExpectedStatement
    : Expect<pegtl::seq<Spacing, pegtl::sor<Show, ChangeRule, Help>>> {};
struct Grammar : pegtl::must<ExpectedStatement> {};

template <typename Rule>
constexpr const char* kExpected = "expected a valid statement";
template <>
constexpr auto kExpected<ExpectedStatement> = "expected show, change or help";
template <>
constexpr auto kExpected<ExpectedItem> = "expected a string in quotes";
template <>
constexpr auto kExpected<ExpectedListEnd> = "expected , or ]";
template <>
constexpr auto kExpected<ExpectedValue> =
    "expected a value: a number, a duration such as 200ms, a string in quotes, "
    "true, false or a list";
template <>
constexpr auto kExpected<ExpectedTable> =
    "expected a table: requests, endpoints, services, classes, instances, "
    "data_centres, links, changes, accounts or owners";
template <>
constexpr auto kExpected<ExpectedConditionField> = "expected a field";
template <>
constexpr auto kExpected<ExpectedOrderField> = "expected a field";
template <>
constexpr auto kExpected<ExpectedComparison> = "expected =, !=, <, <=, > or >=";
template <>
constexpr auto kExpected<ExpectedBy> = "expected by";
template <>
constexpr auto kExpected<ExpectedRowCount> = "expected a number of rows";
template <>
constexpr auto kExpected<ExpectedShowEnd> =
    "expected where, and, or, order by, limit or the end of the statement";
template <>
constexpr auto kExpected<ExpectedEnd> = "expected the end of the statement";
template <>
constexpr auto kExpected<ExpectedEndpointWord> = "expected endpoint";
template <>
constexpr auto kExpected<ExpectedDataCentreWord> = "expected data_centre";
template <>
constexpr auto kExpected<ExpectedVoterWord> = "expected voter";
template <>
constexpr auto kExpected<ExpectedCreatable> =
    "expected service, class, account or data_centre";
template <>
constexpr auto kExpected<ExpectedRemovable> =
    "expected service, class, account, data_centre or voter";
template <>
constexpr auto kExpected<ExpectedSettable> =
    "expected service, class, account, limit, data_centre or link";
template <>
constexpr auto kExpected<ExpectedName> = "expected a name in quotes";
template <>
constexpr auto kExpected<ExpectedLimitName> = "expected the name of a limit";
template <>
constexpr auto kExpected<ExpectedField> = "expected a field";
template <>
constexpr auto kExpected<ExpectedEquals> = "expected =";
template <>
constexpr auto kExpected<ExpectedOperation> =
    "expected set, create, remove, drain, undrain, exclude, include or add";
template <>
constexpr auto kExpected<ExpectedOperationEnd> = "expected ; or }";
template <>
constexpr auto kExpected<ExpectedIdWord> = "expected id";
template <>
constexpr auto kExpected<ExpectedId> = "expected a change id in quotes";
template <>
constexpr auto kExpected<ExpectedRevisionWord> = "expected revision";
template <>
constexpr auto kExpected<ExpectedRevision> = "expected a revision number";
template <>
constexpr auto kExpected<ExpectedOpen> = "expected at revision or {";
template <>
constexpr auto kExpected<ExpectedClose> = "expected ; or }";

struct ParserState {
  Findings findings;
  Query query;
  const Table* table = nullptr;
  Change change;
  HelpRequest help;
  bool is_change = false;
  bool is_help = false;

  /// Most recently parsed tokens.
  std::string text;
  std::string field;
  SourcePlace field_place;
  Comparison comparison = Comparison::kEqual;
  Value value;
  std::vector<std::string> list;
  /// Operation being parsed.
  Operation operation;

  void AddOperation(OperationKind kind) {
    operation.kind = kind;
    change.operations.push_back(operation);
  }

  void AddAssignment() {
    Operation set = operation;
    set.kind = OperationKind::kSet;
    set.field = field;
    set.value = value;
    change.operations.push_back(std::move(set));
  }

  /// Null, with a finding, if the table lacks the column.
  const Column* CheckedColumn() {
    if (table == nullptr) return nullptr;
    const Column* column = FindColumn(*table, field);
    if (column != nullptr) return column;
    std::string names;
    for (const Column& known : table->columns) {
      names += (names.empty() ? "" : ", ") + std::string(known.name);
    }
    findings.Add(
        FormatPlace(field_place),
        fmt::format("unknown field \"{}\", expected one of {}", field, names));
    return nullptr;
  }
};

template <typename Input>
SourcePlace PlaceOf(const Input& in) {
  const auto position = in.position();
  return {static_cast<int>(position.line), static_cast<int>(position.column)};
}

/// Records the finding of a failed rule before the parser unwinds.
template <typename Rule>
struct Control : pegtl::normal<Rule> {
  template <typename Input>
  [[noreturn]] static void raise(const Input& in, ParserState& state) {
    state.findings.Add(FormatPlace(PlaceOf(in)), kExpected<Rule>);
    throw pegtl::parse_error(kExpected<Rule>, in);
  }
};

template <typename Rule>
struct Action : pegtl::nothing<Rule> {};

template <>
struct Action<QuotedContent> {
  template <typename Input>
  static void apply(const Input& in, ParserState& state) {
    state.text.clear();
    const std::string_view raw = in.string_view();
    for (std::size_t i = 0; i < raw.size(); ++i) {
      if (raw[i] == '\\') ++i;
      state.text += raw[i];
    }
  }
};

template <>
struct Action<Identifier> {
  template <typename Input>
  static void apply(const Input& in, ParserState& state) {
    state.field = in.string();
    state.field_place = PlaceOf(in);
  }
};

template <>
struct Action<True> {
  static void apply0(ParserState& state) { state.value = true; }
};
template <>
struct Action<False> {
  static void apply0(ParserState& state) { state.value = false; }
};
template <>
struct Action<StringValue> {
  static void apply0(ParserState& state) { state.value = state.text; }
};
template <>
struct Action<ListBegin> {
  static void apply0(ParserState& state) { state.list.clear(); }
};
template <>
struct Action<ListItem> {
  static void apply0(ParserState& state) { state.list.push_back(state.text); }
};
template <>
struct Action<ListValue> {
  static void apply0(ParserState& state) { state.value = state.list; }
};

double MicrosecondsPer(std::string_view unit) {
  if (unit == "us") return 1;
  if (unit == "ms") return 1e3;
  if (unit == "s") return 1e6;
  if (unit == "m") return 60e6;
  return 3600e6;
}

/// Returns nothing if the number is out of range. `text` matches Numeric.
std::optional<Value> ParseNumeric(std::string_view text) {
  const std::size_t unit_start = text.find_last_of("0123456789") + 1;
  const std::string_view digits = text.substr(0, unit_start);
  const std::string_view unit = text.substr(unit_start);
  const char* end = digits.data() + digits.size();
  if (unit.empty() && digits.find('.') == std::string_view::npos) {
    std::int64_t integer = 0;
    const auto parsed = std::from_chars(digits.data(), end, integer);
    if (parsed.ec != std::errc()) return std::nullopt;
    return Value(integer);
  }
  double number = 0;
  const auto parsed = std::from_chars(digits.data(), end, number);
  if (parsed.ec != std::errc()) return std::nullopt;
  if (unit.empty()) return Value(number);
  const double microseconds = number * MicrosecondsPer(unit);
  if (std::abs(microseconds) > kMaxMicroseconds) return std::nullopt;
  return Value(Duration(std::llround(microseconds)));
}

template <>
struct Action<Numeric> {
  template <typename Input>
  static void apply(const Input& in, ParserState& state) {
    const auto value = ParseNumeric(in.string_view());
    if (value) {
      state.value = *value;
      return;
    }
    state.findings.Add(FormatPlace(PlaceOf(in)), "the number is out of range");
  }
};

template <>
struct Action<ExpectedTable> {
  static void apply0(ParserState& state) {
    state.query.table = state.field;
    state.table = FindTable(state.field);
    if (state.table != nullptr) return;
    state.findings.Add(FormatPlace(state.field_place),
                       fmt::format("unknown table \"{}\", {}", state.field,
                                   kExpected<ExpectedTable>));
  }
};

template <>
struct Action<ComparisonSign> {
  template <typename Input>
  static void apply(const Input& in, ParserState& state) {
    const std::string_view sign = in.string_view();
    if (sign == "=") state.comparison = Comparison::kEqual;
    if (sign == "!=") state.comparison = Comparison::kNotEqual;
    if (sign == "<") state.comparison = Comparison::kLess;
    if (sign == "<=") state.comparison = Comparison::kLessOrEqual;
    if (sign == ">") state.comparison = Comparison::kGreater;
    if (sign == ">=") state.comparison = Comparison::kGreaterOrEqual;
  }
};

template <>
struct Action<Where> {
  static void apply0(ParserState& state) { state.query.any_of.emplace_back(); }
};
template <>
struct Action<Or> {
  static void apply0(ParserState& state) { state.query.any_of.emplace_back(); }
};

template <>
struct Action<ConditionRule> {
  static void apply0(ParserState& state) {
    const Column* column = state.CheckedColumn();
    if (column == nullptr) return;
    const auto value = ConvertValue(state.value, column->kind);
    if (!value) {
      state.findings.Add(FormatPlace(state.field_place),
                         fmt::format("{} is compared with {}", column->name,
                                     DescribeKind(column->kind)));
      return;
    }
    state.query.any_of.back().push_back(
        {state.field, state.comparison, *value});
  }
};

template <>
struct Action<ExpectedOrderField> {
  static void apply0(ParserState& state) {
    if (state.CheckedColumn() == nullptr) return;
    state.query.order.push_back({state.field, false});
  }
};
template <>
struct Action<Descending> {
  static void apply0(ParserState& state) {
    if (!state.query.order.empty()) state.query.order.back().descending = true;
  }
};

template <>
struct Action<RowCount> {
  template <typename Input>
  static void apply(const Input& in, ParserState& state) {
    const auto value = ParseNumeric(in.string_view());
    if (value && std::get<std::int64_t>(*value) <= kMaxRows) {
      state.query.limit = std::get<std::int64_t>(*value);
      return;
    }
    state.findings.Add(FormatPlace(PlaceOf(in)),
                       fmt::format("limit is at most {} rows", kMaxRows));
  }
};

template <ObjectKind kKind>
struct SetObject {
  static void apply0(ParserState& state) { state.operation.object = kKind; }
};
template <>
struct Action<ServiceWord> : SetObject<ObjectKind::kService> {};
template <>
struct Action<ClassWord> : SetObject<ObjectKind::kClass> {};
template <>
struct Action<AccountWord> : SetObject<ObjectKind::kAccount> {};
template <>
struct Action<LimitWord> : SetObject<ObjectKind::kLimit> {};
template <>
struct Action<DataCentreWord> : SetObject<ObjectKind::kDataCentre> {};
template <>
struct Action<LinkWord> : SetObject<ObjectKind::kLink> {};
template <>
struct Action<EndpointWord> : SetObject<ObjectKind::kEndpoint> {};
template <>
struct Action<VoterWord> : SetObject<ObjectKind::kVoter> {};

template <OperationKind kKind>
struct SetKind {
  static void apply0(ParserState& state) { state.operation.kind = kKind; }
};
template <>
struct Action<RemoveWord> : SetKind<OperationKind::kRemove> {};
template <>
struct Action<DrainWord> : SetKind<OperationKind::kDrain> {};
template <>
struct Action<UndrainWord> : SetKind<OperationKind::kUndrain> {};
template <>
struct Action<ExcludeWord> : SetKind<OperationKind::kExclude> {};
template <>
struct Action<IncludeWord> : SetKind<OperationKind::kInclude> {};
template <>
struct Action<AddWord> : SetKind<OperationKind::kAddVoter> {};

template <>
struct Action<OperationStart> {
  template <typename Input>
  static void apply(const Input& in, ParserState& state) {
    state.operation = Operation();
    state.operation.place = PlaceOf(in);
  }
};
template <>
struct Action<ObjectName> {
  static void apply0(ParserState& state) { state.operation.name = state.text; }
};
template <>
struct Action<LimitName> {
  static void apply0(ParserState& state) { state.operation.name = state.field; }
};
template <>
struct Action<CreatedName> {
  static void apply0(ParserState& state) {
    state.AddOperation(OperationKind::kCreate);
  }
};
template <>
struct Action<Assignment> {
  static void apply0(ParserState& state) { state.AddAssignment(); }
};
template <>
struct Action<LimitAssignment> {
  static void apply0(ParserState& state) {
    state.field.clear();
    state.AddAssignment();
  }
};
template <>
struct Action<OperationWithoutAssignments> {
  static void apply0(ParserState& state) {
    const bool removes_voter = state.operation.kind == OperationKind::kRemove &&
                               state.operation.object == ObjectKind::kVoter;
    state.AddOperation(removes_voter ? OperationKind::kRemoveVoter
                                     : state.operation.kind);
  }
};

template <>
struct Action<IdText> {
  static void apply0(ParserState& state) {
    state.change.id = ChangeId(state.text);
  }
};
template <>
struct Action<RevisionNumber> {
  template <typename Input>
  static void apply(const Input& in, ParserState& state) {
    const auto value = ParseNumeric(in.string_view());
    if (value) {
      state.change.expected_revision = Revision(std::get<std::int64_t>(*value));
      return;
    }
    state.findings.Add(FormatPlace(PlaceOf(in)), "the number is out of range");
  }
};
template <>
struct Action<ChangeRule> {
  static void apply0(ParserState& state) { state.is_change = true; }
};
template <>
struct Action<HelpTopic> {
  static void apply0(ParserState& state) { state.help.topic = state.field; }
};
template <>
struct Action<Help> {
  static void apply0(ParserState& state) { state.is_help = true; }
};

Findings SingleFinding(std::string message) {
  Findings findings;
  findings.Add(FormatPlace({}), std::move(message));
  return findings;
}

template <typename Object>
void AddFieldWords(std::set<std::string>* words) {
  for (const auto& field : FieldsOf<Object>()) {
    words->insert(std::string(field.name));
  }
}

template <typename Object>
std::string DescribeFields(std::string_view title) {
  std::string text = fmt::format("{}\n", title);
  for (const auto& field : FieldsOf<Object>()) {
    text +=
        fmt::format("  {:<20} {}{}{}\n", field.name, DescribeKind(field.kind),
                    field.range.empty() ? "" : ", ", field.range);
  }
  return text;
}

std::string DescribeTable(const Table& table) {
  std::string text =
      fmt::format("show {}: {}\n", table.name, table.description);
  for (const Column& column : table.columns) {
    text += fmt::format("  {:<20} {}\n", column.name, column.description);
  }
  return text;
}

std::string DescribeChange() {
  return "change id \"ID\" [at revision N] { OPERATION; … }\n"
         "  set service|class|account|data_centre|link \"NAME\" "
         "FIELD = VALUE, …\n"
         "  set limit NAME = VALUE\n"
         "  create service|class|account|data_centre \"NAME\" "
         "[FIELD = VALUE, …]\n"
         "  remove service|class|account|data_centre \"NAME\"\n"
         "  drain|undrain endpoint \"NAME\"\n"
         "  exclude|include data_centre \"NAME\"\n"
         "  add|remove voter \"INSTANCE\"\n" +
         DescribeFields<ServiceSettings>(
             "fields of a service, and those of its default class:") +
         DescribeFields<ClassTargets>("fields of a class:") +
         DescribeFields<ClientAccount>("fields of an account:") +
         DescribeFields<DataCentreSettings>("fields of a data_centre:") +
         DescribeFields<LinkSettings>("fields of a link:") +
         DescribeFields<LimitSettings>("limits:");
}

std::string DescribeShow() {
  std::string text =
      "show TABLE [where FIELD OP VALUE [and|or …]] [order by FIELD "
      "[asc|desc], …] [limit N]\n"
      "  OP is =, !=, <, <=, > or >=; and binds tighter than or\n"
      "  durations: 200ms, 1.5s, 42us, 2m, 1h\n"
      "tables:\n";
  for (const Table& table : Tables()) {
    text += fmt::format("  {:<13} {}\n", table.name, table.description);
  }
  return text;
}

}  // namespace

Statement ParseStatement(std::string_view text) {
  if (text.size() > kMaxStatementBytes) {
    return SingleFinding(fmt::format("the statement is longer than {} bytes",
                                     kMaxStatementBytes));
  }
  ParserState state;
  pegtl::memory_input input(text.data(), text.size(), "");
  try {
    const bool matched = pegtl::parse<Grammar, Action, Control>(input, state);
    if (!matched) return SingleFinding(kExpected<ExpectedStatement>);
  } catch (const pegtl::parse_error&) {
    // Control::raise() has recorded the finding.
  }
  if (!state.findings.empty()) return state.findings;
  if (state.is_help) return state.help;
  if (!state.is_change) return state.query;
  if (state.change.id.empty()) return SingleFinding("the change id is empty");
  state.change.text = std::string(text);
  return state.change;
}

std::string HelpText(std::string_view topic) {
  if (const Table* table = FindTable(topic)) return DescribeTable(*table);
  if (topic == "show") return DescribeShow();
  if (topic == "change") return DescribeChange();
  std::string text =
      topic.empty() ? "" : fmt::format("unknown topic \"{}\"\n", topic);
  text += "help TOPIC, with TOPIC one of: show, change";
  for (const Table& table : Tables()) text += fmt::format(", {}", table.name);
  return text + "\n";
}

std::vector<std::string> CompletionWords() {
  std::set<std::string> words = {
      "account",    "add",   "and",    "asc",     "at",       "by",
      "change",     "class", "create", "desc",    "drain",    "endpoint",
      "exclude",    "false", "help",   "id",      "include",  "limit",
      "link",       "or",    "order",  "remove",  "revision", "service",
      "set",        "show",  "true",   "undrain", "voter",    "where",
      "data_centre"};
  for (const Table& table : Tables()) {
    words.insert(std::string(table.name));
    for (const Column& column : table.columns) {
      words.insert(std::string(column.name));
    }
  }
  AddFieldWords<ServiceSettings>(&words);
  AddFieldWords<ClassTargets>(&words);
  AddFieldWords<ClientAccount>(&words);
  AddFieldWords<DataCentreSettings>(&words);
  AddFieldWords<LinkSettings>(&words);
  AddFieldWords<LimitSettings>(&words);
  return {words.begin(), words.end()};
}

}  // namespace cassiausher
