#include "scaling/endpoint_scaler.h"
#include "scaling/naive_scaler.h"

#include <map>

#include "support/property.h"

namespace boragedoor::scaling {

namespace {

const std::vector<std::string> names{"hill", "river", "harbour"};

pool_plan plan() {
  pool_plan out;
  out.pool = "helpers";
  out.concurrency = 10;
  for (const std::string& it : names) {
    out.data_centres.push_back({it, 1, 8, 6});
  }
  return out;
}

// A platform that supplies what was ordered, at once.
struct platform {
  std::map<std::string, data_centre_supply> places;
  std::vector<data_centre_supply> supply;
  bool store_down = false;
  int orders = 0;
  time_point now{seconds(1)};

  platform() {
    for (const std::string& it : names) {
      places[it].data_centre = it;
    }
  }
  std::vector<endpoint_order> step(endpoint_scaler& policy, double requests, double harmless = 0) {
    supply.clear();
    for (const auto& [name, it] : places) {
      supply.push_back(it);
    }
    auto out = policy.decide({requests, harmless, supply, store_down}, now);
    for (const endpoint_order& it : out) {
      auto& place = places[it.data_centre];
      (it.tier == capacity_tier::cheap ? place.cheap : place.standard) = it.count;
      orders += 1;
    }
    now += seconds(10);
    return out;
  }
  void run(endpoint_scaler& policy, int steps, double requests, double harmless = 0) {
    for (int i = 0; i < steps; ++i) {
      step(policy, requests, harmless);
    }
  }
  [[nodiscard]] int count(capacity_tier tier) const {
    int out = 0;
    for (const auto& [name, it] : places) {
      out += tier == capacity_tier::cheap ? it.cheap : it.standard;
    }
    return out;
  }
  [[nodiscard]] int all() const {
    return count(capacity_tier::cheap) + count(capacity_tier::standard);
  }
};

// Counts how often a series changes its direction.
struct reversals {
  int count = 0;
  int last = -1;
  int direction = 0;

