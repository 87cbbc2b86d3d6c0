#include <algorithm>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "crowd_fixture.h"
#include "platform/base64.h"

namespace boragedoor::platform {

namespace {

constexpr std::size_t ending_count = 12;
constexpr std::size_t oversized_count = 12;
/// Far over the limit of a body.
constexpr std::size_t oversized_bytes = 8 * max_body_bytes;
constexpr std::size_t job_bytes = 15 * max_body_bytes / 16;

/// The chunks of a body, without the last one.
std::string chunks(std::size_t bytes, std::size_t chunk) {
  const std::string one = fmt::format("{:x}\r\n{}\r\n", chunk, std::string(chunk, 'x'));
  std::string text;
  text.reserve(bytes / chunk * one.size());
  for (std::size_t sent = 0; sent + chunk <= bytes; sent += chunk) {
    text += one;
  }
  return text;
}

std::string chunked_request(std::size_t bytes, std::size_t chunk) {
  return request_head("POST", "/plans/7", "chunked", "Transfer-Encoding: chunked\r\n") +
         chunks(bytes, chunk);
}

std::string sized_head(std::string_view id, std::size_t bytes) {
  return request_head("POST", "/plans/7", id, fmt::format("Content-Length: {}\r\n", bytes));
}

/// Ends the requests of all callers that are still connected, at the same moment.
void end_requests(crowd_fixture& it, std::string_view rest) {
  for (const raw_caller& caller : it.crowd) {
    if (!caller->closed_by_peer) {
      caller->send(rest);
    }
  }
  it.let_crowd_act();
}

/// A job of one item with a list of small numbers in a field that no reader knows.
std::string job_of_numbers(const std::string& id, std::size_t bytes) {
  std::string body =
      R"({"step":0,"model":"m","min_version":1,"items":[{"id":"i0","path":"/jobs/x",)"
      R"("headers":{"Model":"m","Token-Usage":"10,100"},"tokens":110,)"
      R"("group":"g0","body":"AAAA"}],"numbers":[1)";
  body.reserve(bytes + body.size());
  while (body.size() < bytes) {
    body += ",1";
  }
  body += "]}";
  return request_head("POST", "/jobs/x", id, fmt::format("Content-Length: {}\r\n", body.size())) +
         body;
}

/// A job of many items that are as small as they can be.
std::string job_of_small_items(const std::string& id, std::size_t bytes) {
  std::string body = R"({"step":0,"model":"m","min_version":1,"items":[)";
  body.reserve(bytes + body.size());
  for (std::size_t n = 0; body.size() < bytes; ++n) {
    body += fmt::format(R"({}{{"id":"i{}","path":"/jobs/x","body":""}})", n == 0 ? "" : ",", n);
  }
  body += "]}";
  return request_head("POST", "/jobs/x", id, fmt::format("Content-Length: {}\r\n", body.size())) +
         body;
}

} // namespace

// Guards against copies of whole bodies, one for each try at an endpoint, that nothing limits.
TEST_CASE("bodies of a known length stop one byte short and then end together",
          "[ending_sized_bodies]") {
  crowd_fixture it;
  crowd_instance& at = it.start("first");
  it.add_callers(at.callers, ending_count,
                 sized_head("sized", max_body_bytes) + std::string(max_body_bytes - 1, 'x'), true);
  it.let_crowd_act();
  end_requests(it, "x");
  it.check_holds(at);
}

// Guards against buffers that are larger than the body in them.
TEST_CASE("bodies in large chunks stop before their last chunk and then end together",
          "[ending_large_chunks]") {
  crowd_fixture it;
  crowd_instance& at = it.start("first");
  it.add_callers(at.callers, ending_count, chunked_request(max_body_bytes, max_body_bytes / 16),
                 true);
  it.let_crowd_act();
  end_requests(it, "0\r\n\r\n");
  it.check_holds(at);
}

TEST_CASE("bodies in small chunks stop before their last chunk and then end together",
          "[ending_small_chunks]") {
  crowd_fixture it;
  crowd_instance& at = it.start("first");
  it.add_callers(at.callers, ending_count, chunked_request(max_body_bytes, 64), true);
  it.let_crowd_act();
  end_requests(it, "0\r\n\r\n");
  it.check_holds(at);
}

// Guards against bodies that arrive a piece at a time, all of them at once.
TEST_CASE("bodies arrive piece by piece and stop one byte short", "[bodies_in_pieces]") {
  crowd_fixture it;
  crowd_instance& at = it.start("first");
  it.add_callers(at.callers, 2 * ending_count, sized_head("pieces", max_body_bytes), true);
  it.let_crowd_act();
  const std::string piece(max_body_bytes / 32, 'x');
  for (std::size_t sent = 0; sent + piece.size() < max_body_bytes; sent += piece.size()) {
    for (const raw_caller& caller : it.crowd) {
      caller->send(piece);
    }
    it.run(milliseconds(20));
  }
  for (const raw_caller& caller : it.crowd) {
    caller->send(std::string_view(piece).substr(1));
  }
  it.let_crowd_act();
  it.check_holds(at);
}

// Guards against bytes beyond the limit that are kept, or that are read for ever.
TEST_CASE("bodies far over the limit are announced and sent", "[announced_oversized_bodies]") {
  crowd_fixture it;
  crowd_instance& at = it.start("first");
  it.add_callers(at.callers, oversized_count,
                 sized_head("announced", oversized_bytes) + std::string(oversized_bytes - 1, 'x'),
                 true);
  it.let_crowd_act();
  it.check_holds(at);
}

TEST_CASE("bodies far over the limit are sent in chunks without being announced",
          "[unannounced_oversized_bodies]") {
  crowd_fixture it;
  crowd_instance& at = it.start("first");
  it.add_callers(at.callers, oversized_count, chunked_request(oversized_bytes, max_body_bytes / 8),
                 true);
  it.let_crowd_act();
  it.check_holds(at);
}

// Guards against a body in one chunk that is far larger than the limit.
TEST_CASE("bodies far over the limit are sent in one chunk", "[oversized_chunks]") {
  crowd_fixture it;
  crowd_instance& at = it.start("first");
  const std::string head =
      request_head("POST", "/plans/7", "chunk", "Transfer-Encoding: chunked\r\n") +
      fmt::format("{:x}\r\n", oversized_bytes);
  it.add_callers(at.callers, oversized_count, head + std::string(oversized_bytes - 1, 'x'), true);
  it.let_crowd_act();
  it.check_holds(at);
}

// Guards against jobs whose parsed document is many times as large as their text.
TEST_CASE("jobs with lists of small numbers stop one byte short and then end together",
          "[ending_jobs_of_numbers]") {
  crowd_fixture it;
  crowd_instance& at = it.start("first");
  for (std::size_t n = 0; n < ending_count / 4; ++n) {
    std::string text = job_of_numbers(fmt::format("job-{}", n), job_bytes);
    text.pop_back();
    it.add_caller(at.callers, text, true);
  }
  it.let_crowd_act();
  end_requests(it, "}");
  it.check_holds(at);
}

// Guards against items that take many times their text, as parsed, as run and as stored.
TEST_CASE("jobs with as many items as are taken arrive at once", "[jobs_of_small_items]") {
  crowd_fixture it;
  crowd_instance& at = it.start("first");
  std::size_t bytes = job_bytes;
  for (std::size_t n = 0; n < ending_count; ++n) {
    it.add_caller(at.callers, job_of_small_items(fmt::format("job-{}", n), bytes), true);
    bytes /= n % 2 == 0 ? 1 : 2;
  }
  it.let_crowd_act();
  it.check_holds(at);
}

TEST_CASE("jobs of many items arrive beside bodies that stop one byte short",
          "[small_items_beside_bodies]") {
  crowd_fixture it;
  crowd_instance& at = it.start("first");
  it.add_callers(at.callers, 2,
                 sized_head("sized", max_body_bytes) + std::string(max_body_bytes - 1, 'x'), true);
  it.let_crowd_act();
  for (std::size_t n = 0; n < ending_count; ++n) {
    const std::size_t bytes = job_bytes * (ending_count - n) / ending_count / 2;
    it.add_caller(at.callers, job_of_small_items(fmt::format("job-{}", n), bytes), true);
    it.run(milliseconds(300));
  }
  it.let_crowd_act();
  it.check_holds(at);
}

TEST_CASE("whole jobs stop one byte short and then end together", "[ending_jobs]") {
  crowd_fixture it;
  crowd_instance& at = it.start("first");
  for (std::size_t n = 0; n < ending_count; ++n) {
    std::string text = job_submission(fmt::format("job-{}", n), job_bytes, static_cast<int>(n));
    text.pop_back();
    it.add_caller(at.callers, text, true);
  }
  it.let_crowd_act();
  end_requests(it, "}");
  it.check_holds(at);
}

} // namespace boragedoor::platform
