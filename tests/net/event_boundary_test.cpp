#include "net/event_boundary.h"

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <catch2/catch.hpp>

namespace boragedoor::net {

namespace {

bool may_end_after(std::string_view bytes) {
  event_boundary it;
  it.feed(bytes);
  return it.is_between_events();
}

} // namespace

// Guards against a part of an event that is taken for the end of a stream.
TEST_CASE("a stream may end only between two events") {
  SECTION("after each of its bytes") {
    const std::string line_end =
        GENERATE(std::string("\n"), std::string("\r\n"), std::string("\r"));
    std::string text;
    std::set<std::size_t> boundaries = {0};
    const auto add = [&](const std::vector<std::string>& lines) {
      for (const std::string& line : lines) {
        text += line + line_end;
      }
      text += line_end;
      boundaries.insert(text.size());
    };
    add({"id: 1", "data: a"});
    add({"data"});
    add({"id: 2", "data: b", ": comment", "data: c"});
    for (std::size_t n = 0; n <= text.size(); ++n) {
      INFO("after " << n << " bytes, line ends of " << line_end.size());
      CHECK(may_end_after(std::string_view(text).substr(0, n)) == boundaries.contains(n));
    }

    SECTION("however they are split") {
      event_boundary whole;
      whole.feed(text);
      event_boundary pieces;
      for (std::size_t n = 0; n < text.size(); ++n) {
        pieces.feed(std::string_view(text).substr(n, 1));
        CHECK(pieces.is_between_events() == boundaries.contains(n + 1));
      }
      CHECK(whole.is_between_events());
    }
  }

  SECTION("also inside or behind a comment or an empty line") {
    const std::string event = "id: 1\ndata: a\n\n";
    for (const std::string_view tail : {":", ": comment", ": comment\n", ": comment\r", ": c\r\n",
                                        ": c\n\n", "\n", "\r", "\r\n", "\n\n"}) {
      INFO("tail of " << tail.size() << " bytes");
      CHECK(may_end_after(event + std::string(tail)));
      CHECK(may_end_after(tail));
    }
  }

  SECTION("and line ends of different kinds may follow each other") {
    CHECK(may_end_after("data: a\r\n\n"));
    CHECK(may_end_after("data: a\n\r"));
    CHECK(may_end_after("data: a\r\ndata: b\r\r"));
    CHECK_FALSE(may_end_after("data: a\r\n"));
    CHECK_FALSE(may_end_after("data: a\r\n\r"));
  }

  SECTION("and an event of any size is followed") {
    const std::string large = "data: " + std::string(1024UL * 1024, 'x');
    CHECK_FALSE(may_end_after(large));
    CHECK(may_end_after(large + "\n\n"));
  }
}

} // namespace boragedoor::net
