#include "requests/progress_monitor.h"

#include <catch2/catch.hpp>

namespace boragedoor::requests {

TEST_CASE("progress_monitor detects unresponsive connections") {
  progress_monitor monitor;
  const time_point start{};
  SECTION("a running attempt is monitored") {
    monitor.begin(start, "a", 1, seconds(10), seconds(2));
    CHECK(monitor.next_wakeup() == start + seconds(10));
    SECTION("an attempt without a first byte times out after first_byte_timeout") {
      CHECK(monitor.tick(start + seconds(9)).empty());
      CHECK(monitor.tick(start + seconds(10)).size() == 1);
      CHECK(monitor.tick(start + seconds(11)).empty());
    }
    SECTION("an attempt without further bytes times out after next_byte_timeout") {
      monitor.progress(start + seconds(5), "a");
      CHECK(monitor.tick(start + seconds(6)).empty());
      const auto out = monitor.tick(start + seconds(7));
      REQUIRE(out.size() == 1);
      CHECK(std::get<attempt_timed_out>(out[0]).connection == 1);
    }
    SECTION("the connection of a finished attempt is idle and usable") {
      monitor.finish(start + seconds(1), "a");
      CHECK(monitor.is_usable(1));
    }
  }
  SECTION("an idle connection is probed") {
    monitor.add_idle(start, 1);
    const auto out = monitor.tick(start + seconds(5));
    REQUIRE(out.size() == 1);
    CHECK(std::holds_alternative<send_probe>(out[0]));
    CHECK_FALSE(monitor.is_usable(1));
    SECTION("a connection that answers its probe is kept") {
      monitor.probe_answered(start + milliseconds(5100), 1);
      CHECK(monitor.is_usable(1));
      CHECK(monitor.tick(start + seconds(7)).empty());
    }
    SECTION("a connection that does not answer its probe is closed") {
      const auto closed = monitor.tick(start + seconds(6));
      REQUIRE(closed.size() == 1);
      CHECK(std::holds_alternative<close_unresponsive>(closed[0]));
      CHECK_FALSE(monitor.next_wakeup());
    }
  }
}

} // namespace boragedoor::requests
