#include <algorithm>
#include <iterator>
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

/// Fields of a row of figures in the order in which the daemon sends them.
constexpr std::string_view usage_columns[] = {"workspace",  "request_class", "late_from",
                                              "requests",   "prompt_tokens", "completion_tokens",
                                              "endpoint_us"};

/// Gives the fields of the figures of all shards their names.
result<json> usage_rows(const json& reply) {
  const error malformed{error_code::protocol,
                        "the daemon's reply has no usage figures of the expected form; compare the "
                        "versions of daemon and tool"};
  json rows = json::array();
  if (!reply.is_object() || !reply.contains("shards") || !reply["shards"].is_array()) {
    return malformed;
  }
  for (const auto& shard : reply["shards"]) {
    const json figures = shard.is_object() ? shard.value("figures", json()) : json();
    if (!figures.is_array()) {
      return malformed;
    }
    for (const auto& row : figures) {
      if (!row.is_array() || row.size() != std::size(usage_columns)) {
        return malformed;
      }
      json named = json::object();
      for (std::size_t n = 0; n < row.size(); ++n) {
        named[std::string(usage_columns[n])] = row[n];
      }
      rows.push_back(std::move(named));
    }
  }
  return rows;
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
  const auto client = connect(context);
  if (!client) {
    return fail_connect(context, client.error());
  }
  const std::string query = FLAGS_window.empty() ? "" : "?window=" + FLAGS_window;
  const auto reply = client.value()->fetch({"GET", "/admin/usage" + query, {}, true, {}});
  if (!reply) {
    return fail(context, reply.error());
  }
  const auto rows = usage_rows(reply.value());
  if (!rows) {
    return fail(context, rows.error());
  }
  if (rows.value().empty()) {
    context.err << "boragedoor: no figures; the window is not frozen yet or had no usage\n";
  }
  const json shown = {{"window", reply.value().value("window", json())}, {"usage", rows.value()}};
  return print_list(context, shown, "usage", usage_columns);
}

} // namespace boragedoor::tool
