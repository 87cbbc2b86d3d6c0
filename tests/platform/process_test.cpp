#include "platform_fixture.h"

namespace boragedoor::platform {

TEST_CASE("forwarding a caller's request") {
  platform_fixture it;

  SECTION("a request carries its workspace to the replica, and its response is signed") {
    const auto out = it.call(*it.first, "POST", "/plans/7?x=1", "body");
    CHECK(out.status == 200);
    CHECK(out.body == "answer to a1");
    CHECK(net::find_header(out.headers, "Response-Signature") == "sig-a1");
    CHECK(it.plain->last.target == "/plans/7?x=1");
    CHECK(it.plain->last.body == "body");
    CHECK(net::find_header(it.plain->last.headers, "Tenant") == "north");
    CHECK(net::find_header(it.plain->last.headers, "Authorization").empty());
  }

  SECTION("a request with an unknown key or path is rejected and not executed") {
    CHECK(it.call(*it.first, "POST", "/plans/7", "", "wrong").status == 401);
    CHECK(it.call(*it.first, "POST", "/nowhere", "").status == 404);
    CHECK(it.plain->executed_ids.empty());
  }

  SECTION("a request that no replica can take is rejected at once with Retry-After") {
    it.plain->full = true;
    const auto out = it.call(*it.first, "POST", "/plans/7");
    CHECK(out.status == 503);
    CHECK(net::find_header(out.headers, "Retry-After").starts_with("0."));
    CHECK(net::find_header(out.headers, "Response-Signature").empty());
    CHECK(it.plain->executed_ids.empty());
  }

  SECTION("a success without the replica's signature is not forwarded") {
    it.plain->omit_signature = true;
    CHECK(it.call(*it.first, "POST", "/plans/7").status == 502);
  }

  SECTION("a request runs at a second replica when the first does not respond") {
    it.plain->silent = true;
    replica_stand_in other(*it.loop, it.store, {.id = "p-2", .service = "plain", .zone = "z2"});
    REQUIRE(it.loop->run_until([&] { return it.first->context().endpoints.find("p-2") != nullptr; },
                               wait_limit));
    CHECK(it.call(*it.first, "POST", "/plans/7").status == 200);
    CHECK(other.executed_ids == std::vector<std::string>{"a1"});
  }

  SECTION("requests follow a new configuration once it is written, and never an older one") {
    json next = make_configuration(8);
    next["tenants"][0]["api_keys"] = {"key-2"};
    it.store.put("op/config", next);
    REQUIRE(
        it.loop->run_until([&] { return it.first->context().routes.version() == 8; }, wait_limit));
    CHECK(it.call(*it.first, "POST", "/plans/7").status == 401);
    it.store.put("op/config", make_configuration(5));
    it.loop->run_until([] { return false; }, milliseconds(100));
    CHECK(it.call(*it.first, "POST", "/plans/7").status == 401);
    CHECK(it.call(*it.first, "POST", "/plans/7", "", "key-2").status == 200);
  }
}

TEST_CASE("running a batch job") {
  platform_fixture it;
  it.start_engine();

  SECTION("a job is stored, run, scored and listed, and submitting it again does not rerun it") {
    CHECK(it.call(*it.first, "POST", "/jobs/j1", to_text(make_job()), "key-n", "j1").status == 202);
    CHECK(it.call(*it.first, "POST", "/jobs/j1", to_text(make_job()), "key-n", "j1").status == 202);
    const auto results = it.read_all(*it.first, "j1");
    REQUIRE(results.size() == 4);
    CHECK(results.at("i0")["output"] == "t1\nt2\nt3");
    CHECK(results.at("i0")["versions"] == json::array({1}));
    CHECK(results.at("i0")["score"] == "sig-w0");
    CHECK(it.engine->executed_ids.size() == 4);

    SECTION("another instance returns the same results") {
      it.start("second", it.second);
      CHECK(it.read_all(*it.second, "j1") == results);
      CHECK(it.call(*it.second, "GET", "/items/j1?id=i2").body == "body of i2");
    }
    SECTION("other workspaces cannot access the job") {
      json next = make_configuration(9);
      next["tenants"].push_back({{"name", "south"}, {"api_keys", {"key-s"}}});
      it.store.put("op/config", next);
      REQUIRE(it.loop->run_until([&] { return it.first->context().routes.version() == 9; },
                                 wait_limit));
      CHECK(it.call(*it.first, "GET", "/lots/j1?after=0", "", "key-s").status == 404);
      CHECK(it.call(*it.first, "DELETE", "/lots/j1", "", "key-s").status == 404);
      CHECK(it.call(*it.first, "GET", "/lots/j1?after=0", "", "wrong").status == 401);
    }
    CHECK(it.call(*it.first, "GET", "/lots/none?after=0").status == 404);
  }

  SECTION("a job is rejected while the store rejects writes, and does not run later") {
    it.store.set_fault(store_fault::refuse);
    CHECK(it.call(*it.first, "POST", "/jobs/j1", to_text(make_job()), "key-n", "j1").status == 503);
    it.store.set_fault(store_fault::none);
    it.loop->run_until([] { return false; }, milliseconds(300));
    CHECK(it.engine->executed_ids.empty());
    CHECK(it.store.keys("boragedoor/jobs/").empty());
  }

  SECTION("a job is accepted when the store's first response is lost") {
    it.store.set_fault(store_fault::lose_answers);
    it.loop->post_after(milliseconds(500), [&] { it.store.set_fault(store_fault::none); });
    CHECK(it.call(*it.first, "POST", "/jobs/j1", to_text(make_job()), "key-n", "j1").status == 202);
    CHECK(it.read_all(*it.first, "j1").size() == 4);
  }

  SECTION("a cancelled job stops running, and it can be cancelled twice") {
    it.engine.reset();
    it.store.erase("servers/e-1");
    it.start_engine(milliseconds(200), 50);
    CHECK(it.call(*it.first, "POST", "/jobs/j1", to_text(make_job()), "key-n", "j1").status == 202);
    REQUIRE(it.loop->run_until([&] { return it.engine->open() == 4; }, wait_limit));
    CHECK(it.call(*it.first, "DELETE", "/lots/j1").status == 200);
    CHECK(it.call(*it.first, "DELETE", "/lots/j1").status == 200);
    REQUIRE(it.loop->run_until([&] { return it.engine->open() == 0; }, wait_limit));
    CHECK(it.engine->executed_ids.size() == 4);
  }
}

TEST_CASE("a batch job completes when its instance stops") {
  platform_fixture it;
  it.start_engine(milliseconds(100), 10);
  it.start("second", it.second);
  REQUIRE(it.call(*it.first, "POST", "/jobs/j1", to_text(make_job()), "key-n", "j1").status == 202);
  REQUIRE(it.loop->run_until([&] { return it.engine->executed_ids.size() == 4; }, wait_limit));

  SECTION("another instance takes over the job of a killed instance") {
    it.first.reset();
  }
  SECTION("a draining instance finishes its job or hands it over") {
    it.first->drain();
  }
  const auto results = it.read_all(*it.second, "j1");
  REQUIRE(results.size() == 4);
  for (const auto& [id, result] : results) {
    CHECK(result["state"] == "done");
    CHECK(result["output"] == "t1\nt2\nt3\nt4\nt5\nt6\nt7\nt8\nt9\nt10");
  }
}

TEST_CASE("engines load the weight versions that trainers announce") {
  platform_fixture it;
  it.start_engine();
  it.store.put("op/version/m", {{"model", "m"}, {"version", 3}});
  REQUIRE(it.loop->run_until([&] { return it.engine->version() == 3; }, wait_limit));
  it.store.put("op/version/m", {{"model", "m"}, {"version", 5}});
  REQUIRE(it.loop->run_until([&] { return it.engine->version() == 5; }, wait_limit));
}

TEST_CASE("usage of a window is reported with the same counts however often it is sent") {
  platform_fixture it;
  const auto counted = [&](const http1::request& report) {
    return parse_json(report.body).value()["counts"].value("north", 0);
  };
  for (int n = 0; n < 3; ++n) {
    it.call(*it.first, "POST", "/plans/7", "", "key-n", "a" + std::to_string(n));
  }
  // Each of the three requests is reported twice, because the first report is rejected.
  REQUIRE(it.loop->run_until(
      [&] {
        int total = 0;
        for (const http1::request& report : it.reports) {
          total += counted(report);
        }
        return total >= 6;
      },
      2 * wait_limit));

  std::map<std::string, std::string> by_window;
  int sum = 0;
  for (const http1::request& report : it.reports) {
    const std::string window = to_text(parse_json(report.body).value()["window_index"]);
    const auto [first, added] = by_window.emplace(window, report.body);
    CHECK(first->second == report.body);
    sum += added ? counted(report) : 0;
    CHECK(net::find_header(report.headers, "Duty-Holder") == "first");
    CHECK(http1::integer_header(report.headers, "Fencing-Token").value_or(0) > 0);
  }
  CHECK(sum == 3);
}

TEST_CASE("an instance with a disk may be removed at once, because it stores no data there") {
  platform_fixture it;
  it.store.put("op/retire/store-1", {{"duration_s", 10}});
  REQUIRE(it.loop->run_until([&] { return it.store.has("status/retire/store-1"); }, wait_limit));
}

} // namespace boragedoor::platform
