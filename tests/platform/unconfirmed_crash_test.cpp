#include "crash_fixture.h"

namespace boragedoor::platform {

// Guards against a request that crashes the last endpoints of a service being sent to each process
// that comes back, because the instance takes the service that is down for lost links of its own
// and does not count the crashes.
TEST_CASE("a crash counts although the other endpoints of the service are down") {
  crash_fixture it;
  const auto crash_some = [&](int count) {
    it.wait_for_endpoints(*it.first);
    int n = 0;
    it.for_each_endpoint([&](replica_stand_in& one) {
      if (n++ < count) {
        one.crash_and_restart();
      }
    });
  };
  const auto check_repetitions = [&](int down) {
    constexpr std::size_t repetitions = 8;
    for (std::size_t n = 0; it.executions("x") < crashes_before_bound; ++n) {
      REQUIRE(n < repetitions);
      crash_some(down);
      it.send_crashing(*it.first);
    }
    it.loop->run_until([] { return false; }, settling_time);
    const std::size_t before = it.executions("x");
    for (std::size_t n = 0; n < repetitions; ++n) {
      crash_some(down);
      it.send_crashing(*it.first);
    }
    CHECK(it.executions("x") - before <= allowed_retries);
    it.wait_for_endpoints(*it.first);
    CHECK(it.call(*it.first, "POST", "/plans/7", "another body").status == 200);
  };

  for (const int down : {2, 3}) {
    DYNAMIC_SECTION("with " << down << " of four down when the request arrives") {
      SECTION("and no endpoint of another service") {
        check_repetitions(down);
      }
      SECTION("and an endpoint of another service") {
        it.start_engine();
        check_repetitions(down);
      }
    }
  }
}

} // namespace boragedoor::platform
