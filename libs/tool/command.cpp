#include "tool/command.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <ostream>

#include "base/file.h"

namespace boragedoor::tool {

const command* find_command(std::string_view name) {
  const auto all = commands();
  const auto it = std::ranges::find(all, name, &command::name);
  return it == all.end() ? nullptr : &*it;
}

int fail(command_context& context, const error& cause) {
  context.err << "boragedoor: " << cause.message << " (" << to_string(cause.code) << ")\n";
  return exit_failed;
}

int fail(command_context& context, const findings& causes) {
  context.err << to_string(causes);
  return exit_failed;
}

int fail_usage(command_context& context, std::string_view message) {
  context.err << "boragedoor: " << message << '\n';
  return exit_usage;
}

result<std::string> read_file(command_context& context, const std::string& path) {
  if (path == "-") {
    return std::string(std::istreambuf_iterator<char>(context.in), {});
  }
  return read_whole_file(path);
}

result<void> write_output(command_context& context, const std::string& path,
                          std::string_view text) {
  if (path.empty()) {
    context.out << text;
    return success();
  }
  std::ofstream file(path, std::ios::binary | std::ios::trunc);
  file << text;
  file.close();
  if (!file) {
    return error{error_code::io, path + ": cannot be written; check the path and free space"};
  }
  return success();
}

} // namespace boragedoor::tool
