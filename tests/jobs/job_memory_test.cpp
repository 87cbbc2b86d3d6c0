#include "jobs/job_memory.h"

#include <string>

#include <catch2/catch.hpp>

namespace boragedoor::jobs {

namespace {

constexpr std::size_t mebibyte = 1024UL * 1024;
/// Bytes that a process on a machine of 160 MB may hold.
constexpr std::size_t limit = 64 * mebibyte;

} // namespace

// Guards against a process that runs out of memory because what it makes of submitted jobs is more
// than their text.
TEST_CASE("a submitted job is judged by what becomes of its text") {
  const auto judge = [](std::string_view text, std::size_t others, std::size_t jobs = 0) {
    return judge_submission(
        text, {.limit = limit, .used = others + jobs + text.size(), .used_by_jobs = jobs});
  };
  const std::string largest(32 * mebibyte, 'x');

  SECTION("one job at the limit of a body is accepted in calm") {
    CHECK(judge(largest, 0) == submission_verdict::accepted);
  }
  SECTION("a second one at the same time is not") {
    CHECK(judge(largest, largest.size()) == submission_verdict::no_room);
    CHECK(judge(largest, 0, 24 * mebibyte) == submission_verdict::no_room);
  }
  SECTION("its items may take what its text and others leave") {
    const auto left = [](std::size_t used) {
      return parsed_job_limit({.limit = limit, .used = used, .used_by_jobs = 0});
    };
    CHECK(left(largest.size()) == 32 * mebibyte);
    CHECK(left(largest.size() + 16 * mebibyte) == 16 * mebibyte);
    SECTION("but always as much as a small job") {
      CHECK(left(limit) == 2 * mebibyte);
      CHECK(left(2 * limit) == 2 * mebibyte);
    }
  }
  SECTION("ordinary jobs are accepted beside large bodies and other jobs") {
    const std::string ordinary(60UL * 1024, ':');
    CHECK(judge(ordinary, limit, 16 * mebibyte) == submission_verdict::accepted);
    SECTION("until jobs take half of what the process may hold") {
      CHECK(judge(ordinary, 0, 32 * mebibyte) == submission_verdict::no_room);
    }
  }
}

TEST_CASE("the bytes of a job are those of its items") {
  job one;
  const std::size_t empty = contents_bytes(one);
  job_item& item = one.items.emplace_back();
  item.id = "i";
  item.headers = {{"Model", "m"}};
  item.body = "12345678";
  item.reward = reward_call{.id = "r", .host = "h", .path = "/q", .body = "1234"};
  CHECK(contents_bytes(one) >= empty + sizeof(job_item) + 8 + 4);
  CHECK(submission_bytes(100) == 250);
}

} // namespace boragedoor::jobs
