#include "requests/crash_suspects.h"

#include "requests/crash_simulation.h"
#include "requests/naive_crash_suspects.h"
#include "support/property.h"

namespace boragedoor::requests {

namespace {

const wall_time start{std::chrono::hours(5)};
const time_point settled{seconds(10)};
using names = std::vector<std::string>;

} // namespace

TEST_CASE("requests that were running at a crash") {
  crash_suspects suspects = crash_suspects::create({});
  suspects.record_crash({}, start, "e1", "a", names{"x", "y"});
  CHECK(suspects.suspect("x"));
  CHECK_FALSE(suspects.held("x"));

  SECTION("do not run with another suspect, and others run anywhere") {
    CHECK_FALSE(may_place(suspects, "x", names{"z", "y"}));
    CHECK(may_place(suspects, "x", names{"z"}));
    CHECK(may_place(suspects, "z", names{"x"}));
  }
  SECTION("are quarantined at a second crash as the only suspect, once others could report") {
    suspects.record_crash({}, start + seconds(1), "e2", "b", names{"x", "z"});
    CHECK(suspects.held("x"));
    CHECK_FALSE(may_place(suspects, "x", {}));
    CHECK_FALSE(suspects.quarantined({}, "x"));
    CHECK(suspects.quarantined(settled, "x"));
    CHECK_FALSE(suspects.held("y"));
    CHECK_FALSE(suspects.held("z"));
    SECTION("on every instance that hears of it") {
      crash_suspects other = crash_suspects::create({});
      other.merge({}, start + seconds(1), suspects.records());
      CHECK(other.quarantined(settled, "x"));
      CHECK_FALSE(other.held("y"));
    }
    SECTION("until the records expire") {
      suspects.expire(settled, start + std::chrono::hours(2));
      CHECK(suspects.size() == 0);
      CHECK_FALSE(suspects.suspect("x"));
    }
  }
  SECTION("are not when two suspects shared the second crash, until a third tells them apart") {
    suspects.record_crash({}, start + seconds(1), "e2", "b", names{"x", "y"});
    CHECK_FALSE(suspects.held("x"));
    suspects.record_crash({}, start + seconds(2), "e3", "c", names{"x"});
    CHECK(suspects.held("x"));
    CHECK_FALSE(suspects.held("y"));
  }
  SECTION("run again only when every instance had time to move its suspects apart") {
    CHECK_FALSE(suspects.is_settled({}));
    CHECK_FALSE(suspects.is_settled(time_point(milliseconds(249))));
    CHECK(suspects.is_settled(time_point(milliseconds(250))));
    suspects.record_crash(settled, start + seconds(1), "e2", "b", names{"x"});
    CHECK_FALSE(suspects.is_settled(settled));
  }
  SECTION("get an endpoint each, the same on all instances") {
    const names endpoints = {"e1", "e2", "e3"};
    const auto of_x = suspect_endpoint(suspects, "x", endpoints);
    REQUIRE(of_x);
    CHECK(of_x != suspect_endpoint(suspects, "y", endpoints));
    CHECK_FALSE(suspect_endpoint(suspects, "x", {}));
    suspects.record_crash({}, start + seconds(1), "e9", "b", names{"w"});
    CHECK(suspect_endpoint(suspects, "x", endpoints) == of_x);
  }
  SECTION("count one crash once, whoever reports it") {
    const auto again = suspects.record_crash({}, start + seconds(1), "e1", "a", names{"x"});
    CHECK(again.empty());
    CHECK_FALSE(suspects.held("x"));
  }
}

TEST_CASE("crash records are bounded") {
  suspect_options options;
  options.capacity = 10;
  crash_suspects suspects = crash_suspects::create(options);
  for (int n = 0; n < 100; ++n) {
    suspects.record_crash({}, start + seconds(n), "e", std::to_string(n), names{"x", "y"});
  }
  CHECK(suspects.size() == 10);
  SECTION("and those from far ahead or long ago are refused") {
    const std::vector<crash_record> odd = {{"f", "e", "i", start + std::chrono::hours(9)},
                                           {"f", "e", "i", start - std::chrono::hours(2)}};
    CHECK(suspects.merge({}, start + seconds(100), odd).empty());
  }
  SECTION("and a malformed list is refused as a whole") {
    CHECK_FALSE(crash_records_from_json(json{{{"fingerprint", "f"}}}));
    CHECK_FALSE(crash_records_from_json(json::object()));
  }
}

TEST_CASE("the request that crashes endpoints is quarantined and innocent ones never are") {
  testing::fault_counts counts;
  const auto seed = [] {
    return *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()).as("seed");
  };
  testing::check_property(
      "after two crashes when records arrive at once and suspects are fewer than endpoints", [&] {
        crash_simulation run(seed(), 12, duration::zero(), counts);
        run.run(400);
        for (const std::string& it : run.violations()) {
          RC_FAIL(it);
        }
        RC_ASSERT(run.crashes() == 2U);
      });
  testing::check_property("soon after when records are delayed and repeated", [&] {
    crash_simulation run(seed(), 4, milliseconds(1900), counts);
    run.run(1000);
    for (const std::string& it : run.violations()) {
      RC_FAIL(it);
    }
  });
  counts.print("crash suspects");
}

TEST_CASE("the naive rule quarantines an innocent request and forgets to tell") {
  naive_crash_suspects one;
  const naive_crash_suspects two;
  one.record_crash({}, "e1", "a", names{"x", "y"});
  one.record_crash({}, "e2", "b", names{"x", "y"});
  CHECK(one.quarantined("y"));
  CHECK_FALSE(two.quarantined("x"));
  crash_suspects suspects = crash_suspects::create({});
  suspects.record_crash({}, start, "e1", "a", names{"x", "y"});
  suspects.record_crash({}, start + seconds(1), "e2", "b", names{"x", "y"});
  CHECK_FALSE(suspects.held("y"));
}

} // namespace boragedoor::requests
