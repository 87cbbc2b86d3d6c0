#include "usage/usage_window.h"

#include <algorithm>

#include "support/property.h"
#include "usage/naive_usage_window.h"
#include "usage/usage_simulation.h"

namespace boragedoor::usage {

namespace {

const usage_source source{"i1", "b1"};
const usage_key online{"north", "online", 0};
constexpr usage_figures one{1, 10, 20, 30};

template <class T>
std::vector<T> only(const actions& out) {
  std::vector<T> list;
  for (const action& it : out) {
    if (const auto* found = std::get_if<T>(&it)) {
      list.push_back(*found);
    }
  }
  return list;
}

wall_time at(std::uint64_t window) {
  return wall_time(seconds(60) * static_cast<std::int64_t>(window));
}

} // namespace

TEST_CASE("an instance counts usage") {
  usage_counter counter = usage_counter::create(source, seconds(60));
  const std::uint32_t shard = shard_of("north");
  counter.record({}, at(5), online, one);
  const auto flushes = counter.flush({});
  REQUIRE(flushes.size() == 1);
  CHECK(flushes[0].windows.at(5).at(online) == one);

  SECTION("and repeats it until the holder confirms") {
    REQUIRE(counter.flush({}).size() == 1);
    counter.merged({}, {source, shard, 2, 0});
    CHECK(counter.flush({}).empty());
    CHECK_FALSE(counter.unconfirmed());
    SECTION("and again for a new holder, whose first answer shows its token") {
      counter.merged({}, {source, shard, 2, 9});
      CHECK(counter.flush({}).size() == 1);
      SECTION("but not for a late answer of the old one") {
        counter.merged({}, {source, shard, 99, 0});
        CHECK(counter.unconfirmed());
      }
    }
    SECTION("and asks again in case the notice of freezing was lost") {
      CHECK(counter.flush(time_point(seconds(31))).size() == 1);
    }
  }
  SECTION("and moves what a frozen window does not contain to the next one, marked late") {
    counter.record({}, at(5), online, one);
    const usage_table rest = counter.frozen({}, {source, shard, 5, {{online, one}}});
    CHECK(rest.at(online) == one);
    const auto next = counter.flush({});
    REQUIRE(next.size() == 1);
    REQUIRE(next[0].windows.size() == 1);
    CHECK(next[0].windows.at(6).at({"north", "online", 5}) == one);
    SECTION("once, however often it is told") {
      CHECK(counter.frozen({}, {source, shard, 5, {}}).empty());
    }
    SECTION("and so with later usage of that window") {
      counter.record({}, at(5), online, one);
      CHECK(counter.flush({})[0].windows.at(6).at({"north", "online", 5}).requests == 2);
    }
    SECTION("keeping the first mark when the next one is frozen, too") {
      counter.frozen({}, {source, shard, 6, {}});
      CHECK(counter.flush({})[0].windows.at(7).at({"north", "online", 5}) == one);
    }
  }
}

TEST_CASE("the holder of a usage shard") {
  const std::uint32_t shard = shard_of("north");
  usage_window window = usage_window::create(shard, 9, {});
  time_point now{};
  const auto read = only<store_get>(window.start(now));
  REQUIRE(read.size() == 1);
  const auto claim =
      only<store_put>(window.finish_read(now, {read[0].call, read_outcome::missing, {}, 0}));
  REQUIRE(claim.size() == 1);
  window.finish_write(now, {claim[0].call, write_outcome::ok, 1});
  const usage_flush flush{source, shard, 2, {{5, {{online, one}}}}};
  CHECK(only<usage_flush_merged>(window.flush(now, flush)).size() == 1);

  const auto checkpoint = [&] {
    now += seconds(5);
    const auto puts = only<store_put>(window.tick(now, at(5), false));
    REQUIRE(puts.size() == 1);
    CHECK(puts[0].expect_version == 1);
    window.finish_write(now, {puts[0].call, write_outcome::ok, 2});
  };
  SECTION("ignores repeated and older flushes") {
    window.flush(now, flush);
    window.flush(now, {source, shard, 1, {{5, {}}}});
    CHECK(total(window.state().open.at(5)).at(online) == one);
  }
  SECTION("freezes nothing before the grace and the wait after takeover have passed") {
    checkpoint();
    CHECK(only<store_put>(window.tick(now, at(6) + seconds(4), true)).empty());
    CHECK(only<store_put>(window.tick(time_point(seconds(2)), at(6) + seconds(6), true)).empty());
    CHECK(only<store_put>(window.tick(now, at(6) + seconds(6), true)).size() == 1);
  }
  SECTION("freezes nothing that the next holder would not know of") {
    now += seconds(4);
    CHECK(only<store_put>(window.tick(now, at(6) + seconds(6), true)).empty());
  }
  SECTION("freezes a window and reports exactly the frozen figures") {
    checkpoint();
    auto puts = only<store_put>(window.tick(now, at(6) + seconds(5), false));
    const auto freeze = std::ranges::find(puts, frozen_key(5, shard), &store_put::key);
    REQUIRE(freeze != puts.end());
    CHECK(freeze->expect_version == 0);
    window.flush(now, {source, shard, 3, {{5, {{online, {2, 20, 40, 60}}}}}});
    const auto told =
        only<usage_window_frozen>(window.finish_write(now, {freeze->call, write_outcome::ok, 7}));
    REQUIRE(told.size() == 1);
    CHECK(told[0].included.at(online) == one);
    SECTION("only while it may report") {
      CHECK(only<send_report>(window.tick(now, at(7), false)).empty());
    }
    SECTION("with the same body after a lost answer") {
      const auto first = only<send_report>(window.tick(now, at(7), true));
      REQUIRE(first.size() == 1);
      window.finish_report(now, first[0].report_id, false);
      CHECK(only<send_report>(window.tick(now, at(7), true)).empty());
      const auto again = only<send_report>(window.tick(now + seconds(2), at(7), true));
      REQUIRE(again.size() == 1);
      CHECK(again[0].body == first[0].body);
      CHECK(first[0].body.find("\"requests\":1") != std::string::npos);
    }
    SECTION("and answers a late flush with what is included") {
      CHECK(only<usage_window_frozen>(window.flush(now, flush)).size() == 1);
    }
  }
  SECTION("reports the figures of another holder that froze the window first") {
    checkpoint();
    auto puts = only<store_put>(window.tick(now, at(6) + seconds(5), true));
    const auto freeze = std::ranges::find(puts, frozen_key(5, shard), &store_put::key);
    const auto reads =
        only<store_get>(window.finish_write(now, {freeze->call, write_outcome::conflict, 3}));
    REQUIRE(reads.size() == 1);
    const frozen_window theirs{shard, 5, report_id(5, shard), {}};
    const auto told = only<usage_window_frozen>(
        window.finish_read(now, {reads[0].call, read_outcome::found, to_text(theirs), 3}));
    REQUIRE(told.size() == 1);
    CHECK(told[0].included.empty());
    CHECK(only<send_report>(window.tick(now, at(7), true))[0].body == report_body(theirs));
  }
}

TEST_CASE("each fact is in exactly one frozen window and every report shows frozen figures") {
  testing::fault_counts counts;
  testing::check_property("under losses, repeats, restarts, pauses and takeovers", [&] {
    const auto seed =
        *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()).as("seed");
    usage_simulation run(seed, counts);
    run.run(3000);
    for (const std::string& it : run.violations()) {
      RC_FAIL(it);
    }
    RC_ASSERT(run.settled());
  });
  counts.print("usage");
}

