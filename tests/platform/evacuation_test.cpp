#include "platform_fixture.h"

namespace boragedoor::platform {

// Guards against requests of any kind that reach the endpoints of a data centre after operators
// have asked for its evacuation.
TEST_CASE("nothing is sent to the endpoints of an evacuated data centre") {
  platform_fixture it;
  replica_stand_in far(*it.loop, it.store, {.id = "p-2", .service = "plain", .zone = "z2"});
  REQUIRE(it.loop->run_until([&] { return it.first->context().endpoints.find("p-2") != nullptr; },
                             wait_limit));
  const auto& endpoints = it.first->context().endpoints;
  const auto until = [&](const auto& done) { REQUIRE(it.loop->run_until(done, wait_limit)); };
  it.store.put("op/evacuate/z1", json::object());
  until([&] { return endpoints.is_evacuated("z1"); });

  SECTION("requests of callers run in the other data centre") {
    for (int n = 0; n < 10; ++n) {
      CHECK(it.call(*it.first, "POST", "/plans/7", {}, "key-n", "a" + std::to_string(n)).status ==
            200);
    }
    CHECK(it.plain->executed_ids.empty());
    CHECK(far.executed_ids.size() == 10);

    SECTION("and are refused as not executed when that is evacuated as well") {
      it.store.put("op/evacuate/z2", json::object());
      until([&] { return endpoints.is_evacuated("z2"); });
      const auto out = it.call(*it.first, "POST", "/plans/7", {}, "key-n", "b1");
      CHECK(out.status == 503);
      CHECK_FALSE(net::find_header(out.headers, "Retry-After").empty());
      CHECK(far.executed_ids.size() == 10);
    }
  }

  SECTION("an instance that starts meanwhile sends nothing there") {
    it.start("second", it.second);
    CHECK(it.call(*it.second, "POST", "/plans/7").status == 200);
    CHECK(it.plain->executed_ids.empty());
  }

  SECTION("items wait for an engine elsewhere, and their reward calls go there") {
    it.engine = std::make_unique<replica_stand_in>(
        *it.loop, it.store,
        replica_stand_in::options{
            .id = "e-1", .service = "models", .zone = "z1", .model = "m", .events = 3});
    until([&] { return endpoints.find("e-1") != nullptr; });
    CHECK(it.call(*it.first, "POST", "/jobs/j1", to_text(make_job()), "key-n", "j1").status == 202);
    replica_stand_in other(
        *it.loop, it.store,
        {.id = "e-2", .service = "models", .zone = "z2", .model = "m", .events = 3});
    CHECK(it.read_all(*it.first, "j1").size() == 4);
    CHECK(it.engine->executed_ids.empty());
    CHECK(it.plain->executed_ids.empty());
  }

  SECTION("requests run there again once the entry is gone") {
    it.store.erase("op/evacuate/z1");
    until([&] { return !endpoints.is_evacuated("z1"); });
    CHECK(it.call(*it.first, "POST", "/plans/7").status == 200);
    CHECK(it.plain->executed_ids.size() == 1);
  }
}

} // namespace boragedoor::platform
