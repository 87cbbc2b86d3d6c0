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

std::int64_t crashes_of(test_cluster& cluster) {
  std::int64_t sum = 0;
  for (const auto& it : cluster.engines) {
    sum += integer_field(it->http().stats()["faults"], "crash_on").value_or(0);
  }
  return sum;
}

} // namespace

// Guards against a request that takes one engine after the other down (crash suspects).
TEST_CASE("a prompt that crashes engines") {
  cluster_options options = slow_engines();
  options.engines = 3;
  test_cluster cluster(options);
  cluster.configure();
  const std::string key = cluster.issue_key("north");
  const std::string expected = expected_text(cluster, prompt_of("innocent"), key);
  for (const auto& it : cluster.engines) {
    start_fault(cluster, *it, {{"kind", "crash_on"}, {"text", "poison"}, {"duration_ms", 500}});
  }
  std::vector<open_call> innocent;
  for (std::size_t n = 0; n < 9; ++n) {
    innocent.push_back(
        open_call::stream(cluster, n % cluster.size(), prompt_of("innocent"), long_length, key));
  }
  cluster.run_for(milliseconds(500));
  const auto poison = open_call::whole(cluster, 0, "poison", 16, key);
  REQUIRE(cluster.await([&] { return poison.done(); }));
  INFO(poison.answer().body);
  CHECK(poison.error_code() == "quarantined");
  CHECK(poison.answer().executed() != "no");
  CHECK(crashes_of(cluster) == 2);

  // Sent again to every instance it is held back, and no other engine crashes.
  cluster.run_for(seconds(1));
  for (std::size_t n = 0; n < cluster.size(); ++n) {
    const auto again = open_call::whole(cluster, n, "poison", 16, key);
    REQUIRE(cluster.await([&] { return again.done(); }));
    CHECK(again.error_code() == "quarantined");
  }
  CHECK(crashes_of(cluster) == 2);
  for (const auto& it : innocent) {
    REQUIRE(cluster.await([&] { return it.done(); }));
    INFO(it.error_code());
    CHECK(it.is_whole());
    CHECK(it.text() == expected);
  }
}

// Guards against a trainer's sample that is held back as a suspect because engines happened to
// crash while they ran it. Samples are never requests that crash engines by themselves.
TEST_CASE("a sample under which engines crashed is still run") {
  cluster_options options = slow_engines();
  options.engines = 3;
  test_cluster cluster(options);
  cluster.configure();
  const std::string key = cluster.issue_key("north");
  REQUIRE(cluster.await_shards());
  for (const auto& it : cluster.engines) {
    start_fault(cluster, *it, {{"kind", "crash_on"}, {"text", "unlucky"}, {"duration_ms", 300}});
  }
  const json step = {{"model", "planner"},
                     {"weight_version", 1},
                     {"staleness_bound", 2},
                     {"max_tokens", 4},
                     {"groups", json::array({{{"id", "g1"}, {"prompt", "unlucky"}, {"size", 1}}})}};
  const std::string path = "/v1/trainers/tuner/steps/1";
  REQUIRE(cluster.call_with_key(0, "PUT", path, step, key).status < 300);
  REQUIRE(cluster.await([&] { return crashes_of(cluster) >= 2; }));
  cluster.run_for(seconds(1));
  for (const auto& it : cluster.engines) {
    it->http().clear_faults();
  }
  const auto batch =
      cluster.call_with_key(0, "GET", path + "/batches?after=0&wait_ms=20000", json(), key);
  INFO(batch.body);
  CHECK(batch.status == 200);
  CHECK(batch.body.find("quarantined") == std::string::npos);
  CHECK(batch.body.find("\"text\"") != std::string::npos);
}

} // namespace boragedoor::testing
