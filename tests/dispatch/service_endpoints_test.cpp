#include "dispatch/service_endpoints.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace boragedoor::dispatch {

namespace {

constexpr time_point start{seconds(100)};

endpoint_entry make_endpoint(std::string id, std::string data_centre, std::uint64_t version = 0) {
  endpoint_entry it;
  it.description.id = std::move(id);
  it.description.pool = "models";
  it.description.data_centre = std::move(data_centre);
  it.description.max_running = 2;
  it.address = {"127.0.0.1", 80};
  if (version != 0) {
    it.versions["m"] = version;
  }
  return it;
}

} // namespace

TEST_CASE("endpoint selection") {
  auto endpoints = service_endpoints::create("dc-1").value();
  random_engine random(1);
  const auto choose = [&](endpoint_requirements requirements, time_point now = start) {
    requirements.service = "models";
    const auto it = endpoints.choose(requirements, now, random);
    return it ? it->id : std::string();
  };

  SECTION("nothing is chosen without endpoints") {
    CHECK(choose({}).empty());
  }

  SECTION("with one endpoint in this data centre and one in another") {
    endpoints.put(make_endpoint("near", "dc-1"));
    endpoints.put(make_endpoint("far", "dc-2"));

    SECTION("the local endpoint is used until it is full, then the remote one") {
      CHECK(choose({}) == "near");
      endpoints.note_sent("near", start);
      endpoints.note_sent("near", start);
      CHECK(choose({}) == "far");
    }

    SECTION("a request that requires a free slot is not sent to a full service") {
      for (const char* id : {"near", "near", "far", "far"}) {
        endpoints.note_sent(id, start);
      }
      CHECK(choose({.requires_free_slot = true}).empty());
      endpoints.note_finished("far", routing::health_signal::success, start);
      CHECK(choose({.requires_free_slot = true}) == "far");
    }

    SECTION("a stream is continued only at endpoints with its software") {
      endpoint_entry newer = make_endpoint("near", "dc-1");
      newer.software = "models/v2";
      endpoints.put(newer);
      endpoint_entry older = make_endpoint("far", "dc-2");
      older.software = "models/v1";
      endpoints.put(older);
      CHECK(choose({}) == "near");
      CHECK(choose({.software = "models/v1"}) == "far");
      CHECK(choose({.software = "models/v3"}).empty());
      CHECK(endpoints.has_ready("models", "models/v1"));
      older.description.state = routing::endpoint_state::draining;
      endpoints.put(older);
      CHECK_FALSE(endpoints.has_ready("models", "models/v1"));
      CHECK(choose({.software = "models/v1"}).empty());
    }

    SECTION("draining, excluded and misdirected endpoints are not chosen") {
      const std::vector<std::string> excluded = {"near"};
      CHECK(choose({.excluded = excluded}) == "far");
      endpoints.note_misdirected("near");
      CHECK(choose({}) == "far");
      endpoint_entry draining = make_endpoint("far", "dc-2");
      draining.description.state = routing::endpoint_state::draining;
      endpoints.put(draining);
      CHECK(choose({}).empty());
    }

    SECTION("a failing endpoint is set aside and used again later") {
      for (int n = 0; n < 2; ++n) {
        endpoints.note_sent("near", start);
        endpoints.note_finished("near", routing::health_signal::failure, start);
      }
      CHECK(choose({}) == "far");
      endpoints.tick(start + seconds(2));
      CHECK(choose({.excluded = {}}, start + seconds(2)) == "far");
      for (int n = 0; n < 2; ++n) {
        endpoints.note_sent("far", start + seconds(2));
      }
      CHECK(choose({}, start + seconds(2)) == "near");
    }

    SECTION("an endpoint that refused a request is avoided for a short time") {
      endpoints.note_refused("near", start);
      CHECK(choose({}) == "far");
      CHECK(choose({}, start + seconds(1)) == "near");
    }

    SECTION("load reports are ignored once they are too old") {
      endpoints.note_load("near", 2, 5, start);
      CHECK(choose({}) == "far");
      CHECK(choose({}, start + seconds(2)) == "near");
    }

    SECTION("a new process under the same id starts without load") {
      endpoints.note_sent("near", start);
      endpoints.note_sent("near", start);
      endpoint_entry restarted = make_endpoint("near", "dc-1");
      restarted.process_start_ms = 5;
      endpoints.put(restarted);
      CHECK(endpoints.load_of("near", start) == 0);
    }
  }

  SECTION("only endpoints known to have the minimum weight version are chosen") {
    endpoints.put(make_endpoint("old", "dc-1", 3));
    endpoints.put(make_endpoint("new", "dc-2", 4));
    CHECK(choose({.model = "m", .minimum_version = 4}) == "new");
    CHECK(choose({.model = "m", .minimum_version = 5}).empty());
    CHECK(choose({.model = "other"}).empty());
    endpoints.note_version("old", "m", 5);
    CHECK(choose({.model = "m", .minimum_version = 5}) == "old");
  }

  SECTION("long-running requests prefer fast endpoints in any data centre") {
    // A training step ends with its longest completion, and one engine in three takes 1.3 times as
    // long.
    endpoints.put(make_endpoint("slow", "dc-1", 1));
    endpoints.put(make_endpoint("fast", "dc-2", 1));
    endpoints.note_event_interval("slow", 0.049);
    endpoints.note_event_interval("fast", 0.038);
    CHECK(choose({.model = "m"}) == "slow");
    CHECK(choose({.model = "m", .long_running = true}) == "fast");
  }

  SECTION("a burst of requests is spread evenly over the endpoints") {
    for (int n = 0; n < 8; ++n) {
      endpoints.put(make_endpoint("e" + std::to_string(n), "dc-1"));
    }
    std::map<std::string, int> sent;
    for (int n = 0; n < 16; ++n) {
      const std::string id = choose({.requires_free_slot = true});
      endpoints.note_sent(id, start);
      ++sent[id];
    }
    CHECK(sent.size() == 8);
    for (const auto& [id, n] : sent) {
      CHECK(n == 2);
    }
    CHECK(choose({.requires_free_slot = true}).empty());
  }
}

