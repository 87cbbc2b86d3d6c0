#include "duties/usage_tally.h"

#include <catch2/catch.hpp>

namespace boragedoor::duties {

TEST_CASE("a request is counted in the window in which it started to run") {
  usage_tally tally(seconds(5));
  tally.count("north", wall_time(seconds(10)));
  tally.count("north", wall_time(milliseconds(14'999)));
  tally.count("south", wall_time(seconds(15)));

  CHECK(window_of(wall_time(seconds(14)), seconds(5)) == 2);
  CHECK(end_of_window(2, seconds(5)) == wall_time(seconds(15)));
  CHECK(tally.ended_windows(wall_time(milliseconds(14'999))).empty());
  CHECK(tally.ended_windows(wall_time(seconds(15))) == std::vector<std::uint64_t>{2});
  CHECK(tally.counts(2) == usage_counts{{"north", 2}});
  tally.erase_window(2);
  CHECK(tally.counts(2).empty());
  CHECK(tally.ended_windows(wall_time(seconds(20))) == std::vector<std::uint64_t>{3});
}

TEST_CASE("usage counts are added up, and decoding their document restores them") {
  usage_counts sum = {{"north", 2}};
  add(sum, {{"north", 1}, {"south", 4}});
  CHECK(sum == usage_counts{{"north", 3}, {"south", 4}});
  CHECK(usage_counts_from_document(to_document(sum)).value() == sum);
  CHECK_FALSE(usage_counts_from_document("x"));
}

} // namespace boragedoor::duties
