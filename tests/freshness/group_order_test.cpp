#include "freshness/group_order.h"
#include "freshness/naive_group_order.h"

#include <algorithm>
#include <map>
#include <queue>

#include "support/property.h"

namespace boragedoor::freshness {

namespace {

// Time at which the last of the samples ends when `slots` of them run at once in this order.
double last_end(const std::vector<waiting_sample>& samples, const std::vector<std::size_t>& order,
                int slots) {
  std::priority_queue<double, std::vector<double>, std::greater<>> free;
  for (int i = 0; i < slots; ++i) {
    free.push(0);
  }
  double last = 0;
  for (const std::size_t i : order) {
    const double end = free.top() + samples[i].expected;
    free.pop();
    free.push(end);
    last = std::max(last, end);
  }
  return last;
}

} // namespace

TEST_CASE("order of a step's samples") {
  SECTION("the group with the longest sample starts first, its longest sample ahead") {
    const std::vector<waiting_sample> waiting{
        {"tags", 0, 10}, {"tags", 0, 20}, {"tags", 1, 5}, {"tags", 1, 90}};
    CHECK(group_order(waiting, {}) == std::vector<std::size_t>{3, 2, 1, 0});
    SECTION("but not before one that has started") {
      auto again = waiting;
      again[0].group_started = true;
      CHECK(group_order(again, {}) == std::vector<std::size_t>{1, 0, 3, 2});
    }
  }
  SECTION("trainers take turns, and one with less on the engines comes first") {
    const std::vector<waiting_sample> waiting{
        {"tags", 0, 10}, {"tags", 1, 10}, {"faults", 0, 10}, {"faults", 1, 10}};
    const std::vector<trainer_work> given{{"tags", 0}, {"faults", 15}};
    CHECK(group_order(waiting, given) == std::vector<std::size_t>{0, 1, 2, 3});
    CHECK(group_order(waiting, {}) == std::vector<std::size_t>{2, 0, 3, 1});
  }
}

TEST_CASE("every order holds each sample once") {
  testing::check_property("and ends a step not much later than the naive order", [] {
    std::vector<waiting_sample> waiting;
    const int n = *rc::gen::inRange(0, 60);
    double work = 0;
    double longest = 0;
    for (int i = 0; i < n; ++i) {
      const double expected = *rc::gen::inRange(1, 500);
      waiting.push_back({i % 3 == 0 ? "tags" : "faults", static_cast<std::size_t>(i / 4), expected,
                         *rc::gen::inRange(0, 4) == 0});
      work += expected;
      longest = std::max(longest, expected);
    }
    auto order = group_order(waiting, {});
    constexpr int slots = 4;
    // The bound of list scheduling, which any order that leaves no slot empty keeps to.
    RC_ASSERT(last_end(waiting, order, slots) <= work / slots + longest);
    std::sort(order.begin(), order.end());
    RC_ASSERT(order == naive_group_order(waiting));
  });
}

} // namespace boragedoor::freshness
