#include "base/stable_wall_clock.h"

#include <ctime>

#include <catch2/catch.hpp>

namespace boragedoor {

namespace {

constexpr time_point boot{seconds(50)};
constexpr wall_time noon{seconds(1'800'000'000)};

} // namespace

TEST_CASE("the wall clock of decisions does not follow steps of the time of day at once") {
  // Guards against usage that is counted in another window, and items that are given up, because
  // the time of day of a machine jumped by seconds.
  stable_wall_clock clock;
  REQUIRE(clock.read(boot, noon) == noon);

  SECTION("a step forward or backward that is taken back changes nothing") {
    for (const duration step : {duration(seconds(2)), duration(-seconds(7))}) {
      for (int n = 1; n <= 20; ++n) {
        const duration passed = seconds(n);
        CHECK(clock.read(boot + passed, noon + passed + step) == noon + passed);
      }
      CHECK(clock.read(boot + seconds(21), noon + seconds(21)) == noon + seconds(21));
    }
  }

  SECTION("a small correction is followed at once") {
    CHECK(clock.read(boot + seconds(1), noon + milliseconds(1050)) == noon + milliseconds(1050));
  }

  SECTION("a step that lasts is followed in the end") {
    const duration step = seconds(3);
    CHECK(clock.read(boot + seconds(1), noon + seconds(1) + step) == noon + seconds(1));
    CHECK(clock.read(boot + seconds(62), noon + seconds(62) + step) == noon + seconds(62) + step);
  }

  SECTION("steps of different sizes are not taken for one that lasts") {
    CHECK(clock.read(boot + seconds(1), noon + seconds(4)) == noon + seconds(1));
    CHECK(clock.read(boot + seconds(50), noon + seconds(59)) == noon + seconds(50));
    CHECK(clock.read(boot + seconds(70), noon + seconds(79)) == noon + seconds(70));
  }
}

TEST_CASE("the monotonic clock counts the time during which the machine is suspended") {
  // Guards against a process that relies on a lease after the machine was suspended for longer.
  const auto reading = [] {
    timespec at{};
    REQUIRE(clock_gettime(CLOCK_BOOTTIME, &at) == 0);
    return duration(seconds(at.tv_sec)) +
           std::chrono::duration_cast<duration>(std::chrono::nanoseconds(at.tv_nsec));
  };
  const duration before = reading();
  const duration now = monotonic_now().time_since_epoch();
  CHECK(before <= now);
  CHECK(now <= reading());
}

} // namespace boragedoor
