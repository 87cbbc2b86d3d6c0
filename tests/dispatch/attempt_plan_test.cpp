#include "dispatch/attempt_plan.h"

#include <catch2/catch.hpp>

namespace boragedoor::dispatch {

namespace {

constexpr time_point start{seconds(100)};

route make_route(route_kind kind, int attempts) {
  route it;
  it.kind = kind;
  it.max_attempts = attempts;
  it.timeout = seconds(2);
  it.target_latency = milliseconds(100);
  return it;
}

} // namespace

TEST_CASE("the attempts of an idempotent request") {
  attempt_plan plan(make_route(route_kind::idempotent, 2), start, seconds(1));
  plan.sent("e1");

  SECTION("end with a response") {
    CHECK(plan.ended(attempt_result::answered, start) == next_step::give_up);
    CHECK_FALSE(plan.certainly_not_run());
  }

  SECTION("go on after a failure, up to the number of endpoints that may run it") {
    CHECK(plan.ended(attempt_result::unknown, start) == next_step::try_again);
    plan.sent("e2");
    CHECK(plan.ended(attempt_result::failed, start) == next_step::give_up);
  }

  SECTION("do not count where the request did not run") {
    CHECK(plan.ended(attempt_result::not_run, start) == next_step::try_again);
    plan.sent("e2");
    CHECK(plan.ended(attempt_result::not_run, start) == next_step::try_again);
    CHECK(plan.certainly_not_run());
    CHECK(plan.tried() == std::vector<std::string>{"e1", "e2"});
  }

  SECTION("are bounded even if none runs it: a service that is full everywhere is not stormed") {
    int sent = 1;
    while (plan.ended(attempt_result::not_run, start) == next_step::try_again) {
      plan.sent("e");
      ++sent;
    }
    CHECK(sent == attempt_options().most_not_run);
  }

  SECTION("have a second copy beside a slow first one, but no third") {
    CHECK(plan.hedge_delay() == milliseconds(60));
    REQUIRE(plan.may_hedge(start + milliseconds(60)));
    plan.sent("e2");
    CHECK_FALSE(plan.may_hedge(start + milliseconds(120)));
    CHECK(plan.ended(attempt_result::unknown, start) == next_step::wait);
    CHECK(plan.ended(attempt_result::unknown, start) == next_step::give_up);
  }

  SECTION("end with the caller's time, which is never longer than the route's") {
    CHECK(plan.deadline() == start + seconds(1));
    CHECK(attempt_plan(make_route(route_kind::idempotent, 2), start, seconds(9)).deadline() ==
          start + seconds(2));
    CHECK(plan.ended(attempt_result::not_run, start + milliseconds(990)) == next_step::give_up);
  }
}

TEST_CASE("a request that runs at most once is sent again only if it certainly did not run") {
  const auto kind = GENERATE(route_kind::non_idempotent, route_kind::stream);
  attempt_plan plan(make_route(kind, 3), start, seconds(1));
  plan.sent("e1");
  CHECK_FALSE(plan.may_hedge(start + milliseconds(500)));

  SECTION("after a refusal") {
    CHECK(plan.ended(attempt_result::not_run, start) == next_step::try_again);
    CHECK(plan.certainly_not_run());
  }
  SECTION("not after silence") {
    CHECK(plan.ended(attempt_result::unknown, start) == next_step::give_up);
    CHECK_FALSE(plan.certainly_not_run());
  }
}

} // namespace boragedoor::dispatch
