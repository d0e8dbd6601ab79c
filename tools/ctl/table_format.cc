// Formats query rows as an aligned text table.
#include "tools/ctl/table_format.h"

#include <fmt/format.h>

#include <algorithm>
#include <vector>

namespace cassiausher {
namespace {

struct Cell {
  std::string text;
  bool is_number = false;
};

/// Replaces control characters by spaces.
std::string Printable(std::string text) {
  for (char& c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte < 0x20 || byte == 0x7f) c = ' ';
  }
  return text;
}

/// Number of code points: UTF-8 continuation bytes don't count.
std::size_t Width(const std::string& text) {
  return static_cast<std::size_t>(std::count_if(
      text.begin(), text.end(),
      [](char c) { return (static_cast<unsigned char>(c) & 0xc0) != 0x80; }));
}

Cell ToCell(const nlohmann::json& value) {
  if (value.is_null()) return {"-", false};
  if (value.is_string()) return {Printable(value.get<std::string>()), false};
  if (value.is_number_float()) {
    return {fmt::format("{:.6g}", value.get<double>()), true};
  }
  return {Printable(value.dump()), value.is_number()};
}

std::vector<std::string> ColumnNames(const Table& table,
                                     const nlohmann::json& rows) {
  std::vector<std::string> names;
  const auto add = [&](const std::string& name) {
    const bool known =
        std::find(names.begin(), names.end(), name) != names.end();
    const bool used =
        std::any_of(rows.begin(), rows.end(), [&](const nlohmann::json& row) {
          return row.is_object() && row.contains(name);
        });
    if (!known && used) names.push_back(name);
  };
  for (const Column& column : table.columns) {
    add(JsonName(column.name, column.kind));
  }
  for (const auto& row : rows) {
    if (!row.is_object()) continue;
    for (const auto& [name, value] : row.items()) add(name);
  }
  return names;
}

std::string Line(const std::vector<Cell>& cells,
                 const std::vector<std::size_t>& widths) {
  std::string line;
  for (std::size_t i = 0; i < cells.size(); ++i) {
    const std::string padding(widths[i] - Width(cells[i].text), ' ');
    line += i == 0 ? "" : "  ";
    line +=
        cells[i].is_number ? padding + cells[i].text : cells[i].text + padding;
  }
  line.erase(line.find_last_not_of(' ') + 1);
  return line + "\n";
}

}  // namespace

std::string FormatTable(const Table& table, const nlohmann::json& rows) {
  const auto names = ColumnNames(table, rows);
  if (names.empty()) return "no rows\n";
  std::vector<std::vector<Cell>> lines(1);
  for (const auto& name : names) lines[0].push_back({Printable(name), false});
  for (const auto& row : rows) {
    std::vector<Cell> cells;
    for (const auto& name : names) {
      const bool has_value = row.is_object() && row.contains(name);
      cells.push_back(ToCell(has_value ? row[name] : nlohmann::json()));
    }
    lines.push_back(std::move(cells));
  }
  std::vector<std::size_t> widths(names.size(), 0);
  for (const auto& cells : lines) {
    for (std::size_t i = 0; i < cells.size(); ++i) {
      widths[i] = std::max(widths[i], Width(cells[i].text));
    }
  }
  // Aligns each heading like the value in the first row.
  for (std::size_t i = 0; lines.size() > 1 && i < names.size(); ++i) {
    lines[0][i].is_number = lines[1][i].is_number;
  }
  std::string text;
  for (const auto& cells : lines) text += Line(cells, widths);
  return text;
}

}  // namespace cassiausher
