#include "jobs/event_reader.h"

#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace boragedoor::jobs {

TEST_CASE("the event reader splits a stream into events") {
  event_reader reader;
  std::vector<stream_event> seen;
  const auto feed = [&](std::string_view data) {
    REQUIRE(reader.feed(data, [&](const stream_event& it) { seen.push_back(it); }));
  };

  SECTION("independently of where the bytes are split") {
    const std::string_view stream =
        "weight-versions: 7\nid: 1\ndata: a b\n\nid: 2\ndata: c\ndata: d\n\n";
    const auto cut = GENERATE(range(1, 60));
    feed(stream.substr(0, static_cast<std::size_t>(cut)));
    feed(stream.substr(static_cast<std::size_t>(cut)));
    REQUIRE(seen.size() == 2);
    CHECK(seen[0].id == 1);
    CHECK(seen[0].data == "a b");
    CHECK(seen[0].field_name == "weight-versions");
    CHECK(seen[0].field_value == "7");
    CHECK(seen[1].id == 2);
    CHECK(seen[1].data == "c\nd");
    CHECK_FALSE(reader.has_incomplete_event());
  }

  SECTION("with CRLF line ends") {
    feed("id: 1\r\ndata: a\r\n\r\n");
    REQUIRE(seen.size() == 1);
    CHECK(seen[0].data == "a");
  }

  SECTION("without reporting a truncated event") {
    feed("id: 1\ndata: a\n\nid: 2\ndata: hal");
    CHECK(seen.size() == 1);
    CHECK(reader.has_incomplete_event());
  }

  SECTION("and gives up an event without end, so that its bytes do not fill the memory") {
    const std::string piece(4096, 'x');
    const auto ignore = [](const stream_event&) {};
    std::size_t accepted = 0;
    while (reader.feed(piece, ignore)) {
      accepted += piece.size();
      REQUIRE(accepted <= event_reader::max_event_bytes);
    }
    CHECK_FALSE(reader.feed("\n\nid: 1\ndata: a\n\n", ignore));
  }

  SECTION("and reads any number of events that are small") {
    std::string events;
    for (int n = 0; n < 1000; ++n) {
      events += "data: 0123456789\n\n";
    }
    std::size_t fed = 0;
    while (fed < 4 * event_reader::max_event_bytes) {
      CHECK(reader.feed(events, [](const stream_event&) {}));
      fed += events.size();
    }
  }

  SECTION("and ignores an id that is not a number") {
    feed("id: x\ndata: a\n\n");
    REQUIRE(seen.size() == 1);
    CHECK_FALSE(seen[0].id);
  }
}

} // namespace boragedoor::jobs