namespace {

constexpr int instances = 40;
constexpr int many = 1000;
constexpr int slots = 8;
constexpr int rounds = 30;
constexpr int requests_a_round = 6;

std::string endpoint_name(int n) {
  return fmt::format("e{}", n);
}

service_endpoints make_large_service(std::string_view instance) {
  auto endpoints = service_endpoints::create("dc-0", instance).value();
  for (int n = 0; n < many; ++n) {
    endpoint_entry it = make_endpoint(endpoint_name(n), fmt::format("dc-{}", n % 6), 1);
    it.description.max_running = slots;
    endpoints.put(it);
  }
  return endpoints;
}

/// What instances that send a few requests at a time do to a service.
struct spread {
  /// Largest number of endpoints that one instance has used, each over a connection of its own.
  std::size_t most_connections = 0;
  /// Highest load of one endpoint.
  int highest_load = 0;
};

/// Plays `rounds` in which each instance sends requests that end with the round. `choose` returns
/// the endpoint for an instance, given the load of all endpoints.
spread play(const std::function<std::string(int, const std::map<std::string, int>&)>& choose,
            const std::function<void(int, const std::string&)>& finished) {
  spread seen;
  std::vector<std::set<std::string>> used(instances);
  for (int round = 0; round < rounds; ++round) {
    std::map<std::string, int> load;
    std::vector<std::pair<int, std::string>> sent;
    for (int n = 0; n < instances * requests_a_round; ++n) {
      const int instance = n % instances;
      const std::string id = choose(instance, load);
      seen.highest_load = std::max(seen.highest_load, ++load[id]);
      used[static_cast<std::size_t>(instance)].insert(id);
      sent.emplace_back(instance, id);
    }
    for (const auto& [instance, id] : sent) {
      finished(instance, id);
    }
  }
  for (const auto& it : used) {
    seen.most_connections = std::max(seen.most_connections, it.size());
  }
  return seen;
}

} // namespace

