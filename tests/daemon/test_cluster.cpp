#include "daemon/test_cluster.h"

#include <utility>

#include <catch2/catch.hpp>

#include "base/hash.h"
#include "configuration/generate.h"
#include "configuration/questionnaire.h"

namespace boragedoor::testing {

std::string http_answer::error_code() const {
  const auto document = parse_json(body);
  return document && document.value().contains("error")
             ? string_field(document.value()["error"], "code").value_or("")
             : std::string();
}

std::string http_answer::executed() const {
  const auto document = parse_json(body);
  return document && document.value().contains("error")
             ? string_field(document.value()["error"], "executed").value_or("")
             : std::string();
}

test_cluster::test_cluster(const cluster_options& options)
    : options_(options), loop_(net::event_loop::create().value()),
      http_(std::make_unique<net::http_client>(*loop_)) {
  store = standin::store_server::create(*loop_, {}).value();
  standin::instance_options list_options;
  list_options.lag = options_.list_lag;
  list = standin::instance_server::create(*loop_, list_options).value();
  ordering = standin::ordering_server::create(*loop_, {}).value();
  intake = standin::usage_server::create(*loop_, {}).value();
  weights = standin::weight_server::create(*loop_, {}).value();
  create_endpoints();
  for (int n = 0; n < options_.instances; ++n) {
    add_instance();
  }
}

test_cluster::~test_cluster() {
  instances_.clear();
  http_.reset();
  run_for(milliseconds(5));
}

std::string test_cluster::data_centre(int n) const {
  return "dc-" + std::to_string(n % options_.data_centres);
}

void test_cluster::create_endpoints() {
  json rows = json::array();
  const auto row = [&](const std::string& id, const standin::stand_in& it, int n) {
    return json{{"id", id},
                {"address", net::to_string(it.local_address())},
                {"data_centre", data_centre(n)},
                {"region", "region-0"},
                {"tier", "standard"},
                {"state", "live"},
                {"cost_per_hour", 1.0}};
  };
  const bool checks = options_.engine_fencing == "checks_token";
  for (int n = 0; n < options_.engines; ++n) {
    standin::engine_options engine;
    engine.endpoint = "engine-" + std::to_string(n);
    engine.model = "planner";
    engine.engine = options_.engine;
    engine.order_fencing = checks ? standin::fencing::checked : standin::fencing::ignored;
    engines.push_back(standin::engine_server::create(*loop_, engine).value());
    json it = row(engine.endpoint, *engines.back(), n);
    it.update({{"pool", "planner"},
               {"kind", "engine"},
               {"model", "planner"},
               {"fencing", checks ? "checked" : "ignored"}});
    rows.push_back(std::move(it));
  }
  for (int n = 0; n < options_.services; ++n) {
    standin::service_options service;
    service.endpoint = "service-" + std::to_string(n);
    services.push_back(standin::service_server::create(*loop_, service).value());
    json it = row(service.endpoint, *services.back(), n);
    it.update({{"pool", "records"}, {"kind", "service"}, {"fencing", "ignored"}});
    rows.push_back(std::move(it));
  }
  REQUIRE(ordering->state().replace({{"endpoints", rows}}));
}

settings::daemon_settings test_cluster::settings_for(const std::string& id, int n) const {
  settings::daemon_settings it;
  it.instance = {id, data_centre(n), "region-0"};
  it.listen = {{"127.0.0.1", 0}, {"127.0.0.1", 0}};
  it.platform = {store->local_address(), list->local_address(), ordering->local_address(),
                 intake->local_address(), weights->local_address()};
  it.operators.token_sha256 = sha256_hex(operator_token);
  it.events = {"", events::severity::debug};
  it.timing.list_poll = milliseconds(200);
  it.timing.address_keep = milliseconds(300);
  it.timing.usage_flush = milliseconds(200);
  it.timing.usage_grace = std::chrono::duration_cast<milliseconds>(options_.usage_grace);
  it.timing.progress_timeout = std::chrono::duration_cast<milliseconds>(options_.progress_timeout);
  return it;
}

std::size_t test_cluster::add_instance() {
  const auto n = instances_.size();
  const std::string id = "i" + std::to_string(n);
  auto process = daemon::daemon::create(*loop_, settings_for(id, static_cast<int>(n))).value();
  list->state().put(id,
                    {{"address", net::to_string(process->callers_address())},
                     {"peer_address", net::to_string(process->peers_address())},
                     {"data_centre", data_centre(static_cast<int>(n))},
                     {"region", "region-0"},
                     {"state", "live"}},
                    loop_->now());
  instances_.push_back({id, std::move(process)});
  return n;
}

void test_cluster::stop_instance(std::size_t n) {
  instances_.at(n).process.reset();
}

net::address test_cluster::address_of(std::size_t n) const {
  return instances_.at(n).process->callers_address();
}

bool test_cluster::await(const std::function<bool()>& done, duration limit) {
  return loop_->run_until(done, limit);
}

void test_cluster::run_for(duration length) {
  loop_->run_until([] { return false; }, length);
}

http_answer test_cluster::call(const net::address& target, const std::string& method,
                               const std::string& path, const std::string& body,
                               net::headers fields) {
  net::http_call_spec spec;
  spec.target = target;
  spec.method = method;
  spec.path = path;
  spec.body = body;
  spec.fields = std::move(fields);
  spec.progress_timeout = seconds(20);
  http_answer answer;
  bool done = false;
  net::http_callbacks callbacks;
  callbacks.on_reply = [&](const net::http_reply& reply) {
    answer.status = reply.status;
    answer.fields = reply.fields;
    answer.body = reply.body;
    done = true;
  };
  callbacks.on_failure = [&](const net::http_failure& failure) {
    answer.failure = failure;
    done = true;
  };
  http_->send(std::move(spec), std::move(callbacks));
  REQUIRE(await([&] { return done; }));
  return answer;
}

http_answer test_cluster::call_with_key(std::size_t instance, const std::string& method,
                                        const std::string& path, const json& body,
                                        const std::string& key, net::headers fields) {
  fields.emplace_back("Authorization", "Bearer " + key);
  return call(address_of(instance), method, path, to_text(body), std::move(fields));
}

http_answer test_cluster::operate(std::size_t instance, const std::string& method,
                                  const std::string& path, const json& body) {
  return call(address_of(instance), method, path, method == "GET" ? "" : to_text(body),
              {{"Authorization", std::string("Bearer ") + operator_token}});
}

json test_cluster::questionnaire() const {
  json data_centres = json::array();
  json sizes = json::array();
  for (int n = 0; n < options_.data_centres; ++n) {
    data_centres.push_back(
        {{"name", data_centre(n)}, {"region", "region-0"}, {"ordering", "checks_token"}});
    sizes.push_back({{"data_centre", data_centre(n)}, {"minimum", 1}, {"maximum", 4}});
  }
  return {{"team", "test"},
          {"on_isolation", "refuse"},
          {"usage_window_ms", options_.usage_window_ms},
          {"data_centres", data_centres},
          {"request_classes",
           {{{"name", "lookup"}, {"kind", "interactive"}, {"deadline_ms", 20000}},
            {{"name", "rollout"}, {"kind", "rollout"}, {"cheaper_capacity", true}}}},
          {"workspaces",
           {{{"name", "north"}, {"weight", 1}, {"request_classes", {"lookup", "rollout"}}},
            {{"name", "south"}, {"weight", 1}, {"request_classes", {"lookup"}}}}},
          {"models",
           {{{"name", "planner"},
             {"max_tokens", 2048},
             {"trainers",
              {{{"name", "tuner"},
                {"workspace", "north"},
                {"staleness_bound", 2},
                {"group_size", 4},
                {"max_tokens", 1024}}}}}}},
          {"services",
           {{{"name", "records"},
             {"routes",
              {{{"method", "GET"},
                {"path_prefix", "/health"},
                {"access", "open"},
                {"idempotent", true}},
               {{"method", "GET"},
                {"path_prefix", "/plans"},
                {"access", "keyed"},
                {"idempotent", true}},
               {{"method", "POST"},
                {"path_prefix", "/proposals"},
                {"access", "keyed"},
                {"idempotent", false}}}}}}},
          {"pools",
           {{{"name", "planner"},
             {"model", "planner"},
             {"fencing", options_.engine_fencing},
             {"concurrency", 16},
             {"sizes", sizes}},
            {{"name", "records"},
             {"service", "records"},
             {"fencing", "ignores_token"},
             {"concurrency", 16},
             {"sizes", sizes}}}}};
}

void test_cluster::configure() {
  const auto answers = config::questionnaire::from_json(questionnaire(), "questionnaire.json");
  if (!answers) {
    FAIL(to_string(answers.error()));
  }
  const auto document = config::to_document(config::generate(answers.value(), {}));
  http_answer answer;
  REQUIRE(await([&] {
    answer = operate(0, "POST", "/admin/config",
                     {{"based_on", 0}, {"document", parse_json(document).value()}});
    return answer.status != 503;
  }));
  INFO(answer.body);
  REQUIRE(answer.status == 200);
  REQUIRE(await_revision(1));
}

std::string test_cluster::issue_key(const std::string& workspace) {
  const auto answer = operate(0, "POST", "/admin/keys", {{"workspace", workspace}});
  INFO(answer.body);
  REQUIRE(answer.status == 200);
  REQUIRE(await_revision(answer.value()["revision"].get<std::uint64_t>()));
  return answer.value()["key"].get<std::string>();
}

bool test_cluster::await_revision(std::uint64_t revision) {
  return await([&] {
    const auto answer = operate(0, "GET", "/admin/config/status");
    const json rows = answer.value()["instances"];
    std::size_t reached = 0;
    for (const json& row : rows) {
      reached += integer_field(row, "revision").value_or(0) >= static_cast<std::int64_t>(revision)
                     ? 1U
                     : 0U;
    }
    std::size_t running = 0;
    for (const auto& it : instances_) {
      running += it.process ? 1U : 0U;
    }
    return reached == running;
  });
}

bool test_cluster::await_shards() {
  constexpr std::size_t usage_shards = 8;
  constexpr std::size_t trainers = 1;
  const auto wanted = usage_shards + trainers + static_cast<std::size_t>(options_.data_centres);
  const bool reached = await([&] {
    std::size_t held = 0;
    const json answer = operate(0, "GET", "/admin/instances").value();
    for (const json& row : answer["instances"]) {
      held += row.contains("shards") ? row["shards"].size() : 0;
    }
    return held == wanted;
  });
  UNSCOPED_INFO(operate(0, "GET", "/admin/instances").body);
  return reached;
}

} // namespace boragedoor::testing
