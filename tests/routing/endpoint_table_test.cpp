#include "routing/endpoint_table.h"

#include "support/property.h"

namespace boragedoor::routing {

TEST_CASE("the endpoint table") {
  endpoint_table table;
  endpoint it;
  it.id = "e1";
  it.max_running = 8;
  REQUIRE(table.put(it));
  const time_point t0{seconds(100)};

  SECTION("refuses endpoints that could not be addressed or never run anything") {
    CHECK_FALSE(table.put(endpoint{}));
    it.max_running = 0;
    CHECK_FALSE(table.put(it));
  }
  SECTION("adds own dispatches to a report that is older than they are") {
    table.report("e1", {t0, 3, 1});
    table.note_dispatch("e1", t0 + seconds(1));
    CHECK(table.outstanding("e1") == 5);
    SECTION("and not to one that includes them") {
      table.report("e1", {t0 + seconds(2), 2, 0});
      CHECK(table.outstanding("e1") == 2);
      SECTION("and an older report that arrives late changes nothing") {
        table.report("e1", {t0 + seconds(1), 8, 8});
        CHECK(table.outstanding("e1") == 2);
      }
    }
    SECTION("and takes own completions off") {
      table.note_finish("e1", t0 + seconds(2));
      CHECK(table.outstanding("e1") == 4);
    }
  }
  SECTION("does not count a completion for an endpoint that came back under its id") {
    table.remove("e1");
    REQUIRE(table.put(it));
    table.note_finish("e1", t0);
    table.note_dispatch("e1", t0);
    CHECK(table.outstanding("e1") == 1);
  }
}

TEST_CASE("the load correction is exact when reports are") {
  testing::check_property("outstanding equals the true count under any lag of the reports", [] {
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
        table.note_finish("e", now);
        open -= 1;
      } else if (step == 3) {
        const auto at = *rc::gen::inRange<std::size_t>(0, truth.size());
        table.report("e", {time_point{seconds(at)}, truth[at], 0});
      } else {
        table.note_dispatch("e", now);
        open += 1;
      }
      truth.push_back(open);
      RC_ASSERT(table.outstanding("e") == open);
    }
  });
}

} // namespace boragedoor::routing
