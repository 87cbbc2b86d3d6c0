#include "instance/store_path.h"

#include <vector>

#include <catch2/catch.hpp>

namespace boragedoor::instance {

namespace {

constexpr time_point start{seconds(100)};
const net::address store{"10.0.0.1", 90};
const net::address first{"10.0.0.2", 91};
const net::address second{"10.0.0.3", 91};
const net::address third{"10.0.0.4", 91};
const net::address fourth{"10.0.0.5", 91};

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

  SECTION("the direct path is probed at intervals until a call over it succeeds") {
    constexpr duration check_interval = milliseconds(250);
    /// Starts the probes that are due and returns their times.
    const auto run_for = [&](duration length, const auto& fail) {
      std::vector<duration> probes;
      for (duration at{}; at <= length; at += check_interval) {
        fail(start + at);
        if (path.try_start_probe(start + at)) {
          probes.push_back(at);
        }
      }
      return probes;
    };
    const std::vector<duration> each_second = {seconds(1), seconds(2), seconds(3)};

    SECTION("also if relays fail more often than that") {
      // Guards against an instance that tries relay after relay while the store serves it again.
      path.set_relays({first, second, third, fourth});
      path.report_failure(store, start);
      CHECK(run_for(seconds(3), [&](time_point now) {
              if (now - start == milliseconds(750) || now - start == milliseconds(1500)) {
                path.report_failure(path.target(), now);
              }
            }) == each_second);
    }
    SECTION("also once all relays have failed") {
      // Guards against a watch that waits over the direct path without any call that shows whether
      // the store answers there.
      path.set_relays({first});
      path.report_failure(store, start);
      path.report_failure(first, start);
      REQUIRE(path.is_direct());
      CHECK(run_for(seconds(3), [](time_point) {}) == each_second);
    }
    SECTION("also if there is no relay, and however often the direct path fails") {
      CHECK(run_for(seconds(3), [&](time_point now) { path.report_failure(store, now); }) ==
            each_second);
    }
    SECTION("and not after that") {
      path.set_relays({first});
      path.report_failure(store, start);
      path.report_success(store);
      CHECK(run_for(seconds(3), [](time_point) {}).empty());
    }
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
