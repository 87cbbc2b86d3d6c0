#include "jobs/partial_text_cache.h"

#include <catch2/catch.hpp>

namespace boragedoor::jobs {

namespace {

constexpr time_point start{seconds(100)};

item_progress make_text(const std::string& id, std::vector<std::uint64_t> versions,
                        std::size_t bytes = 100) {
  return {id, std::string(bytes, 'x'), 90, std::move(versions), "s/v1"};
}

job make_job(std::uint64_t minimum_version, const std::vector<std::string>& ids) {
  job it;
  it.workspace = "north";
  it.minimum_version = minimum_version;
  for (const std::string& id : ids) {
    it.items.emplace_back().id = id;
  }
  return it;
}

} // namespace

// Guards against a step that regenerates the longest texts of the previous step, because their
// partial texts were dropped when that step ended.
TEST_CASE("partial texts of an ended job are reused by a later job") {
  partial_text_cache texts({.retention = seconds(20), .max_bytes = 1000});
  const std::vector<item_progress> leftover_texts = {make_text("a", {4}), make_text("b", {3, 4}),
                                                     make_text("c", {4, 5})};
  texts.add("north", leftover_texts, start);

  SECTION("if the later job accepts all of their weight versions") {
    const auto carried = texts.take(make_job(4, {"c", "x", "b", "a"}), start + seconds(1));
    const auto& taken = carried.texts;
    // The trainer waits for their groups, whether or not their texts can be continued.
    CHECK(carried.unfinished == std::vector<std::size_t>{0, 2, 3});
    REQUIRE(taken.size() == 2);
    CHECK(taken[0].id == "c");
    CHECK(taken[0].last_event == 90);
    CHECK(taken[1].id == "a");
    // Texts that were taken or rejected are removed: no later step can use them.
    CHECK(texts.size() == 0);
  }
  SECTION("if they come from one version, for a job that requires a single version") {
    job single = make_job(4, {"a", "c"});
    single.single_version = true;
    const auto taken = texts.take(single, start).texts;
    REQUIRE(taken.size() == 1);
    CHECK(taken[0].id == "a");
  }
  SECTION("but not by a job of another workspace with the same item ids") {
    job foreign = make_job(4, {"a", "c"});
    foreign.workspace = "south";
    CHECK(texts.take(foreign, start).unfinished.empty());
    CHECK(texts.take(make_job(4, {"a"}), start).texts.size() == 1);
  }
  SECTION("but not after the retention time") {
    CHECK(texts.take(make_job(3, {"a"}), start + seconds(20)).unfinished.empty());
    CHECK(texts.size() == 0);
  }
  SECTION("and the oldest are evicted when the size limit is exceeded") {
    const std::vector<item_progress> more = {make_text("d", {4}, 900)};
    texts.add("north", more, start + seconds(1));
    CHECK(texts.size() == 2);
    CHECK(texts.take(make_job(4, {"d"}), start + seconds(1)).texts.size() == 1);
    // A text that is added again replaces the earlier one.
    texts.add("north", leftover_texts, start + seconds(2));
    texts.add("north", leftover_texts, start + seconds(3));
    CHECK(texts.size() == 3);
  }
}

} // namespace boragedoor::jobs
