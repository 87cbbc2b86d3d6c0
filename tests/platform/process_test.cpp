#include "platform/serving_process.h"

#include <algorithm>
#include <optional>

#include <catch2/catch.hpp>

#include "base/json.h"
#include "instance/error_response.h"
#include "platform/base64.h"
#include "replica_stand_in.h"
#include "store_stand_in.h"

namespace boragedoor::platform {

namespace {

constexpr duration patience = seconds(20);

node_settings make_settings(const std::string& name, const net::address& store,
                            const net::address& cloud) {
  node_settings it;
  it.instance = name;
  it.data_centre = "z1";
  it.region = "r1";
  it.callers = net::address{"127.0.0.1", 0};
  it.store = store;
  it.cloud = cloud;
  it.usage_window = seconds(1);
  it.lease_ttl = milliseconds(1500);
  return it;
}

json make_configuration(int version) {
  return {{"version", version},
          {"routes",
           {{{"name", "plans"},
             {"host", "a.example"},
             {"prefix", "/plans/"},
             {"kind", "safe"},
             {"timeout_ms", 3000},
             {"target_latency_ms", 500},
             {"max_attempts", 2},
             {"service", "plain"}},
            {{"name", "status"},
             {"host", "a.example"},
             {"prefix", "/status/"},
             {"kind", "safe"},
             {"timeout_ms", 3000},
             {"target_latency_ms", 500},
             {"max_attempts", 2},
             {"public", true},
             {"service", "plain"}},
            {{"name", "jobs"},
             {"host", "a.example"},
             {"prefix", "/jobs/"},
             {"kind", "rollout"},
             {"timeout_ms", 10000},
             {"target_latency_ms", 500},
             {"due_ms", 7500},
             {"max_queue_s", 40},
             {"max_attempts", 3},
             {"service", "models"}}}},
          {"services", {{{"name", "plain"}}, {{"name", "models"}}}},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 1048576},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}},
          {"tenants", {{{"name", "north"}, {"api_keys", {"key-n"}}}}}};
}

std::string encode(std::string_view data) {
  std::string text;
  append_base64(text, data);
  return text;
}

/// Two groups of two items with reward calls.
json make_job() {
  json items = json::array();
  for (int n = 0; n < 4; ++n) {
    const std::string id = "i" + std::to_string(n);
    items.push_back({{"id", id},
                     {"path", "/jobs/x"},
                     {"headers", {{"Model", "m"}, {"Token-Usage", "10,100"}}},
                     {"body", encode("body of " + id)},
                     {"tokens", 110},
                     {"group", n < 2 ? "g0" : "g1"},
                     {"scorer_url",
                      {{"id", "w" + std::to_string(n)},
                       {"host", "a.example"},
                       {"path", "/status/x"},
                       {"body", encode("text")}}}});
  }
  return {{"step", 0}, {"model", "m"}, {"min_version", 1}, {"desired", 2}, {"items", items}};
}

/// The platform with two instances and its replicas, on one loop.
struct world {
  world()
      : loop(net::event_loop::create().value()), store(*loop),
        log(events::event_log::create({.instance = "t", .boot = "b", .path = ""}).value()),
        caller(*loop) {
    store.put("op/config", make_configuration(3));
    cloud = http1::server::listen(
                *loop, {"127.0.0.1", 0},
                [this](const std::shared_ptr<http1::exchange>& from) {
                  // The first report of a window is refused, so that each is sent again.
                  const bool again = std::any_of(reports.begin(), reports.end(),
                                                 [&](const http1::request& earlier) {
                                                   return earlier.body == from->received().body;
                                                 });
                  reports.push_back(from->received());
                  from->respond({again ? 200 : 503, {}, {}});
                },
                &instance::listener_refusal)
                .value();
    plain = std::make_unique<replica_stand_in>(
        *loop, store, replica_stand_in::options{.id = "p-1", .service = "plain"});
    start("first", first);
  }

