#include "tool/connect.h"

#include <ostream>

#include <arpa/inet.h>

#include "tool/flags.h"
#include "tool/table.h"

namespace boragedoor::tool {

namespace {

std::string from_environment(command_context& context, const char* name) {
  const char* value = context.environment(name);
  return value == nullptr ? std::string() : std::string(value);
}

std::string_view trim_line_end(std::string_view text) {
  const auto last = text.find_last_not_of(" \t\r\n");
  return text.substr(0, last == std::string_view::npos ? 0 : last + 1);
}

result<std::string> read_token(command_context& context) {
  if (FLAGS_token_file.empty()) {
    std::string token = from_environment(context, "BORAGEDOOR_TOKEN");
    if (token.empty()) {
      return error{error_code::invalid_argument,
                   "no operator token; set --token_file=FILE or BORAGEDOOR_TOKEN"};
    }
    return token;
  }
  BOOST_OUTCOME_TRY(text, read_file(context, FLAGS_token_file));
  std::string token(trim_line_end(text));
  // A line break would let the rest of the file become header fields of its own.
  if (token.empty() || token.find_first_of("\r\n") != std::string::npos) {
    return error{error_code::invalid_argument,
                 FLAGS_token_file + ": does not hold one token on one line"};
  }
  return token;
}

} // namespace

result<std::vector<net::address>> parse_targets(std::string_view text) {
  std::vector<net::address> list;
  while (!text.empty()) {
    const auto comma = std::min(text.find(','), text.size());
    const auto word = text.substr(0, comma);
    text.remove_prefix(std::min(comma + 1, text.size()));
    const net::address at = net::parse_address(word);
    in_addr number{};
    if (at.port == 0 || inet_pton(AF_INET, at.host.c_str(), &number) != 1) {
      return error{error_code::invalid_argument,
                   "'" + std::string(word) + "' is no target; write it as 192.0.2.1:7100"};
    }
    list.push_back(at);
  }
  return list;
}

result<std::unique_ptr<admin_client>> connect(command_context& context) {
  const std::string text =
      FLAGS_target.empty() ? from_environment(context, "BORAGEDOOR_TARGET") : FLAGS_target;
  admin_options options;
  BOOST_OUTCOME_TRY(targets, parse_targets(text));
  options.targets = std::move(targets);
  if (options.targets.empty()) {
    return error{error_code::invalid_argument,
                 "no target; set --target=ip:port or BORAGEDOOR_TARGET"};
  }
  BOOST_OUTCOME_TRY(token, read_token(context));
  options.token = std::move(token);
  if (FLAGS_timeout_ms < 1) {
    return error{error_code::invalid_argument, "--timeout_ms must be at least 1"};
  }
  options.timeout = milliseconds(FLAGS_timeout_ms);
  return admin_client::create(std::move(options));
}

int fail_connect(command_context& context, const error& cause) {
  return cause.code == error_code::invalid_argument ? fail_usage(context, cause.message)
                                                    : fail(context, cause);
}

int print_list(command_context& context, const json& reply, std::string_view field,
               std::span<const std::string_view> columns) {
  const auto rows = reply.is_object() ? reply.value(field, json()) : json();
  if (!rows.is_array()) {
    return fail(context, error{error_code::protocol,
                               "the daemon's reply has no list '" + std::string(field) +
                                   "'; compare the versions of daemon and tool"});
  }
  context.out << (FLAGS_json ? to_text(reply) + '\n' : format_table(columns, rows));
  return exit_ok;
}

} // namespace boragedoor::tool
