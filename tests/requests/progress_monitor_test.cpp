#include "requests/progress_monitor.h"

#include <catch2/catch.hpp>

namespace boragedoor::requests {

TEST_CASE("silent connections") {
  progress_monitor monitor;
  const time_point start{};
  SECTION("an attempt") {
    monitor.begin(start, "a", 1, seconds(10), seconds(2));
    CHECK(monitor.next_wakeup() == start + seconds(10));
    SECTION("may take long for its first byte") {
      CHECK(monitor.tick(start + seconds(9)).empty());
      CHECK(monitor.tick(start + seconds(10)).size() == 1);
      CHECK(monitor.tick(start + seconds(11)).empty());
    }
    SECTION("and less for each further one") {
      monitor.progress(start + seconds(5), "a");
      CHECK(monitor.tick(start + seconds(6)).empty());
      const auto out = monitor.tick(start + seconds(7));
      REQUIRE(out.size() == 1);
      CHECK(std::get<progress_expired>(out[0]).connection == 1);
    }
    SECTION("leaves its connection idle when it ends") {
      monitor.finish(start + seconds(1), "a");
      CHECK(monitor.usable(1));
    }
  }
  SECTION("an idle connection is probed") {
    monitor.idle(start, 1);
    const auto out = monitor.tick(start + seconds(5));
    REQUIRE(out.size() == 1);
    CHECK(std::holds_alternative<send_probe>(out[0]));
    CHECK_FALSE(monitor.usable(1));
    SECTION("and kept when it answers") {
      monitor.probe_answered(start + milliseconds(5100), 1);
      CHECK(monitor.usable(1));
      CHECK(monitor.tick(start + seconds(7)).empty());
    }
    SECTION("and closed when it does not") {
      const auto closed = monitor.tick(start + seconds(6));
      REQUIRE(closed.size() == 1);
      CHECK(std::holds_alternative<close_silent>(closed[0]));
      CHECK_FALSE(monitor.next_wakeup());
    }
  }
}

} // namespace boragedoor::requests