  void start(const std::string& name, std::unique_ptr<serving_process>& to) {
    to = std::make_unique<serving_process>(
        *loop, make_settings(name, store.address(), cloud->local_address()), *log, "boot");
    REQUIRE(to->start());
    REQUIRE(loop->run_until(
        [&] {
          return to->context().routes.version() != 0 &&
                 !to->context().endpoints.entries().empty() && to->members().is_member(loop->now());
        },
        patience));
  }

  /// Starts an engine; `interval` is the time between its events.
  void start_engine(duration interval = milliseconds(5), int events = 3) {
    engine = std::make_unique<replica_stand_in>(*loop, store,
                                                replica_stand_in::options{.id = "e-1",
                                                                          .service = "models",
                                                                          .model = "m",
                                                                          .events = events,
                                                                          .interval = interval});
    REQUIRE(loop->run_until([&] { return first->context().endpoints.find("e-1") != nullptr; },
                            patience));
  }

  http1::response call(const serving_process& to, std::string method, std::string target,
                       std::string body = {}, const std::string& key = "key-n",
                       std::string id = "a1") {
    http1::call_spec spec;
    spec.target = to.callers_address();
    spec.message = {std::move(method),
                    std::move(target),
                    {{"Host", "a.example"},
                     {"Attempt-Id", std::move(id)},
                     {"Deadline-Ms", "5000"},
                     {"Authorization", "Bearer " + key}},
                    std::move(body)};
    spec.new_connection = true;
    std::optional<http1::response> out;
    http1::call_callbacks callbacks;
    callbacks.on_end = [&](http1::call_outcome, http1::response it) { out = std::move(it); };
    caller.send(std::move(spec), std::move(callbacks));
    REQUIRE(loop->run_until([&] { return out.has_value(); }, patience));
    return *out;
  }

  /// Reads a job's results until all are there.
  std::map<std::string, json> read_all(const serving_process& at, const std::string& job) {
    std::map<std::string, json> results;
    std::size_t next = 0;
    const time_point end = loop->now() + patience;
    while (results.size() < 4 && loop->now() < end) {
      const auto out = call(at, "GET", "/lots/" + job + "?after=" + std::to_string(next));
      REQUIRE(out.status == 200);
      const json page = parse_json(out.body).value();
      CHECK(page["total"] == 4);
      for (const json& it : page["results"]) {
        CHECK(results.emplace(it["id"].get<std::string>(), it).second);
      }
      next = page["next"];
      loop->run_until([] { return false; }, milliseconds(20));
    }
    return results;
  }

  std::unique_ptr<net::event_loop> loop;
  store_stand_in store;
  std::unique_ptr<http1::server> cloud;
  /// Usage reports as they arrived.
  std::vector<http1::request> reports;
  std::unique_ptr<events::event_log> log;
  http1::client caller;
  std::unique_ptr<replica_stand_in> plain;
  std::unique_ptr<replica_stand_in> engine;
  std::unique_ptr<serving_process> first;
  std::unique_ptr<serving_process> second;
};

} // namespace

