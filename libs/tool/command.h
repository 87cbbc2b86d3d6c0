#pragma once

#include <functional>
#include <iosfwd>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/checked.h"

namespace boragedoor::tool {

/// Exit statuses of the tool.
inline constexpr int exit_ok = 0;
inline constexpr int exit_failed = 1;
inline constexpr int exit_usage = 2;

/// What a command works with.
struct command_context {
  /// Words after the command, without options.
  std::vector<std::string> arguments;
  std::istream& in;
  std::ostream& out;
  std::ostream& err;
  /// Reads an environment variable; returns nullptr when it is not set.
  std::function<const char*(const char*)> environment;
};

/// One example of a reference page.
struct command_example {
  std::string_view meaning;
  std::string_view line;
};

/// What is known about a command: the source of `--help` and of its reference page.
struct command {
  /// One or two words.
  std::string_view name;
  /// Arguments as the synopsis shows them.
  std::string_view arguments;
  std::size_t least_arguments;
  std::size_t most_arguments;
  std::string_view summary;
  std::string_view description;
  std::vector<std::string_view> options;
  std::vector<command_example> examples;
  std::vector<std::string_view> see_also;
  /// Returns the exit status.
  int (*run)(command_context&);
};

/// All commands in the order of `boragedoor help`.
std::span<const command> commands();

/// Looks a command up by its name; returns nullptr when there is none.
const command* find_command(std::string_view name);

/// Reports a failure on the error stream and returns the exit status.
int fail(command_context& context, const error& cause);
int fail(command_context& context, const findings& causes);
int fail_usage(command_context& context, std::string_view message);

/// Reads a whole file; "-" is standard input.
result<std::string> read_file(command_context& context, const std::string& path);

/// Writes a file, or to the output stream when `path` is empty.
result<void> write_output(command_context& context, const std::string& path, std::string_view text);

} // namespace boragedoor::tool
