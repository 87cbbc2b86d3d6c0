#include <chrono>

#include "platform_fixture.h"

namespace boragedoor::platform {

namespace {

/// The users' bound on what an endpoint gets in `elapsed`, in windows of four seconds.
double allowed_requests(double per_second, duration elapsed) {
  constexpr double tolerated_excess = 1.5;
  constexpr double tolerated_requests = 5;
  constexpr double window_s = 4;
  const double passed_s = std::chrono::duration<double>(elapsed).count();
  return tolerated_excess * per_second * std::max(window_s, passed_s) + tolerated_requests;
}

/// Sends many requests at once and counts those that reach the endpoint with the limit.
struct limit_fixture : platform_fixture {
  void check_limit(const std::vector<serving_process*>& instances, double limit) {
    constexpr int requests = 80;
    const std::size_t before = plain->executed_ids.size();
    const time_point start = loop->now();
    int answered = 0;
    int served = 0;
    for (int n = 0; n < requests; ++n) {
      send(*instances[static_cast<std::size_t>(n) % instances.size()], "POST", "/plans/7",
           "b" + std::to_string(n), [&](const http1::response& out) {
             ++answered;
             served += out.status == 200 ? 1 : 0;
             CHECK((out.status == 200 || out.status == 503));
             CHECK((out.status == 200 || !net::find_header(out.headers, "Retry-After").empty()));
           });
    }
    REQUIRE(loop->run_until([&] { return answered == requests; }, wait_limit));
    const auto got = static_cast<double>(plain->executed_ids.size() - before);
    CHECK(got <= allowed_requests(limit, loop->now() - start));
    CHECK(got >= 1);
    CHECK(got == served);
  }
};

} // namespace

// Guards against an endpoint in need getting more requests than the rate that it states, because
// each instance sends it what it would send without a limit.
TEST_CASE("instances together keep the request limit that an endpoint states") {
  constexpr double limit = 5;
  limit_fixture it;
  it.start("second", it.second);
  std::vector<serving_process*> instances = {it.first.get(), it.second.get()};
  REQUIRE(it.loop->run_until(
      [&] {
        return std::all_of(instances.begin(), instances.end(), [](serving_process* one) {
          return one->members().members().all().size() == 2;
        });
      },
      wait_limit));
  it.plain->limit = "5";
  for (const serving_process* instance : instances) {
    REQUIRE(it.call(*instance, "POST", "/plans/7").status == 200);
  }

  const auto known_limit = [&] { return it.first->context().endpoints.request_limit("p-1"); };
  CHECK(known_limit() == limit);

  SECTION("until it states none in a response of its own") {
    it.plain->limit.clear();
    SECTION("but not when it refuses a request") {
      it.plain->full = true;
      CHECK(it.call(*it.first, "POST", "/plans/7").status == 503);
      CHECK(known_limit() == limit);
    }
    SECTION("nor in a response without its signature") {
      it.plain->omit_signature = true;
      CHECK(it.call(*it.first, "POST", "/plans/7").status != 200);
      CHECK(known_limit() == limit);
    }
    it.plain->full = false;
    it.plain->omit_signature = false;
    REQUIRE(it.loop->run_until(
        [&] {
          it.call(*it.first, "POST", "/plans/7");
          return !known_limit();
        },
        wait_limit));
  }

  SECTION("when many requests come at once to both") {
    it.check_limit(instances, limit);
  }

  SECTION("when the instance that keeps the endpoint's budget is killed") {
    const bool first_keeps =
        it.first->members().members().assigned_member("p-1")->instance == "first";
    (first_keeps ? it.first : it.second).reset();
    it.check_limit({first_keeps ? it.second.get() : it.first.get()}, limit);
  }

  SECTION("when an instance starts again and does not know the limit") {
    it.first.reset();
    it.start("first", it.first);
    REQUIRE(it.call(*it.first, "POST", "/plans/7").status == 200);
    CHECK(known_limit() == limit);
    it.check_limit({it.first.get(), it.second.get()}, limit);
  }
}

} // namespace boragedoor::platform
