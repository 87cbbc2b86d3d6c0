#include "jobs/job_documents.h"

#include <catch2/catch.hpp>

namespace boragedoor::jobs {

namespace {

job make_job() {
  job it;
  it.id = "j1";
  it.workspace = "north";
  it.route = "r";
  it.host = "h.example";
  it.step = 7;
  it.minimum_version = 6;
  it.single_version = true;
  it.desired_groups = 1;
  it.max_attempts = 3;
  it.submitted = wall_time(seconds(1000));
  it.due = wall_time(seconds(1007));
  it.give_up = wall_time(seconds(1040));
  it.items.push_back({.id = "i1",
                      .path = "/p",
                      .headers = {{"Model", "m"}},
                      .body = std::string("\0\xff", 2),
                      .model = "m",
                      .group = "g",
                      .expected_tokens = 40,
                      .reward = reward_call{"w1", "s.example", "/s", "body"}});
  it.items.push_back({.id = "i2",
                      .path = "/p",
                      .headers = {},
                      .body = {},
                      .model = "m",
                      .group = "g",
                      .expected_tokens = 0,
                      .reward = std::nullopt});
  return it;
}

} // namespace

TEST_CASE("decoding a job document restores the job") {
  const job before = make_job();
  const auto after = job_from_document(to_document(before));
  REQUIRE(after);
  const job& it = after.value();
  CHECK(it.id == before.id);
  CHECK(it.minimum_version == 6);
  CHECK(it.single_version);
  CHECK(it.give_up == before.give_up);
  REQUIRE(it.items.size() == 2);
  CHECK(it.items[0].body == before.items[0].body);
  CHECK(it.items[0].headers == before.items[0].headers);
  REQUIRE(it.items[0].reward);
  CHECK(it.items[0].reward->path == "/s");
  CHECK_FALSE(it.items[1].reward);
}

TEST_CASE("decoding documents of results and partial texts restores them") {
  const std::vector<item_result> results = {{"i1", item_state::done, "a\nb", {6, 7}, "sig"},
                                            {"i2", item_state::terminated, "", {}, ""}};
  const auto list = results_from_document(to_document(results));
  REQUIRE(list);
  REQUIRE(list.value().size() == 2);
  CHECK(list.value()[0].text == "a\nb");
  CHECK(list.value()[0].versions == std::vector<std::uint64_t>{6, 7});
  CHECK(list.value()[1].state == item_state::terminated);

  const std::vector<item_progress> partial_texts = {{"i1", "a", 4, {6}, "s/v2"}};
  const auto again = progress_from_document(to_document(partial_texts));
  REQUIRE(again);
  CHECK(again.value().at(0).last_event == 4);
  CHECK(again.value().at(0).software == "s/v2");
  CHECK(again.value().at(0).versions == std::vector<std::uint64_t>{6});
  CHECK_FALSE(again.value().at(0).unverified);

  const std::vector<item_progress> unverified = {
      {"i1", "a", 4, {6}, "s/v2", routing::endpoint_process{"e1", 5}}};
  const auto named = progress_from_document(to_document(unverified));
  REQUIRE(named);
  CHECK(named.value().at(0).unverified == routing::endpoint_process{"e1", 5});
}

TEST_CASE("a malformed document is an error and is not decoded in part") {
  const std::string whole = to_document(make_job());
  for (std::size_t n = 0; n < whole.size(); n += 7) {
    CHECK_FALSE(job_from_document(whole.substr(0, n)));
  }
  CHECK_FALSE(record_from_document("\xa0"));
  CHECK_FALSE(results_from_document("\xa0"));
  CHECK_FALSE(progress_from_document("nothing"));
}

// Guards against a listing that completes a step but whose second part is written, and read, later:
// the trainer pauses in between.
TEST_CASE("results of any size are split into parts that a stored value holds") {
  std::vector<item_result> results(5);
  for (std::size_t n = 0; n < results.size(); ++n) {
    results[n].text = std::string(n == 3 ? 300 : 50, 'x');
  }
  std::vector<std::size_t> sizes;
  const item_result* next = results.data();
  for (const auto part : split_results(results, 100)) {
    CHECK(part.data() == next);
    next += part.size();
    sizes.push_back(part.size());
  }
  // The fourth result alone is larger than a part.
  CHECK(sizes == std::vector<std::size_t>{2, 1, 1, 1});
  CHECK(split_results({}, 100).empty());
}

TEST_CASE("result keys sort by position and contain the position after their last result") {
  CHECK(results_key("j", 9) < results_key("j", 10));
  CHECK(results_key("j", 99'999) < results_key("j", 100'000));
  CHECK(results_key("j", 10).starts_with(results_prefix("j")));
  CHECK(parse_results_key(results_key("j", 42)).value() == 42);
  CHECK_FALSE(parse_results_key("boragedoor/results/j/x"));
  // The prefix of a job does not match keys of a job whose id begins with the same characters.
  CHECK_FALSE(results_key("j1", 1).starts_with(results_prefix("j")));
}

} // namespace boragedoor::jobs