TEST_CASE("selection in a service of a thousand endpoints") {
  // Design load: hundreds of instances, each with a few requests at a time.
  random_engine random(1);
  const endpoint_requirements run{.service = "models",
                                  .model = "m",
                                  .minimum_version = 1,
                                  .requires_free_slot = true,
                                  .long_running = true};

  SECTION("an instance with little traffic uses a stable part of the endpoints") {
    std::vector<service_endpoints> fleet;
    fleet.reserve(instances);
    for (int n = 0; n < instances; ++n) {
      fleet.push_back(make_large_service(fmt::format("i{}", n)));
    }
    time_point now = start;
    const auto at = [&](int n) -> service_endpoints& { return fleet[static_cast<std::size_t>(n)]; };
    const spread part = play(
        [&](int instance, const auto& /*load*/) {
          std::string id = at(instance).choose(run, now, random)->id;
          at(instance).note_sent(id, now);
          return id;
        },
        [&](int instance, const std::string& id) {
          at(instance).note_finished(id, routing::health_signal::success, now += milliseconds(1));
        });
    // Baseline: the endpoint with the lowest load of all, which needs their exact loads.
    const spread naive = play(
        [&](int /*instance*/, const auto& load) {
          std::vector<std::string> idle;
          for (int n = 0; n < many; ++n) {
            if (!load.contains(endpoint_name(n))) {
              idle.push_back(endpoint_name(n));
            }
          }
          return idle[std::uniform_int_distribution<std::size_t>(0, idle.size() - 1)(random)];
        },
        [](int, const std::string&) {});
    CHECK(part.most_connections <= service_endpoints::max_candidates);
    CHECK(naive.most_connections > 2 * service_endpoints::max_candidates);
    CHECK(part.highest_load <= slots);
  }

  SECTION("an instance with many requests spreads them over as many endpoints") {
    auto endpoints = make_large_service("i0");
    std::map<std::string, int> load;
    for (int n = 0; n < many; ++n) {
      const std::string id = endpoints.choose(run, start, random)->id;
      endpoints.note_sent(id, start);
      ++load[id];
    }
    CHECK(load.size() > many / 2);
    CHECK(std::all_of(load.begin(), load.end(),
                      [](const auto& it) { return it.second <= slots / 2; }));
  }

  SECTION("the last free slot is found wherever it is") {
    auto endpoints = make_large_service("i0");
    for (int n = 0; n < many; ++n) {
      endpoints.note_load(endpoint_name(n), n == 700 ? slots - 1 : slots, 0, start);
    }
    CHECK(endpoints.choose(run, start, random)->id == endpoint_name(700));
    endpoints.note_sent(endpoint_name(700), start + milliseconds(1));
    CHECK_FALSE(endpoints.choose(run, start + milliseconds(1), random));
  }

  SECTION("others are used when the usual part is gone or fails") {
    auto endpoints = make_large_service("i0");
    std::set<std::string> usual;
    for (int n = 0; n < many; ++n) {
      usual.insert(endpoints.choose(run, start, random)->id);
    }
    REQUIRE(usual.size() <= service_endpoints::max_candidates);
    SECTION("because the endpoints have left") {
      for (const std::string& id : usual) {
        endpoints.remove(id);
      }
      CHECK(endpoints.choose(run, start, random));
      CHECK(endpoints.available_count("models") == many - static_cast<int>(usual.size()));
    }
    SECTION("because the endpoints were ejected") {
      time_point now = start;
      for (const std::string& id : usual) {
        for (int n = 0; n < 3; ++n) {
          endpoints.note_sent(id, now);
          endpoints.note_finished(id, routing::health_signal::failure, now += milliseconds(1));
        }
      }
      endpoints.tick(now);
      CHECK_FALSE(usual.contains(endpoints.choose(run, now, random)->id));
      CHECK(endpoints.available_count("models") == many - static_cast<int>(usual.size()));
    }
  }

  SECTION("an endpoint outside the part is preferred if it has the prompt in its cache") {
    auto endpoints = make_large_service("i0");
    std::set<std::string> usual;
    for (int n = 0; n < many; ++n) {
      usual.insert(endpoints.choose(run, start, random)->id);
    }
    endpoint_requirements cached = run;
    std::string other;
    for (int n = 0; other.empty() || usual.contains(other); ++n) {
      other = endpoint_name(n);
    }
    cached.preferred_endpoint = other;
    // More open requests than candidates, so that the comparison starts at a random endpoint.
    for (std::size_t n = 0; n < 2 * service_endpoints::max_candidates; ++n) {
      endpoints.note_sent(*usual.begin(), start);
    }
    CHECK(endpoints.choose(cached, start, random)->id == other);
  }
}

// Pattern: a burst in which a third of the engines crashes every 0.4 s, then calm.
TEST_CASE("after a burst of crashes a waiting run finds an engine") {
  auto endpoints = service_endpoints::create("dc-1").value();
  random_engine random(1);
  constexpr int engines = 9;
  const auto name = [](int n) { return "e" + std::to_string(n); };
  for (int n = 0; n < engines; ++n) {
    endpoints.put(make_endpoint(name(n), "dc-" + std::to_string(n % 3 + 1), 1));
  }
  time_point now = start;
  for (int burst = 0; burst < 15; ++burst, now += milliseconds(400)) {
    for (int n = 0; n < engines; ++n) {
      if ((n + burst) % 3 == 0) {
        // Its runs break and further ones are refused a connection.
        for (int failure = 0; failure < 4; ++failure) {
          endpoints.note_sent(name(n), now);
          endpoints.note_finished(name(n), routing::health_signal::failure, now);
        }
      }
    }
    endpoints.tick(now);
  }
  endpoints.tick(now);
  CHECK(endpoints.choose(
      {.service = "models", .model = "m", .requires_free_slot = true, .long_running = true}, now,
      random));

  SECTION("and so does one of the software version that began its text") {
    endpoint_entry only = make_endpoint("e0", "dc-1", 1);
    only.software = "models/v1";
    endpoints.put(only);
    now += seconds(5);
    endpoints.tick(now);
    CHECK(endpoints.choose({.service = "models",
                            .software = "models/v1",
                            .requires_free_slot = true,
                            .long_running = true},
                           now, random));
  }
}

} // namespace boragedoor::dispatch
