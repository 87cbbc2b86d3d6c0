#include "dispatch/endpoint_reachability.h"

#include <algorithm>
#include <functional>

#include <catch2/catch.hpp>

namespace boragedoor::dispatch {

namespace {

constexpr std::size_t probes_at_once = 3;
constexpr time_point start{seconds(100)};

net::address endpoint(std::uint16_t n) {
  return {"10.0.0.1", n};
}

/// Endpoints 1 to `plain` of one service, and the next `models` ones of another.
std::vector<probe_candidate> endpoints_of(std::uint16_t plain, std::uint16_t models) {
  std::vector<probe_candidate> list;
  for (std::uint16_t n = 1; n <= plain + models; ++n) {
    list.push_back({n <= plain ? "plain" : "models", endpoint(n)});
  }
  return list;
}

/// Connects to some of the endpoints. Returns whether the instance then counts as cut off and did
/// not before.
bool probe(endpoint_reachability& it, const std::vector<probe_candidate>& known,
           const std::function<bool(std::uint16_t)>& takes_connections, time_point now,
           random_engine& random) {
  for (const net::address& one : it.begin_probes(known, probes_at_once, now, random)) {
    if (takes_connections(one.port)) {
      it.note_connected();
    } else {
      it.note_unconnected(one, now);
    }
  }
  return it.end_probes(now);
}

bool none(std::uint16_t /*endpoint*/) {
  return false;
}

} // namespace

// Guards against an instance that has lost its links to all endpoints, while callers still reach
// it, taking each failure for one of an endpoint; and against endpoints that are down being taken
// for lost links.
TEST_CASE("an instance counts as cut off when no endpoint takes a connection") {
  endpoint_reachability it;
  random_engine random(20261205);
  const auto many = endpoints_of(4, 9);

  SECTION("one endpoint that is down says nothing, however often it fails") {
    for (int n = 0; n < 20; ++n) {
      it.note_unconnected(endpoint(1), start + milliseconds(10 * n));
    }
    CHECK_FALSE(it.is_cut_off());
  }

  SECTION("nor do all endpoints of a service that fail, while those of another one run") {
    constexpr int rounds = 300;
    constexpr std::uint16_t plain = 4;
    for (int n = 0; n < rounds; ++n) {
      const time_point now = start + milliseconds(50 * n);
      for (std::uint16_t one = 1; one <= plain; ++one) {
        it.note_unconnected(endpoint(one), now);
      }
      CHECK_FALSE(it.is_cut_off());
      probe(
          it, many, [](std::uint16_t one) { return one > plain; }, now, random);
      CHECK_FALSE(it.is_cut_off());
    }
  }

  SECTION("all that are connected to at one time do, the first time") {
    CHECK(probe(it, many, &none, start, random));
    CHECK(it.is_cut_off());
    CHECK_FALSE(probe(it, many, &none, start + seconds(1), random));
    CHECK(it.is_cut_off());

    SECTION("until one takes a connection again") {
      CHECK(it.note_connected());
      CHECK_FALSE(it.is_cut_off());
      CHECK_FALSE(it.note_connected());
      it.note_unconnected(endpoint(1), start + seconds(1));
      CHECK_FALSE(it.end_probes(start + seconds(1)));
    }
  }

  SECTION("not if a request was connected meanwhile") {
    for (const net::address& one : it.begin_probes(many, probes_at_once, start, random)) {
      it.note_unconnected(one, start);
    }
    it.note_connected();
    CHECK_FALSE(it.end_probes(start));
  }

  SECTION("not if they failed at different times") {
    const auto two = endpoints_of(2, 0);
    it.note_unconnected(endpoint(1), start);
    static_cast<void>(it.begin_probes(two, 1, start + seconds(4), random));
    it.note_unconnected(endpoint(2), start + seconds(4));
    CHECK_FALSE(it.end_probes(start + seconds(4)));
  }

  SECTION("with fewer endpoints, when all of them fail") {
    const auto two = endpoints_of(2, 0);
    static_cast<void>(it.begin_probes(two, 1, start, random));
    it.note_unconnected(endpoint(1), start);
    CHECK_FALSE(it.end_probes(start));
    CHECK(probe(it, two, &none, start, random));
  }
}

// Guards against connections to endpoints that have just failed, which tell nothing new.
TEST_CASE("endpoints are chosen to find out whether any takes connections") {
  endpoint_reachability it;
  random_engine random(20261205);
  constexpr int draws = 100;

  SECTION("of several services") {
    for (int n = 0; n < draws; ++n) {
      const auto chosen = it.begin_probes(endpoints_of(9, 1), probes_at_once, start, random);
      CHECK(chosen.size() == probes_at_once);
      CHECK(std::count(chosen.begin(), chosen.end(), endpoint(10)) == 1);
    }
  }

  SECTION("and those that have not failed lately") {
    for (std::uint16_t one = 1; one <= 3; ++one) {
      it.note_unconnected(endpoint(one), start);
    }
    for (int n = 0; n < draws; ++n) {
      for (const net::address& one :
           it.begin_probes(endpoints_of(6, 0), probes_at_once, start, random)) {
        CHECK(one.port > 3);
      }
    }
  }

  SECTION("all, if there are few") {
    CHECK(it.begin_probes(endpoints_of(1, 1), probes_at_once, start, random).size() == 2);
    CHECK(it.begin_probes({}, probes_at_once, start, random).empty());
  }
}

} // namespace boragedoor::dispatch
