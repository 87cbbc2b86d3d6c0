#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "tool/tool.h"

int main(int argc, char** argv) {
  const std::vector<std::string> words(argv + 1, argv + argc);
  boragedoor::tool::command_context context{
      {}, std::cin, std::cout, std::cerr, [](const char* name) { return std::getenv(name); }};
  const int status = boragedoor::tool::run_tool(words, context);
  std::cout.flush();
  if (!std::cout && status == boragedoor::tool::exit_ok) {
    std::cerr << "boragedoor: the output could not be written; check free space\n";
    return boragedoor::tool::exit_failed;
  }
  return status;
}
