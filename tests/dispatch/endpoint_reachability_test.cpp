#include "dispatch/endpoint_reachability.h"

#include <catch2/catch.hpp>

namespace boragedoor::dispatch {

namespace {

net::address endpoint(std::uint16_t n) {
  return {"10.0.0.1", n};
}

constexpr std::size_t many = 13;
constexpr time_point start{seconds(100)};

} // namespace

// Guards against an instance that has lost its links to all endpoints, while callers still reach
// it, taking each failure for one of an endpoint; and against endpoints that are down being taken
// for lost links.
TEST_CASE("an instance counts as cut off when no endpoint takes a connection") {
  endpoint_reachability it;

  SECTION("one endpoint that is down says nothing, however often it fails") {
    for (int n = 0; n < 20; ++n) {
      CHECK_FALSE(it.note_unconnected(endpoint(1), many, start + milliseconds(10 * n)));
    }
    CHECK_FALSE(it.is_cut_off());
  }

  SECTION("three that fail in a row do") {
    it.note_unconnected(endpoint(1), many, start);
    it.note_unconnected(endpoint(2), many, start);
    CHECK(it.note_unconnected(endpoint(3), many, start));
    CHECK(it.is_cut_off());
    CHECK_FALSE(it.note_unconnected(endpoint(4), many, start));

    SECTION("until one takes a connection again") {
      CHECK(it.note_connected());
      CHECK_FALSE(it.is_cut_off());
      CHECK_FALSE(it.note_connected());
      CHECK_FALSE(it.note_unconnected(endpoint(1), many, start));
    }
  }

  SECTION("not if another one took a connection in between") {
    it.note_unconnected(endpoint(1), many, start);
    it.note_unconnected(endpoint(2), many, start);
    it.note_connected();
    it.note_unconnected(endpoint(3), many, start);
    CHECK_FALSE(it.is_cut_off());
  }

  SECTION("not if they failed at different times") {
    for (std::uint16_t n = 0; n < 9; ++n) {
      it.note_unconnected(endpoint(n), many, start + seconds(2 * n));
    }
    CHECK_FALSE(it.is_cut_off());
  }

  SECTION("with fewer endpoints, when all of them fail") {
    CHECK_FALSE(it.note_unconnected(endpoint(1), 2, start));
    CHECK(it.note_unconnected(endpoint(2), 2, start));
  }
}

} // namespace boragedoor::dispatch
