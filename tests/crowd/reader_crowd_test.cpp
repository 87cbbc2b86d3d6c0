#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "crowd_fixture.h"

namespace boragedoor::platform {

namespace {

constexpr std::size_t reader_count = 60;
constexpr std::size_t answer_bytes = 4UL * 1024 * 1024;

} // namespace

// Guards against answers that fill the memory because nobody reads them.
TEST_CASE("nobody reads long answers", "[unread_answers]") {
  crowd_fixture it;
  crowd_instance& at = it.start("first");
  it.plain->answer_size = answer_bytes;
  it.add_callers(at.callers, reader_count, request_head("GET", "/plans/7", "unread"), false);
  it.let_crowd_act();
  it.check_holds(at);
}

// Guards against copies of a job's contents, one for each reader, that are not counted.
TEST_CASE("nobody reads the bodies of a job's items", "[unread_item_bodies]") {
  crowd_fixture it;
  crowd_instance& at = it.start("first");
  const raw_caller& one = it.add_caller(at.callers, job_submission("job", answer_bytes, 0), true);
  REQUIRE(it.loop->run_until([&] { return received_status(one) != 0; }, wait_limit));
  REQUIRE(received_status(one) == 202);
  it.add_callers(at.callers, reader_count * 4, request_head("GET", "/items/job?id=i1", "unread"),
                 false);
  it.let_crowd_act();
  it.check_holds(at);
}

// Guards against requests that pile up unread behind an answer that nobody reads. What has arrived
// counts as memory of the process, also before it is read.
TEST_CASE("requests follow an answer that nobody reads", "[pipelined_requests]") {
  crowd_fixture it;
  crowd_instance& at = it.start("first");
  it.plain->answer_size = answer_bytes;
  std::string bytes;
  constexpr std::size_t piped_bytes = 4UL * 1024 * 1024;
  while (bytes.size() < piped_bytes) {
    bytes += request_head("GET", "/plans/7", fmt::format("piped-{}", bytes.size()));
  }
  it.add_callers(at.callers, 2 * reader_count, bytes, false);
  it.let_crowd_act();
  it.check_holds(at);
}

} // namespace boragedoor::platform
