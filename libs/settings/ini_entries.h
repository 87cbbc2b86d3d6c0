#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/finding.h"

namespace boragedoor::settings {

/// One `key = value` line.
struct ini_entry {
  int line = 0;
  std::string section;
  std::string key;
  std::string value;
};

/// One `[section]` line.
struct ini_section {
  int line = 0;
  std::string name;
};

/// The content of an INI text, and the lines that are no INI.
struct ini_content {
  std::vector<ini_section> sections;
  std::vector<ini_entry> entries;
  findings problems;
};

/// Reads INI text with inih. Values do not continue on the next line.
ini_content read_ini(std::string_view text, std::string_view file);

} // namespace boragedoor::settings
