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

} // namespace

// Guards against an endpoint in need getting more requests than the rate that it states, because
// each instance sends it what it would send without a limit.
TEST_CASE("instances together keep the request limit that an endpoint states") {
  constexpr double limit = 5;
  constexpr int requests = 80;
  platform_fixture it;
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

  SECTION("when many requests come at once to both") {
    const std::size_t before = it.plain->executed_ids.size();
    const time_point start = it.loop->now();
    int answered = 0;
    int served = 0;
    for (int n = 0; n < requests; ++n) {
      it.send(*instances[static_cast<std::size_t>(n) % instances.size()], "POST", "/plans/7",
              "b" + std::to_string(n), [&](const http1::response& out) {
                ++answered;
                served += out.status == 200 ? 1 : 0;
                CHECK((out.status == 200 || out.status == 503));
                CHECK((out.status == 200 || !net::find_header(out.headers, "Retry-After").empty()));
              });
    }
    REQUIRE(it.loop->run_until([&] { return answered == requests; }, wait_limit));
    const auto got = static_cast<double>(it.plain->executed_ids.size() - before);
    CHECK(got <= allowed_requests(limit, it.loop->now() - start));
    CHECK(got >= 1);
    CHECK(got == served);
  }
}

} // namespace boragedoor::platform
