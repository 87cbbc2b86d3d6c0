#include <ostream>

#include "base/hash.h"
#include "configuration/diff.h"
#include "configuration/generate.h"
#include "tool/connect.h"
#include "tool/flags.h"
#include "tool/handlers.h"
#include "tool/table.h"

namespace boragedoor::tool {

namespace {

constexpr int http_conflict = 409;
constexpr std::size_t proposal_id_bytes = 16;

/// Either findings about a document or an error about a call or a file.
template <class T>
struct outcome {
  std::optional<T> value;
  int status = exit_failed;
};

/// Reads a checked document, and reports why that fails.
template <class T>
outcome<T> read_document(command_context& context, const std::string& path) {
  const auto text = read_file(context, path);
  if (!text) {
    return {std::nullopt, fail(context, text.error())};
  }
  auto it = T::parse(text.value(), path);
  if (!it) {
    return {std::nullopt, fail(context, it.error())};
  }
  return {std::move(it.value()), exit_ok};
}

/// Asks for the accepted configuration; before the first one it is empty.
outcome<config::configuration> accepted_configuration(command_context& context,
                                                      admin_client& client) {
  const auto reply = client.fetch({"GET", "/admin/config", {}, true, {}});
  if (!reply) {
    return {std::nullopt, fail(context, reply.error())};
  }
  const auto document =
      reply.value().is_object() ? reply.value().value("document", json()) : json();
  if (document.is_null()) {
    return {config::configuration{}, exit_ok};
  }
  auto it = config::configuration::from_json(document, "accepted configuration");
  if (!it) {
    return {std::nullopt, fail(context, it.error())};
  }
  return {std::move(it.value()), exit_ok};
}

void print_changes(std::ostream& out, const std::vector<config::change>& changes) {
  if (FLAGS_json) {
    json list = json::array();
    for (const auto& it : changes) {
      list.push_back(config::to_json(it));
    }
    out << to_text({{"changes", list}}) << '\n';
    return;
  }
  for (const auto& it : changes) {
    out << config::to_string(it) << '\n';
  }
  if (changes.empty()) {
    out << "no changes\n";
  }
}

/// The configuration to propose: the file itself, or generated from a questionnaire.
outcome<config::configuration> proposed_configuration(command_context& context,
                                                      admin_client& client) {
  const std::string& path = context.arguments.front();
  if (!FLAGS_questionnaire) {
    return read_document<config::configuration>(context, path);
  }
  const auto answers = read_document<config::questionnaire>(context, path);
  if (!answers.value) {
    return {std::nullopt, answers.status};
  }
  const auto current = accepted_configuration(context, client);
  if (!current.value) {
    return {std::nullopt, current.status};
  }
  return {config::generate(*answers.value, *current.value), exit_ok};
}

int report_conflict(command_context& context, const admin_reply& reply) {
  if (FLAGS_json) {
    context.out << to_text(reply.body) << '\n';
  }
  context.err << "boragedoor: refused: the accepted configuration changed to revision "
              << format_value(reply.body.value("revision", json())) << " meanwhile\n";
  for (const auto& it : reply.body.value("changes", json::array())) {
    const json& text = it.is_object() && it.contains("text") ? it["text"] : it;
    context.err << "  " << format_value(text) << '\n';
  }
  context.err << "Compare with 'boragedoor config diff', put both changes together, and propose "
                 "again with --questionnaire or --based_on.\n";
  return exit_failed;
}

/// Reports a refusal with the findings about the document, if the daemon sent any.
int report_refusal(command_context& context, const admin_reply& reply) {
  const json list = reply.body.is_object() ? reply.body.value("findings", json()) : json();
  for (const auto& it : list) {
    context.err << "  " << string_field(it, "key").value_or("$") << ": "
                << string_field(it, "problem").value_or("refused") << "; "
                << string_field(it, "remedy").value_or("") << '\n';
  }
  return fail(context, to_error(reply));
}

int report_accepted(command_context& context, const json& body, const std::string& proposal) {
  if (FLAGS_json) {
    context.out << to_text(body) << '\n';
  } else {
    context.out << "accepted as revision " << format_value(body.value("revision", json()))
                << " (proposal " << proposal << ")\n";
  }
  return exit_ok;
}

int propose(command_context& context, admin_client& client, config::configuration next) {
  next.proposal_id = secure_random_hex(proposal_id_bytes);
  const json based_on = FLAGS_based_on >= 0 ? json(FLAGS_based_on) : json(next.revision);
  const auto reply = client.call({"POST",
                                  "/admin/config",
                                  {{"based_on", based_on}, {"document", config::to_json(next)}},
                                  false,
                                  "boragedoor config show"});
  if (!reply) {
    error cause = reply.error();
    if (cause.code == error_code::outcome_unknown) {
      cause.message += "; it is accepted if the proposal id is " + next.proposal_id;
    }
    return fail(context, cause);
  }
  const auto& [status, body, target, maybe] = reply.value();
  if (status == http_conflict && body.is_object()) {
    return report_conflict(context, reply.value());
  }
  if (status < 200 || status >= 300 || !body.is_object()) {
    return report_refusal(context, reply.value());
  }
  return report_accepted(context, body, next.proposal_id);
}

void print_summary(std::ostream& out, const config::configuration& it) {
  out << "revision " << it.revision << ", proposal " << it.proposal_id << ", team " << it.team
      << ", usage window " << it.usage_window.count() << " ms, on isolation "
      << config::to_string(it.on_isolation) << '\n';
  const json document = config::to_json(it);
  for (const char* field : {"data_centres", "request_classes", "workspaces", "models", "trainers",
                            "services", "pools"}) {
    json rows = document[field];
    for (auto& row : rows) {
      // Nested lists are counted; --json shows them.
      for (const char* nested : {"keys", "routes", "sizes"}) {
        if (row.contains(nested)) {
          row[nested] = row[nested].size();
        }
      }
    }
    const std::string_view first[] = {"name"};
    out << '\n' << field << '\n' << format_table(first, rows);
  }
}

} // namespace

int config_propose(command_context& context) {
  const auto client = connect(context);
  if (!client) {
    return fail_connect(context, client.error());
  }
  auto next = proposed_configuration(context, *client.value());
  if (!next.value) {
    return next.status;
  }
  if (!FLAGS_dry_run) {
    return propose(context, *client.value(), std::move(*next.value));
  }
  const auto current = accepted_configuration(context, *client.value());
  if (!current.value) {
    return current.status;
  }
  print_changes(context.out, config::diff(*current.value, *next.value));
  return exit_ok;
}

int config_show(command_context& context) {
  const auto client = connect(context);
  if (!client) {
    return fail_connect(context, client.error());
  }
  const auto current = accepted_configuration(context, *client.value());
  if (!current.value) {
    return current.status;
  }
  if (FLAGS_json) {
    context.out << config::to_json(*current.value).dump(2) << '\n';
  } else {
    print_summary(context.out, *current.value);
  }
  return exit_ok;
}

int config_diff(command_context& context) {
  const auto last = read_document<config::configuration>(context, context.arguments.back());
  if (!last.value) {
    return last.status;
  }
  outcome<config::configuration> first;
  if (context.arguments.size() > 1) {
    first = read_document<config::configuration>(context, context.arguments.front());
  } else {
    const auto client = connect(context);
    if (!client) {
      return fail_connect(context, client.error());
    }
    first = accepted_configuration(context, *client.value());
  }
  if (!first.value) {
    return first.status;
  }
  print_changes(context.out, config::diff(*first.value, *last.value));
  return exit_ok;
}

int config_status(command_context& context) {
  const auto client = connect(context);
  if (!client) {
    return fail_connect(context, client.error());
  }
  const auto reply = client.value()->fetch({"GET", "/admin/config/status", {}, true, {}});
  if (!reply) {
    return fail(context, reply.error());
  }
  constexpr std::string_view columns[] = {"id", "data_centre", "revision", "age_ms", "state"};
  return print_list(context, reply.value(), "instances", columns);
}

} // namespace boragedoor::tool
