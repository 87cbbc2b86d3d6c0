#include "admission/fair_share.h"

#include <numeric>

#include "admission/priority_budget.h"
#include "support/property.h"

namespace boragedoor::admission {

namespace {

// Water-filling by many small pours: each goes to the least filled one that wants more.
std::vector<double> pour(double capacity, const std::vector<share_demand>& demands, double drop) {
  std::vector<double> out(demands.size(), 0);
  const int drops = static_cast<int>(capacity / drop);
  for (int n = 0; n < drops; ++n) {
    std::size_t lowest = demands.size();
    for (std::size_t i = 0; i < demands.size(); ++i) {
      if (out[i] + drop <= demands[i].demand + 1e-9 &&
          (lowest == demands.size() ||
           out[i] / demands[i].weight < out[lowest] / demands[lowest].weight)) {
        lowest = i;
      }
    }
    if (lowest == demands.size()) {
      break;
    }
    out[lowest] += drop;
  }
  return out;
}

std::vector<share_demand> any_demands() {
  std::vector<share_demand> demands(*rc::gen::inRange<std::size_t>(1, 7));
  for (share_demand& it : demands) {
    it.demand = *rc::gen::inRange(0, 60);
    it.weight = *rc::gen::inRange(1, 5);
  }
  return demands;
}

} // namespace

TEST_CASE("max-min shares") {
  testing::check_property("equal water-filling by small pours", [] {
    const auto demands = any_demands();
    const double capacity = *rc::gen::inRange(0, 120);
    const auto shares = max_min_shares(capacity, demands);
    const auto poured = pour(capacity, demands, 0.05);
    for (std::size_t i = 0; i < demands.size(); ++i) {
      RC_ASSERT(std::abs(shares[i] - poured[i]) < 0.5);
    }
  });
  testing::check_property("serving the worst served first converges to them", [] {
    auto shares = fair_share::create({}).value();
    const auto demands = any_demands();
    const std::vector<std::string> names{"a", "b", "c", "d", "e", "f"};
    double total = 0;
    std::vector<double> got(demands.size(), 0);
    for (std::size_t i = 0; i < demands.size(); ++i) {
      shares.set_weight(names[i], demands[i].weight);
      total += demands[i].demand;
    }
    const double capacity = std::floor(total * 0.7);
    for (int n = 0; n < static_cast<int>(capacity); ++n) {
      std::vector<std::string_view> waiting;
      for (std::size_t i = 0; i < demands.size(); ++i) {
        if (got[i] < demands[i].demand) {
          waiting.emplace_back(names[i]);
        }
      }
      const auto next = shares.worst_served(waiting, time_point{});
      const auto index = static_cast<std::size_t>(next[0] - 'a');
      got[index] += 1;
      shares.record_use(next, 1, time_point{});
    }
    const auto wanted = max_min_shares(capacity, demands);
    for (std::size_t i = 0; i < demands.size(); ++i) {
      RC_ASSERT(std::abs(got[i] - wanted[i]) <= static_cast<double>(demands.size()));
    }
  });
}

TEST_CASE("served shares") {
  auto shares = fair_share::create({}).value();
  const time_point now{seconds(1000)};
  shares.set_weight("big", 4);
  shares.record_use("big", 400, now);
  shares.record_use("small", 150, now);
  SECTION("are relative to the weights") {
    CHECK(shares.served("big", now) == Approx(100));
    CHECK(shares.worst_served(std::vector<std::string_view>{"small", "big"}, now) == "big");
  }
  SECTION("decay, so that old use is forgiven") {
    CHECK(shares.served("small", now + seconds(60)) == Approx(150 / 2.71828).epsilon(0.01));
  }
  SECTION("include the rest of the fleet while its estimate is fresh") {
    shares.set_fleet_use("big", 4000, now);
    CHECK(shares.worst_served(std::vector<std::string_view>{"small", "big"}, now) == "small");
    CHECK(shares.served("big", now + seconds(11)) < 100);
  }
}

TEST_CASE("the priority budget") {
  auto budget = priority_budget::create({.capacity = 1000, .refill = 10}).value();
  const time_point now{seconds(1000)};
  SECTION("grants what is affordable and then ordinary service") {
    CHECK(budget.spend("w", 3, 300, now) == 3);
    CHECK(budget.spend("w", 3, 100, now) == 1);
    CHECK(budget.spend("w", 3, 100, now) == 0);
    SECTION("until it refills") {
      CHECK(budget.spend("w", 3, 100, now + seconds(30)) == 3);
      CHECK(budget.available("w", now + seconds(10000)) == 1000);
    }
    SECTION("without touching other workspaces") {
      CHECK(budget.spend("v", 2, 100, now) == 2);
    }
  }
}

} // namespace boragedoor::admission
