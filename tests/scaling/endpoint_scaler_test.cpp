#include "scaling/endpoint_scaler.h"
#include "scaling/naive_scaler.h"

#include <map>

#include "support/property.h"

namespace boragedoor::scaling {

namespace {

const std::vector<std::string> data_centre_names{"hill", "river", "harbour"};

pool_plan plan() {
  pool_plan out;
  out.pool = "helpers";
  out.concurrency = 10;
  for (const std::string& it : data_centre_names) {
    out.data_centres.push_back({it, 1, 8, 6});
  }
  return out;
}

// Simulates a platform that supplies every order immediately.
struct simulated_platform {
  std::map<std::string, data_centre_supply> data_centres;
  std::vector<data_centre_supply> supply;
  bool store_down = false;
  int orders = 0;
  time_point now{seconds(1)};

  simulated_platform() {
    for (const std::string& it : data_centre_names) {
      data_centres[it].data_centre = it;
    }
  }
  std::vector<endpoint_order> step(endpoint_scaler& scaler, double requests,
                                   double interruptible = 0) {
    supply.clear();
    for (const auto& [name, it] : data_centres) {
      supply.push_back(it);
    }
    auto out = scaler.decide({requests, interruptible, supply, store_down}, now);
    for (const endpoint_order& it : out) {
      auto& place = data_centres[it.data_centre];
      (it.tier == capacity_tier::cheap ? place.cheap : place.standard) = it.count;
      orders += 1;
    }
    now += seconds(10);
    return out;
  }
  void run(endpoint_scaler& scaler, int steps, double requests, double interruptible = 0) {
    for (int i = 0; i < steps; ++i) {
      step(scaler, requests, interruptible);
    }
  }
  [[nodiscard]] int count(capacity_tier tier) const {
    int out = 0;
    for (const auto& [name, it] : data_centres) {
      out += tier == capacity_tier::cheap ? it.cheap : it.standard;
    }
    return out;
  }
  [[nodiscard]] int all() const {
    return count(capacity_tier::cheap) + count(capacity_tier::standard);
  }
};

// Counts how often a series of values changes direction.
struct reversals {
  int count = 0;
  int last = -1;
  int direction = 0;

