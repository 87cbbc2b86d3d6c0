#include "daemon/daemon.h"

#include <random>
#include <string_view>
#include <utility>

#include "base/hash.h"
#include "daemon/access_control.h"
#include "daemon/admin_gateway.h"
#include "daemon/announcement_task.h"
#include "daemon/caller_gateway.h"
#include "daemon/completion_task.h"
#include "daemon/configuration_task.h"
#include "daemon/drain_task.h"
#include "daemon/endpoint_task.h"
#include "daemon/membership_task.h"
#include "daemon/metrics_task.h"
#include "daemon/order_task.h"
#include "daemon/peer_task.h"
#include "daemon/service_task.h"
#include "daemon/shard_task.h"
#include "daemon/trainer_gateway.h"
#include "daemon/trainer_task.h"
#include "daemon/usage_task.h"
#include "net/http_server.h"

namespace boragedoor::daemon {

struct daemon::impl {
  net::event_loop& loop;
  settings::daemon_settings settings;
  std::unique_ptr<events::event_log> log;
  metrics::registry metrics;
  random_engine random{std::random_device{}()};
  net::http_client http;
  std::unique_ptr<daemon_context> context;
  std::unique_ptr<net::http_server> server;
  std::unique_ptr<store::store_client> store;
  std::unique_ptr<peer_task> peers;
  std::unique_ptr<announcement_task> announcements;
  std::unique_ptr<membership_task> membership;
  std::unique_ptr<configuration_task> configuration;
  std::unique_ptr<shard_task> shards;
  std::unique_ptr<endpoint_task> endpoints;
  std::unique_ptr<completion_task> completions;
  std::unique_ptr<service_task> services;
  std::unique_ptr<trainer_task> trainers;
  std::unique_ptr<usage_task> usage;
  std::unique_ptr<order_task> orders;
  std::unique_ptr<access_control> access;
  std::unique_ptr<caller_gateway> callers;
  std::unique_ptr<trainer_gateway> trainer_routes;
  std::unique_ptr<admin_gateway> admin;
  std::unique_ptr<metrics_task> metrics_page;
  std::unique_ptr<drain_task> drain;

  impl(net::event_loop& owner, settings::daemon_settings wanted)
      : loop(owner), settings(std::move(wanted)), http(owner) {}

