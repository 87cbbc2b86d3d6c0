#pragma once

#include <sstream>
#include <string>
#include <vector>

#include "tool/tool.h"

namespace boragedoor::testing {

/// What a command line led to.
struct tool_run {
  int status = 0;
  std::string out;
  std::string err;
};

/// Runs the tool in this process, with the operator token in its environment.
inline tool_run run(const std::vector<std::string>& words, const std::string& input = {}) {
  std::istringstream in(input);
  std::ostringstream out;
  std::ostringstream err;
  tool::command_context context{{}, in, out, err, [](const char* name) {
                                  return std::string(name) == "BORAGEDOOR_TOKEN" ? "t0ken"
                                                                                 : nullptr;
                                }};
  const int status = tool::run_tool(words, context);
  return {status, out.str(), err.str()};
}

} // namespace boragedoor::testing
