#pragma once

#include <span>
#include <string>
#include <vector>

#include "base/result.h"
#include "tool/command.h"

namespace boragedoor::tool {

/// A parsed command line.
struct command_line {
  /// The command; nullptr when the line names none.
  const command* chosen = nullptr;
  std::vector<std::string> arguments;
  bool help = false;
  bool version = false;
};

/// Parses the words after the program's name and sets the gflags options. Parsing is done here
/// and not by gflags, which ends the program with status 1 on a mistake and accepts its own
/// options, such as --flagfile. Fails with `invalid_argument`.
result<command_line> parse_command_line(std::span<const std::string> words);

} // namespace boragedoor::tool
