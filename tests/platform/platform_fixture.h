#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "base/json.h"
#include "instance/error_response.h"
#include "platform/base64.h"
#include "platform/serving_process.h"
#include "replica_stand_in.h"
#include "store_stand_in.h"

namespace boragedoor::platform {

inline constexpr duration wait_limit = seconds(20);

inline node_settings make_settings(const std::string& name, const net::address& store,
                                   const net::address& cloud, const net::address& relay) {
  node_settings it;
  it.instance = name;
  it.relay = relay;
  it.data_centre = "z1";
  it.region = "r1";
  it.callers = net::address{"127.0.0.1", 0};
  it.store = store;
  it.cloud = cloud;
  it.usage_window = seconds(1);
  it.lease_ttl = milliseconds(1500);
  return it;
}

inline json make_configuration(int version) {
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
            {{"name", "chat"},
             {"host", "a.example"},
             {"prefix", "/chat/"},
             {"kind", "stream"},
             {"resumable", true},
             {"timeout_ms", 10000},
             {"target_latency_ms", 500},
             {"max_attempts", 1},
             {"service", "models"}},
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

inline std::string encode(std::string_view data) {
  std::string text;
  append_base64(text, data);
  return text;
}

/// Returns a job with two groups of two items, each with a reward call.
inline json make_job() {
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

/// A caller's request.
inline http1::request make_request(std::string method, std::string target, std::string id,
                                   duration deadline, std::string body,
                                   const std::string& key = "key-n") {
  return {std::move(method),
          std::move(target),
          {{"Host", "a.example"},
           {"Attempt-Id", std::move(id)},
           {"Deadline-Ms", std::to_string(to_milliseconds(deadline))},
           {"Authorization", "Bearer " + key}},
          std::move(body)};
}

/// The platform's services with up to two instances and two replicas, on one event loop.
struct platform_fixture {
  explicit platform_fixture(duration grace = seconds(8))
      : grace_period(grace), loop(net::event_loop::create().value()), store(*loop),
        log(events::event_log::create({.instance = "t", .boot = "b", .path = ""}).value()),
        caller(*loop) {
    store.put("op/config", make_configuration(3));
    cloud = http1::server::listen(
                *loop, {"127.0.0.1", 0},
                [this](const std::shared_ptr<http1::exchange>& from) {
                  // Rejects the first report of each window, so that it is sent again.
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

  /// Returns an address that is free now, because members publish theirs before they listen.
  net::address free_address() {
    return http1::server::listen(
               *loop, {"127.0.0.1", 0}, [](const auto&) {}, &instance::listener_refusal)
        .value()
        ->local_address();
  }

  void start(const std::string& name, std::unique_ptr<serving_process>& to) {
    // Another connection may take the free address before the process listens there.
    constexpr int attempts = 5;
    bool started = false;
    for (int n = 0; n < attempts && !started; ++n) {
      node_settings settings =
          make_settings(name, store.address(), cloud->local_address(), free_address());
      settings.grace_period = grace_period;
      to = std::make_unique<serving_process>(*loop, settings, *log, "boot");
      started = to->start().has_value();
    }
    REQUIRE(started);
    REQUIRE(loop->run_until(
        [&] {
          return to->context().routes.version() != 0 &&
                 to->context().endpoints.available_count("plain") > 0 &&
                 to->members().is_member(loop->now());
        },
        wait_limit));
  }

  /// Starts an engine that sends `events` events per stream, one each `interval`.
  void start_engine(duration interval = milliseconds(5), int events = 3) {
    engine = make_engine("e-1", "v1", interval, events);
  }

  /// Returns an engine with a version of the software, once all instances know it.
  std::unique_ptr<replica_stand_in> make_engine(const std::string& id, const std::string& software,
                                                duration interval, int events) {
    auto it = std::make_unique<replica_stand_in>(*loop, store,
                                                 replica_stand_in::options{.id = id,
                                                                           .service = "models",
                                                                           .model = "m",
                                                                           .software = software,
                                                                           .events = events,
                                                                           .interval = interval});
    for (const auto* instance : {&first, &second}) {
      REQUIRE(loop->run_until(
          [&] {
            return *instance == nullptr || (*instance)->context().endpoints.find(id) != nullptr;
          },
          wait_limit));
    }
    return it;
  }

  /// Starts the engine again under its id with other software, and leaves an instance with the
  /// former entry. Returns when the instances have learned of the new process.
  void restart_engine_behind(serving_process& unaware, const std::string& software) {
    dispatch::service_endpoints& table = unaware.context().endpoints;
    REQUIRE(loop->run_until([&] { return table.find("e-1") != nullptr; }, wait_limit));
    const dispatch::endpoint_entry former = *table.find("e-1");
    engine->restart_with_same_id(software);
    for (serving_process* at : {first.get(), second.get()}) {
      REQUIRE(loop->run_until(
          [&] { return at->context().endpoints.find("e-1")->software == "models/" + software; },
          wait_limit));
    }
    table.put(former);
  }

  /// Sends a message as it is and waits for the response.
  http1::response exchange(const net::address& to, http1::request message) {
    http1::call_spec spec;
    spec.target = to;
    spec.message = std::move(message);
    std::optional<http1::response> out;
    http1::call_callbacks callbacks;
    callbacks.on_end = [&](http1::call_outcome, const http1::response& it) { out = it; };
    caller.send(std::move(spec), std::move(callbacks));
    REQUIRE(loop->run_until([&] { return out.has_value(); }, wait_limit));
    return *out;
  }

  /// Sends a request to an instance, on a connection of its own.
  std::shared_ptr<http1::call> send(const serving_process& to, std::string method,
                                    std::string target, std::string id,
                                    std::function<void(const http1::response&)> done,
                                    std::string body = {}, const std::string& key = "key-n") {
    http1::call_spec spec;
    spec.target = to.callers_address();
    spec.message = make_request(std::move(method), std::move(target), std::move(id), seconds(5),
                                std::move(body), key);
    spec.new_connection = true;
    http1::call_callbacks callbacks;
    callbacks.on_end = [done = std::move(done)](http1::call_outcome, const http1::response& it) {
      done(it);
    };
    return caller.send(std::move(spec), std::move(callbacks));
  }

  http1::response call(const serving_process& to, std::string method, std::string target,
                       std::string body = {}, const std::string& key = "key-n",
                       std::string id = "a1") {
    std::optional<http1::response> out;
    send(
        to, std::move(method), std::move(target), std::move(id),
        [&](const http1::response& it) { out = it; }, std::move(body), key);
    REQUIRE(loop->run_until([&] { return out.has_value(); }, wait_limit));
    return *out;
  }

  /// Polls a job's results until all four are listed.
  std::map<std::string, json> read_all(const serving_process& at, const std::string& job) {
    std::map<std::string, json> results;
    std::size_t next = 0;
    const time_point end = loop->now() + wait_limit;
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

  /// Time that instances have to stop.
  duration grace_period;
  std::unique_ptr<net::event_loop> loop;
  store_stand_in store;
  std::unique_ptr<http1::server> cloud;
  /// Received usage reports, in order.
  std::vector<http1::request> reports;
  std::unique_ptr<events::event_log> log;
  http1::client caller;
  std::unique_ptr<replica_stand_in> plain;
  std::unique_ptr<replica_stand_in> engine;
  std::unique_ptr<serving_process> first;
  std::unique_ptr<serving_process> second;
};

} // namespace boragedoor::platform
