// Parser of the operator language; docs/language.md describes the grammar.
#ifndef SERVERS_LANGUAGE_STATEMENT_H_
#define SERVERS_LANGUAGE_STATEMENT_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/findings.h"
#include "servers/configuration/change.h"
#include "servers/language/query.h"

namespace cassiausher {

/// Longer statements are refused.
constexpr std::size_t kMaxStatementBytes = 256 * 1024;

/// `help` or `help TOPIC`.
struct HelpRequest {
  std::string topic;
};

/// Findings carry "line L column C" and what was expected there.
using Statement = std::variant<Query, Change, HelpRequest, Findings>;

/// Parses one statement. Reports all invalid operations of a change, not only
/// the first. Fields and kinds of values are checked for queries here, for
/// changes by ApplyChange().
Statement ParseStatement(std::string_view text);

/// Text for a help request. For an unknown topic it lists the known ones.
std::string HelpText(std::string_view topic);

/// Every keyword, table, column and field of the language, sorted and without
/// duplicates, for shell completion.
std::vector<std::string> CompletionWords();

}  // namespace cassiausher

#endif  // SERVERS_LANGUAGE_STATEMENT_H_
