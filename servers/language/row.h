// Typed rows that `show` queries return, and the tables they come from.
#ifndef SERVERS_LANGUAGE_ROW_H_
#define SERVERS_LANGUAGE_ROW_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "servers/configuration/value.h"

namespace cassiausher {

struct Column {
  std::string_view name;
  ValueKind kind;
  std::string_view description;
};

struct Table {
  std::string_view name;
  std::string_view description;
  std::vector<Column> columns;
};

/// All tables that `show` can query.
const std::vector<Table>& Tables();
/// Null if there is no such table.
const Table* FindTable(std::string_view name);
/// Null if there is no such column.
const Column* FindColumn(const Table& table, std::string_view name);

/// Named values in the order in which they are printed. A row may lack columns
/// of its table; a missing value satisfies no condition and sorts last.
class Row {
 public:
  /// Replaces a value of the same name.
  void Set(std::string_view name, Value value);
  /// Null if the row has no such value.
  const Value* Find(std::string_view name) const;

  /// A JSON object; durations under the key `NAME_ms`.
  nlohmann::json ToJson() const;

  struct Cell {
    std::string name;
    Value value;
  };
  const std::vector<Cell>& cells() const { return cells_; }

 private:
  std::vector<Cell> cells_;
};

}  // namespace cassiausher

#endif  // SERVERS_LANGUAGE_ROW_H_
