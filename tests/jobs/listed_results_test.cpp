#include "jobs/listed_results.h"

#include <catch2/catch.hpp>

#include "jobs/group_tally.h"
#include "jobs/listing_schedule.h"

namespace boragedoor::jobs {

namespace {

std::vector<item_result> make_results(const std::vector<std::string>& ids, std::size_t bytes) {
  std::vector<item_result> list;
  list.reserve(ids.size());
  for (const std::string& id : ids) {
    list.push_back({id, item_state::done, std::string(bytes, 'x'), {1}, "s"});
  }
  return list;
}

} // namespace

// Guards against a position that yields different results, or none, when it is read again.
TEST_CASE("listed results are served from memory") {
  listed_results listed(2, 100);
  CHECK(listed.end() == 2);
  listed.append(make_results({"a", "b", "c"}, 20));
  CHECK(listed.end() == 5);

  SECTION("by position and in pages") {
    REQUIRE(listed.read(2, 1000));
    CHECK(listed.read(2, 1000)->size() == 3);
    CHECK(listed.read(4, 1000)->at(0).id == "c");
    CHECK(listed.read(5, 1000)->empty());
    CHECK(listed.read(2, 45)->size() == 2);
    // A result that is larger than a page is returned alone.
    CHECK(listed.read(2, 1)->size() == 1);
  }
  SECTION("but not those that were listed before this runner started") {
    CHECK_FALSE(listed.read(1, 1000));
  }
  SECTION("until the size limit evicts them, oldest first") {
    listed.append(make_results({"d", "e", "f"}, 20));
    CHECK(listed.end() == 8);
    CHECK_FALSE(listed.read(2, 1000));
    CHECK(listed.read(3, 1000)->size() == 5);
  }
}

TEST_CASE("a group is complete when its last item is finished") {
  std::vector<job_item> items(5);
  for (std::size_t n = 0; n < items.size(); ++n) {
    items[n].group = std::string(1, n < 3 ? 'g' : 'h');
  }
  group_tally tally(items);
  CHECK(tally.group_count() == 2);
  tally.mark_finished(3);
  CHECK_FALSE(tally.is_complete(4));
  tally.mark_finished(4);
  CHECK(tally.is_complete(3));
  CHECK_FALSE(tally.is_complete(0));
  CHECK(tally.complete_group_count() == 1);
}

// Guards against a step that is taken for complete, and its last results listed late, while the
// trainer waits for a group that it has carried over from an earlier step.
TEST_CASE("a step is complete when enough groups are, and all those that the trainer requires") {
  // Three groups of two items; the trainer waits for two of them.
  std::vector<job_item> items(6);
  for (std::size_t n = 0; n < items.size(); ++n) {
    items[n].group = std::to_string(n / 2);
  }
  group_tally tally(items);
  constexpr std::size_t desired = 2;
  const auto finish_group = [&tally](std::size_t group) {
    tally.mark_finished(2 * group);
    tally.mark_finished(2 * group + 1);
  };
  CHECK(tally.progress(desired) == step_progress::generating);

  SECTION("any groups, if none is required") {
    finish_group(1);
    CHECK(tally.progress(desired) == step_progress::generating);
    finish_group(2);
    CHECK(tally.progress(desired) == step_progress::complete);
  }
  SECTION("a required group among them") {
    tally.require(0);
    CHECK(tally.is_required(1));
    CHECK_FALSE(tally.is_required(2));
    finish_group(1);
    finish_group(2);
    CHECK(tally.progress(desired) == step_progress::generating);
    tally.mark_generated(0);
    tally.mark_generated(1);
    CHECK(tally.progress(desired) == step_progress::scoring);
    finish_group(0);
    CHECK(tally.progress(desired) == step_progress::complete);
  }
  SECTION("it lacks only scores once the texts of enough groups are complete") {
    finish_group(1);
    tally.mark_generated(4);
    tally.mark_generated(5);
    CHECK(tally.progress(desired) == step_progress::scoring);
  }
}

TEST_CASE("results are listed after a short delay if the reader does not wait for groups") {
  const time_point start{seconds(10)};
  const listing_schedule schedule(start);
  const unlisted_results partial{.any = true, .oldest = start, .has_complete_group = false};
  CHECK_FALSE(schedule.is_due({}, false, step_progress::generating, seconds(5), start));
  CHECK_FALSE(schedule.is_due(partial, false, step_progress::generating, seconds(5),
                              start + milliseconds(999)));
  CHECK(schedule.is_due(partial, false, step_progress::generating, seconds(5), start + seconds(1)));
}

// Load: the longest texts of a step have the same length limit, end together shortly before or
// after the step is due, and their scores follow within a tenth of a second. Guards against a
// listing just before that: the trainer reads it, pauses for half a second and ends the step that
// much later.
TEST_CASE("nothing is listed shortly before a step is complete") {
  const time_point start{seconds(10)};
  constexpr duration due = milliseconds(7500);
  listing_schedule schedule(start);
  const unlisted_results group{.any = true, .oldest = start, .has_complete_group = true};
  const auto is_due_at = [&](duration passed, step_progress progress) {
    return schedule.is_due(group, true, progress, due - passed, start + passed);
  };
  schedule.listed(step_progress::generating, start + seconds(3));
  CHECK(is_due_at(milliseconds(5500), step_progress::generating));
  schedule.listed(step_progress::generating, start + milliseconds(4500));

  SECTION("not in the time before the step is due") {
    CHECK_FALSE(is_due_at(seconds(7), step_progress::generating));
    CHECK(is_due_at(milliseconds(7750), step_progress::generating));
  }
  SECTION("not while the step lacks only scores") {
    CHECK_FALSE(is_due_at(milliseconds(7200), step_progress::scoring));
    CHECK_FALSE(is_due_at(milliseconds(7750), step_progress::scoring));
    CHECK(is_due_at(milliseconds(7900), step_progress::scoring));
  }
  SECTION("at once when it is complete, whatever was listed before") {
    schedule.listed(step_progress::generating, start + milliseconds(7760));
    CHECK(is_due_at(milliseconds(7770), step_progress::complete));
    schedule.listed(step_progress::complete, start + milliseconds(7770));
    CHECK_FALSE(is_due_at(milliseconds(7800), step_progress::complete));
    CHECK(is_due_at(milliseconds(7890), step_progress::complete));
  }
  SECTION("and a read that ends in this time may wait for the listing") {
    CHECK(schedule.is_due_within(milliseconds(300), milliseconds(-150)));
    CHECK_FALSE(schedule.is_due_within(milliseconds(300), milliseconds(50)));
    CHECK_FALSE(schedule.is_due_within(milliseconds(300), milliseconds(-400)));
  }
}

} // namespace boragedoor::jobs
