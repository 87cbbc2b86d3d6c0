#pragma once

#include <span>
#include <string>

#include "bench/measurement.h"

namespace boragedoor::bench {

/// The figures of one run under its name ("policy", "naive").
struct named_figures {
  std::string name;
  figures values;
};

/// Formats runs as a table with one column each.
std::string to_table(std::span<const named_figures> runs);

} // namespace boragedoor::bench
