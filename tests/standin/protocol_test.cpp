#include "standin/engine_server.h"
#include "standin/instance_server.h"
#include "standin/ordering_server.h"
#include "standin/service_server.h"
#include "standin/store_server.h"
#include "standin/usage_server.h"
#include "standin/weight_server.h"

#include "test_client.h"

namespace boragedoor::standin {

TEST_CASE("the store over HTTP") {
  test_client client;
  store_options options;
  options.history = 3;
  const auto store = store_server::create(client.loop(), options).value();

  SECTION("keys with slashes are put, read, listed and deleted") {
    CHECK(client.send(*store, "GET", "/kv/a/b").status == 404);
    const auto put = client.send(*store, "PUT", "/kv/a/b", {{"value", "x"}, {"expect_version", 0}});
    CHECK(put.status == 200);
    CHECK(put.value() == json{{"version", 1}});
    CHECK(client.send(*store, "GET", "/kv/a/b").value() ==
          json{{"key", "a/b"}, {"value", "x"}, {"version", 1}});
    const auto taken =
        client.send(*store, "PUT", "/kv/a/b", {{"value", "y"}, {"expect_version", 0}});
    CHECK(taken.status == 409);
    CHECK(taken.value()["version"] == 1);
    const json list = client.send(*store, "GET", "/kv?prefix=a/").value();
    CHECK(list["revision"] == 1);
    CHECK(list["entries"].size() == 1);
    CHECK(client.send(*store, "DELETE", "/kv/a/b?expect_version=7").status == 409);
    CHECK(client.send(*store, "DELETE", "/kv/a/b?expect_version=1").status == 200);
    CHECK(client.send(*store, "DELETE", "/kv/a/b").status == 404);
  }

  SECTION("a value may have 1 MiB and no byte more, escapes not counted") {
    const std::string longest(store_state::max_value_bytes, '\n');
    CHECK(client.send(*store, "PUT", "/kv/k", {{"value", longest}}).status == 200);
    CHECK(client.send(*store, "GET", "/kv/k").value()["value"] == longest);
    CHECK(client.send(*store, "PUT", "/kv/k", {{"value", longest + "x"}}).status == 413);
  }

  SECTION("a watch waits for the next change of its prefix") {
    const auto watch = client.start(*store, "GET", "/watch?prefix=w/&after=0&timeout_ms=60000");
    REQUIRE(client.wait([&] { return store->http().stats()["calls"].contains("watch"); }));
    client.send(*store, "PUT", "/kv/other", {{"value", "x"}});
    CHECK_FALSE(watch->is_done());
    client.send(*store, "PUT", "/kv/w/1", {{"value", "x"}});
    REQUIRE(client.wait([&] { return watch->is_done(); }));
    const json seen = watch->value();
    CHECK(seen["revision"] == 2);
    REQUIRE(seen["events"].size() == 1);
    CHECK(seen["events"][0] ==
          json{{"key", "w/1"}, {"value", "x"}, {"version", 2}, {"deleted", false}});
  }

  SECTION("a watch that sees nothing ends empty, and one that is too far behind gets 410") {
    CHECK(client.send(*store, "GET", "/watch?after=0&timeout_ms=1").value()["events"].empty());
    for (int n = 0; n < 5; ++n) {
      client.send(*store, "PUT", "/kv/k", {{"value", std::to_string(n)}});
    }
    const auto behind = client.send(*store, "GET", "/watch?after=1&timeout_ms=1");
    CHECK(behind.status == 410);
    CHECK(behind.value() == json{{"revision", 5}});
  }

  SECTION("an expired lease deletes its key, and a waiting watch sees it without another call") {
    const auto lease = client.send(*store, "POST", "/lease", {{"ttl_ms", 50}}).value()["lease"];
    client.send(*store, "PUT", "/kv/held", {{"value", "x"}, {"lease", lease}});
    const auto watch = client.send(*store, "GET", "/watch?prefix=held&after=1&timeout_ms=60000");
    CHECK(watch.value()["events"][0]["deleted"] == true);
    const std::string path = "/lease/" + lease.get<std::string>();
    CHECK(client.send(*store, "POST", path + "/renew").status == 404);
    CHECK(client.send(*store, "DELETE", path).status == 404);
  }

  SECTION("a lease is renewed and deleted") {
    const auto lease = client.send(*store, "POST", "/lease", {{"ttl_ms", 600000}}).value()["lease"];
    const std::string path = "/lease/" + lease.get<std::string>();
    CHECK(client.send(*store, "POST", path + "/renew").value() == json{{"ttl_ms", 600000}});
    CHECK(client.send(*store, "DELETE", path).status == 200);
  }

  SECTION("reads and writes have their own limits, and a waiting watch is one read") {
    options.writes_per_second = 1e-6;
    options.reads_per_second = 1e-6;
    const auto limited = store_server::create(client.loop(), options).value();
    CHECK(client.send(*limited, "PUT", "/kv/a", {{"value", "x"}}).status == 200);
    CHECK(client.send(*limited, "POST", "/lease", {{"ttl_ms", 1000}}).status == 429);
    CHECK(client.send(*limited, "GET", "/watch?after=0&timeout_ms=1").status == 200);
    CHECK(client.send(*limited, "GET", "/kv/a").status == 429);
  }

  SECTION("malformed calls are refused") {
    CHECK(client.send(*store, "PUT", "/kv/a", {{"value", 1}}).status == 400);
    CHECK(client.send(*store, "PUT", "/kv/a", "text").status == 400);
    CHECK(client.send(*store, "POST", "/lease/renew").status == 404);
    CHECK(client.send(*store, "GET", "/kv/").status == 404);
  }
}

TEST_CASE("the engine over HTTP") {
  test_client client;
  engine_options options;
  options.model = "m";
  options.engine.token_interval = milliseconds(1);
  options.engine.swap_time = duration::zero();
  options.engine.load_lag = duration::zero();
  const auto engine = engine_server::create(client.loop(), options).value();
  json ask{{"model", "m"}, {"prompt", "plan length=3"}, {"max_tokens", 9}, {"seed", 1}};
  const net::headers attempt{{"x-attempt-id", "att-1"}};
  const auto order = [&](const std::string& id, std::int64_t token, const json& more) {
    json body{{"order_id", id}, {"fencing_token", token}};
    body.update(more);
    return client.send(*engine, "POST", "/admin/order", body);
  };

  SECTION("a stream has one frame for each token, a closing frame and the end marker") {
    ask["stream"] = true;
    const auto stream = client.send(*engine, "POST", "/v1/completions", ask, attempt);
    const generated_text text("plan length=3", 1);
    std::string expected;
    for (int n = 0; n < 3; ++n) {
      expected += "data: " +
                  to_text({{"attempt", "att-1"},
                           {"index", n},
                           {"text", text.token(n)},
                           {"weight_version", 1}}) +
                  "\n\n";
    }
    expected +=
        "data: " +
        to_text(
            {{"attempt", "att-1"},
             {"finish_reason", "stop"},
             {"weight_versions", {1}},
             {"usage", {{"prompt_tokens", 4}, {"completion_tokens", 3}, {"cached_tokens", 0}}}}) +
        "\n\ndata: [DONE]\n\n";
    CHECK(stream.body == expected);
  }

  SECTION("an answer without a stream has the same text") {
    const json whole = client.send(*engine, "POST", "/v1/completions", ask, attempt).value();
    const generated_text text("plan length=3", 1);
    CHECK(whole["text"] == text.token(0) + text.token(1) + text.token(2));
    CHECK(whole["attempt"] == "att-1");
    CHECK(whole["finish_reason"] == "stop");
    CHECK(whole["weight_versions"] == json::array({1}));
    CHECK(whole["usage"]["completion_tokens"] == 3);
  }

  SECTION("a version is loaded in mid-answer") {
    ask["prompt"] = "long length=1000000";
    ask["max_tokens"] = 1000000;
    ask["stream"] = true;
    const auto stream = client.start(*engine, "POST", "/v1/completions", ask, attempt);
    const auto has = [&](const char* text) {
      return client.wait([&, text] { return stream->body.find(text) != std::string::npos; });
    };
    REQUIRE(has("\"weight_version\":1"));
    const auto swap = order("o1", 1, {{"kind", "load_version"}, {"version", 2}});
    CHECK(swap.value() == json{{"applied", true}, {"repeated", false}});
    CHECK(has("\"weight_version\":2"));
    CHECK(client.send(*engine, "GET", "/load").value()["running"] == 1);
    stream->cancel();
    CHECK(client.wait([&] { return engine->state().load(client.loop().now()).running == 0; }));
  }

  SECTION("an order with an old token is rejected and listed, a repeated one not executed again") {
    CHECK(order("o1", 5, {{"kind", "set_role"}, {"role", "decode"}}).status == 200);
    const auto stale = order("o2", 4, {{"kind", "set_role"}, {"role", "prefill"}});
    CHECK(stale.status == 409);
    CHECK(stale.value() == json{{"fencing_token", 5}});
    CHECK(order("o1", 5, {{"kind", "set_role"}, {"role", "decode"}}).value()["repeated"] == true);
    CHECK(client.send(*engine, "GET", "/load").value()["role"] == "decode");
    CHECK(client.send(*engine, "GET", "/orders").value()["orders"].size() == 3);
    CHECK(order("o3", 5, {{"kind", "dance"}}).status == 400);
  }

  SECTION("adapters are loaded by order, and a draining engine takes nothing new") {
    ask["adapter"] = "night";
    CHECK(client.send(*engine, "POST", "/v1/completions", ask).status == 404);
    CHECK(order("o1", 1, {{"kind", "load_adapter"}, {"adapter", "night"}}).status == 200);
    CHECK(client.send(*engine, "POST", "/v1/completions", ask).status == 200);
    CHECK(order("o2", 1, {{"kind", "drain"}}).status == 200);
    CHECK(client.send(*engine, "POST", "/v1/completions", ask).status == 503);
    CHECK(client.send(*engine, "GET", "/load").value()["draining"] == true);
  }

  SECTION("unknown models and malformed requests are refused") {
    ask["model"] = "other";
    CHECK(client.send(*engine, "POST", "/v1/completions", ask).status == 404);
    CHECK(client.send(*engine, "POST", "/v1/completions", {{"model", "m"}}).status == 400);
    CHECK(client.send(*engine, "GET", "/v1/completions").status == 404);
  }

  SECTION("cached prefixes are published and moved") {
    const std::string prompt = std::string(prefix_cache::block_bytes, 'p') + " length=1";
    ask["prompt"] = prompt;
    client.send(*engine, "POST", "/v1/completions", ask);
    const std::string hash = prefix_cache::block_hashes(prompt).at(0);
    REQUIRE(client.wait([&] {
      const json list = client.send(*engine, "GET", "/cache-events?after=0").value();
      return list["events"].size() == 1 && list["events"][0]["prefix_hash"] == hash;
    }));
    const auto chain = client.send(*engine, "GET", "/kv-export?prefix_hash=" + hash);
    const auto other = engine_server::create(client.loop(), options).value();
    CHECK(client.send(*other, "POST", "/kv-import", chain.value()).value()["imported"] == 1);
    CHECK(client.send(*other, "GET", "/kv-export?prefix_hash=none").status == 404);
  }
}

TEST_CASE("a plain service runs every request and remembers it") {
  test_client client;
  const auto service = service_server::create(client.loop(), {}).value();
  const auto answer = client.send(*service, "PATCH", "/plans/7?dry=1", {{"a", 1}},
                                  {{"x-attempt-id", "att-1"}, {"X-Other", "o"}});
  CHECK(answer.status == 200);
  CHECK(answer.value() ==
        json{{"method", "PATCH"}, {"path", "/plans/7"}, {"count", 1}, {"attempt", "att-1"}});
  CHECK(net::find_header(answer.fields, "x-attempt-id") == "att-1");
  client.send(*service, "PATCH", "/plans/7");
  const json executed = client.send(*service, "GET", "/executed").value();
  CHECK(executed["total"] == 2);
  CHECK(executed["executed"][0]["body"] == "{\"a\":1}");
  CHECK(executed["executed"][0]["query"]["dry"] == "1");
  CHECK(to_text(executed["executed"][0]["headers"]).find("X-Other") != std::string::npos);
  CHECK(client.send(*service, "GET", "/load").value()["incarnation"] == service->incarnation());
}

TEST_CASE("the small platform services over HTTP") {
  test_client client;

  SECTION("ordering") {
    const auto ordering = ordering_server::create(client.loop(), {}).value();
    const json spare{{"id", "e1"},       {"address", "127.0.0.1:1"}, {"data_centre", "dc-1"},
                     {"pool", "p"},      {"kind", "engine"},         {"tier", "standard"},
                     {"state", "spare"}, {"cost_per_hour", 2.5}};
    CHECK(
        client.send(*ordering, "PUT", "/endpoints", {{"endpoints", json::array({spare})}}).status ==
        200);
    json order{{"order_id", "o1"}, {"fencing_token", 3}, {"data_centre", "dc-1"},
               {"pool", "p"},      {"tier", "standard"}, {"count", 1}};
    CHECK(client.send(*ordering, "POST", "/orders", order).value()["repeated"] == false);
    CHECK(client.send(*ordering, "POST", "/orders", order).value()["repeated"] == true);
    order["fencing_token"] = 2;
    CHECK(client.send(*ordering, "POST", "/orders", order).status == 409);
    CHECK(client.send(*ordering, "GET", "/endpoints").value()["endpoints"][0]["state"] == "live");
    CHECK(client.send(*ordering, "GET", "/orders").value()["orders"].size() == 3);
  }

  SECTION("usage intake") {
    const auto usage = usage_server::create(client.loop(), {}).value();
    json report{{"report_id", "r1"}, {"window", "w1"}, {"shard", 0}, {"figures", {{"a", 1}}}};
    CHECK(client.send(*usage, "POST", "/usage", report).status == 200);
    report["figures"]["a"] = 2;
    CHECK(client.send(*usage, "POST", "/usage", report).status == 200);
    CHECK(client.send(*usage, "GET", "/usage").value()["conflicts"].size() == 1);
    CHECK(client.send(*usage, "POST", "/usage", json::object()).status == 400);
  }

  SECTION("instance list") {
    instance_options options;
    options.lag = duration::zero();
    const auto list = instance_server::create(client.loop(), options).value();
    const json fields{{"address", "127.0.0.1:1"},
                      {"peer_address", "127.0.0.1:2"},
                      {"data_centre", "dc-1"},
                      {"region", "r"},
                      {"state", "live"}};
    CHECK(client.send(*list, "PUT", "/instances/i1", fields).status == 200);
    const json seen = client.send(*list, "GET", "/instances").value();
    CHECK(seen["instances"][0]["id"] == "i1");
    CHECK(seen["instances"][0]["peer_address"] == "127.0.0.1:2");
    CHECK(client.send(*list, "DELETE", "/instances/i1").status == 200);
    CHECK(client.send(*list, "GET", "/instances").value()["instances"].empty());
  }

  SECTION("weight store") {
    weight_options options;
    options.downloads_per_second = 1e-6;
    const auto weights = weight_server::create(client.loop(), options).value();
    CHECK(client.send(*weights, "GET", "/weights/m/latest").status == 404);
    CHECK(client.send(*weights, "POST", "/weights/m", {{"version", 4}}).status == 200);
    CHECK(client.send(*weights, "GET", "/weights/m/latest").value() == json{{"version", 4}});
    CHECK(client.send(*weights, "GET", "/weights/m/4").status == 200);
    CHECK(client.send(*weights, "GET", "/weights/m/4").status == 429);
  }
}

} // namespace boragedoor::standin
