#include <map>
#include <set>
#include <string>

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "dispatch/service_endpoints.h"

namespace boragedoor::dispatch {

namespace {

constexpr time_point start{seconds(100)};
constexpr int data_centre_count = 3;

std::string data_centre_name(int n) {
  return fmt::format("dc-{}", n);
}

endpoint_entry make_endpoint(std::string id, std::string data_centre,
                             routing::endpoint_state state = routing::endpoint_state::ready,
                             std::int64_t process_start_ms = 1) {
  endpoint_entry it;
  it.description.id = std::move(id);
  it.description.pool = "models";
  it.description.data_centre = std::move(data_centre);
  it.description.max_running = 2;
  it.description.state = state;
  it.address = {"127.0.0.1", 80};
  it.software = "models/v1";
  it.process_start_ms = process_start_ms;
  return it;
}

} // namespace

// Guards against requests to endpoints that operators want to switch off.
TEST_CASE("endpoints of an evacuated data centre get no requests") {
  auto endpoints = service_endpoints::create("dc-0").value();
  random_engine random(1);
  const auto choose = [&](endpoint_requirements requirements) {
    requirements.service = "models";
    const auto it = endpoints.choose(requirements, start, random);
    return it ? it->id : std::string();
  };
  endpoints.put(make_endpoint("near", "dc-0"));
  endpoints.put(make_endpoint("far", "dc-1"));
  endpoints.note_sent("near", start);
  REQUIRE(endpoints.set_evacuated("dc-0", true));
  CHECK_FALSE(endpoints.set_evacuated("dc-0", true));

  SECTION("requests go to the other data centres, also those that prefer an endpoint there") {
    CHECK(choose({}) == "far");
    CHECK(choose({.preferred_endpoint = "near"}) == "far");
    CHECK(endpoints.available_count("models") == 1);
  }

  SECTION("nothing is chosen when all data centres are evacuated") {
    endpoints.set_evacuated("dc-1", true);
    CHECK(choose({}).empty());
    CHECK_FALSE(endpoints.has_ready("models", "models/v1"));
  }

  SECTION("what runs there is counted until it ends") {
    CHECK(endpoints.open_requests_in("dc-0") == 1);
    endpoints.note_finished("near", routing::health_signal::success, start);
    CHECK(endpoints.open_requests_in("dc-0") == 0);
  }

  SECTION("an endpoint that appears there, or is written as ready again, gets nothing either") {
    endpoints.remove("far");
    endpoints.put(make_endpoint("new", "dc-0"));
    endpoints.put(make_endpoint("near", "dc-0"));
    CHECK(choose({}).empty());
  }

  SECTION("the end of the evacuation restores what each entry says") {
    endpoints.put(make_endpoint("leaving", "dc-0", routing::endpoint_state::draining));
    endpoints.put(make_endpoint("other", "dc-0"));
    endpoints.note_misdirected("other");
    endpoints.note_leaving({"near", 1});
    REQUIRE(endpoints.set_evacuated("dc-0", false));
    endpoints.remove("far");
    CHECK(choose({}).empty());
    // Only another process, or an entry that has changed, makes them available.
    endpoints.put(make_endpoint("other", "dc-0"));
    CHECK(choose({}) == "other");
    endpoints.remove("other");
    endpoints.put(make_endpoint("near", "dc-0", routing::endpoint_state::ready, 2));
    CHECK(choose({}) == "near");
  }
}

// Guards against an order of events after which an endpoint gets requests although one of the
// reasons against it holds, or gets none although none does.
TEST_CASE("an endpoint gets requests if no reason against it holds, after any order of events") {
  rc::prop("entries, departures, other processes and evacuations in any order", [] {
    struct expected_endpoint {
      int data_centre = 0;
      std::int64_t process = 1;
      bool ready = true;
      bool misdirected = false;
    };
    auto endpoints = service_endpoints::create("dc-0").value();
    random_engine random(1);
    std::map<std::string, expected_endpoint> known;
    std::set<std::pair<std::string, std::int64_t>> leaving;
    std::set<int> evacuated;
    // Processes of an endpoint start one after the other, also when its entry was gone meanwhile.
    std::map<std::string, std::int64_t> last_process;
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      const std::string id = fmt::format("e{}", *rc::gen::inRange(0, 4));
      const int data_centre = *rc::gen::inRange(0, data_centre_count);
      const auto it = known.find(id);
      switch (*rc::gen::inRange(0, 6)) {
      case 0: {
        // The entry is written, by the same process or the next one.
        expected_endpoint next =
            it == known.end() ? expected_endpoint{.data_centre = data_centre} : it->second;
        next.process = last_process[id] + *rc::gen::inRange(0, 2);
        last_process[id] = next.process;
        next.ready = *rc::gen::inRange(0, 4) != 0;
        next.misdirected = false;
        known[id] = next;
        endpoints.put(make_endpoint(id, data_centre_name(next.data_centre),
                                    next.ready ? routing::endpoint_state::ready
                                               : routing::endpoint_state::draining,
                                    next.process));
        break;
      }
      case 1:
        // The endpoint is gone, or cut off from the registry.
        known.erase(id);
        endpoints.remove(id);
        break;
      case 2:
        if (it != known.end()) {
          leaving.emplace(id, it->second.process);
          endpoints.note_leaving({id, it->second.process});
        }
        break;
      case 3:
        if (it != known.end()) {
          it->second.misdirected = true;
        }
        endpoints.note_misdirected(id);
        break;
      case 4:
        evacuated.insert(data_centre);
        endpoints.set_evacuated(data_centre_name(data_centre), true);
        break;
      default:
        evacuated.erase(data_centre);
        endpoints.set_evacuated(data_centre_name(data_centre), false);
        break;
      }
      int available = 0;
      for (const auto& [name, expected] : known) {
        const bool usable = expected.ready && !expected.misdirected &&
                            !evacuated.contains(expected.data_centre) &&
                            !leaving.contains({name, expected.process});
        available += usable ? 1 : 0;
        RC_ASSERT((endpoints.find(name)->description.state == routing::endpoint_state::ready) ==
                  usable);
      }
      RC_ASSERT(endpoints.available_count("models") == available);
      const auto chosen = endpoints.choose({.service = "models"}, start, random);
      RC_ASSERT(chosen.has_value() == (available > 0));
    }
  });
}

} // namespace boragedoor::dispatch
