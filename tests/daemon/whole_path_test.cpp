#include "daemon/test_cluster.h"

#include <catch2/catch.hpp>

#include "standin/trainer_client.h"

namespace boragedoor::testing {

TEST_CASE("the whole path from a questionnaire to a usage report") {
  cluster_options options;
  options.usage_window_ms = 2000;
  test_cluster cluster(options);
  cluster.configure();
  const std::string key = cluster.issue_key("north");

  SECTION("a caller asks where to go and gets instances of its data centre first") {
    const auto answer =
        cluster.call(cluster.address_of(1), "GET", "/v1/addresses?data_centre=dc-1");
    REQUIRE(answer.status == 200);
    const json rows = answer.value()["addresses"];
    REQUIRE(rows.size() == 3);
    CHECK(rows[0]["data_centre"] == "dc-1");
    CHECK(answer.value()["keep_ms"] == 300);
  }

  SECTION("a completion is answered whole and names its weight version") {
    const auto answer = cluster.call_with_key(
        0, "POST", "/v1/completions",
        {{"model", "planner"}, {"prompt", "north road"}, {"max_tokens", 20}}, key);
    INFO(answer.body);
    REQUIRE(answer.status == 200);
    CHECK(answer.value()["weight_versions"] == json::array({1}));
    const auto page = cluster.call(cluster.address_of(0), "GET", "/metrics");
    CHECK(page.body.find("boragedoor_first_token_seconds_count{class=\"lookup\"} 1\n") !=
          std::string::npos);
    CHECK(answer.value()["usage"]["completion_tokens"] > 0);
  }

  SECTION("a streamed completion ends with the end marker and is the same text") {
    const json body = {{"model", "planner"}, {"prompt", "north road"}, {"max_tokens", 20}};
    const auto whole = cluster.call_with_key(0, "POST", "/v1/completions", body, key);
    json streamed = body;
    streamed["stream"] = true;
    const auto answer = cluster.call_with_key(1, "POST", "/v1/completions", streamed, key);
    REQUIRE(answer.status == 200);
    CHECK(answer.body.ends_with("data: [DONE]\n\n"));
    std::string text;
    for (std::size_t from = 0; from < answer.body.size();) {
      const auto end = answer.body.find("\n\n", from);
      const auto event = parse_json(answer.body.substr(from + 6, end - from - 6));
      if (event) {
        text += event.value()["choices"][0]["text"].get<std::string>();
      }
      from = end + 2;
    }
    CHECK(text == whole.value()["choices"][0]["text"]);
  }

  SECTION("a service call reaches the service without the caller's key") {
    const auto answer =
        cluster.call_with_key(2, "GET", "/v1/services/records/plans/7?full=1", json(), key);
    INFO(answer.body);
    REQUIRE(answer.status == 200);
    CHECK(answer.value()["path"] == "/plans/7");
    CHECK(to_text(cluster.services[0]->executed()).find(key) == std::string::npos);
  }

  SECTION("a trainer gets its samples in whole groups and usage is reported once") {
    REQUIRE(cluster.await_shards());
    standin::trainer_options trainer;
    trainer.trainer = "tuner";
    trainer.model = "planner";
    trainer.key = key;
    trainer.groups = 4;
    trainer.group_size = 4;
    trainer.max_tokens = 32;
    trainer.steps = 2;
    trainer.staleness_bound = 2;
    trainer.weight_store = cluster.weights->local_address();
    for (std::size_t n = 0; n < cluster.size(); ++n) {
      trainer.targets.push_back(cluster.address_of(n));
    }
    standin::trainer_client client(cluster.loop(), trainer);
    client.start([] {});
    REQUIRE(cluster.await([&] { return client.is_done(); }, seconds(60)));
    INFO(to_text(client.summary()));
    CHECK(client.summary()["violations"].empty());
    CHECK(client.summary()["samples"] == 32);

    const auto reported = [&] {
      return cluster.call(cluster.intake->local_address(), "GET", "/usage").value();
    };
    REQUIRE(cluster.await([&] { return !reported()["reports"].empty(); }));
    CHECK(reported()["conflicts"].empty());
  }
}

} // namespace boragedoor::testing
