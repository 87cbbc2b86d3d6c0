#include "events/event_log.h"

#include <catch2/catch.hpp>

namespace boragedoor::events {

TEST_CASE("the event log") {
  event_log_options options;
  options.instance = "i1";
  options.boot = "b1";
  options.capacity = 2;
  auto log = event_log::create(options).value();
  event it;
  it.number = event_number::lease_lost;
  it.shard = "dc/north";

  SECTION("numbers events and counts those that leave memory") {
    CHECK(log->record(it) == "i1/b1/1");
    log->record(it);
    log->record(it);
    CHECK(log->recent().size() == 2);
    CHECK(log->recent(2).size() == 1);
    CHECK(log->evicted() == 1);
  }
  SECTION("an event survives its JSON form") {
    log->record(it);
    const auto copy = event_from_json(to_json(log->recent().front()));
    REQUIRE(copy);
    CHECK(copy.value().shard == "dc/north");
    CHECK(copy.value().number == event_number::lease_lost);
  }
  SECTION("a document that is no event is refused") {
    CHECK_FALSE(event_from_json(json::array()));
    CHECK_FALSE(event_from_json({{"number", 1}}));
  }
}

} // namespace boragedoor::events
