#include "dispatch/stop_schedule.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "dispatch/request_durations.h"

namespace boragedoor::dispatch {

namespace {

constexpr time_point start{seconds(100)};
constexpr duration grace = seconds(8);
/// Callers accept an interruption only of requests that they sent earlier than this.
constexpr duration interruptible_before = seconds(3);

request_outlook outlook(route_kind kind, time_point deadline, duration usual) {
  return {.kind = kind, .deadline = deadline, .usual_duration = usual};
}

} // namespace

TEST_CASE("a stopping process takes the requests that it can answer before it ends") {
  stop_schedule stop = stop_schedule::create(grace).value();

  SECTION("before the stop it takes all") {
    CHECK_FALSE(stop.has_begun());
    CHECK(stop.may_start(outlook(route_kind::stream, start + seconds(60), seconds(60)), start));
    CHECK_FALSE(stop.must_answer(start + seconds(60)));
  }

  SECTION("after the signal") {
    stop.begin(start);
    SECTION("a request whose caller waits no longer than the process runs is taken") {
      const time_point now = start + seconds(5);
      CHECK(
          stop.may_start(outlook(route_kind::non_idempotent, now + seconds(2), seconds(60)), now));
      CHECK_FALSE(
          stop.may_start(outlook(route_kind::non_idempotent, now + seconds(3), seconds(0)), now));
    }
    SECTION("a request that may be repeated is taken as long as its usual duration is left") {
      const time_point deadline = start + seconds(60);
      const request_outlook look_up = outlook(route_kind::idempotent, deadline, milliseconds(30));
      CHECK(stop.may_start(look_up, start + seconds(7)));
      CHECK_FALSE(stop.may_start(look_up, start + milliseconds(7300)));
    }
    SECTION("a request that may not be repeated is taken by its usual duration only early") {
      const time_point deadline = start + seconds(60);
      for (const auto kind : {route_kind::non_idempotent, route_kind::stream}) {
        CHECK(stop.may_start(outlook(kind, deadline, seconds(2)), start + seconds(1)));
        CHECK_FALSE(stop.may_start(outlook(kind, deadline, seconds(5)), start + seconds(1)));
        CHECK_FALSE(stop.may_start(outlook(kind, deadline, milliseconds(1)), start + seconds(3)));
      }
    }
    SECTION("a second signal changes nothing") {
      stop.begin(start + seconds(5));
      CHECK(stop.elapsed(start + seconds(6)) == seconds(6));
      CHECK(stop.must_end(start + grace));
    }
    SECTION(
        "the last responses are made before the process ends, and it ends before it is killed") {
      time_point answers = start;
      while (!stop.must_answer(answers)) {
        answers += milliseconds(1);
      }
      time_point end = answers;
      while (!stop.must_end(end)) {
        end += milliseconds(1);
      }
      CHECK(answers < end);
      CHECK(end < start + grace);
      // Interruptions in the last sixth of the grace period are accepted.
      CHECK(answers >= start + grace - grace / 6);
    }
  }

  SECTION("there must be time to stop") {
    CHECK_FALSE(stop_schedule::create(duration::zero()));
  }
}

TEST_CASE("no request that arrives late in a stop is interrupted if its caller cannot repeat it") {
  CHECK(rc::check([] {
    const auto grace_ms = *rc::gen::inRange(1000, 30000);
    const auto handled_late_ms = *rc::gen::inRange(0, 400);
    const auto after_ms = *rc::gen::inRange(0, 29000);
    const auto waits_ms = *rc::gen::inRange(1, 20000);
    const auto usual_ms = *rc::gen::inRange(0, 5000);
    const auto kind = *rc::gen::element(route_kind::non_idempotent, route_kind::stream);
    stop_schedule stop = stop_schedule::create(milliseconds(grace_ms)).value();
    stop.begin(start + milliseconds(handled_late_ms));
    const time_point now = start + interruptible_before + milliseconds(after_ms);
    const time_point deadline = now + milliseconds(waits_ms);
    if (stop.may_start(outlook(kind, deadline, milliseconds(usual_ms)), now)) {
      RC_ASSERT(!stop.must_end(deadline));
    }
  }));
}

TEST_CASE("the longest of the last requests of a route is remembered") {
  request_durations durations;
  CHECK_FALSE(durations.longest("a"));
  durations.record("a", seconds(3));
  durations.record("a", seconds(1));
  durations.record("b", seconds(9));
  CHECK(durations.longest("a") == seconds(3));

  SECTION("older ones are forgotten") {
    for (std::size_t n = 0; n < request_durations::max_samples; ++n) {
      durations.record("a", seconds(2));
    }
    CHECK(durations.longest("a") == seconds(2));
  }
}

} // namespace boragedoor::dispatch
