#include <algorithm>

#include <catch2/catch.hpp>

#include "daemon/open_call.h"

namespace boragedoor::testing {

namespace {

constexpr int long_length = 120;

cluster_options slow_engines() {
  cluster_options options;
  options.engine.token_interval = milliseconds(20);
  return options;
}

std::string prompt_of(const std::string& name) {
  return name + " length=" + std::to_string(long_length);
}

/// The text without any failure. The stand-ins make it from the prompt and the seed alone.
std::string expected_text(test_cluster& cluster, const std::string& prompt,
                          const std::string& key) {
  const auto whole = open_call::whole(cluster, 0, prompt, long_length, key);
  REQUIRE(cluster.await([&] { return whole.done(); }));
  std::string text = text_of(whole.answer());
  REQUIRE_FALSE(text.empty());
  return text;
}

/// The engine that got a completion since `before` was counted.
std::size_t engine_since(test_cluster& cluster, const std::vector<std::int64_t>& before) {
  for (std::size_t n = 0; n < cluster.engines.size(); ++n) {
    if (calls_of(*cluster.engines[n], "completion") > before[n]) {
      return n;
    }
  }
  FAIL("no engine got the request");
  return 0;
}

std::vector<std::int64_t> completions_of(const test_cluster& cluster) {
  std::vector<std::int64_t> list;
  for (const auto& it : cluster.engines) {
    list.push_back(calls_of(*it, "completion"));
  }
  return list;
}

} // namespace

// Guards against a caller that gets a cut, repeated or mixed text after a crash (G1, G9).
TEST_CASE("an engine crash in mid-stream") {
  test_cluster cluster(slow_engines());
  cluster.configure();
  const std::string key = cluster.issue_key("north");
  const std::string expected = expected_text(cluster, prompt_of("crash"), key);
  // The engines have different versions, so that the text has two.
  REQUIRE(cluster
              .call(cluster.engines[1]->local_address(), "POST", "/admin/order",
                    R"({"order_id":"t","fencing_token":1,"kind":"load_version","version":2})")
              .status == 200);

  SECTION("a stream goes on elsewhere and every frame names its version") {
    const auto before = completions_of(cluster);
    const auto stream = open_call::stream(cluster, 1, prompt_of("crash"), long_length, key);
    REQUIRE(cluster.await([&] { return stream.frame_versions().size() > 10; }));
    const auto hit = engine_since(cluster, before);
    cluster.engines[hit]->http().crash(seconds(1));
    REQUIRE(cluster.await([&] { return stream.done(); }));
    CHECK(stream.is_whole());
    CHECK(stream.text() == expected);
    const auto versions = stream.frame_versions();
    CHECK(versions.size() == long_length);
    CHECK(versions.front() == (hit == 0 ? 1 : 2));
    CHECK(versions.back() == (hit == 0 ? 2 : 1));
    CHECK(std::ranges::count(versions, 0) == 0);
  }

  SECTION("a whole answer names both versions") {
    const auto before = completions_of(cluster);
    const auto whole = open_call::whole(cluster, 1, prompt_of("crash"), long_length, key);
    cluster.run_for(milliseconds(600));
    REQUIRE_FALSE(whole.done());
    cluster.engines[engine_since(cluster, before)]->http().crash(seconds(1));
    REQUIRE(cluster.await([&] { return whole.done(); }));
    INFO(whole.answer().body);
    CHECK(text_of(whole.answer()) == expected);
    CHECK(whole.answer().value()["weight_versions"] == json::array({1, 2}));
  }

  SECTION("while the store is down as well") {
    start_fault(cluster, *cluster.store, {{"kind", "outage"}});
    const auto before = completions_of(cluster);
    const auto stream = open_call::stream(cluster, 2, prompt_of("crash"), long_length, key);
    REQUIRE(cluster.await([&] { return stream.frame_versions().size() > 10; }));
    cluster.engines[engine_since(cluster, before)]->http().crash(seconds(1));
    REQUIRE(cluster.await([&] { return stream.done(); }));
    CHECK(stream.is_whole());
    CHECK(stream.text() == expected);
  }
}

// Guards against requests that wait for ever on a connection that went silent (G9).
TEST_CASE("connections to an engine that go silent") {
  test_cluster cluster(slow_engines());
  cluster.configure();
  const std::string key = cluster.issue_key("north");
  const std::string expected = expected_text(cluster, prompt_of("silent"), key);
  const auto stream = open_call::stream(cluster, 0, prompt_of("silent"), long_length, key);
  REQUIRE(cluster.await([&] { return stream.frame_versions().size() > 10; }));
  for (const auto& it : cluster.engines) {
    start_fault(cluster, *it, {{"kind", "silent_connections"}});
  }
  const auto late = open_call::whole(cluster, 0, prompt_of("silent"), long_length, key);
  REQUIRE(cluster.await([&] { return stream.done() && late.done(); }));
  CHECK(stream.is_whole());
  CHECK(stream.text() == expected);
  CHECK(text_of(late.answer()) == expected);
}

// Guards against new work on an endpoint that is about to stop (G12), and against a stop that
// cuts running work (G13).
TEST_CASE("an endpoint that starts to drain") {
  test_cluster cluster(slow_engines());
  cluster.configure();
  const std::string key = cluster.issue_key("north");
  const std::string expected = expected_text(cluster, prompt_of("drain"), key);
  const auto before = completions_of(cluster);
  const auto stream = open_call::stream(cluster, 0, "drain length=400", 400, key);
  REQUIRE(cluster.await([&] { return stream.frame_versions().size() > 3; }));
  const auto draining = engine_since(cluster, before);
  json table = cluster.ordering->state().list(cluster.loop().now());
  for (json& row : table["endpoints"]) {
    if (row["id"] == "engine-" + std::to_string(draining)) {
      row["state"] = "draining";
    }
  }
  REQUIRE(cluster.ordering->state().replace(table));
  // "No new work after a few seconds"; the table is read every second.
  cluster.run_for(seconds(3));
  const auto then = completions_of(cluster);
  for (std::size_t n = 0; n < 12; ++n) {
    const auto one = open_call::whole(cluster, n % cluster.size(), "short", 4, key);
    REQUIRE(cluster.await([&] { return one.done(); }));
    CHECK(one.answer().status == 200);
  }
  const auto now = completions_of(cluster);
  CHECK(now[draining] == then[draining]);
  CHECK(now[1 - draining] == then[1 - draining] + 12);
  REQUIRE(cluster.await([&] { return stream.done(); }));
  CHECK(stream.is_whole());
  // It ran to its end where it was.
  CHECK(completions_of(cluster)[draining] == before[draining] + 1);
}

} // namespace boragedoor::testing
