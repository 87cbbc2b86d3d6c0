#include "daemon/admin_gateway.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "configuration/diff.h"

namespace boragedoor::daemon {

namespace {

constexpr duration status_timeout = seconds(1);

json describe(const listed_instance& it) {
  return {{"id", it.id},
          {"address", net::to_string(it.callers)},
          {"data_centre", it.data_centre},
          {"region", it.region},
          {"listed", it.leaving ? "leaving" : "live"}};
}

json to_json(const findings& list) {
  json rows = json::array();
  for (const auto& it : list) {
    rows.push_back({{"file", it.file},
                    {"line", it.line},
                    {"key", it.key},
                    {"problem", it.problem},
                    {"remedy", it.remedy}});
  }
  return rows;
}

std::uint64_t number_from(const net::http_request& request, std::string_view name) {
  const auto it = request.query.find(name);
  std::uint64_t n = 0;
  if (it != request.query.end()) {
    std::from_chars(it->second.data(), it->second.data() + it->second.size(), n);
  }
  return n;
}

api_error store_error(const error& it) {
  if (it.code == error_code::not_found) {
    return not_found_error(it.message);
  }
  if (it.code == error_code::outcome_unknown) {
    return {504, "outcome_unknown", it.message, retry::executed::unknown, {}};
  }
  return unavailable_error("store_unavailable", it.message, seconds(2));
}

} // namespace

admin_gateway::admin_gateway(const daemon_context& context, const access_control& access,
                             configuration_task& configuration, endpoint_task& endpoints,
                             peer_task& peers, shard_task& shards, usage_task& usage)
    : context_(context), access_(access), configuration_(configuration), endpoints_(endpoints),
      peers_(peers), shards_(shards), usage_(usage) {
  peers_.called().connect(
      [this](const std::string& /*from*/, const json& request,
             const peer_task::answer_function& answer) { on_call(request, answer); });
}

void admin_gateway::on_list(std::span<const listed_instance> list) {
  list_.assign(list.begin(), list.end());
}

void admin_gateway::on_call(const json& request, const peer_task::answer_function& answer) {
  const auto type = string_field(request, "type").value_or("");
  if (type == "status") {
    answer(own_status());
  } else if (type == "drain") {
    answer({{"draining", true}});
    drain_asked_.emit();
  }
}

json admin_gateway::own_status() const {
  json shards = json::array();
  for (const auto& it : shards_.held()) {
    shards.push_back(it.name);
  }
  return {{"revision", configuration_.revision()},
          {"state", state_},
          {"boot", context_.boot_id},
          {"shards", std::move(shards)}};
}

void admin_gateway::handle(const exchange_ptr& exchange, std::string_view rest) {
  if (!access_.is_operator(exchange->request().fields)) {
    respond_error(
        *exchange,
        {401, "unauthorized", "the request needs the operator token", retry::executed::no, {}});
    return;
  }
  const std::string& method = exchange->request().method;
  const auto is = [&](std::string_view wanted, std::string_view path) {
    return method == wanted && rest == path;
  };
  constexpr std::string_view keys = "keys/";
  constexpr std::string_view instances = "instances/";
  constexpr std::string_view drain_suffix = "/drain";
  if (is("GET", "config")) {
    show_configuration(exchange);
  } else if (is("POST", "config")) {
    propose(exchange);
  } else if (is("GET", "config/status") || is("GET", "instances")) {
    show_status(exchange);
  } else if (is("POST", "keys")) {
    issue_key(exchange);
  } else if (is("GET", "keys")) {
    list_keys(exchange);
  } else if (method == "DELETE" && rest.starts_with(keys)) {
    withdraw_key(exchange, std::string(rest.substr(keys.size())));
  } else if (method == "POST" && rest.starts_with(instances) && rest.ends_with(drain_suffix)) {
    rest.remove_prefix(instances.size());
    rest.remove_suffix(drain_suffix.size());
    drain(exchange, std::string(rest));
  } else if (is("GET", "endpoints")) {
    exchange->respond_json(200, {{"endpoints", endpoints_.describe()}});
  } else if (is("GET", "usage")) {
    show_usage(exchange);
  } else if (is("GET", "events")) {
    show_events(exchange);
  } else {
    respond_error(*exchange, not_found_error("no such operator route"));
  }
}

void admin_gateway::show_configuration(const exchange_ptr& exchange) const {
  const auto document = parse_json(configuration_.document());
  exchange->respond_json(200, {{"revision", configuration_.revision()},
                               {"document", document ? document.value() : json()}});
}

void admin_gateway::propose(const exchange_ptr& exchange) {
  const auto body = parse_json(exchange->request().body);
  const auto based_on = body ? integer_field(body.value(), "based_on") : std::nullopt;
  if (!based_on || *based_on < 0 || !body.value().contains("document")) {
    respond_error(*exchange, bad_request_error("\"based_on\" and \"document\" are required"));
    return;
  }
  const std::string document = to_text(body.value()["document"]);
  events::event it;
  it.number = events::event_number::configuration_proposed;
  it.details["based_on"] = *based_on;
  context_.record(std::move(it));
  configuration_.propose(
      static_cast<std::uint64_t>(*based_on), document, [exchange](const proposal_result& done) {
        using outcome = proposal_result::outcome;
        if (done.what == outcome::accepted) {
          exchange->respond_json(200, {{"revision", done.revision}});
          return;
        }
        api_error reason{409,
                         "conflict",
                         "the configuration has changed since that revision",
                         retry::executed::no,
                         {}};
        if (done.what == outcome::invalid) {
          reason = bad_request_error("the document has mistakes");
        } else if (done.what == outcome::unknown) {
          reason = {504,
                    "outcome_unknown",
                    "the store did not answer; `boragedoor config show` tells what is in force",
                    retry::executed::unknown,
                    {}};
        } else if (done.what == outcome::unavailable) {
          reason = unavailable_error("store_unavailable", "the store does not answer", seconds(2));
        }
        json answer = daemon::to_json(reason);
        answer["findings"] = to_json(done.problems);
        answer["revision"] = done.revision;
        answer["changes"] = json::array();
        for (const auto& change : done.changes) {
          answer["changes"].push_back(config::to_json(change));
        }
        exchange->respond_json(reason.status, answer);
      });
}

void admin_gateway::ask_all(std::function<void(json rows)> done) {
  struct collection {
    json rows = json::array();
    std::size_t open = 0;
    std::function<void(json)> done;
    void finish_one() {
      if (--open == 0) {
        std::sort(rows.begin(), rows.end(),
                  [](const json& a, const json& b) { return a["id"] < b["id"]; });
        done(std::move(rows));
      }
    }
  };
  const auto all = std::make_shared<collection>();
  all->done = std::move(done);
  all->open = list_.size() + 1;
  for (const auto& it : list_) {
    json row = describe(it);
    const time_point asked = context_.now();
    if (it.id == context_.settings.instance.id) {
      row.update(own_status());
      row["age_ms"] = 0;
      all->rows.push_back(std::move(row));
      all->finish_one();
      continue;
    }
    peers_.call(it.peers, {{"type", "status"}}, status_timeout,
                [this, all, row, asked](const peer_reply& reply) mutable {
                  if (reply.answer && reply.answer->is_object()) {
                    row.update(*reply.answer);
                    row["age_ms"] = to_milliseconds(context_.now() - asked);
                  } else {
                    row["state"] = reply.refused ? "down" : "unreachable";
                  }
                  all->rows.push_back(std::move(row));
                  all->finish_one();
                });
  }
  all->finish_one();
}

void admin_gateway::show_status(const exchange_ptr& exchange) {
  ask_all([exchange](json rows) { exchange->respond_json(200, {{"instances", std::move(rows)}}); });
}

void admin_gateway::issue_key(const exchange_ptr& exchange) {
  const auto body = parse_json(exchange->request().body);
  const auto workspace = body ? string_field(body.value(), "workspace") : std::nullopt;
  if (!workspace) {
    respond_error(*exchange, bad_request_error("\"workspace\" is required"));
    return;
  }
  configuration_.issue_key(*workspace, [exchange](const key_result& done) {
    if (done.failure) {
      respond_error(*exchange, store_error(*done.failure));
      return;
    }
    exchange->respond_json(
        200, {{"key", done.key}, {"key_id", done.key_id}, {"revision", done.revision}});
  });
}

void admin_gateway::withdraw_key(const exchange_ptr& exchange, const std::string& key_id) {
  const auto is_digit = [](unsigned char it) { return std::isxdigit(it) != 0; };
  constexpr std::size_t key_id_length = 16;
  if (key_id.size() != key_id_length || !std::ranges::all_of(key_id, is_digit)) {
    respond_error(*exchange, bad_request_error("a key id has 16 hexadecimal digits; "
                                               "`boragedoor key list` shows them"));
    return;
  }
  configuration_.withdraw_key(key_id, [exchange](const withdrawal_result& done) {
    exchange->respond_json(
        done.durable ? 200 : 202,
        {{"key_id", done.key_id}, {"holders", done.holders}, {"durable", done.durable}});
  });
}

void admin_gateway::list_keys(const exchange_ptr& exchange) const {
  json rows = json::array();
  if (const auto& configuration = access_.configuration()) {
    for (const auto& workspace : configuration->workspaces) {
      for (const auto& key : workspace.keys) {
        rows.push_back({{"workspace", workspace.name},
                        {"key_id", key.id},
                        {"issued_at", key.issued_at},
                        {"withdrawn", access_.is_withdrawn(key.id)}});
      }
    }
  }
  exchange->respond_json(200, {{"keys", std::move(rows)}});
}

void admin_gateway::drain(const exchange_ptr& exchange, const std::string& instance) {
  if (instance == context_.settings.instance.id) {
    exchange->respond_json(200, {{"instance", instance}, {"state", "draining"}});
    context_.post([this] { drain_asked_.emit(); });
    return;
  }
  const auto target = std::ranges::find(list_, instance, &listed_instance::id);
  if (target == list_.end()) {
    respond_error(*exchange, not_found_error("the platform's list has no instance \"" + instance +
                                             "\"; `boragedoor instance list` shows it"));
    return;
  }
  peers_.call(target->peers, {{"type", "drain"}}, status_timeout,
              [exchange, instance](const peer_reply& reply) {
                if (reply.answer) {
                  exchange->respond_json(200, {{"instance", instance}, {"state", "draining"}});
                } else {
                  respond_error(*exchange, {504,
                                            "outcome_unknown",
                                            "the instance did not answer; "
                                            "`boragedoor instance list` shows its state",
                                            retry::executed::unknown,
                                            {}});
                }
              });
}

void admin_gateway::show_usage(const exchange_ptr& exchange) {
  usage_.show(number_from(exchange->request(), "window"), [exchange](const result<json>& it) {
    if (it) {
      exchange->respond_json(200, it.value());
    } else {
      respond_error(*exchange, store_error(it.error()));
    }
  });
}

void admin_gateway::show_events(const exchange_ptr& exchange) const {
  json rows = json::array();
  for (const auto& it : context_.log.recent(number_from(exchange->request(), "after"))) {
    rows.push_back(events::to_json(it));
  }
  exchange->respond_json(200, {{"events", std::move(rows)}, {"evicted", context_.log.evicted()}});
}

} // namespace boragedoor::daemon
