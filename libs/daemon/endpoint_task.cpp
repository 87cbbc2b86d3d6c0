#include "daemon/endpoint_task.h"

#include <algorithm>
#include <set>
#include <utility>

namespace boragedoor::daemon {

namespace {

// A draining endpoint must get no new work after a few seconds, so the table is read every second.
constexpr duration table_period = seconds(1);
constexpr duration load_period = seconds(1);

// Endpoints of a pool that one instance chooses from. At the target 1,400 replicas would cost each
// instance 1,400 polls a second; a subset keeps the cost of an instance independent of the fleet.
constexpr std::size_t subset_size = 16;
constexpr duration poll_timeout = seconds(2);

// Requests that an engine runs at once, where the platform does not say.
constexpr int default_max_running = 32;

routing::endpoint_state state_from(std::string_view text) {
  if (text == "live") {
    return routing::endpoint_state::ready;
  }
  return text == "starting" ? routing::endpoint_state::starting : routing::endpoint_state::draining;
}

routing::endpoint endpoint_from(const json& row) {
  routing::endpoint it;
  it.id = string_field(row, "id").value_or("");
  it.address = string_field(row, "address").value_or("");
  it.data_centre = string_field(row, "data_centre").value_or("");
  it.region = string_field(row, "region").value_or("");
  it.pool = string_field(row, "pool").value_or("");
  it.model = string_field(row, "model").value_or("");
  it.kind = string_field(row, "kind") == "service" ? routing::endpoint_kind::service
                                                   : routing::endpoint_kind::engine;
  it.tier = string_field(row, "tier") == "cheap" ? routing::endpoint_tier::cheap
                                                 : routing::endpoint_tier::standard;
  it.state = state_from(string_field(row, "state").value_or(""));
  it.fencing = string_field(row, "fencing") == "checked" ? routing::fencing_support::checks_tokens
                                                         : routing::fencing_support::ignores_tokens;
  it.max_running =
      static_cast<int>(integer_field(row, "max_running").value_or(default_max_running));
  return it;
}

bool is_listed(const json& row) {
  const auto state = string_field(row, "state").value_or("");
  return state == "live" || state == "starting" || state == "draining";
}

} // namespace

result<std::unique_ptr<endpoint_task>> endpoint_task::create(const daemon_context& context) {
  routing::router_options options;
  options.subset_size = subset_size;
  options.instance = context.settings.instance.id;
  options.data_centre = context.settings.instance.data_centre;
  options.region = context.settings.instance.region;
  BOOST_OUTCOME_TRY(router, routing::router::create(options));
  BOOST_OUTCOME_TRY(health, routing::endpoint_health::create({}));
  BOOST_OUTCOME_TRY(hints, routing::prefix_cache_hints::create({}));
  return std::unique_ptr<endpoint_task>(
      new endpoint_task(context, std::move(router), std::move(health), std::move(hints)));
}

endpoint_task::endpoint_task(const daemon_context& context, routing::router router,
                             routing::endpoint_health health, routing::prefix_cache_hints hints)
    : context_(context), router_(std::move(router)), health_(std::move(health)),
      hints_(std::move(hints)), table_timer_(context.loop, [this] { poll_table(); }),
      load_timer_(context.loop, [this] {
        poll_loads();
        update_health();
      }) {}

void endpoint_task::start() {
  poll_table();
  table_timer_.start_periodic(table_period);
  load_timer_.start_periodic(load_period);
}

void endpoint_task::on_list(std::span<const listed_instance> list) {
  const auto live = std::ranges::count_if(list, [](const auto& it) { return !it.leaving; });
  instances_ = std::max<std::size_t>(1, static_cast<std::size_t>(live));
}

void endpoint_task::poll_table() {
  net::http_call_spec spec;
  spec.target = context_.settings.platform.ordering;
  spec.path = "/endpoints";
  spec.progress_timeout = poll_timeout;
  net::http_callbacks callbacks;
  callbacks.on_reply = [this](const net::http_reply& reply) {
    const auto value = parse_json(reply.body);
    if (reply.status == 200 && value) {
      accept_table(value.value());
    }
  };
  context_.http.send(std::move(spec), std::move(callbacks));
}

void endpoint_task::record(events::event_number number, const std::string& endpoint, json details) {
  events::event it;
  it.number = number;
  it.endpoint = endpoint;
  if (!details.is_null()) {
    it.details = std::move(details);
  }
  context_.record(std::move(it));
}

void endpoint_task::accept_table(const json& value) {
  const auto rows = value.is_object() ? value.find("endpoints") : value.end();
  if (rows == value.end() || !rows->is_array()) {
    return;
  }
  std::set<std::string> seen;
  for (const json& row : *rows) {
    if (!is_listed(row)) {
      continue;
    }
    routing::endpoint it = endpoint_from(row);
    seen.insert(it.id);
    const routing::endpoint* known = table_.find(it.id);
    if (known == nullptr) {
      record(events::event_number::endpoint_added, it.id);
      health_.add(it.id, it.data_centre, it.pool);
    } else {
      it.weight_version = known->weight_version;
      if (known->state != it.state && it.state == routing::endpoint_state::draining) {
        record(events::event_number::endpoint_draining, it.id);
      }
    }
    (void)table_.put(std::move(it));
  }
  std::vector<std::string> gone;
  table_.for_each([&](const routing::endpoint& it) {
    if (!seen.contains(it.id)) {
      gone.push_back(it.id);
    }
  });
  for (const auto& id : gone) {
    record(events::event_number::endpoint_removed, id);
    table_.remove(id);
    health_.remove(id);
    hints_.forget(id);
    incarnations_.erase(id);
    ended_.erase(id);
  }
  changed_.emit();
}

void endpoint_task::observe_data_centre(const std::string& name, bool observe) {
  if (observe) {
    observed_.insert(name);
  } else {
    observed_.erase(name);
  }
}

std::set<std::string> endpoint_task::engines_to_poll() const {
  std::set<std::string> pools;
  std::set<std::string> wanted;
  table_.for_each([&](const routing::endpoint& it) {
    if (it.kind == routing::endpoint_kind::engine) {
      pools.insert(it.pool);
      if (observed_.contains(it.data_centre)) {
        wanted.insert(it.id);
      }
    }
  });
  const auto& self = context_.settings.instance;
  for (const auto& pool : pools) {
    const auto subset = routing::endpoint_subset(table_, self.id, self.region, pool, subset_size);
    wanted.insert(subset.begin(), subset.end());
  }
  return wanted;
}

void endpoint_task::poll_loads() {
  // The calls may end at once and change the table, so the endpoints are copied first.
  std::vector<routing::endpoint> engines;
  for (const auto& id : engines_to_poll()) {
    engines.push_back(*table_.find(id));
  }
  for (const auto& it : engines) {
    poll_load(it);
    poll_cache_events(it);
  }
}

void endpoint_task::poll_load(const routing::endpoint& it) {
  net::http_call_spec spec;
  spec.target = net::parse_address(it.address);
  spec.path = "/load";
  spec.progress_timeout = poll_timeout;
  net::http_callbacks callbacks;
  callbacks.on_reply = [this, id = it.id, sent = context_.now()](const net::http_reply& reply) {
    const auto value = parse_json(reply.body);
    if (reply.status != 200 || !value) {
      return;
    }
    routing::load_report report;
    // The report is at least as old as the request for it, so that dispatches since are counted.
    report.as_of = sent;
    report.running = static_cast<int>(integer_field(value.value(), "running").value_or(0));
    report.waiting = static_cast<int>(integer_field(value.value(), "queued").value_or(0));
    table_.update_load(id, report);
    table_.set_weight_version(
        id, static_cast<std::uint64_t>(integer_field(value.value(), "weight_version").value_or(0)));
    const auto seen = string_field(value.value(), "incarnation").value_or("");
    const auto known = incarnations_.find(id);
    if (known != incarnations_.end() && known->second != seen) {
      hints_.forget(id);
    }
    incarnations_[id] = seen;
    // An answer that was on its way when the process ended says nothing about the next one.
    if (const auto ended = ended_.find(id); ended != ended_.end() && ended->second <= sent) {
      ended_.erase(ended);
    }
  };
  callbacks.on_failure = [this, id = it.id](const net::http_failure& /*failure*/) {
    health_.record(id, routing::health_signal::stale_report, context_.now());
  };
  context_.http.send(std::move(spec), std::move(callbacks));
}

void endpoint_task::poll_cache_events(const routing::endpoint& it) {
  net::http_call_spec spec;
  spec.target = net::parse_address(it.address);
  spec.path = "/cache-events?after=" + std::to_string(cache_sequences_[it.id]);
  spec.progress_timeout = poll_timeout;
  net::http_callbacks callbacks;
  callbacks.on_reply = [this, id = it.id](const net::http_reply& reply) {
    const auto value = parse_json(reply.body);
    if (reply.status != 200 || !value || !value.value().contains("events")) {
      return;
    }
    for (const json& row : value.value()["events"]) {
      routing::cache_event event;
      event.sequence = static_cast<std::uint64_t>(integer_field(row, "sequence").value_or(0));
      event.stored = string_field(row, "kind") == "added";
      const auto prefix = row.find("prefix_hash");
      if (prefix != row.end() && prefix->is_number_unsigned()) {
        event.prefix = prefix->get<std::uint64_t>();
      }
      hints_.apply(id, event, context_.now());
      cache_sequences_[id] = std::max(cache_sequences_[id], event.sequence);
    }
  };
  context_.http.send(std::move(spec), std::move(callbacks));
}

void endpoint_task::update_health() {
  for (const auto& it : health_.update(context_.now())) {
    const bool back = it.to == routing::health_state::healthy;
    if (it.to == routing::health_state::probation) {
      continue;
    }
    record(back ? events::event_number::endpoint_restored
                : events::event_number::endpoint_set_aside,
           it.endpoint, {{"reason", it.reason}});
  }
}

result<chosen_endpoint> endpoint_task::choose(const routing::route_request& request) {
  const time_point now = context_.now();
  std::vector<std::string> excluded(request.excluded.begin(), request.excluded.end());
  for (const auto& [id, since] : ended_) {
    excluded.push_back(id);
  }
  routing::route_request limited = request;
  limited.excluded = excluded;
  auto choice = router_.choose(limited, table_, health_, hints_, now, context_.random);
  if (!choice) {
    return choice.error();
  }
  const std::string& id = choice.value().endpoint;
  table_.record_dispatch(id, now);
  hints_.record_dispatch(id, request.prefix, now);
  const auto incarnation = incarnations_.find(id);
  return chosen_endpoint{id, net::parse_address(table_.find(id)->address),
                         incarnation == incarnations_.end() ? "" : incarnation->second};
}

void endpoint_task::finished(const std::string& endpoint,
                             std::optional<routing::health_signal> evidence) {
  table_.record_completion(endpoint, context_.now());
  if (evidence) {
    health_.record(endpoint, *evidence, context_.now());
    if (*evidence != routing::health_signal::success) {
      update_health();
    }
  }
}

void endpoint_task::check_incarnation(const chosen_endpoint& endpoint,
                                      const std::function<void(std::optional<bool>)>& done) {
  // A connection that broke may have been one of several to a process that is gone, so the check
  // uses a new one.
  context_.http.drop_idle(endpoint.target);
  net::http_call_spec spec;
  spec.target = endpoint.target;
  spec.path = "/load";
  spec.progress_timeout = poll_timeout;
  net::http_callbacks callbacks;
  callbacks.on_reply = [done, known = endpoint.incarnation](const net::http_reply& reply) {
    const auto value = parse_json(reply.body);
    if (reply.status != 200 || !value) {
      done(std::nullopt);
      return;
    }
    done(string_field(value.value(), "incarnation") == known);
  };
  callbacks.on_failure = [done](const net::http_failure& failure) {
    // Only a refused connection proves that the process is gone.
    done(failure.nothing_sent && failure.cause.code == error_code::unavailable
             ? std::optional(false)
             : std::nullopt);
  };
  context_.http.send(std::move(spec), std::move(callbacks));
}

void endpoint_task::process_ended(const std::string& endpoint, const std::string& incarnation) {
  const auto known = incarnations_.find(endpoint);
  if (known != incarnations_.end() && known->second == incarnation) {
    ended_[endpoint] = context_.now();
  }
}

std::vector<std::string> endpoint_task::ready(std::string_view pool) const {
  std::vector<std::string> list;
  table_.for_each([&](const routing::endpoint& it) {
    if (it.pool == pool && it.state == routing::endpoint_state::ready) {
      list.push_back(it.id);
    }
  });
  return list;
}

endpoint_task::capacity endpoint_task::capacity_of(std::string_view pool) const {
  capacity sum;
  table_.for_each([&](const routing::endpoint& it) {
    if (it.pool == pool && it.state == routing::endpoint_state::ready) {
      sum.places += it.max_running;
      sum.outstanding += table_.outstanding(it.id);
    }
  });
  return sum;
}

std::vector<routing::endpoint> endpoint_task::endpoints(std::string_view data_centre) const {
  std::vector<routing::endpoint> list;
  table_.for_each([&](const routing::endpoint& it) {
    if (data_centre.empty() || it.data_centre == data_centre) {
      list.push_back(it);
    }
  });
  return list;
}

json endpoint_task::describe() const {
  json rows = json::array();
  table_.for_each([&](const routing::endpoint& it) {
    constexpr std::array state_names = {"starting", "live", "draining"};
    constexpr std::array health_names = {"healthy", "set_aside", "probation"};
    rows.push_back({{"id", it.id},
                    {"address", it.address},
                    {"data_centre", it.data_centre},
                    {"region", it.region},
                    {"pool", it.pool},
                    {"model", it.model},
                    {"tier", it.tier == routing::endpoint_tier::cheap ? "cheap" : "standard"},
                    {"state", state_names.at(static_cast<std::size_t>(it.state))},
                    {"health", health_names.at(static_cast<std::size_t>(health_.state(it.id)))},
                    {"weight_version", it.weight_version},
                    {"outstanding", table_.outstanding(it.id)}});
  });
  return rows;
}

} // namespace boragedoor::daemon
