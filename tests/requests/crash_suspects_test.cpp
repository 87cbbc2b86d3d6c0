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

// Guards against a request that crashes endpoints being sent to further ones, because it comes
// again at other instances, beside other requests, while the records of its crashes are under way.
TEST_CASE("a crashing request that comes again at any of many instances is held everywhere") {
  constexpr std::size_t instance_count = 60;
  constexpr std::size_t crashes_to_hold = 3;
  constexpr std::size_t allowed_retries = 3;
  constexpr duration settling_time = seconds(3);
  constexpr duration max_delay = milliseconds(1500);
  testing::check_property("few executions after the third crash", [&] {
    random_engine random(
        *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()).as("seed"));
    const auto pick = [&](std::uint64_t n) { return testing::pick(random, n); };
    std::vector<crash_suspects> instances(
        instance_count,
        crash_suspects::create({.crashes_to_hold = crashes_to_hold, .count_shared_crashes = true}));
    struct message {
      std::size_t to;
      time_point at;
      std::vector<crash_record> records;
    };
    std::vector<message> messages;
    time_point now{};
    std::optional<time_point> third_crash;
    std::size_t crashes = 0;
    std::size_t late_retries = 0;
    for (int n = 0; n < 300; ++n) {
      now += milliseconds(pick(200));
      const wall_time wall = start + now.time_since_epoch();
      std::erase_if(messages, [&](const message& it) {
        if (it.at <= now) {
          instances[it.to].merge(now, wall, it.records);
        }
        return it.at <= now;
      });
      const std::size_t at = pick(instance_count);
      if (pick(20) == 0) {
        // The instance starts again and reads the records of the others.
        instances[at] = crash_suspects::create(
            {.crashes_to_hold = crashes_to_hold, .count_shared_crashes = true});
        instances[at].merge(now, wall, instances[(at + 1) % instance_count].records());
      }
      if (instances[at].is_held("crashing")) {
        continue;
      }
      late_retries += third_crash && now - *third_crash >= settling_time ? 1 : 0;
      // Another request runs beside it and is sent again at the same instance, where it completes.
      const std::string sound = "sound" + std::to_string(pick(4));
      RC_ASSERT(!instances[at].is_held(sound));
      const auto records =
          instances[at].record_crash(now, wall, "e" + std::to_string(pick(9)),
                                     std::to_string(++crashes), names{"crashing", sound});
      if (crashes == crashes_to_hold) {
        third_crash = now;
      }
      std::vector<crash_record> shared;
      for (const crash_record& it : records) {
        if (it.fingerprint == sound) {
          instances[at].remove(it);
        } else {
          shared.push_back(it);
        }
      }
      for (std::size_t to = 0; to < instance_count; ++to) {
        messages.push_back(
            {to, now + duration(pick(static_cast<std::uint64_t>(max_delay.count()))), shared});
      }
    }
    RC_ASSERT(third_crash.has_value());
    RC_ASSERT(late_retries <= allowed_retries);
    for (const crash_suspects& it : instances) {
      RC_ASSERT(it.is_held("crashing"));
    }
  });
}

TEST_CASE("crash_suspects can count crashes against all requests that were running") {
  crash_suspects suspects =
      crash_suspects::create({.crashes_to_hold = 3, .count_shared_crashes = true});
  for (int n = 0; n < 2; ++n) {
    suspects.record_crash({}, start + seconds(n), "e", std::to_string(n), names{"x", "y"});
  }
  CHECK_FALSE(suspects.is_held("x"));

  SECTION("two that shared all crashes are both held after the third") {
    suspects.record_crash({}, start + seconds(2), "e", "2", names{"x", "y"});
    CHECK(suspects.is_held("x"));
    CHECK(suspects.is_held("y"));
  }
  SECTION("one whose records are removed after it has completed starts from zero") {
    for (const crash_record& it : suspects.records()) {
      if (it.fingerprint == "y") {
        suspects.remove(it);
        suspects.remove(it);
      }
    }
    CHECK_FALSE(suspects.is_suspect("y"));
    suspects.record_crash({}, start + seconds(2), "e", "2", names{"x", "y"});
    CHECK(suspects.is_held("x"));
    CHECK_FALSE(suspects.is_held("y"));
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
