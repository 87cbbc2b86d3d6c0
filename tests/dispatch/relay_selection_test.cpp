#include "dispatch/relay_selection.h"

#include <algorithm>
#include <set>
#include <vector>

#include <catch2/catch.hpp>

namespace boragedoor::dispatch {

namespace {

constexpr std::uint16_t data_centres = 4;
constexpr std::uint16_t instances_each = 18;
constexpr time_point start{seconds(100)};

net::address instance(std::uint16_t data_centre, std::uint16_t n) {
  return {"10.0.0.1", static_cast<std::uint16_t>(1 + data_centre * instances_each + n)};
}

/// The relays of the first instance of the first data centre.
std::vector<endpoint_relay> all_relays() {
  std::vector<endpoint_relay> list;
  for (std::uint16_t data_centre = 0; data_centre < data_centres; ++data_centre) {
    for (std::uint16_t n = data_centre == 0 ? 1 : 0; n < instances_each; ++n) {
      list.push_back({instance(data_centre, n), data_centre == 0});
    }
  }
  return list;
}

/// Returns the number of relays that a request tries until one forwards it.
std::size_t tries(relay_selection& relays, const std::set<net::address>& cut_off, time_point now,
                  random_engine& random) {
  std::vector<net::address> tried;
  while (const auto it = relays.choose(tried, now, random)) {
    tried.push_back(*it);
    if (!cut_off.contains(*it)) {
      relays.note_forwarded(*it);
      return tried.size();
    }
    relays.note_failed(*it, now);
  }
  FAIL("no relay left");
  return 0;
}

} // namespace

TEST_CASE("an instance that is cut off finds one that forwards its requests") {
  constexpr std::uint64_t seeds = 200;
  random_engine random(1);
  relay_selection relays;
  relays.set_relays(all_relays());

  SECTION("in its own data centre, if none there has failed") {
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
      const auto chosen = relays.choose({}, start, random);
      REQUIRE(chosen);
      CHECK(chosen->port <= instances_each);
    }
  }

  // Guards against requests that are refused because all relays that they try are in the data
  // centre that is cut off as a whole.
  SECTION("in another one, if its own data centre is cut off as a whole") {
    std::set<net::address> cut_off;
    for (std::uint16_t n = 0; n < instances_each; ++n) {
      cut_off.insert(instance(0, n));
    }
    CHECK(tries(relays, cut_off, start, random) == 2);
    SECTION("and stays with it") {
      for (int n = 1; n < 100; ++n) {
        CHECK(tries(relays, cut_off, start + seconds(n), random) == 1);
      }
    }
  }

  SECTION("after few tries, if most of all instances are cut off") {
    constexpr std::size_t most_tries = 16;
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
      relay_selection fresh;
      auto list = all_relays();
      fresh.set_relays(list);
      random_engine drawn(seed);
      std::shuffle(list.begin(), list.end(), drawn);
      std::set<net::address> cut_off;
      for (std::size_t n = 0; n < list.size() * 6 / 10; ++n) {
        cut_off.insert(list[n].address);
      }
      CHECK(tries(fresh, cut_off, start, drawn) <= most_tries);
      CHECK(tries(fresh, cut_off, start + seconds(10), drawn) == 1);
    }
  }

  SECTION("again, after the one that it used is cut off too") {
    const auto first = relays.choose({}, start, random);
    relays.note_forwarded(*first);
    CHECK(relays.choose({}, start, random) == first);
    relays.note_failed(*first, start);
    CHECK(relays.choose({}, start, random) != first);
  }

  SECTION("but not if there is none") {
    relays.set_relays({});
    CHECK_FALSE(relays.choose({}, start, random));
  }
}

} // namespace boragedoor::dispatch
