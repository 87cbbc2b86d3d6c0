#include <ostream>

#include "base/name.h"
#include "tool/connect.h"
#include "tool/flags.h"
#include "tool/handlers.h"
#include "tool/table.h"

namespace boragedoor::tool {

namespace {

constexpr std::size_t key_id_digits = 16;

/// Keeps the rows of one workspace when the option asks for it.
void filter_by_workspace(json& reply) {
  if (FLAGS_workspace.empty() || !reply.is_object() || !reply.contains("keys") ||
      !reply["keys"].is_array()) {
    return;
  }
  json kept = json::array();
  for (const auto& it : reply["keys"]) {
    if (string_field(it, "workspace") == FLAGS_workspace) {
      kept.push_back(it);
    }
  }
  reply["keys"] = std::move(kept);
}

} // namespace

int key_issue(command_context& context) {
  const std::string& workspace = context.arguments.front();
  if (!is_name(workspace)) {
    return fail_usage(context, "'" + workspace + "' is no workspace; " + std::string(name_rule));
  }
  const auto client = connect(context);
  if (!client) {
    return fail_connect(context, client.error());
  }
  const auto reply = client.value()->fetch(
      {"POST", "/admin/keys", {{"workspace", workspace}}, false, "boragedoor key list"});
  if (!reply) {
    error cause = reply.error();
    if (cause.code == error_code::outcome_unknown) {
      cause.message += "; withdraw a key that nobody received";
    }
    return fail(context, cause);
  }
  const auto key = string_field(reply.value(), "key");
  const auto id = string_field(reply.value(), "key_id");
  if (!key || !id) {
    return fail(context, error{error_code::protocol,
                               "the reply has no key; see 'boragedoor key list' and withdraw a key "
                               "that nobody received"});
  }
  if (FLAGS_json) {
    context.out << to_text(reply.value()) << '\n';
  } else {
    context.out << *key << '\n';
    // Only the key goes to standard output, so that it can be redirected to a file.
    context.err << "Key " << *id << " of workspace " << workspace
                << ". It is shown once; keep it safe.\n";
  }
  return exit_ok;
}

int key_withdraw(command_context& context) {
  const std::string& id = context.arguments.front();
  if (!is_lower_hex(id, key_id_digits)) {
    return fail_usage(context, "that is no key id; use the 16 digits that 'boragedoor key list' "
                               "shows, not the key itself");
  }
  const auto client = connect(context);
  if (!client) {
    return fail_connect(context, client.error());
  }
  const auto reply = client.value()->fetch({"DELETE", "/admin/keys/" + id, {}, true, {}});
  if (!reply) {
    return fail(context, reply.error());
  }
  const json& body = reply.value();
  const bool durable = bool_field(body, "durable").value_or(false);
  if (!durable) {
    context.err << "boragedoor: the store does not have the withdrawal yet; repeat the command "
                   "until it does\n";
  }
  if (FLAGS_json) {
    context.out << to_text(body) << '\n';
    return exit_ok;
  }
  const json holders = body.is_object() ? body.value("holders", json()) : json();
  context.out << "withdrawn: " << id << "; known to " << format_value(holders)
              << " instances, the store " << (durable ? "has it" : "does not have it yet") << '\n';
  return exit_ok;
}

int key_list(command_context& context) {
  const auto client = connect(context);
  if (!client) {
    return fail_connect(context, client.error());
  }
  auto reply = client.value()->fetch({"GET", "/admin/keys", {}, true, {}});
  if (!reply) {
    return fail(context, reply.error());
  }
  filter_by_workspace(reply.value());
  constexpr std::string_view columns[] = {"key_id", "workspace", "issued_at"};
  return print_list(context, reply.value(), "keys", columns);
}

} // namespace boragedoor::tool
