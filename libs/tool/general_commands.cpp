#include <ostream>

#include "tool/command_page.h"
#include "tool/flags.h"
#include "tool/handlers.h"

namespace boragedoor::tool {

int version(command_context& context) {
  context.out << "boragedoor " << BORAGEDOOR_VERSION << '\n';
  return exit_ok;
}

int help(command_context& context) {
  if (context.arguments.empty()) {
    context.out << (FLAGS_page ? page_index() : command_list());
    return exit_ok;
  }
  std::string name = context.arguments.front();
  if (context.arguments.size() > 1) {
    name += ' ' + context.arguments.back();
  }
  const command* it = find_command(name);
  if (it == nullptr) {
    return fail_usage(context,
                      "'" + name + "' is no command; 'boragedoor help' lists the commands");
  }
  context.out << (FLAGS_page ? reference_page(*it) : help_text(*it));
  return exit_ok;
}

} // namespace boragedoor::tool