  void observe(int value) {
    const int change = last < 0 ? 0 : (value > last) - (value < last);
    count += change != 0 && direction != 0 && change != direction ? 1 : 0;
    direction = change != 0 ? change : direction;
    last = value;
  }
};

} // namespace

TEST_CASE("endpoint counts follow measured usage") {
  auto scaler = endpoint_scaler::create({}, plan()).value();
  simulated_platform fleet;
  fleet.run(scaler, 60, 70);
  CHECK(fleet.all() == 10);

  SECTION("scales up ahead of rising demand by its trend") {
    for (int i = 0; i < 12; ++i) {
      fleet.step(scaler, 70 + 2 * i);
    }
    CHECK(scaler.desired() > 12);
  }
  SECTION("scales down only after demand has stayed low") {
    fleet.run(scaler, 20, 30);
    CHECK(fleet.all() == 10);
    fleet.run(scaler, 40, 30);
    CHECK(fleet.all() == 5);
  }
  SECTION("a store outage limits growth and prevents scaling down") {
    fleet.store_down = true;
    fleet.run(scaler, 60, 160);
    CHECK(fleet.all() == 13);
    fleet.run(scaler, 60, 10);
    CHECK(fleet.all() == 13);
    SECTION("scales down after a store outage") {
      fleet.store_down = false;
      fleet.run(scaler, 60, 10);
      CHECK(fleet.all() == 3);
    }
  }
  SECTION("a failed data centre gets no orders and is replaced by the others") {
    fleet.data_centres["hill"].lost = true;
    for (const endpoint_order& it : fleet.step(scaler, 70)) {
      CHECK(it.data_centre != "hill");
    }
    CHECK(fleet.data_centres["river"].standard + fleet.data_centres["harbour"].standard == 10);
  }
}

TEST_CASE("cheap capacity") {
  auto scaler = endpoint_scaler::create({}, plan()).value();
  simulated_platform fleet;
  fleet.run(scaler, 60, 70, 0.5);
  CHECK(fleet.count(capacity_tier::cheap) == 4);

  SECTION("cheap capacity is distributed over data centres to limit the effect of a reclaim") {
    for (const auto& [name, it] : fleet.data_centres) {
      CHECK(it.cheap <= 2);
    }
  }
  SECTION("cheap capacity moves to other data centres when one cannot supply it") {
    fleet.data_centres["hill"].cheap = 0;
    scaler.cheap_unavailable("hill", fleet.now);
    fleet.step(scaler, 70, 0.5);
    CHECK(fleet.data_centres["hill"].cheap == 0);
    CHECK(fleet.count(capacity_tier::cheap) == 4);
  }
  SECTION("cheap capacity that stays unavailable is replaced by standard capacity") {
    const auto refuse = [&](int steps) {
      for (int i = 0; i < steps; ++i) {
        for (const std::string& it : data_centre_names) {
          fleet.data_centres[it].cheap = 0;
          scaler.cheap_unavailable(it, fleet.now);
        }
        fleet.step(scaler, 70, 0.5);
      }
    };
    refuse(9);
    CHECK(fleet.count(capacity_tier::standard) == 6);
    refuse(2);
    CHECK(fleet.count(capacity_tier::standard) == 10);
    SECTION("cheap capacity is ordered again when it is available") {
      fleet.run(scaler, 60, 70, 0.5);
      CHECK(fleet.count(capacity_tier::cheap) == 4);
      CHECK(fleet.count(capacity_tier::standard) == 6);
    }
  }
}

TEST_CASE("endpoint scaler invariants under any load") {
  testing::check_property("every data centre stays within its minimum and maximum", [] {
    auto scaler = endpoint_scaler::create({}, plan()).value();
    simulated_platform fleet;
    for (int i = 0; i < 200; ++i) {
      const double interruptible = 0.01 * *rc::gen::inRange(0, 101);
      fleet.store_down = *rc::gen::inRange(0, 4) == 0;
      if (*rc::gen::inRange(0, 10) == 0) {
        scaler.cheap_unavailable(
            data_centre_names[static_cast<std::size_t>(*rc::gen::inRange(0, 3))], fleet.now);
      }
      fleet.step(scaler, *rc::gen::inRange(0, 300), interruptible);
      for (const auto& [name, it] : fleet.data_centres) {
        RC_ASSERT(it.standard >= 1);
        RC_ASSERT(it.standard + it.cheap <= 8);
      }
    }
  });
  testing::check_property("cheap endpoints never exceed the interruptible share", [] {
    auto scaler = endpoint_scaler::create({}, plan()).value();
    simulated_platform fleet;
    const double interruptible = 0.01 * *rc::gen::inRange(0, 101);
    for (int i = 0; i < 100; ++i) {
      fleet.step(scaler, *rc::gen::inRange(0, 300), interruptible);
      RC_ASSERT(fleet.count(capacity_tier::cheap) <= interruptible * fleet.all() + 1e-6);
    }
  });
  testing::check_property("noise around a steady load does not make counts oscillate", [] {
    auto scaler = endpoint_scaler::create({}, plan()).value();
    simulated_platform fleet;
    const int mean = *rc::gen::inRange(10, 150);
    reversals all;
    reversals cheap;
    for (int i = 0; i < 400; ++i) {
      fleet.step(scaler, mean * (1 + 0.01 * *rc::gen::inRange(-15, 16)),
                 0.5 + 0.001 * *rc::gen::inRange(-20, 21));
      if (i >= 100) {
        all.observe(fleet.all());
        cheap.observe(fleet.count(capacity_tier::cheap));
      }
    }
    // The noise may drift, so counts may change in one direction, but not back.
    RC_ASSERT(all.count == 0);
    RC_ASSERT(cheap.count == 0);
  });
  testing::check_property("no more endpoints than the naive scaler orders for twice the usage", [] {
    auto scaler = endpoint_scaler::create({}, plan()).value();
    simulated_platform fleet;
    const double requests = *rc::gen::inRange(0, 300);
    fleet.run(scaler, 60, requests);
    int naive_total = 0;
    for (const endpoint_order& it : naive_scaler(plan(), 2 * requests)) {
      RC_ASSERT(it.count >= 1);
      RC_ASSERT(it.count <= 8);
      naive_total += it.count;
    }
    RC_ASSERT(fleet.all() <= naive_total);
  });
}

TEST_CASE("endpoint scaler rejects options and plans that are out of range") {
  CHECK_FALSE(endpoint_scaler::create({.target_utilization = 0}, plan()));
  CHECK_FALSE(endpoint_scaler::create({}, pool_plan{}));
}

} // namespace boragedoor::scaling