TEST_CASE("a caller's request") {
  world it;

  SECTION("reaches a replica under its workspace and comes back signed") {
    const auto out = it.call(*it.first, "POST", "/plans/7?x=1", "body");
    CHECK(out.status == 200);
    CHECK(out.body == "answer to a1");
    CHECK(net::find_header(out.headers, "Response-Signature") == "sig-a1");
    CHECK(it.plain->last.target == "/plans/7?x=1");
    CHECK(it.plain->last.body == "body");
    CHECK(net::find_header(it.plain->last.headers, "Tenant") == "north");
    CHECK(net::find_header(it.plain->last.headers, "Authorization").empty());
  }

  SECTION("with an unknown key or path is refused and does not run") {
    CHECK(it.call(*it.first, "POST", "/plans/7", "", "wrong").status == 401);
    CHECK(it.call(*it.first, "POST", "/nowhere", "").status == 404);
    CHECK(it.plain->ran.empty());
  }

  SECTION("is refused at once when no replica can take it, with a time to come back") {
    it.plain->full = true;
    const auto out = it.call(*it.first, "POST", "/plans/7");
    CHECK(out.status == 503);
    CHECK(net::find_header(out.headers, "Retry-After").starts_with("0."));
    CHECK(net::find_header(out.headers, "Response-Signature").empty());
    CHECK(it.plain->ran.empty());
  }

  SECTION("never gets a success that the replica did not sign") {
    it.plain->unsigned_answers = true;
    CHECK(it.call(*it.first, "POST", "/plans/7").status == 502);
  }

  SECTION("runs at a second replica when the first is silent") {
    it.plain->silent = true;
    replica_stand_in other(*it.loop, it.store, {.id = "p-2", .service = "plain", .zone = "z2"});
    REQUIRE(it.loop->run_until([&] { return it.first->context().endpoints.find("p-2") != nullptr; },
                               patience));
    CHECK(it.call(*it.first, "POST", "/plans/7").status == 200);
    CHECK(other.ran == std::vector<std::string>{"a1"});
  }

  SECTION("goes by a new configuration as soon as it is written, and never by an older one") {
    json next = make_configuration(8);
    next["tenants"][0]["api_keys"] = {"key-2"};
    it.store.put("op/config", next);
    REQUIRE(
        it.loop->run_until([&] { return it.first->context().routes.version() == 8; }, patience));
    CHECK(it.call(*it.first, "POST", "/plans/7").status == 401);
    it.store.put("op/config", make_configuration(5));
    it.loop->run_until([] { return false; }, milliseconds(100));
    CHECK(it.call(*it.first, "POST", "/plans/7").status == 401);
    CHECK(it.call(*it.first, "POST", "/plans/7", "", "key-2").status == 200);
  }
}

TEST_CASE("a batch job") {
  world it;
  it.start_engine();

  SECTION("is kept, run, scored and listed, and the same job is accepted once") {
    CHECK(it.call(*it.first, "POST", "/jobs/j1", to_text(make_job()), "key-n", "j1").status == 202);
    CHECK(it.call(*it.first, "POST", "/jobs/j1", to_text(make_job()), "key-n", "j1").status == 202);
    const auto results = it.read_all(*it.first, "j1");
    REQUIRE(results.size() == 4);
    CHECK(results.at("i0")["output"] == "t1\nt2\nt3");
    CHECK(results.at("i0")["versions"] == json::array({1}));
    CHECK(results.at("i0")["score"] == "sig-w0");
    CHECK(it.engine->ran.size() == 4);

    SECTION("another instance answers the same") {
      it.start("second", it.second);
      CHECK(it.read_all(*it.second, "j1") == results);
      CHECK(it.call(*it.second, "GET", "/items/j1?id=i2").body == "body of i2");
    }
    SECTION("no other workspace sees it") {
      json next = make_configuration(9);
      next["tenants"].push_back({{"name", "south"}, {"api_keys", {"key-s"}}});
      it.store.put("op/config", next);
      REQUIRE(
          it.loop->run_until([&] { return it.first->context().routes.version() == 9; }, patience));
      CHECK(it.call(*it.first, "GET", "/lots/j1?after=0", "", "key-s").status == 404);
      CHECK(it.call(*it.first, "DELETE", "/lots/j1", "", "key-s").status == 404);
      CHECK(it.call(*it.first, "GET", "/lots/j1?after=0", "", "wrong").status == 401);
    }
    CHECK(it.call(*it.first, "GET", "/lots/none?after=0").status == 404);
  }

  SECTION("is refused while the store takes nothing, and then does not run") {
    it.store.set_fault(store_fault::refuse);
    CHECK(it.call(*it.first, "POST", "/jobs/j1", to_text(make_job()), "key-n", "j1").status == 503);
    it.store.set_fault(store_fault::none);
    it.loop->run_until([] { return false; }, milliseconds(300));
    CHECK(it.engine->ran.empty());
    CHECK(it.store.keys("boragedoor/jobs/").empty());
  }

  SECTION("is accepted when the store's first answer is lost") {
    it.store.set_fault(store_fault::lose_answers);
    it.loop->post_after(milliseconds(500), [&] { it.store.set_fault(store_fault::none); });
    CHECK(it.call(*it.first, "POST", "/jobs/j1", to_text(make_job()), "key-n", "j1").status == 202);
    CHECK(it.read_all(*it.first, "j1").size() == 4);
  }

  SECTION("that has ended runs no more, also when it is ended twice") {
    it.engine.reset();
    it.store.erase("servers/e-1");
    it.start_engine(milliseconds(200), 50);
    CHECK(it.call(*it.first, "POST", "/jobs/j1", to_text(make_job()), "key-n", "j1").status == 202);
    REQUIRE(it.loop->run_until([&] { return it.engine->open() == 4; }, patience));
    CHECK(it.call(*it.first, "DELETE", "/lots/j1").status == 200);
    CHECK(it.call(*it.first, "DELETE", "/lots/j1").status == 200);
    REQUIRE(it.loop->run_until([&] { return it.engine->open() == 0; }, patience));
    CHECK(it.engine->ran.size() == 4);
  }
}

