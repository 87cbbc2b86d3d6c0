#include "tool/table.h"

#include <algorithm>
#include <vector>

namespace boragedoor::tool {

namespace {

std::string without_control_characters(std::string text) {
  constexpr unsigned char first_printable = 0x20;
  constexpr unsigned char del = 0x7f;
  for (char& c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte < first_printable || byte == del) {
      c = '?';
    }
  }
  return text;
}

std::vector<std::string> all_columns(std::span<const std::string_view> columns, const json& rows) {
  std::vector<std::string> names(columns.begin(), columns.end());
  for (const auto& row : rows) {
    if (!row.is_object()) {
      continue;
    }
    for (const auto& [name, value] : row.items()) {
      if (std::ranges::find(names, name) == names.end()) {
        names.push_back(name);
      }
    }
  }
  return names;
}

using line = std::vector<std::string>;

std::string join(const std::vector<line>& lines) {
  std::vector<std::size_t> widths;
  for (const auto& cells : lines) {
    widths.resize(std::max(widths.size(), cells.size()));
    for (std::size_t n = 0; n < cells.size(); ++n) {
      widths[n] = std::max(widths[n], cells[n].size());
    }
  }
  std::string text;
  for (const auto& cells : lines) {
    for (std::size_t n = 0; n < cells.size(); ++n) {
      text += cells[n];
      if (n + 1 < cells.size()) {
        text.append(widths[n] - cells[n].size() + 2, ' ');
      }
    }
    text += '\n';
  }
  return text;
}

} // namespace

std::string format_value(const json& value) {
  if (value.is_null() || (value.is_array() && value.empty())) {
    return "-";
  }
  if (value.is_string()) {
    return without_control_characters(value.get<std::string>());
  }
  if (value.is_boolean()) {
    return value.get<bool>() ? "yes" : "no";
  }
  if (!value.is_array()) {
    return without_control_characters(to_text(value));
  }
  std::string text;
  for (const auto& it : value) {
    text += (text.empty() ? "" : ",") + format_value(it);
  }
  return text;
}

std::string format_table(std::span<const std::string_view> columns, const json& rows) {
  const auto names = all_columns(columns, rows);
  std::vector<line> lines(1);
  for (const auto& name : names) {
    lines.front().push_back(without_control_characters(name));
  }
  for (const auto& row : rows) {
    line cells;
    for (const auto& name : names) {
      cells.push_back(format_value(row.is_object() ? row.value(name, json()) : json()));
    }
    lines.push_back(std::move(cells));
  }
  return join(lines);
}

} // namespace boragedoor::tool