TEST_CASE("the checker finds what the naive usage window does wrong") {
  usage_checker checker;
  const std::uint32_t shard = shard_of("north");
  checker.recorded(source, 5, online, one);
  naive_usage_window naive = naive_usage_window::create(shard);
  const usage_flush flush{source, shard, 1, {{5, {{online, one}}}}};
  naive.flush({}, flush);
  const frozen_window right{shard, 5, report_id(5, shard), {{source, {1, {{online, one}}}}}};
  checker.reported(report_id(5, shard), naive.report({}, 5));
  SECTION("without faults it is right") {
    checker.finish({right});
    CHECK(checker.violations().empty());
  }
  SECTION("a repeated flush counts again, and the repeated report has other figures") {
    naive.flush({}, flush);
    checker.reported(report_id(5, shard), naive.report({}, 5));
    CHECK(checker.violations().size() == 1);
  }
  SECTION("a new holder reports other figures") {
    naive = naive_usage_window::create(shard);
    checker.reported(report_id(5, shard), naive.report({}, 5));
    CHECK(checker.violations().size() == 1);
  }
  SECTION("a fact in two windows is noticed") {
    frozen_window again{
        shard, 6, report_id(6, shard), {{source, {2, {{{"north", "online", 5}, one}}}}}};
    checker.reported(again.report_id, report_body(again));
    checker.finish({right, again});
    CHECK(checker.violations().size() == 1);
  }
  SECTION("a fact in no window is noticed") {
    checker.finish({});
    CHECK(checker.violations().size() == 1);
  }
}

} // namespace boragedoor::usage
