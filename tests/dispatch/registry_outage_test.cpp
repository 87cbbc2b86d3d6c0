#include "dispatch/registry_outage.h"

#include <catch2/catch.hpp>

namespace boragedoor::dispatch {

namespace {

constexpr duration renewal_interval = seconds(1);
constexpr time_point start = time_point(seconds(100));

/// An instance whose calls the store answers once a second until `start`.
registry_outage answered_until_start() {
  registry_outage it;
  for (int n = 5; n >= 0; --n) {
    it.note_answer(start - n * renewal_interval);
  }
  return it;
}

} // namespace

// Guards against requests to an endpoint that has left, because its removal was held back although
// the store had not been away; and against dropping running endpoints whose entries expired while
// it was.
TEST_CASE("removals of registry entries are held back after an outage of the store only") {
  registry_outage it = answered_until_start();

  SECTION("a removal counts at once while the store answers") {
    CHECK_FALSE(it.hold_until(start));
    CHECK_FALSE(it.hold_until(start + milliseconds(2399)));
  }

  SECTION("a watch ends, but other calls go on: the removal counts at once") {
    it.note_answer(start + renewal_interval);
    it.note_answer(start + 2 * renewal_interval);
    CHECK_FALSE(it.hold_until(start + 2 * renewal_interval));
  }

  SECTION("an outage shorter than the time in which entries expire changes nothing") {
    it.note_answer(start + milliseconds(2399));
    CHECK_FALSE(it.hold_until(start + milliseconds(2400)));
  }

  SECTION("after an outage, running endpoints have time to restore their entries") {
    const time_point back = start + seconds(6);
    it.note_answer(back);
    CHECK(it.hold_until(back) == back + seconds(2));
    it.note_answer(back + seconds(1));
    CHECK(it.hold_until(back + milliseconds(1900)) == back + seconds(2));

    SECTION("later removals count at once") {
      it.note_answer(back + seconds(2));
      it.note_answer(back + seconds(3));
      CHECK_FALSE(it.hold_until(back + seconds(3)));
    }
  }

  SECTION("another instance sees the return first and passes the removals on") {
    const time_point now = start + seconds(6);
    CHECK(it.hold_until(now) == now + seconds(2));
  }

  SECTION("a process that starts knows of no outage") {
    CHECK_FALSE(registry_outage().hold_until(start));
  }
}

} // namespace boragedoor::dispatch
