#include "requests/crash_suspects.h"

#include "requests/crash_simulation.h"
#include "requests/naive_crash_suspects.h"
#include "support/property.h"

namespace boragedoor::requests {

namespace {

const wall_time start{std::chrono::hours(5)};
const time_point after_all_delays{seconds(10)};
using names = std::vector<std::string>;

} // namespace

TEST_CASE("crash_suspects tracks requests that were running at a crash") {
  crash_suspects suspects = crash_suspects::create({});
  suspects.record_crash({}, start, "e1", "a", names{"x", "y"});
  CHECK(suspects.is_suspect("x"));
  CHECK_FALSE(suspects.is_held("x"));

  SECTION("two suspects do not share an endpoint, and other requests run anywhere") {
    CHECK_FALSE(may_place(suspects, "x", names{"z", "y"}));
    CHECK(may_place(suspects, "x", names{"z"}));
    CHECK(may_place(suspects, "z", names{"x"}));
  }
  SECTION("the only suspect at a second crash is quarantined once other instances could report") {
    suspects.record_crash({}, start + seconds(1), "e2", "b", names{"x", "z"});
    CHECK(suspects.is_held("x"));
    CHECK_FALSE(may_place(suspects, "x", {}));
    CHECK_FALSE(suspects.is_quarantined({}, "x"));
    CHECK(suspects.is_quarantined(after_all_delays, "x"));
    CHECK_FALSE(suspects.is_held("y"));
    CHECK_FALSE(suspects.is_held("z"));
    SECTION("instances that receive the records quarantine the request too") {
      crash_suspects other = crash_suspects::create({});
      other.merge({}, start + seconds(1), suspects.records());
      CHECK(other.is_quarantined(after_all_delays, "x"));
      CHECK_FALSE(other.is_held("y"));
    }
    SECTION("expired records end the suspicion") {
      suspects.expire(after_all_delays, start + std::chrono::hours(2));
      CHECK(suspects.size() == 0);
      CHECK_FALSE(suspects.is_suspect("x"));
    }
  }
  SECTION(
      "two suspects that shared both crashes are held only after a third crash separates them") {
    suspects.record_crash({}, start + seconds(1), "e2", "b", names{"x", "y"});
    CHECK_FALSE(suspects.is_held("x"));
    suspects.record_crash({}, start + seconds(2), "e3", "c", names{"x"});
    CHECK(suspects.is_held("x"));
    CHECK_FALSE(suspects.is_held("y"));
  }
  SECTION("suspects are paused until every instance had time to move them apart") {
    CHECK_FALSE(suspects.separation_delay_passed({}));
    CHECK_FALSE(suspects.separation_delay_passed(time_point(milliseconds(249))));
    CHECK(suspects.separation_delay_passed(time_point(milliseconds(250))));
    suspects.record_crash(after_all_delays, start + seconds(1), "e2", "b", names{"x"});
    CHECK_FALSE(suspects.separation_delay_passed(after_all_delays));
  }
  SECTION("each suspect is assigned its own endpoint, which later suspects do not change") {
    const names endpoints = {"e1", "e2", "e3"};
    const auto of_x = suspect_endpoint(suspects, "x", endpoints);
    REQUIRE(of_x);
    CHECK(of_x != suspect_endpoint(suspects, "y", endpoints));
    CHECK_FALSE(suspect_endpoint(suspects, "x", {}));
    suspects.record_crash({}, start + seconds(1), "e9", "b", names{"w"});
    CHECK(suspect_endpoint(suspects, "x", endpoints) == of_x);
  }
  SECTION("a crash that is reported twice counts once") {
    const auto again = suspects.record_crash({}, start + seconds(1), "e1", "a", names{"x"});
    CHECK(again.empty());
    CHECK_FALSE(suspects.is_held("x"));
  }
}

TEST_CASE("crash_suspects limits the number of its records") {
  suspect_options options;
  options.capacity = 10;
  crash_suspects suspects = crash_suspects::create(options);
  for (int n = 0; n < 100; ++n) {
    suspects.record_crash({}, start + seconds(n), "e", std::to_string(n), names{"x", "y"});
  }
  CHECK(suspects.size() == 10);
  SECTION("records far in the future or past are rejected") {
    const std::vector<crash_record> odd = {{"f", "e", "i", start + std::chrono::hours(9)},
                                           {"f", "e", "i", start - std::chrono::hours(2)}};
    CHECK(suspects.merge({}, start + seconds(100), odd).empty());
  }
  SECTION("a malformed list of records is rejected as a whole") {
    CHECK_FALSE(crash_records_from_json(json{{{"fingerprint", "f"}}}));
    CHECK_FALSE(crash_records_from_json(json::object()));
  }
}

TEST_CASE("crash_suspects quarantines the request that crashes endpoints and no harmless one") {
  testing::fault_counts counts;
  const auto seed = [] {
    return *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()).as("seed");
  };
  testing::check_property(
      "quarantine after two crashes with undelayed records and fewer suspects than endpoints", [&] {
        crash_simulation run(seed(), 12, duration::zero(), counts);
        run.run(400);
        for (const std::string& it : run.violations()) {
          RC_FAIL(it);
        }
        RC_ASSERT(run.crashes() == 2U);
      });
  testing::check_property("quarantine with delayed and repeated records", [&] {
    crash_simulation run(seed(), 4, milliseconds(1900), counts);
    run.run(1000);
    for (const std::string& it : run.violations()) {
      RC_FAIL(it);
    }
  });
  counts.print("crash suspects");
}

TEST_CASE(
    "naive_crash_suspects quarantines a harmless request and does not inform other instances") {
  naive_crash_suspects one;
  const naive_crash_suspects two;
  one.record_crash({}, "e1", "a", names{"x", "y"});
  one.record_crash({}, "e2", "b", names{"x", "y"});
  CHECK(one.is_quarantined("y"));
  CHECK_FALSE(two.is_quarantined("x"));
  crash_suspects suspects = crash_suspects::create({});
  suspects.record_crash({}, start, "e1", "a", names{"x", "y"});
  suspects.record_crash({}, start + seconds(1), "e2", "b", names{"x", "y"});
  CHECK_FALSE(suspects.is_held("y"));
}

} // namespace boragedoor::requests
