#include "platform_fixture.h"

namespace boragedoor::platform {

namespace {

/// Two replicas of the plain service, of which the first will say that it leaves.
struct leaving_fixture : platform_fixture {
  leaving_fixture()
      : other(*loop, store, replica_stand_in::options{.id = "p-2", .service = "plain"}) {
    wait_for("p-2");
  }

  void wait_for(const std::string& id) {
    REQUIRE(loop->run_until([&] { return first->context().endpoints.find(id) != nullptr; },
                            wait_limit));
  }

  /// Sends requests until `plain` has received one.
  void reach_leaving() {
    plain->leaving = true;
    const std::size_t before = plain->received;
    for (int n = 0; plain->received == before; ++n) {
      REQUIRE(n < 100);
      call(*first, "POST", "/plans/7");
    }
  }

  /// Returns the number of twenty requests that reach `plain`.
  std::size_t reaching_plain(const serving_process& at) {
    const std::size_t before = plain->received;
    for (int n = 0; n < 20; ++n) {
      CHECK(call(at, "POST", "/plans/7").status == 200);
    }
    return plain->received - before;
  }

  replica_stand_in other;
};

} // namespace

// Guards against requests to an endpoint that has said in a response that it leaves, because its
// registry entry does not say so.
TEST_CASE("an endpoint that says in a response that it leaves gets no further requests") {
  leaving_fixture it;

  SECTION("whatever the response") {
    SECTION("a success") {
      it.reach_leaving();
    }
    SECTION("a refusal") {
      it.plain->full = true;
      it.reach_leaving();
      it.plain->full = false;
    }
    CHECK(it.reaching_plain(*it.first) == 0);
  }

  SECTION("also when its registry entry is written again as ready") {
    it.reach_leaving();
    it.plain->announce();
    it.loop->run_until([] { return false; }, milliseconds(300));
    CHECK(it.reaching_plain(*it.first) == 0);
  }

  SECTION("also when its registry entry was gone in between") {
    it.reach_leaving();
    it.store.erase("servers/p-1");
    REQUIRE(it.loop->run_until([&] { return it.first->context().endpoints.find("p-1") == nullptr; },
                               wait_limit));
    it.plain->announce();
    it.wait_for("p-1");
    CHECK(it.reaching_plain(*it.first) == 0);
  }

  SECTION("but the next process under its id does") {
    it.reach_leaving();
    it.plain->leaving = false;
    it.plain->restart_with_same_id();
    it.loop->run_until([] { return false; }, milliseconds(300));
    CHECK(it.reaching_plain(*it.first) > 0);
  }

  SECTION("a late response of the former process does not stop requests to the next one") {
    dispatch::service_endpoints& endpoints = it.first->context().endpoints;
    CHECK_FALSE(endpoints.note_leaving({"p-1", endpoints.find("p-1")->process_start_ms - 1}));
    CHECK(it.reaching_plain(*it.first) > 0);
  }

  SECTION("a stream says it in its first bytes") {
    it.start_engine();
    it.engine->leaving = true;
    CHECK(it.call(*it.first, "POST", "/chat/1", "prompt").status == 200);
    const auto again = it.call(*it.first, "POST", "/chat/1", "prompt", "key-n", "a2");
    CHECK(again.status == 503);
    CHECK(it.engine->executed_ids.size() == 1);
  }
}

} // namespace boragedoor::platform
