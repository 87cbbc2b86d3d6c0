#include "tool/tool.h"

#include <ostream>

#include "tool/command_line.h"
#include "tool/command_page.h"
#include "tool/flags.h"
#include "tool/handlers.h"

namespace boragedoor::tool {

int run_tool(std::span<const std::string> words, command_context& context) {
  const gflags::FlagSaver restore_options;
  auto line = parse_command_line(words);
  if (!line) {
    return fail_usage(context, line.error().message);
  }
  const command* chosen = line.value().chosen;
  if (line.value().version) {
    return version(context);
  }
  if (chosen == nullptr) {
    (line.value().help ? context.out : context.err) << command_list();
    return line.value().help ? exit_ok : exit_usage;
  }
  if (line.value().help) {
    context.out << help_text(*chosen);
    return exit_ok;
  }
  context.arguments = std::move(line.value().arguments);
  return chosen->run(context);
}

} // namespace boragedoor::tool
