#pragma once

#include <span>
#include <string>

#include "tool/command.h"

namespace boragedoor::tool {

/// Runs one command line, without the program's name, and returns the exit status. The options are
/// back at their defaults afterwards.
int run_tool(std::span<const std::string> words, command_context& context);

} // namespace boragedoor::tool