TEST_CASE("a batch job outlives the instance that runs it") {
  world it;
  it.start_engine(milliseconds(100), 10);
  it.start("second", it.second);
  REQUIRE(it.call(*it.first, "POST", "/jobs/j1", to_text(make_job()), "key-n", "j1").status == 202);
  REQUIRE(it.loop->run_until([&] { return it.engine->ran.size() == 4; }, patience));

  SECTION("that is killed: another one takes it over") {
    it.first.reset();
  }
  SECTION("that drains: it finishes the job or hands it over") {
    it.first->drain();
  }
  const auto results = it.read_all(*it.second, "j1");
  REQUIRE(results.size() == 4);
  for (const auto& [id, result] : results) {
    CHECK(result["state"] == "done");
    CHECK(result["output"] == "t1\nt2\nt3\nt4\nt5\nt6\nt7\nt8\nt9\nt10");
  }
}

TEST_CASE("weights follow the versions that trainers name") {
  world it;
  it.start_engine();
  it.store.put("op/version/m", {{"model", "m"}, {"version", 3}});
  REQUIRE(it.loop->run_until([&] { return it.engine->version() == 3; }, patience));
  it.store.put("op/version/m", {{"model", "m"}, {"version", 5}});
  REQUIRE(it.loop->run_until([&] { return it.engine->version() == 5; }, patience));
}

TEST_CASE("usage is reported once a window, with the same figures however often it is sent") {
  world it;
  const auto counted = [&](const http1::request& report) {
    return parse_json(report.body).value()["counts"].value("north", 0);
  };
  for (int n = 0; n < 3; ++n) {
    it.call(*it.first, "POST", "/plans/7", "", "key-n", "a" + std::to_string(n));
  }
  // Each of the three requests is reported twice, because the first report is refused.
  REQUIRE(it.loop->run_until(
      [&] {
        int total = 0;
        for (const http1::request& report : it.reports) {
          total += counted(report);
        }
        return total >= 6;
      },
      2 * patience));

  std::map<std::string, std::string> by_window;
  int sum = 0;
  for (const http1::request& report : it.reports) {
    const std::string window = to_text(parse_json(report.body).value()["window_index"]);
    const auto [first, added] = by_window.emplace(window, report.body);
    CHECK(first->second == report.body);
    sum += added ? counted(report) : 0;
    CHECK(net::find_header(report.headers, "Duty-Holder") == "first");
    CHECK(http1::integer_header(report.headers, "Fencing-Token").value_or(0) > 0);
  }
  CHECK(sum == 3);
}

TEST_CASE("an instance with a disk may be removed at once, because nothing is kept there") {
  world it;
  it.store.put("op/retire/store-1", {{"duration_s", 10}});
  REQUIRE(it.loop->run_until([&] { return it.store.has("status/retire/store-1"); }, patience));
}

} // namespace boragedoor::platform
