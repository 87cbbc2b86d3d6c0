#include "duties/replica_plan.h"

#include <catch2/catch.hpp>

#include <string>

namespace boragedoor::duties {

namespace {

constexpr time_point start{seconds(100)};
constexpr int at_once = 2;

replica_bounds make_service(int per_centre) {
  return {.service = "models",
          .least = 1,
          .most = 6,
          .places = 8,
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

TEST_CASE("the plan of engines") {
  replica_plan plan;
  std::vector<replica_bounds> services = {make_service(3)};

  SECTION("orders nothing before it has seen demand") {
    CHECK(plan.decide(services, at_once, start).empty());
  }

  SECTION("orders places for all items that are open, evenly over the data centres") {
    // Pattern: a step asks for 100 texts at once.
    plan.note_demand(100, start);
    const auto orders = plan.decide(services, at_once, start);
    CHECK(total(orders) == 13);
    CHECK(plan.decide(services, at_once, start + seconds(1)).empty());
  }

  SECTION("orders no more engines than can be kept at fresh weights, and stays within bounds") {
    plan.note_demand(1000, start);
    const auto orders = plan.decide(services, at_once, start);
    // Two loads of a second at once in 4 s are 8; each engine loads at every second version.
    CHECK(total(orders) == 16);
    for (const replica_order& it : orders) {
      CHECK(it.count <= 6);
    }
  }

  SECTION("keeps the engines that open items need, however many models share the loads") {
    // Pattern: four trainers with steps of 56 texts on 36 engines. An early plan shrank such a
    // fleet to four engines after half a minute, because not all of them can load every version,
    // and from then on no step was complete in time.
    services = {make_service(12)};
    services[0].most = 20;
    services[0].places = 6;
    for (int n = 0; n < 40; ++n) {
      const time_point now = start + seconds(n);
      plan.note_version("model-" + std::to_string(n % 4), now);
      plan.note_demand(4 * 56, now);
      CHECK(plan.decide(services, at_once, now).empty());
    }
    // Endpoints that a crash takes away for a while are not taken for a smaller need.
    services[0].present["dc-1"] = 4;
    plan.note_demand(4 * 56, start + seconds(40));
    for (const replica_order& it : plan.decide(services, at_once, start + seconds(40))) {
      CHECK(it.count >= 9);
    }
  }

  SECTION("orders engines for several models, as far as the loads of all of them go") {
    // Pattern: four trainers ask for 96 texts each at once; eight engines load at a time.
    services = {make_service(12)};
    services[0].most = 20;
    services[0].places = 6;
    for (int n = 0; n < 4; ++n) {
      plan.note_version("model-" + std::to_string(n), start);
    }
    plan.note_demand(4 * 96, start);
    CHECK(total(plan.decide(services, 8, start)) == 60);
  }

  SECTION("follows the pace at which versions are named") {
    for (int n = 0; n < 20; ++n) {
      plan.note_version("m", start + seconds(2) * n);
    }
    plan.note_demand(1000, start + seconds(40));
    CHECK(total(plan.decide(services, at_once, start + seconds(40))) <= 9);
  }

  SECTION("orders fewer only after a long time of less demand") {
    plan.note_demand(128, start);
    for (const replica_order& it : plan.decide(services, at_once, start)) {
      services[0].present[it.data_centre] = it.count;
    }
    plan.note_demand(8, start + seconds(20));
    CHECK(plan.decide(services, at_once, start + seconds(20)).empty());
    plan.note_demand(8, start + seconds(61));
    plan.note_demand(8, start + seconds(95));
    CHECK_FALSE(plan.decide(services, at_once, start + seconds(95)).empty());
  }

  SECTION("repeats an order whose engines stay away or that was refused") {
    plan.note_demand(128, start);
    const auto orders = plan.decide(services, at_once, start);
    REQUIRE_FALSE(orders.empty());
    plan.note_demand(128, start + seconds(11));
    CHECK(plan.decide(services, at_once, start + seconds(11)) == orders);
    plan.failed(orders[0]);
    CHECK(plan.decide(services, at_once, start + seconds(12)).size() == 1);
  }
}

} // namespace boragedoor::duties
