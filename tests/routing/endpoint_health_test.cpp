#include "routing/endpoint_health.h"

#include <array>
#include <string>

#include "support/property.h"

namespace boragedoor::routing {

namespace {

// Nine endpoints "a0" to "c2" of one pool in three data centres.
endpoint_health nine_endpoints() {
  auto health = endpoint_health::create({}).value();
  for (const std::string data_centre : {"a", "b", "c"}) {
    for (int i = 0; i < 3; ++i) {
      health.add(data_centre + std::to_string(i), data_centre, "p");
    }
  }
  return health;
}

int aside(const endpoint_health& health) {
  int n = 0;
  for (const std::string data_centre : {"a", "b", "c"}) {
    for (int i = 0; i < 3; ++i) {
      n += health.usable(data_centre + std::to_string(i)) ? 0 : 1;
    }
  }
  return n;
}

void fail(endpoint_health& health, std::string_view id, int times, time_point now) {
  for (int i = 0; i < times; ++i) {
    health.record(id, evidence::failure, now);
  }
}

} // namespace

TEST_CASE("endpoint health") {
  auto health = nine_endpoints();
  time_point now{seconds(1000)};

  SECTION("an endpoint that fails again and again is set aside") {
    fail(health, "a0", 3, now);
    const auto changes = health.update(now);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].endpoint == "a0");
    CHECK(changes[0].reason == "failures");
    SECTION("and comes back through probation") {
      now += seconds(6);
      health.update(now);
      REQUIRE(health.state("a0") == health_state::probation);
      SECTION("healthy after successes") {
        for (int i = 0; i < 3; ++i) {
          health.record("a0", evidence::success, now);
        }
        health.update(now);
        CHECK(health.usable("a0"));
      }
      SECTION("set aside for longer after one failure") {
        fail(health, "a0", 1, now);
        health.update(now);
        health.update(now + seconds(6));
        CHECK(health.state("a0") == health_state::set_aside);
        health.update(now + seconds(11));
        CHECK(health.state("a0") == health_state::probation);
      }
      SECTION("healthy after a quiet time where nothing comes to probe") {
        health.update(now + seconds(31));
        CHECK(health.usable("a0"));
      }
    }
  }
  SECTION("one failure in ten is not enough, because successes count too") {
    for (int i = 0; i < 200; ++i) {
      health.record("a0", i % 10 == 0 ? evidence::failure : evidence::success, now);
      CHECK(health.update(now).empty());
    }
  }
  SECTION("old failures are forgotten") {
    fail(health, "a0", 2, now);
    fail(health, "a0", 1, now + seconds(40));
    CHECK(health.update(now + seconds(40)).empty());
  }
  SECTION("two timeouts or one wrong answer weigh as much as three failures") {
    health.record("a0", evidence::wrong_answer, now);
    health.record("b0", evidence::progress_timeout, now);
    health.record("b0", evidence::progress_timeout, now);
    health.update(now);
    CHECK(aside(health) == 2);
  }
  SECTION("an endpoint that is much slower than its peers is set aside, a slow pool is not") {
    for (int i = 0; i < 10; ++i) {
      for (const char* id : {"a0", "a1", "b0", "b1"}) {
        health.record_pace(id, milliseconds(500), 1, now);
      }
      health.record_pace("c0", seconds(2), 1, now);
    }
    const auto changes = health.update(now);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].endpoint == "c0");
    CHECK(changes[0].reason == "slow");
  }
  SECTION("short requests that waited do not make an endpoint slow") {
    for (int i = 0; i < 30; ++i) {
      for (const char* id : {"a0", "a1", "b0", "b1"}) {
        health.record_pace(id, seconds(10), 200, now);
      }
      health.record_pace("c0", seconds(10), i % 10 == 0 ? 200 : 10, now);
      health.record_pace("c0", seconds(11), 200, now);
      CHECK(health.update(now).empty());
    }
  }
  SECTION("the loss of a data centre takes all of it out after one failure each") {
    for (const char* id : {"b0", "b1", "b2"}) {
      fail(health, id, 1, now);
    }
    for (const auto& it : health.update(now)) {
      CHECK(it.reason == "data_centre");
    }
    CHECK(aside(health) == 3);
    SECTION("and leaves room for the small failures elsewhere") {
      fail(health, "a1", 3, now);
      health.update(now);
      CHECK_FALSE(health.usable("a1"));
    }
  }
  SECTION("many small failures stop at the floor") {
    for (const char* id : {"a0", "a1", "b0", "b1", "c0", "c1"}) {
      fail(health, id, 5, now);
      health.record(id, evidence::success, now + milliseconds(1));
    }
    health.update(now + milliseconds(1));
    CHECK(aside(health) == 3);
  }
  SECTION("when everything fails at once a third of the pool still serves") {
    for (const std::string data_centre : {"a", "b", "c"}) {
      for (int i = 0; i < 3; ++i) {
        fail(health, data_centre + std::to_string(i), 10, now);
      }
    }
    health.update(now);
    CHECK(aside(health) == 6);
  }
}

TEST_CASE("the health floor holds") {
  testing::check_property("no evidence takes out more than the largest share", [] {
    auto health = nine_endpoints();
    time_point now{};
    const std::string data_centres = "abc";
    for (int i = 0; i < 150; ++i) {
      const auto id = std::string(1, data_centres[*rc::gen::inRange<std::size_t>(0, 3)]) +
                      std::to_string(*rc::gen::inRange(0, 3));
      constexpr std::array kinds{evidence::success, evidence::failure, evidence::progress_timeout,
                                 evidence::wrong_answer, evidence::stale_report};
      health.record(id, kinds[*rc::gen::inRange<std::size_t>(0, kinds.size())], now);
      now += milliseconds(*rc::gen::inRange(0, 2000));
      health.update(now);
      RC_ASSERT(aside(health) <= 6);
    }
  });
  testing::check_property("a pool of one or two never empties", [] {
    auto health = endpoint_health::create({}).value();
    health.add("only", "a", "single");
    health.add("left", "a", "pair");
    health.add("right", "a", "pair");
    for (int i = 0; i < 50; ++i) {
      const std::array<std::string, 3> ids{"only", "left", "right"};
      health.record(ids[*rc::gen::inRange<std::size_t>(0, 3)], evidence::failure, time_point{});
      health.update(time_point{});
      RC_ASSERT(health.usable("only"));
      RC_ASSERT(health.usable("left") || health.usable("right"));
    }
  });
}

} // namespace boragedoor::routing