  void take(int value) {
    const int change = last < 0 ? 0 : (value > last) - (value < last);
    count += change != 0 && direction != 0 && change != direction ? 1 : 0;
    direction = change != 0 ? change : direction;
    last = value;
  }
};

} // namespace

TEST_CASE("endpoints follow measured use") {
  auto policy = endpoint_scaler::create({}, plan()).value();
  platform around;
  around.run(policy, 60, 70);
  CHECK(around.all() == 10);

  SECTION("a rise is answered before it is complete, by its trend") {
    for (int i = 0; i < 12; ++i) {
      around.step(policy, 70 + 2 * i);
    }
    CHECK(policy.wanted() > 12);
  }
  SECTION("a fall only after it has lasted") {
    around.run(policy, 20, 30);
    CHECK(around.all() == 10);
    around.run(policy, 40, 30);
    CHECK(around.all() == 5);
  }
  SECTION("a store outage caps what is added and keeps what there is") {
    around.store_down = true;
    around.run(policy, 60, 160);
    CHECK(around.all() == 13);
    around.run(policy, 60, 10);
    CHECK(around.all() == 13);
    SECTION("until it is over") {
      around.store_down = false;
      around.run(policy, 60, 10);
      CHECK(around.all() == 3);
    }
  }
  SECTION("a lost data centre is replaced by the others, and gets no orders") {
    around.places["hill"].lost = true;
    for (const endpoint_order& it : around.step(policy, 70)) {
      CHECK(it.data_centre != "hill");
    }
    CHECK(around.places["river"].standard + around.places["harbour"].standard == 10);
  }
}

TEST_CASE("cheaper capacity") {
  auto policy = endpoint_scaler::create({}, plan()).value();
  platform around;
  around.run(policy, 60, 70, 0.5);
  CHECK(around.count(capacity_tier::cheap) == 4);

  SECTION("is spread, so that one reclaim takes little") {
    for (const auto& [name, it] : around.places) {
      CHECK(it.cheap <= 2);
    }
  }
  SECTION("moves to other data centres when one has none") {
    around.places["hill"].cheap = 0;
    policy.cheap_unavailable("hill", around.now);
    around.step(policy, 70, 0.5);
    CHECK(around.places["hill"].cheap == 0);
    CHECK(around.count(capacity_tier::cheap) == 4);
  }
  SECTION("is replaced by standard capacity when it stays away") {
    const auto refuse = [&](int steps) {
      for (int i = 0; i < steps; ++i) {
        for (const std::string& it : names) {
          around.places[it].cheap = 0;
          policy.cheap_unavailable(it, around.now);
        }
        around.step(policy, 70, 0.5);
      }
    };
    refuse(9);
    CHECK(around.count(capacity_tier::standard) == 6);
    refuse(2);
    CHECK(around.count(capacity_tier::standard) == 10);
    SECTION("and taken again when it is back") {
      around.run(policy, 60, 70, 0.5);
      CHECK(around.count(capacity_tier::cheap) == 4);
      CHECK(around.count(capacity_tier::standard) == 6);
    }
  }
}

TEST_CASE("scaling holds its bounds under any load") {
  testing::check_property("minimum, maximum, harmless share and reclaim share", [] {
    auto policy = endpoint_scaler::create({}, plan()).value();
    platform around;
    for (int i = 0; i < 200; ++i) {
      const double harmless = 0.01 * *rc::gen::inRange(0, 101);
      around.store_down = *rc::gen::inRange(0, 4) == 0;
      if (*rc::gen::inRange(0, 10) == 0) {
        policy.cheap_unavailable(names[static_cast<std::size_t>(*rc::gen::inRange(0, 3))],
                                 around.now);
      }
      around.step(policy, *rc::gen::inRange(0, 300), harmless);
      for (const auto& [name, it] : around.places) {
        RC_ASSERT(it.standard >= 1);
        RC_ASSERT(it.standard + it.cheap <= 8);
      }
    }
  });
  testing::check_property("cheaper endpoints never exceed the harmless part", [] {
    auto policy = endpoint_scaler::create({}, plan()).value();
    platform around;
    const double harmless = 0.01 * *rc::gen::inRange(0, 101);
    for (int i = 0; i < 100; ++i) {
      around.step(policy, *rc::gen::inRange(0, 300), harmless);
      RC_ASSERT(around.count(capacity_tier::cheap) <= harmless * around.all() + 1e-6);
    }
  });
  testing::check_property("steady noisy load does not move counts up and down", [] {
    auto policy = endpoint_scaler::create({}, plan()).value();
    platform around;
    const int mean = *rc::gen::inRange(10, 150);
    reversals all;
    reversals cheap;
    for (int i = 0; i < 400; ++i) {
      around.step(policy, mean * (1 + 0.01 * *rc::gen::inRange(-15, 16)),
                  0.5 + 0.001 * *rc::gen::inRange(-20, 21));
      if (i >= 100) {
        all.take(around.all());
        cheap.take(around.count(capacity_tier::cheap));
      }
    }
    // One correction is allowed when the noise itself drifts; going back and forth is not.
    RC_ASSERT(all.count == 0);
    RC_ASSERT(cheap.count == 0);
  });
  testing::check_property("never more endpoints than naive orders for twice the use", [] {
    auto policy = endpoint_scaler::create({}, plan()).value();
    platform around;
    const double requests = *rc::gen::inRange(0, 300);
    around.run(policy, 60, requests);
    int fixed = 0;
    for (const endpoint_order& it : naive_scaler(plan(), 2 * requests)) {
      RC_ASSERT(it.count >= 1);
      RC_ASSERT(it.count <= 8);
      fixed += it.count;
    }
    RC_ASSERT(around.all() <= fixed);
  });
}

TEST_CASE("scaler options out of range are refused") {
  CHECK_FALSE(endpoint_scaler::create({.target_use = 0}, plan()));
  CHECK_FALSE(endpoint_scaler::create({}, pool_plan{}));
}

} // namespace boragedoor::scaling
