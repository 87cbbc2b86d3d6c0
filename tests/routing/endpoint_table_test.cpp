#include "routing/endpoint_table.h"

#include "support/property.h"

namespace boragedoor::routing {

TEST_CASE("endpoint table") {
  endpoint_table table;
  endpoint it;
  it.id = "e1";
  it.max_running = 8;
  REQUIRE(table.put(it));
  const time_point t0{seconds(100)};

  SECTION("rejects an endpoint without an id or without running slots") {
    CHECK_FALSE(table.put(endpoint{}));
    it.max_running = 0;
    CHECK_FALSE(table.put(it));
  }
  SECTION("adds dispatches to an older report") {
    table.update_load("e1", {t0, 3, 1});
    table.record_dispatch("e1", t0 + seconds(1));
    CHECK(table.outstanding("e1") == 5);
    SECTION("does not add dispatches to a report that includes them") {
      table.update_load("e1", {t0 + seconds(2), 2, 0});
      CHECK(table.outstanding("e1") == 2);
      SECTION("ignores an older report that arrives late") {
        table.update_load("e1", {t0 + seconds(1), 8, 8});
        CHECK(table.outstanding("e1") == 2);
      }
    }
    SECTION("subtracts completions from an older report") {
      table.record_completion("e1", t0 + seconds(2));
      CHECK(table.outstanding("e1") == 4);
    }
  }
  SECTION("ignores the completion of a request from before the endpoint was removed and re-added") {
    table.remove("e1");
    REQUIRE(table.put(it));
    table.record_completion("e1", t0);
    table.record_dispatch("e1", t0);
    CHECK(table.outstanding("e1") == 1);
  }
}

TEST_CASE("endpoint table corrects reported load exactly") {
  testing::check_property("outstanding equals the true count for any report lag", [] {
    endpoint_table table;
    endpoint it;
    it.id = "e";
    RC_ASSERT(bool(table.put(it)));
    std::vector<int> truth{0};
    time_point now{};
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
    for (const int step : steps) {
      now += seconds(1);
      int open = truth.back();
      if (step == 0 && open > 0) {
        table.record_completion("e", now);
        open -= 1;
      } else if (step == 3) {
        const auto at = *rc::gen::inRange<std::size_t>(0, truth.size());
        table.update_load("e", {time_point{seconds(at)}, truth[at], 0});
      } else {
        table.record_dispatch("e", now);
        open += 1;
      }
      truth.push_back(open);
      RC_ASSERT(table.outstanding("e") == open);
    }
  });
}

} // namespace boragedoor::routing
