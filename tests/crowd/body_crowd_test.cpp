#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "crowd_fixture.h"

namespace boragedoor::platform {

namespace {

constexpr std::size_t body_count = 40;

/// A request in chunks that lacks its last chunk.
std::string chunked_request(std::size_t bytes, std::size_t chunk) {
  std::string text = request_head("POST", "/plans/7", "chunked", "Transfer-Encoding: chunked\r\n");
  const std::string one = fmt::format("{:x}\r\n{}\r\n", chunk, std::string(chunk, 'x'));
  for (std::size_t sent = 0; sent + chunk <= bytes; sent += chunk) {
    text += one;
  }
  return text;
}

/// A request that lacks the last byte of its body.
std::string sized_request() {
  return request_head("POST", "/plans/7", "sized",
                      fmt::format("Content-Length: {}\r\n", max_body_bytes)) +
         std::string(max_body_bytes - 1, 'x');
}

} // namespace

// Guards against bodies that fill the memory because they never end.
TEST_CASE("bodies of a known length stop one byte short", "[sized_bodies]") {
  crowd_fixture it;
  crowd_instance& at = it.start("first");
  it.add_callers(at.callers, body_count, sized_request(), true);
  it.let_crowd_act();
  it.check_holds(at);
}

TEST_CASE("bodies in chunks stop before their last chunk", "[chunked_bodies]") {
  crowd_fixture it;
  crowd_instance& at = it.start("first");
  it.add_callers(at.callers, body_count, chunked_request(max_body_bytes, 1024), true);
  it.let_crowd_act();
  it.check_holds(at);
}

// A chunk of one byte takes six bytes on the wire.
TEST_CASE("bodies in chunks of one byte stop before their last chunk", "[one_byte_chunks]") {
  crowd_fixture it;
  crowd_instance& at = it.start("first");
  it.add_callers(at.callers, body_count, chunked_request(max_body_bytes / 8, 1), true);
  it.let_crowd_act();
  it.check_holds(at);
}

// Guards against a stop that waits for callers who never finish.
TEST_CASE("a process stops beside bodies that do not end and answers that nobody reads",
          "[stop_beside_bodies]") {
  crowd_fixture it;
  crowd_instance& at = it.start("first", {.grace_period_s = 8});
  it.plain->answer_size = max_body_bytes / 4;
  it.add_callers(at.callers, body_count / 4, sized_request(), true);
  it.add_callers(at.callers, body_count / 4, request_head("GET", "/plans/7", "unread"), false);
  it.let_crowd_act();
  CHECK(at.process->is_running());
  it.check_stops(at);
  CHECK(at.peak_memory <= memory_bytes);
}

// Guards against a limit that refuses what a single caller may send.
TEST_CASE("a single body at the limit is forwarded in calm", "[single_body]") {
  crowd_fixture it;
  crowd_instance& at = it.start("first");
  const http1::response out = it.call(at.callers, {"POST",
                                                   "/plans/7",
                                                   {{"Host", "a.example"},
                                                    {"Attempt-Id", "single"},
                                                    {"Deadline-Ms", "20000"},
                                                    {"Authorization", "Bearer key-n"}},
                                                   std::string(max_body_bytes, 'x')});
  CHECK(out.status == 200);
  it.check_holds(at);
}

} // namespace boragedoor::platform
