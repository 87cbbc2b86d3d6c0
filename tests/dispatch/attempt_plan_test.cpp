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

TEST_CASE("attempt plan of an idempotent request") {
  attempt_plan plan(make_route(route_kind::idempotent, 2), start, seconds(1));
  plan.record_sent("e1");

  SECTION("stops after a response") {
    CHECK(plan.record_result(attempt_result::answered, start) == next_step::stop);
    CHECK_FALSE(plan.certainly_not_run());
  }

  SECTION("retries after a failure until max_attempts endpoints may have run the request") {
    CHECK(plan.record_result(attempt_result::unknown, start) == next_step::retry);
    plan.record_sent("e2");
    CHECK(plan.record_result(attempt_result::failed, start) == next_step::stop);
  }

  SECTION("attempts that did not run do not count towards max_attempts") {
    CHECK(plan.record_result(attempt_result::not_run, start) == next_step::retry);
    plan.record_sent("e2");
    CHECK(plan.record_result(attempt_result::not_run, start) == next_step::retry);
    CHECK(plan.certainly_not_run());
    CHECK(plan.attempted_endpoints() == std::vector<std::string>{"e1", "e2"});
  }

  SECTION("attempts that did not run are limited, so that retries do not overload a full service") {
    int sent = 1;
    while (plan.record_result(attempt_result::not_run, start) == next_step::retry) {
      plan.record_sent("e");
      ++sent;
    }
    CHECK(sent == attempt_options().max_unexecuted_attempts);
  }

  SECTION("a slow first attempt may be hedged once") {
    CHECK(plan.hedge_delay() == milliseconds(60));
    REQUIRE(plan.may_hedge(start + milliseconds(60)));
    plan.record_sent("e2");
    CHECK_FALSE(plan.may_hedge(start + milliseconds(120)));
    CHECK(plan.record_result(attempt_result::unknown, start) == next_step::wait);
    CHECK(plan.record_result(attempt_result::unknown, start) == next_step::stop);
  }

  SECTION("the deadline is the shorter of the caller's and the route's timeout") {
    CHECK(plan.deadline() == start + seconds(1));
    CHECK(attempt_plan(make_route(route_kind::idempotent, 2), start, seconds(9)).deadline() ==
          start + seconds(2));
    CHECK(plan.record_result(attempt_result::not_run, start + milliseconds(990)) ==
          next_step::stop);
  }
}

TEST_CASE("a request that is not idempotent is retried only if it certainly did not run") {
  const auto kind = GENERATE(route_kind::non_idempotent, route_kind::stream);
  attempt_plan plan(make_route(kind, 3), start, seconds(1));
  plan.record_sent("e1");
  CHECK_FALSE(plan.may_hedge(start + milliseconds(500)));

  SECTION("retried after the endpoint reports that it did not run") {
    CHECK(plan.record_result(attempt_result::not_run, start) == next_step::retry);
    CHECK(plan.certainly_not_run());
  }
  SECTION("not retried after an unknown result") {
    CHECK(plan.record_result(attempt_result::unknown, start) == next_step::stop);
    CHECK_FALSE(plan.certainly_not_run());
  }
}

} // namespace boragedoor::dispatch
