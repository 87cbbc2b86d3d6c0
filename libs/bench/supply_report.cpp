#include "bench/supply_report.h"

#include <fmt/format.h>

namespace boragedoor::bench {

std::string to_table(std::span<const named_supply_figures> runs) {
  std::string out = fmt::format("| {:<44} |", "figure");
  std::string rule = fmt::format("| {:-<44} |", "");
  for (const named_supply_figures& it : runs) {
    out += fmt::format(" {:>12} |", it.name);
    rule += fmt::format(" {:->12} |", "");
  }
  out += "\n" + rule + "\n";
  for (std::size_t i = 0; !runs.empty() && i < runs[0].values.entries.size(); ++i) {
    out += fmt::format("| {:<44} |", runs[0].values.entries[i].name);
    for (const named_supply_figures& run : runs) {
      out += fmt::format(" {:>12.6g} |", run.values.entries[i].value);
    }
    out += "\n";
  }
  return out;
}

json to_json(const supply_figures& it) {
  json out = json::object();
  for (const supply_figures::entry& one : it.entries) {
    out[std::string(one.name)] = one.value;
  }
  return out;
}

} // namespace boragedoor::bench
