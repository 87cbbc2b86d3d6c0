#include "admission/fair_share.h"

#include <numeric>

#include "admission/priority_budget.h"
#include "support/property.h"

namespace boragedoor::admission {

namespace {

// Reference water-filling in small steps: each step goes to the workspace with the lowest share
// relative to its weight whose demand is not met.
std::vector<double> water_fill(double capacity, const std::vector<share_demand>& demands,
                               double step) {
  std::vector<double> out(demands.size(), 0);
  const int steps = static_cast<int>(capacity / step);
  for (int n = 0; n < steps; ++n) {
    std::size_t lowest = demands.size();
    for (std::size_t i = 0; i < demands.size(); ++i) {
      if (out[i] + step <= demands[i].demand + 1e-9 &&
          (lowest == demands.size() ||
           out[i] / demands[i].weight < out[lowest] / demands[lowest].weight)) {
        lowest = i;
      }
    }
    if (lowest == demands.size()) {
      break;
    }
    out[lowest] += step;
  }
  return out;
}

std::vector<share_demand> random_demands() {
  std::vector<share_demand> demands(*rc::gen::inRange<std::size_t>(1, 7));
  for (share_demand& it : demands) {
    it.demand = *rc::gen::inRange(0, 60);
    it.weight = *rc::gen::inRange(1, 5);
  }
  return demands;
}

} // namespace

TEST_CASE("max_min_shares") {
  testing::check_property("equals stepwise water-filling", [] {
    const auto demands = random_demands();
    const double capacity = *rc::gen::inRange(0, 120);
    const auto shares = max_min_shares(capacity, demands);
    const auto expected = water_fill(capacity, demands, 0.05);
    for (std::size_t i = 0; i < demands.size(); ++i) {
      RC_ASSERT(std::abs(shares[i] - expected[i]) < 0.5);
    }
  });
  testing::check_property(
      "serving the least served workspace first converges to the max-min shares", [] {
        auto shares = fair_share::create({}).value();
        const auto demands = random_demands();
        const std::vector<std::string> names{"a", "b", "c", "d", "e", "f"};
        double total = 0;
        std::vector<double> served(demands.size(), 0);
        for (std::size_t i = 0; i < demands.size(); ++i) {
          shares.set_weight(names[i], demands[i].weight);
          total += demands[i].demand;
        }
        const double capacity = std::floor(total * 0.7);
        for (int n = 0; n < static_cast<int>(capacity); ++n) {
          std::vector<std::string_view> waiting;
          for (std::size_t i = 0; i < demands.size(); ++i) {
            if (served[i] < demands[i].demand) {
              waiting.emplace_back(names[i]);
            }
          }
          const auto next = shares.least_served_workspace(waiting, time_point{});
          const auto index = static_cast<std::size_t>(next[0] - 'a');
          served[index] += 1;
          shares.record_usage(next, 1, time_point{});
        }
        const auto expected = max_min_shares(capacity, demands);
        for (std::size_t i = 0; i < demands.size(); ++i) {
          RC_ASSERT(std::abs(served[i] - expected[i]) <= static_cast<double>(demands.size()));
        }
      });
}

TEST_CASE("normalized usage") {
  auto shares = fair_share::create({}).value();
  const time_point now{seconds(1000)};
  shares.set_weight("big", 4);
  shares.record_usage("big", 400, now);
  shares.record_usage("small", 150, now);
  SECTION("is relative to the weight") {
    CHECK(shares.normalized_usage("big", now) == Approx(100));
    CHECK(shares.least_served_workspace(std::vector<std::string_view>{"small", "big"}, now) ==
          "big");
  }
  SECTION("decays over time") {
    CHECK(shares.normalized_usage("small", now + seconds(60)) ==
          Approx(150 / 2.71828).epsilon(0.01));
  }
  SECTION("includes the usage of the other instances while their estimate is recent") {
    shares.set_fleet_usage("big", 4000, now);
    CHECK(shares.least_served_workspace(std::vector<std::string_view>{"small", "big"}, now) ==
          "small");
    CHECK(shares.normalized_usage("big", now + seconds(11)) < 100);
  }
}

TEST_CASE("priority budget") {
  auto budget = priority_budget::create({.capacity = 1000, .refill_rate = 10}).value();
  const time_point now{seconds(1000)};
  SECTION("grants the highest affordable priority, then the default one") {
    CHECK(budget.spend("w", 3, 300, now) == 3);
    CHECK(budget.spend("w", 3, 100, now) == 1);
    CHECK(budget.spend("w", 3, 100, now) == 0);
    SECTION("grants priority again after a refill") {
      CHECK(budget.spend("w", 3, 100, now + seconds(30)) == 3);
      CHECK(budget.available("w", now + seconds(10000)) == 1000);
    }
    SECTION("does not affect other workspaces") {
      CHECK(budget.spend("v", 2, 100, now) == 2);
    }
  }
}

} // namespace boragedoor::admission
