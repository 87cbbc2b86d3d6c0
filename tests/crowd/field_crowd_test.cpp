#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "crowd_fixture.h"

namespace boragedoor::platform {

namespace {

constexpr std::size_t caller_count = 500;
/// Small enough that the start of a body and all its fields count as one small message.
constexpr std::size_t small_body_bytes = 40UL * 1024;

/// A request head near its limit, of fields that are as small as they can be.
std::string head_of_small_fields(std::string_view method, std::string_view more) {
  std::string head = request_head(method, "/plans/7", "fields", more);
  head.resize(head.size() - 2);
  while (head.size() + 8 < max_header_bytes) {
    head += "a:b\r\n";
  }
  return head + "\r\n";
}

} // namespace

// Guards against header fields that take many times their text while the body is waited for.
TEST_CASE("requests of many small fields stop one byte short of their body", "[many_fields]") {
  crowd_fixture it;
  crowd_instance& at = it.start("first");
  it.add_callers(at.callers, caller_count,
                 head_of_small_fields("POST", "Content-Length: 2\r\n") + "x", true);
  it.let_crowd_act();
  it.check_holds(at);
}

// Guards against trailer fields, which nobody reads, that are kept until the body ends.
TEST_CASE("bodies in chunks stop in the middle of their trailer fields", "[unfinished_trailers]") {
  crowd_fixture it;
  crowd_instance& at = it.start("first");
  std::string text = request_head("POST", "/plans/7", "trailer", "Transfer-Encoding: chunked\r\n") +
                     "1\r\nx\r\n0\r\n";
  constexpr std::size_t trailer_bytes = 60UL * 1024;
  const std::size_t end = text.size() + trailer_bytes;
  while (text.size() < end) {
    text += "a: b\r\n";
  }
  it.add_callers(at.callers, caller_count, text, true);
  it.let_crowd_act();
  it.check_holds(at);
}

// Guards against whole requests that are small by themselves and wait together at a slow endpoint.
TEST_CASE("whole requests of many small fields wait for a slow endpoint", "[waiting_fields]") {
  crowd_fixture it;
  crowd_instance& at = it.start("first");
  it.plain->work = seconds(2);
  it.add_callers(at.callers, caller_count, head_of_small_fields("GET", {}), true);
  it.let_crowd_act();
  it.check_holds(at);
}

TEST_CASE("whole requests with small bodies wait for a slow endpoint", "[waiting_small_bodies]") {
  crowd_fixture it;
  crowd_instance& at = it.start("first");
  it.plain->work = seconds(2);
  it.add_callers(at.callers, 4 * caller_count,
                 request_head("POST", "/plans/7", "small",
                              fmt::format("Content-Length: {}\r\n", small_body_bytes)) +
                     std::string(small_body_bytes, 'x'),
                 true);
  it.let_crowd_act();
  it.check_holds(at);
}

} // namespace boragedoor::platform
