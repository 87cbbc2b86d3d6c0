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

TEST_CASE("results are listed after a short delay if the reader does not wait for groups") {
  const time_point start{seconds(10)};
  const listing_schedule schedule(start);
  const unlisted_results partial{.any = true, .oldest = start, .has_complete_group = false};
  CHECK_FALSE(schedule.is_due({}, false, false, seconds(5), start));
  CHECK_FALSE(schedule.is_due(partial, false, false, seconds(5), start + milliseconds(999)));
  CHECK(schedule.is_due(partial, false, false, seconds(5), start + seconds(1)));
}

} // namespace boragedoor::jobs
