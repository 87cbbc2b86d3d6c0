#include "standin/engine_server.h"
#include "standin/service_server.h"
#include "standin/store_server.h"

#include "test_client.h"

namespace boragedoor::standin {

TEST_CASE("faults of a plain service") {
  test_client client;
  const auto service = service_server::create(client.loop(), {}).value();
  const auto call = [&](const char* attempt = "att-1") {
    return client.send(*service, "POST", "/work", json::object(), {{"x-attempt-id", attempt}});
  };
  const auto start = [&] { return client.start(*service, "POST", "/work", json::object()); };
  const auto executed = [&] { return service->executed()["total"].get<int>(); };
  REQUIRE(call().status == 200);

  SECTION("an outage answers 503 and executes nothing, for as many calls as ordered") {
    client.fault(*service, {{"kind", "outage"}, {"count", 2}});
    CHECK(call().status == 503);
    CHECK(call().status == 503);
    CHECK(call().status == 200);
    CHECK(executed() == 2);
    const json stats = client.send(*service, "GET", "/stats").value();
    CHECK(stats["calls"]["request"] == 4);
    CHECK(stats["faults"]["outage"] == 2);
  }

  SECTION("an outage lasts until it is cleared") {
    client.fault(*service, {{"kind", "outage"}});
    CHECK(call().status == 503);
    CHECK(client.send(*service, "DELETE", "/fault").value()["cleared"] == 1);
    CHECK(call().status == 200);
  }

  SECTION("an outage may refuse connections for a time") {
    service->http().apply(
        parse_fault({{"kind", "outage"}, {"mode", "refuse"}, {"duration_ms", 100}}, {}).value());
    CHECK(call().failed);
    CHECK(client.wait([&] { return !service->http().is_down(); }));
    CHECK(call().status == 200);
  }

  SECTION("a fault may concern one kind of call") {
    client.fault(*service, {{"kind", "outage"}, {"call", "load"}});
    CHECK(call().status == 200);
    CHECK(client.send(*service, "GET", "/load").status == 503);
  }

  SECTION("a rate limit answers 429 and executes nothing") {
    client.fault(*service, {{"kind", "rate_limit"}, {"count", 1}});
    CHECK(call().status == 429);
    CHECK(executed() == 1);
  }

  SECTION("a lost answer has taken effect") {
    client.fault(*service, {{"kind", "lost_answer"}, {"count", 1}});
    const auto lost = call();
    CHECK(lost.failed);
    CHECK_FALSE(lost.refused);
    CHECK(executed() == 2);
    CHECK(call().status == 200);
  }

  SECTION("a slow call takes effect at once and answers later") {
    client.fault(*service, {{"kind", "slow"}, {"count", 1}, {"delay_ms", 300}});
    const auto slow = start();
    REQUIRE(client.wait([&] { return executed() == 2; }));
    CHECK_FALSE(slow->is_done());
    REQUIRE(client.wait([&] { return slow->is_done(); }));
    CHECK(slow->status == 200);
  }

  SECTION("a late delivery takes effect even when its caller has left") {
    client.fault(*service, {{"kind", "late_delivery"}, {"count", 1}, {"delay_ms", 300}});
    const auto late = start();
    REQUIRE(client.wait([&] { return service->http().stats()["calls"]["request"] == 2; }));
    CHECK(executed() == 1);
    late->cancel();
    CHECK(client.wait([&] { return executed() == 2; }));
  }

  SECTION("a stalled call never answers, and has effect only if ordered so") {
    client.fault(*service, {{"kind", "stall"}, {"count", 1}});
    const auto first = start();
    REQUIRE(client.wait([&] { return service->http().stats()["calls"]["request"] == 2; }));
    client.fault(*service, {{"kind", "stall"}, {"count", 1}, {"executed", true}});
    const auto second = start();
    REQUIRE(client.wait([&] { return executed() == 2; }));
    CHECK(call().status == 200);
    CHECK_FALSE(first->is_done());
    CHECK_FALSE(second->is_done());
  }

  SECTION("a wrong attempt id is nobody's, a crossed one belongs to the call before") {
    client.fault(*service, {{"kind", "wrong_attempt"}, {"count", 1}});
    const auto wrong = call("att-2");
    CHECK(wrong.value()["attempt"] == "att-2-wrong");
    CHECK(net::find_header(wrong.fields, "x-attempt-id") == "att-2-wrong");
    client.fault(*service, {{"kind", "crossed_attempt"}, {"count", 1}});
    CHECK(call("att-3").value()["attempt"] == "att-2");
    CHECK(call("att-4").value()["attempt"] == "att-4");
  }

  SECTION("open connections go silent while new ones work") {
    net::http_client old_connection(client.loop());
    bool answered = false;
    int replies = 0;
    const auto ask = [&] {
      net::http_call_spec spec;
      spec.target = service->local_address();
      spec.progress_timeout = generous_wait;
      net::http_callbacks callbacks;
      callbacks.on_reply = [&](const net::http_reply& /*reply*/) {
        answered = true;
        ++replies;
      };
      old_connection.send(spec, callbacks);
    };
    ask();
    REQUIRE(client.wait([&] { return answered; }));
    // The client takes the connection back for reuse in a call that it posted before this one.
    bool kept = false;
    client.loop().post([&kept] { kept = true; });
    REQUIRE(client.wait([&] { return kept; }));
    service->http().apply(parse_fault({{"kind", "silent_connections"}}, {}).value());
    ask();
    const auto before = executed();
    // A caller without an idle connection opens a new one.
    net::http_client other(client.loop());
    bool served = false;
    net::http_call_spec spec;
    spec.target = service->local_address();
    net::http_callbacks callbacks;
    callbacks.on_reply = [&](const net::http_reply& reply) { served = reply.status == 200; };
    other.send(spec, callbacks);
    REQUIRE(client.wait([&] { return served; }));
    REQUIRE(client.wait([&] { return service->http().stats()["calls"]["request"] == 4; }));
    CHECK(replies == 1);
    CHECK(executed() == before + 1);
  }

  SECTION("a crash drops connections, refuses for a time and changes the incarnation") {
    const std::string before = service->incarnation();
    client.fault(*service, {{"kind", "crash"}, {"duration_ms", 100}});
    CHECK(call().failed);
    CHECK(service->incarnation() != before);
    REQUIRE(client.wait([&] { return !service->http().is_down(); }));
    CHECK(call().status == 200);
  }

  SECTION("a stand-in that vanishes does not come back") {
    client.fault(*service, {{"kind", "vanish"}});
    CHECK(call().failed);
    service->http().crash(duration::zero());
    client.loop().run_until([] { return false; }, milliseconds(100));
    const auto gone = call();
    CHECK(gone.failed);
    CHECK(gone.refused);
  }

  SECTION("an unknown fault is refused") {
    for (const json& body : {json{{"kind", "rain"}}, json{{"kind", "slow"}, {"delay_ms", -1}},
                             json{{"kind", "stall"}, {"mode", "x"}}, json{{"kind", "crash_on"}},
                             json{{"kind", "slow"}, {"count", "many"}}}) {
      CHECK(client.send(*service, "POST", "/fault", body).status == 400);
    }
  }
}

TEST_CASE("faults of an engine") {
  test_client client;
  engine_options options;
  options.engine.token_interval = milliseconds(1);
  options.engine.swap_time = duration::zero();
  options.engine.load_lag = duration::zero();
  const auto engine = engine_server::create(client.loop(), options).value();
  json ask{{"prompt", "plan length=5"}, {"max_tokens", 9}, {"stream", true}};
  const auto start = [&] {
    return client.start(*engine, "POST", "/v1/completions", ask, {{"x-attempt-id", "a"}});
  };

  SECTION("a stream stops in the middle and stays open") {
    client.fault(*engine, {{"kind", "stall"}, {"mode", "mid_stream"}, {"frames", 2}, {"count", 1}});
    const auto stalled = start();
    REQUIRE(client.wait([&] { return stalled->body.find("\"index\":1") != std::string::npos; }));
    // The engine has nothing left to send once the next answer is whole.
    const auto whole = start();
    REQUIRE(client.wait([&] { return whole->is_done(); }));
    CHECK(whole->body.ends_with("data: [DONE]\n\n"));
    CHECK(stalled->body.find("\"index\":2") == std::string::npos);
    CHECK_FALSE(stalled->is_done());
  }

  SECTION("a lost stream has run") {
    client.fault(*engine, {{"kind", "lost_answer"}, {"count", 1}});
    const auto lost = start();
    REQUIRE(client.wait([&] { return lost->is_done(); }));
    CHECK(lost->failed);
    CHECK(lost->body.empty());
  }

  SECTION("a wrong attempt id is in every frame") {
    client.fault(*engine, {{"kind", "wrong_attempt"}, {"count", 1}});
    const auto wrong = start();
    REQUIRE(client.wait([&] { return wrong->is_done(); }));
    CHECK(wrong->body.find("\"attempt\":\"a\"") == std::string::npos);
    CHECK(wrong->body.find("\"attempt\":\"a-wrong\"") != std::string::npos);
  }

  SECTION("a swap fails and can be ordered again") {
    client.fault(*engine, {{"kind", "swap_failure"}, {"count", 1}});
    const json order{
        {"order_id", "o1"}, {"fencing_token", 1}, {"kind", "load_version"}, {"version", 2}};
    const auto failed = client.send(*engine, "POST", "/admin/order", order);
    CHECK(failed.status == 500);
    CHECK(failed.value()["applied"] == false);
    CHECK(client.send(*engine, "GET", "/load").value()["weight_version"] == 1);
    CHECK(client.send(*engine, "POST", "/admin/order", order).value()["repeated"] == false);
    CHECK(client.send(*engine, "GET", "/load").value()["weight_version"] == 2);
  }

  SECTION("a marked prompt crashes the engine, whoever else runs on it") {
    client.fault(*engine, {{"kind", "crash_on"}, {"text", "poison"}, {"duration_ms", 50}});
    const std::string before = engine->incarnation();
    ask["prompt"] = "long length=1000000";
    ask["max_tokens"] = 1000000;
    const auto bystander = start();
    REQUIRE(client.wait([&] { return !bystander->body.empty(); }));
    ask["prompt"] = "some poison";
    const auto culprit = start();
    REQUIRE(client.wait([&] { return bystander->is_done() && culprit->is_done(); }));
    CHECK(bystander->failed);
    CHECK(culprit->failed);
    CHECK(engine->incarnation() != before);
    REQUIRE(client.wait([&] { return !engine->http().is_down(); }));
    CHECK(client.send(*engine, "GET", "/load").value()["running"] == 0);

    SECTION("each time it comes") {
      const auto again = start();
      REQUIRE(client.wait([&] { return again->is_done(); }));
      CHECK(again->failed);
    }
  }

  SECTION("a request whose connection was dropped by an outage is given up") {
    ask["prompt"] = "long length=1000000";
    ask["max_tokens"] = 1000000;
    const auto stream = start();
    REQUIRE(client.wait([&] { return !stream->body.empty(); }));
    client.fault(*engine, {{"kind", "outage"}, {"mode", "refuse"}, {"duration_ms", 50}});
    REQUIRE(client.wait([&] { return stream->is_done(); }));
    CHECK(client.wait([&] { return engine->state().load(client.loop().now()).running == 0; }));
  }
}

TEST_CASE("the store keeps its content through a crash, and drops waiting watches") {
  test_client client;
  const auto store = store_server::create(client.loop(), {}).value();
  client.send(*store, "PUT", "/kv/a", {{"value", "x"}});
  const auto watch = client.start(*store, "GET", "/watch?after=1&timeout_ms=60000");
  REQUIRE(client.wait([&] { return store->http().stats()["calls"].contains("watch"); }));
  client.fault(*store, {{"kind", "crash"}, {"duration_ms", 50}});
  REQUIRE(client.wait([&] { return watch->is_done(); }));
  CHECK(watch->failed);
  REQUIRE(client.wait([&] { return !store->http().is_down(); }));
  CHECK(client.send(*store, "GET", "/kv/a").value()["value"] == "x");
}

} // namespace boragedoor::standin
