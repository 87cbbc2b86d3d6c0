#include "routing/endpoint_health.h"

#include <array>
#include <string>

#include "support/property.h"

namespace boragedoor::routing {

namespace {

// Returns nine endpoints of one pool, "a0" to "c2", three in each of the data centres "a" to "c".
endpoint_health nine_endpoints() {
  auto health = endpoint_health::create({}).value();
  for (const std::string data_centre : {"a", "b", "c"}) {
    for (int i = 0; i < 3; ++i) {
      health.add(data_centre + std::to_string(i), data_centre, "p");
    }
  }
  return health;
}

int unhealthy_count(const endpoint_health& health) {
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
    health.record(id, health_signal::failure, now);
  }
}

} // namespace

TEST_CASE("endpoint health") {
  auto health = nine_endpoints();
  time_point now{seconds(1000)};

  SECTION("an endpoint that fails repeatedly is ejected") {
    fail(health, "a0", 3, now);
    const auto changes = health.update(now);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].endpoint == "a0");
    CHECK(changes[0].reason == "failures");
    SECTION("an ejected endpoint enters probation after the ejection time") {
      now += seconds(6);
      health.update(now);
      REQUIRE(health.state("a0") == health_state::probation);
      SECTION("an endpoint on probation is healthy after enough successes") {
        for (int i = 0; i < 3; ++i) {
          health.record("a0", health_signal::success, now);
        }
        health.update(now);
        CHECK(health.usable("a0"));
      }
      SECTION("one failure on probation ejects the endpoint for twice as long") {
        fail(health, "a0", 1, now);
        health.update(now);
        health.update(now + seconds(6));
        CHECK(health.state("a0") == health_state::ejected);
        health.update(now + seconds(11));
        CHECK(health.state("a0") == health_state::probation);
      }
      SECTION("an endpoint on probation is healthy after a time without requests") {
        health.update(now + seconds(31));
        CHECK(health.usable("a0"));
      }
    }
  }
  SECTION("an endpoint that fails one request in ten is not ejected") {
    for (int i = 0; i < 200; ++i) {
      health.record("a0", i % 10 == 0 ? health_signal::failure : health_signal::success, now);
      CHECK(health.update(now).empty());
    }
  }
  SECTION("suspicion from old failures decays") {
    fail(health, "a0", 2, now);
    fail(health, "a0", 1, now + seconds(40));
    CHECK(health.update(now + seconds(40)).empty());
  }
  SECTION("two progress timeouts or one invalid response eject an endpoint") {
    health.record("a0", health_signal::invalid_response, now);
    health.record("b0", health_signal::progress_timeout, now);
    health.record("b0", health_signal::progress_timeout, now);
    health.update(now);
    CHECK(unhealthy_count(health) == 2);
  }
  SECTION("only an endpoint that is much slower than the rest of its pool is ejected") {
    for (int i = 0; i < 10; ++i) {
      for (const char* id : {"a0", "a1", "b0", "b1"}) {
        health.record_latency(id, milliseconds(500), 1, now);
      }
      health.record_latency("c0", seconds(2), 1, now);
    }
    const auto changes = health.update(now);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].endpoint == "c0");
    CHECK(changes[0].reason == "slow");
  }
  SECTION("short requests with long queueing times do not make an endpoint slow") {
    for (int i = 0; i < 30; ++i) {
      for (const char* id : {"a0", "a1", "b0", "b1"}) {
        health.record_latency(id, seconds(10), 200, now);
      }
      health.record_latency("c0", seconds(10), i % 10 == 0 ? 200 : 10, now);
      health.record_latency("c0", seconds(11), 200, now);
      CHECK(health.update(now).empty());
    }
  }
  SECTION("one failure of each endpoint in a data centre ejects the whole data centre") {
    for (const char* id : {"b0", "b1", "b2"}) {
      fail(health, id, 1, now);
    }
    for (const auto& it : health.update(now)) {
      CHECK(it.reason == "data_centre");
    }
    CHECK(unhealthy_count(health) == 3);
    SECTION("an endpoint elsewhere can still be ejected after a data centre failure") {
      fail(health, "a1", 3, now);
      health.update(now);
      CHECK_FALSE(health.usable("a1"));
    }
  }
  SECTION("independent failures eject at most max_ejected_share of the pool") {
    for (const char* id : {"a0", "a1", "b0", "b1", "c0", "c1"}) {
      fail(health, id, 5, now);
      health.record(id, health_signal::success, now + milliseconds(1));
    }
    health.update(now + milliseconds(1));
    CHECK(unhealthy_count(health) == 3);
  }
  SECTION("a third of the pool stays in service when all endpoints fail at once") {
    for (const std::string data_centre : {"a", "b", "c"}) {
      for (int i = 0; i < 3; ++i) {
        fail(health, data_centre + std::to_string(i), 10, now);
      }
    }
    health.update(now);
    CHECK(unhealthy_count(health) == 6);
  }
}

TEST_CASE("endpoint health limits how much of a pool is ejected") {
  testing::check_property("no sequence of signals ejects more than the maximum share", [] {
    auto health = nine_endpoints();
    time_point now{};
    const std::string data_centres = "abc";
    for (int i = 0; i < 150; ++i) {
      const auto id = std::string(1, data_centres[*rc::gen::inRange<std::size_t>(0, 3)]) +
                      std::to_string(*rc::gen::inRange(0, 3));
      constexpr std::array kinds{health_signal::success, health_signal::failure,
                                 health_signal::progress_timeout, health_signal::invalid_response,
                                 health_signal::stale_report};
      health.record(id, kinds[*rc::gen::inRange<std::size_t>(0, kinds.size())], now);
      now += milliseconds(*rc::gen::inRange(0, 2000));
      health.update(now);
      RC_ASSERT(unhealthy_count(health) <= 6);
    }
  });
  testing::check_property("a pool of one or two endpoints keeps at least one healthy", [] {
    auto health = endpoint_health::create({}).value();
    health.add("only", "a", "single");
    health.add("left", "a", "pair");
    health.add("right", "a", "pair");
    for (int i = 0; i < 50; ++i) {
      const std::array<std::string, 3> ids{"only", "left", "right"};
      health.record(ids[*rc::gen::inRange<std::size_t>(0, 3)], health_signal::failure,
                    time_point{});
      health.update(time_point{});
      RC_ASSERT(health.usable("only"));
      RC_ASSERT(health.usable("left") || health.usable("right"));
    }
  });
}

} // namespace boragedoor::routing
