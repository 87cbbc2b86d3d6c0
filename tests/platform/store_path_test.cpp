#include "instance/store_path.h"

#include <catch2/catch.hpp>

namespace boragedoor::instance {

namespace {

constexpr time_point start{seconds(100)};
const net::address store{"10.0.0.1", 90};
const net::address first{"10.0.0.2", 91};
const net::address second{"10.0.0.3", 91};

} // namespace

TEST_CASE("the path to a store that does not serve this instance") {
  store_path path(store);
  CHECK(path.target() == store);

  SECTION("the path stays direct without relays") {
    CHECK_FALSE(path.report_failure(store, start));
    CHECK(path.target() == store);
  }

  SECTION("failures switch to each relay in turn, then to the direct path") {
    path.set_relays({first, second});
    CHECK(path.report_failure(store, start));
    CHECK(path.target() == first);
    CHECK(path.report_failure(first, start));
    CHECK(path.target() == second);
    CHECK(path.report_failure(second, start));
    CHECK(path.target() == store);
  }

  SECTION("results for an earlier target do not change the path") {
    path.set_relays({first, second});
    path.report_failure(store, start);
    CHECK_FALSE(path.report_failure(store, start));
    CHECK(path.target() == first);
    path.report_success(second);
    CHECK(path.target() == first);
  }

  SECTION("the direct path is probed once a second and used again after a success") {
    path.set_relays({first});
    CHECK_FALSE(path.try_start_probe(start));
    path.report_failure(store, start);
    CHECK_FALSE(path.try_start_probe(start + milliseconds(900)));
    CHECK(path.try_start_probe(start + seconds(1)));
    CHECK_FALSE(path.try_start_probe(start + milliseconds(1100)));
    path.report_success(store);
    CHECK(path.is_direct());
  }

  SECTION("calls are paused when the store refuses every path") {
    // Guards against hundreds of instances that each repeat their refused calls many times a
    // second.
    path.set_relays({first, second});
    time_point now = start;
    for (int n = 0; n < 4; ++n) {
      REQUIRE(path.try_start_call(now));
      path.report_failure(path.target(), now);
    }
    int started = 0;
    for (; now < start + seconds(1); now += milliseconds(5)) {
      started += path.try_start_call(now) ? 1 : 0;
      path.report_failure(path.target(), now);
    }
    CHECK(started == 5);
    SECTION("until one of them succeeds") {
      path.report_success(path.target());
      CHECK(path.try_start_call(now));
      CHECK(path.try_start_call(now));
    }
  }

  SECTION("calls are not paused while one of the paths works") {
    path.set_relays({first, second});
    for (int n = 0; n < 20; ++n) {
      REQUIRE(path.try_start_call(start));
      path.report_failure(path.target(), start);
      path.report_failure(path.target(), start);
      path.report_success(path.target());
    }
    CHECK(path.try_start_call(start));
  }

  SECTION("a removed relay is no longer used") {
    path.set_relays({first, second});
    path.report_failure(store, start);
    path.set_relays({second});
    CHECK(path.target() == store);
  }
}

} // namespace boragedoor::instance
