// Formats the JSON rows of a query response as a text table.
#ifndef TOOLS_CTL_TABLE_FORMAT_H_
#define TOOLS_CTL_TABLE_FORMAT_H_

#include <nlohmann/json.hpp>
#include <string>

#include "servers/language/row.h"

namespace cassiausher {

/// Lists the columns in the order of `table`, then those that only the rows
/// have; columns that no row has are omitted. Numbers are right-aligned.
/// Control characters are replaced by spaces, so that a value can't move the
/// cursor.
std::string FormatTable(const Table& table, const nlohmann::json& rows);

}  // namespace cassiausher

#endif  // TOOLS_CTL_TABLE_FORMAT_H_
