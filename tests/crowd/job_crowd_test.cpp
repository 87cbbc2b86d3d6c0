#include <algorithm>
#include <array>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "crowd_fixture.h"
#include "jobs/job_documents.h"

namespace boragedoor::platform {

namespace {

constexpr std::size_t job_count = 8;
/// Near the limit of a body.
constexpr std::size_t job_bytes = 15 * max_body_bytes / 16;

std::string job_name(std::size_t n) {
  return fmt::format("job-{}", n);
}

/// Checks that a refused job was not stored, and that each caller got an answer of the protocol or
/// an end of its connection.
void check_answers(crowd_fixture& it, std::size_t copies) {
  for (std::size_t n = 0; n < it.crowd.size(); ++n) {
    const int status = received_status(it.crowd[n]);
    constexpr std::array known = {0, 202, 408, 413, 429, 503, 504};
    INFO("job " << n << " got " << status);
    CHECK(std::find(known.begin(), known.end(), status) != known.end());
    if (copies == 1 && (status == 503 || status == 429 || status == 408)) {
      CHECK_FALSE(it.store.has(jobs::record_key(job_name(n))));
    }
  }
}

} // namespace

// Guards against a process that runs out of memory because what it makes of a job's text (the
// parsed document, decoded bodies, the text for the store) is not counted.
TEST_CASE("many whole jobs near the limit of a body", "[whole_jobs]") {
  crowd_fixture it;
  crowd_instance& at = it.start("first");
  for (std::size_t n = 0; n < job_count; ++n) {
    it.add_caller(at.callers, job_submission(job_name(n), job_bytes, static_cast<int>(n)), true);
  }
  it.let_crowd_act();
  check_answers(it, 1);
  it.check_holds(at);
}

// Guards against copies of jobs for another instance that are not counted: half of the jobs belong
// to the other instance and are passed on.
TEST_CASE("jobs near the limit are sent to two instances at once", "[jobs_at_two_instances]") {
  crowd_fixture it;
  crowd_instance& first = it.start("first");
  crowd_instance& second = it.start("second");
  it.run(seconds(2));
  for (std::size_t n = 0; n < job_count / 2; ++n) {
    const std::string bytes = job_submission(job_name(n), job_bytes, static_cast<int>(n));
    it.add_caller(first.callers, bytes, true);
    it.add_caller(second.callers, bytes, true);
  }
  it.let_crowd_act();
  check_answers(it, 2);
  it.check_holds(first);
  it.check_holds(second);
}

// Guards against jobs that wait for a store without an answer and fill the memory.
TEST_CASE("many whole jobs while the store is silent", "[jobs_without_store]") {
  crowd_fixture it;
  crowd_instance& at = it.start("first");
  it.store.set_fault(store_fault::silent);
  for (std::size_t n = 0; n < 3 * job_count; ++n) {
    it.add_caller(at.callers, job_submission(job_name(n), job_bytes, static_cast<int>(n)), true);
  }
  it.let_crowd_act();
  it.store.set_fault(store_fault::none);
  check_answers(it, 1);
  it.check_holds(at);
}

// Guards against a limit that refuses what a single caller may send.
TEST_CASE("a single job at the limit of a body is accepted in calm", "[single_job]") {
  crowd_fixture it;
  crowd_instance& at = it.start("first");
  const raw_caller& one = it.add_caller(at.callers, job_submission("job", job_bytes, 0), true);
  REQUIRE(it.loop->run_until(
      [&] { return one->closed_by_peer || one->received.find("\r\n\r\n") != std::string::npos; },
      wait_limit));
  CHECK(received_status(one) == 202);
  it.check_holds(at);
}

} // namespace boragedoor::platform
