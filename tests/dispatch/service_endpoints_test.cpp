#include "dispatch/service_endpoints.h"

#include <map>

#include <catch2/catch.hpp>

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

} // namespace boragedoor::dispatch
