#include "http1/parser.h"

#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "invalid_heads.h"

namespace boragedoor::http1 {

namespace {

struct parsed_responses {
  std::vector<int> statuses;
  bool failed = false;
};

/// Parses text that arrives in pieces of `piece` bytes.
parsed_responses parse_responses(std::string_view text, std::size_t piece) {
  parsed_responses out;
  parser it(message_kind::response, {.on_head =
                                         [&](const message_head& head) {
                                           out.statuses.push_back(head.status);
                                           return true;
                                         },
                                     .on_body = nullptr,
                                     .on_complete = nullptr});
  while (!text.empty() && !it.failed()) {
    std::string_view next = text.substr(0, piece);
    text.remove_prefix(next.size());
    while (!next.empty() && !it.failed()) {
      next.remove_prefix(it.feed(next));
    }
  }
  out.failed = it.failed();
  return out;
}

} // namespace

// Guards against a response of a server in trouble that is taken for an interim one, so that its
// caller waits for another one, or that is passed on with a status that is none.
TEST_CASE("a status has three digits, the first of them from 1 to 5") {
  const std::size_t piece = GENERATE(1UL, 2UL, 3UL, 5UL, 7UL, 100UL);
  INFO("pieces of " << piece);
  const auto with_status = [](std::string_view status) {
    return "HTTP/1.1 " + std::string(status) + "\r\nContent-Length: 2\r\n\r\nok";
  };

  SECTION("other ones are refused with the head") {
    const std::string_view status = GENERATE(from_range(testing::invalid_statuses));
    INFO(status);
    const auto out = parse_responses(with_status(status), piece);
    CHECK(out.failed);
    CHECK(out.statuses.empty());
    SECTION("also after sound responses") {
      const auto later = parse_responses(
          with_status("200 OK") + "HTTP/1.1 103 Early\r\n\r\n" + with_status(status), piece);
      CHECK(later.failed);
      CHECK(later.statuses == std::vector<int>{200, 103});
    }
  }

  SECTION("all others are read") {
    const int status = GENERATE(100, 103, 199, 200, 404, 500, 599);
    const std::string text = GENERATE("", " ", " Some reason", " 000");
    INFO(status << text);
    const auto out = parse_responses(with_status(std::to_string(status) + text), piece);
    CHECK_FALSE(out.failed);
    CHECK(out.statuses == std::vector<int>{status});
  }

  SECTION("a switch to another protocol is refused") {
    CHECK(parse_responses("HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
                          piece)
              .failed);
  }
}

// Guards against a response whose head is read in another way than it was written: a line that is
// no field was passed on, joined to a field that the product uses, or hid the length of the body.
TEST_CASE("a field line of a response has a name that consists of token characters") {
  const std::size_t piece = GENERATE(1UL, 2UL, 3UL, 5UL, 7UL, 1000UL);
  INFO("pieces of " << piece);
  const auto with_line = [](std::string_view line, std::string_view framing, bool first) {
    const std::string other = "Response-Signature: sig\r\n";
    const std::string odd = std::string(line) + "\r\n";
    return "HTTP/1.1 200 OK\r\n" + (first ? odd + other : other + odd) + std::string(framing) +
           "\r\nok";
  };
  const std::string_view framing = GENERATE("", "Content-Length: 2\r\n");

  SECTION("other lines are refused with the head") {
    const std::string_view line = GENERATE(from_range(testing::invalid_field_lines));
    const bool first = GENERATE(false, true);
    INFO(line << (first ? ", as the first line" : ""));
    const auto out = parse_responses(with_line(line, framing, first), piece);
    CHECK(out.failed);
    CHECK(out.statuses.empty());
    SECTION("also after sound responses") {
      const auto later = parse_responses(
          "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n\n a" +
              with_line(line, framing, first),
          piece);
      CHECK(later.failed);
      CHECK(later.statuses == std::vector<int>{103, 200});
    }
  }

  SECTION("all others are read, and bodies may hold any line") {
    const std::string_view line =
        GENERATE("X:1", "X: ", "X:\t1 ", "!#$%&'*+-.^_`|~: a\tb", "X: a: b", "x-1:  \xc3\xa9");
    INFO(line);
    const auto out =
        parse_responses(with_line(line, "Content-Length: 9\r\n", true) + "\n x\r\n y", piece);
    CHECK_FALSE(out.failed);
    CHECK(out.statuses == std::vector<int>{200});
  }
}

} // namespace boragedoor::http1
