#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/json.h"

namespace boragedoor::bench {

/// Figures of one run of the supply scenario, in the order of the table.
struct supply_figures {
  struct entry {
    std::string_view name;
    double value = 0;
  };
  std::vector<entry> entries;
};

struct named_supply_figures {
  std::string name;
  supply_figures values;
};

std::string to_table(std::span<const named_supply_figures> runs);
json to_json(const supply_figures& it);

} // namespace boragedoor::bench
