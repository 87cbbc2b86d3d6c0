#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include "tool/admin_client.h"
#include "tool/command.h"

namespace boragedoor::tool {

/// Parses a list of ip:port separated by commas. Fails with `invalid_argument`.
result<std::vector<net::address>> parse_targets(std::string_view text);

/// Makes a client from the options and the environment. Fails with `invalid_argument` when the
/// target or the token is missing or malformed.
result<std::unique_ptr<admin_client>> connect(command_context& context);

/// Reports an error that came from `connect` or `fetch`; wrong options are usage errors.
int fail_connect(command_context& context, const error& cause);

/// Prints a reply as JSON or as a table of the array in `field`.
int print_list(command_context& context, const json& reply, std::string_view field,
               std::span<const std::string_view> columns);

} // namespace boragedoor::tool
