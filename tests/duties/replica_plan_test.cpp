#include "duties/replica_plan.h"

#include <catch2/catch.hpp>

#include <string>

namespace boragedoor::duties {

namespace {

constexpr time_point start{seconds(100)};
constexpr int at_once = 2;

replica_bounds make_service(int per_centre) {
  return {.service = "models",
          .min_replicas = 1,
          .max_replicas = 6,
          .slots_per_replica = 8,
          .present = {{"dc-1", per_centre}, {"dc-2", per_centre}, {"dc-3", per_centre}}};
}

int total(const std::vector<replica_order>& orders) {
  int n = 0;
  for (const replica_order& it : orders) {
    n += it.count;
  }
  return n;
}

} // namespace

TEST_CASE("the replica plan decides how many engines to order") {
  replica_plan plan;
  std::vector<replica_bounds> services = {make_service(3)};

  SECTION("it orders nothing before demand is recorded") {
    CHECK(plan.decide(services, at_once, start).empty());
  }

  SECTION("it orders slots for all open items, evenly across the data centres") {
    // Models a step that requests 100 texts at once.
    plan.record_demand(100, start);
    const auto orders = plan.decide(services, at_once, start);
    CHECK(total(orders) == 13);
    CHECK(plan.decide(services, at_once, start + seconds(1)).empty());
  }

  SECTION("it orders no more engines than can be kept fresh, and stays within the limits") {
    plan.record_demand(1000, start);
    const auto orders = plan.decide(services, at_once, start);
    // Two concurrent loads of 1 s each are 8 loads in 4 s. Each engine loads every second version.
    CHECK(total(orders) == 16);
    for (const replica_order& it : orders) {
      CHECK(it.count <= 6);
    }
  }

  SECTION("it keeps the engines that open items need, however many models share the loads") {
    // Models four trainers with steps of 56 texts on 36 engines. Guards against shrinking the fleet
    // because not all engines can load every version: that left four engines after half a minute,
    // and no later step was complete in time.
    services = {make_service(12)};
    services[0].max_replicas = 20;
    services[0].slots_per_replica = 6;
    for (int n = 0; n < 40; ++n) {
      const time_point now = start + seconds(n);
      plan.record_version("model-" + std::to_string(n % 4), now);
      plan.record_demand(4 * 56, now);
      CHECK(plan.decide(services, at_once, now).empty());
    }
    // A temporary loss of endpoints in a crash does not lower the target.
    services[0].present["dc-1"] = 4;
    plan.record_demand(4 * 56, start + seconds(40));
    for (const replica_order& it : plan.decide(services, at_once, start + seconds(40))) {
      CHECK(it.count >= 9);
    }
  }

  SECTION("it orders engines for several models, up to the number that loads keep fresh") {
    // Models four trainers that each request 96 texts at once; eight engines load concurrently.
    services = {make_service(12)};
    services[0].max_replicas = 20;
    services[0].slots_per_replica = 6;
    for (int n = 0; n < 4; ++n) {
      plan.record_version("model-" + std::to_string(n), start);
    }
    plan.record_demand(4 * 96, start);
    CHECK(total(plan.decide(services, 8, start)) == 60);
  }

  SECTION("it adapts to the interval between announced versions") {
    for (int n = 0; n < 20; ++n) {
      plan.record_version("m", start + seconds(2) * n);
    }
    plan.record_demand(1000, start + seconds(40));
    CHECK(total(plan.decide(services, at_once, start + seconds(40))) <= 9);
  }

  SECTION("it orders fewer engines only after demand has been lower for the shrink delay") {
    plan.record_demand(128, start);
    for (const replica_order& it : plan.decide(services, at_once, start)) {
      services[0].present[it.data_centre] = it.count;
    }
    plan.record_demand(8, start + seconds(20));
    CHECK(plan.decide(services, at_once, start + seconds(20)).empty());
    plan.record_demand(8, start + seconds(61));
    plan.record_demand(8, start + seconds(95));
    CHECK_FALSE(plan.decide(services, at_once, start + seconds(95)).empty());
  }

  SECTION("it repeats an order that was refused or whose engines are still missing") {
    plan.record_demand(128, start);
    const auto orders = plan.decide(services, at_once, start);
    REQUIRE_FALSE(orders.empty());
    plan.record_demand(128, start + seconds(11));
    CHECK(plan.decide(services, at_once, start + seconds(11)) == orders);
    plan.failed(orders[0]);
    CHECK(plan.decide(services, at_once, start + seconds(12)).size() == 1);
  }
}

} // namespace boragedoor::duties
