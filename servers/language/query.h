// A `show` query and its evaluation over rows.
#ifndef SERVERS_LANGUAGE_QUERY_H_
#define SERVERS_LANGUAGE_QUERY_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "servers/configuration/value.h"
#include "servers/language/row.h"

namespace cassiausher {

enum class Comparison {
  kEqual,
  kNotEqual,
  kLess,
  kLessOrEqual,
  kGreater,
  kGreaterOrEqual,
};

struct Condition {
  std::string field;
  Comparison comparison = Comparison::kEqual;
  /// Has the kind of the column.
  Value value;
};

struct OrderKey {
  std::string field;
  bool descending = false;
};

struct Query {
  std::string table;
  /// A row matches if it meets all conditions of any group; `and` binds tighter
  /// than `or`. Without groups every row matches.
  std::vector<std::vector<Condition>> any_of;
  std::vector<OrderKey> order;
  std::optional<std::size_t> limit;
};

/// Filters, stably sorts and limits the rows of the query's table.
std::vector<Row> Evaluate(const Query& query, std::vector<Row> rows);

}  // namespace cassiausher

#endif  // SERVERS_LANGUAGE_QUERY_H_