  result<void> open_listeners();
  result<void> create_tasks();
  void connect_tasks();
  void connect_configuration();
  void create_drain();
  void start();
  void route(const exchange_ptr& exchange);
  void update_state();
};

result<void> daemon::impl::open_listeners() {
  events::event_log_options options;
  options.instance = settings.instance.id;
  constexpr std::size_t boot_id_bytes = 8;
  options.boot = secure_random_hex(boot_id_bytes);
  options.path = settings.events.file;
  options.least = settings.events.level;
  const std::string boot_id = options.boot;
  BOOST_OUTCOME_TRY(opened, events::event_log::create(std::move(options)));
  log = std::move(opened);
  net::http_limits limits;
  limits.max_header_bytes = settings.limits.max_header_bytes;
  limits.max_body_bytes = settings.limits.max_body_bytes;
  BOOST_OUTCOME_TRY(listening, net::http_server::listen(
                                   loop, settings.listen.callers, limits,
                                   [this](const exchange_ptr& exchange) { route(exchange); }));
  server = std::move(listening);
  context = std::make_unique<daemon_context>(daemon_context{
      loop, http, settings, *log, metrics, random, server->local_address(), boot_id});
  return success();
}

result<void> daemon::impl::create_tasks() {
  store = std::make_unique<store::store_client>(loop, http, settings.platform.store);
  BOOST_OUTCOME_TRY(new_peers, peer_task::create(*context));
  peers = std::move(new_peers);
  announcements = std::make_unique<announcement_task>(*context, *peers);
  membership = std::make_unique<membership_task>(*context);
  configuration = std::make_unique<configuration_task>(*context, *store, *peers);
  BOOST_OUTCOME_TRY(new_shards, shard_task::create(*context, *store, *peers, *announcements));
  shards = std::move(new_shards);
  BOOST_OUTCOME_TRY(new_endpoints, endpoint_task::create(*context));
  endpoints = std::move(new_endpoints);
  BOOST_OUTCOME_TRY(new_completions, completion_task::create(*context, *endpoints, *peers));
  completions = std::move(new_completions);
  BOOST_OUTCOME_TRY(new_services, service_task::create(*context, *endpoints, *store));
  services = std::move(new_services);
  trainers =
      std::make_unique<trainer_task>(*context, *store, *shards, *announcements, *completions);
  usage = std::make_unique<usage_task>(*context, *store, *peers, *shards, *announcements);
  orders = std::make_unique<order_task>(*context, *endpoints, *shards, *announcements);
  access = std::make_unique<access_control>(settings.operators.token_sha256);
  callers = std::make_unique<caller_gateway>(*context, *access, *completions, *services);
  trainer_routes = std::make_unique<trainer_gateway>(*context, *access, *trainers, *announcements);
  admin = std::make_unique<admin_gateway>(*context, *access, *configuration, *endpoints, *peers,
                                          *shards, *usage);
  metrics_page = std::make_unique<metrics_task>(*context, *store, *peers, *completions, *services);
  return success();
}

void daemon::impl::connect_tasks() {
  membership->changed().connect([this](const std::vector<listed_instance>& list) {
    peers->on_list(list);
    configuration->on_list(list);
    endpoints->on_list(list);
    usage->on_list(list);
    callers->on_list(list);
    admin->on_list(list);
  });
  membership->polled().connect([this](const std::vector<listed_instance>& list, duration lag) {
    shards->on_list(list, lag);
  });
  announcements->learned().connect([this](const announcement& it) {
    constexpr std::string_view prefix = "draining/";
    const bool is_own = it.name == "draining/" + settings.instance.id;
    if (is_own && !drain->is_draining() && !it.value.is_null()) {
      // A former process of this instance drained; this one serves.
      announcements->announce({it.name, it.number + 1, nullptr});
    } else if (it.name.starts_with(prefix)) {
      callers->on_draining(it.name.substr(prefix.size()), !it.value.is_null());
    }
  });
  completions->used().connect([this](const usage_fact& it) { usage->record(it); });
  services->used().connect([this](const usage_fact& it) { usage->record(it); });
  admin->drain_asked().connect([this] {
    // Only a second signal ends the process at once; a repeated request does no harm.
    if (!drain->is_draining()) {
      drain->start();
    }
  });
  store->availability_changed().connect([this](bool available) {
    events::event it;
    it.number =
        available ? events::event_number::store_available : events::event_number::store_unavailable;
    context->record(std::move(it));
  });
}

void daemon::impl::connect_configuration() {
  configuration->neighbours_changed().connect(
      [this](const std::vector<std::string>& ids) { peers->set_neighbours(ids); });
  configuration->applied().connect([this](const configuration_ptr& it) {
    access->on_configuration(it);
    completions->on_configuration(it);
    services->on_configuration(it);
    trainers->on_configuration(it);
    usage->on_configuration(it);
    shards->on_configuration(it);
    update_state();
  });
  configuration->keys_withdrawn().connect([this](const std::vector<std::string>& key_ids) {
    access->on_keys_withdrawn(key_ids);
    completions->on_keys_withdrawn(key_ids);
    services->on_keys_withdrawn(key_ids);
  });
  configuration->freshness_changed().connect([this](bool fresh) {
    access->on_freshness(fresh);
    const auto& current = access->configuration();
    if (!fresh && current && current->on_isolation == config::isolation_policy::refuse) {
      completions->on_isolated();
      services->on_isolated();
    }
    update_state();
  });
  configuration->became_ready().connect([this] { update_state(); });
}

void daemon::impl::update_state() {
  const bool isolated = !configuration->is_fresh();
  const bool serving = configuration->is_ready() && !isolated && !drain->is_draining();
  callers->set_serving(serving);
  if (drain->is_draining()) {
    admin->set_state("draining");
  } else if (!configuration->is_ready()) {
    admin->set_state("starting");
  } else {
    admin->set_state(isolated ? "isolated" : "serving");
  }
}

void daemon::impl::create_drain() {
  drain_task::hooks hooks;
  hooks.leave_lookup = [this] {
    update_state();
    announcements->announce({"draining/" + settings.instance.id,
                             static_cast<std::uint64_t>(to_milliseconds(wall_now())),
                             context->boot_id});
  };
  hooks.open_requests = [this] {
    return server->open_exchanges() + completions->running() + services->running();
  };
  hooks.release_shards = [this] { shards->drain(); };
  hooks.shards_released = [this] { return shards->is_drained(); };
  hooks.usage_confirmed = [this] { return !usage->has_unconfirmed(); };
  hooks.finished = [this] { loop.stop(); };
  drain = std::make_unique<drain_task>(*context, std::move(hooks));
}

void daemon::impl::start() {
  events::event it;
  it.number = events::event_number::daemon_started;
  it.details = {{"callers", net::to_string(context->callers)},
                {"peers", net::to_string(peers->local_address())},
                {"data_centre", settings.instance.data_centre}};
  context->record(std::move(it));
  membership->start();
  announcements->start();
  configuration->start();
  shards->start();
  endpoints->start();
  trainers->start();
  usage->start();
  orders->start();
}

void daemon::impl::route(const exchange_ptr& exchange) {
  const auto& request = exchange->request();
  const std::string_view path = request.path;
  constexpr std::string_view services_prefix = "/v1/services/";
  constexpr std::string_view trainers_prefix = "/v1/trainers/";
  constexpr std::string_view admin_prefix = "/admin/";
  if (server->open_exchanges() > settings.limits.max_open_requests &&
      !path.starts_with(admin_prefix)) {
    respond_error(*exchange, {429, "overloaded", "this instance has too many open requests",
                              retry::executed::no, seconds(1)});
  } else if (path == "/v1/addresses" && request.method == "GET") {
    callers->lookup(exchange);
  } else if (path == "/v1/completions" && request.method == "POST") {
    callers->complete(exchange);
  } else if (path.starts_with(services_prefix)) {
    callers->call_service(exchange, path.substr(services_prefix.size()));
  } else if (path.starts_with(trainers_prefix)) {
    trainer_routes->handle(exchange, path.substr(trainers_prefix.size()));
  } else if (path.starts_with(admin_prefix)) {
    admin->handle(exchange, path.substr(admin_prefix.size()));
  } else if (path == "/metrics" && request.method == "GET") {
    exchange->respond(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                      metrics_page->to_text());
  } else if (path == "/healthz" && request.method == "GET") {
    exchange->respond_json(200, {{"instance", settings.instance.id}, {"boot", context->boot_id}});
  } else {
    respond_error(*exchange,
                  not_found_error("no route for " + request.method + ' ' + std::string(path)));
  }
}

result<std::unique_ptr<daemon>> daemon::create(net::event_loop& loop,
                                               settings::daemon_settings settings) {
  auto state = std::make_unique<impl>(loop, std::move(settings));
  BOOST_OUTCOME_TRY(state->open_listeners());
  BOOST_OUTCOME_TRY(state->create_tasks());
  state->create_drain();
  state->connect_tasks();
  state->connect_configuration();
  state->start();
  return std::unique_ptr<daemon>(new daemon(std::move(state)));
}

daemon::daemon(std::unique_ptr<impl> state) : impl_(std::move(state)) {}

daemon::~daemon() = default;

const net::address& daemon::callers_address() const {
  return impl_->context->callers;
}

const net::address& daemon::peers_address() const {
  return impl_->peers->local_address();
}

void daemon::drain() {
  impl_->drain->start();
}

} // namespace boragedoor::daemon
