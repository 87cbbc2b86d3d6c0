#include <algorithm>
#include <ostream>

#include "base/name.h"
#include "tool/connect.h"
#include "tool/flags.h"
#include "tool/handlers.h"
#include "tool/table.h"

namespace boragedoor::tool {

namespace {

int list(command_context& context, const std::string& path, std::string_view field,
         std::span<const std::string_view> columns) {
  const auto client = connect(context);
  if (!client) {
    return fail_connect(context, client.error());
  }
  const auto reply = client.value()->fetch({"GET", path, {}, true, {}});
  return reply ? print_list(context, reply.value(), field, columns) : fail(context, reply.error());
}

} // namespace

int instance_list(command_context& context) {
  constexpr std::string_view columns[] = {"id", "data_centre", "state", "revision"};
  return list(context, "/admin/instances", "instances", columns);
}

int instance_drain(command_context& context) {
  const std::string& id = context.arguments.front();
  if (!is_name(id)) {
    return fail_usage(context,
                      "'" + id + "' is no instance; 'boragedoor instance list' shows them");
  }
  const auto client = connect(context);
  if (!client) {
    return fail_connect(context, client.error());
  }
  const auto reply =
      client.value()->fetch({"POST", "/admin/instances/" + id + "/drain", {}, true, {}});
  if (!reply) {
    return fail(context, reply.error());
  }
  if (FLAGS_json) {
    context.out << to_text(reply.value()) << '\n';
  } else {
    context.out << "drain started: " << id
                << "; 'boragedoor instance list' shows when it has finished\n";
  }
  return exit_ok;
}

int endpoint_list(command_context& context) {
  constexpr std::string_view columns[] = {"id", "pool", "data_centre", "state"};
  return list(context, "/admin/endpoints", "endpoints", columns);
}

int usage_show(command_context& context) {
  const bool is_number =
      std::ranges::all_of(FLAGS_window, [](char c) { return c >= '0' && c <= '9'; });
  if (!is_number) {
    return fail_usage(context, "--window takes the number of a usage window");
  }
  const std::string query = FLAGS_window.empty() ? "" : "?window=" + FLAGS_window;
  constexpr std::string_view columns[] = {"window", "workspace"};
  return list(context, "/admin/usage" + query, "usage", columns);
}

} // namespace boragedoor::tool
