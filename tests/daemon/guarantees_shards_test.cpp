#include <catch2/catch.hpp>

#include "daemon/open_call.h"
#include "standin/trainer_client.h"

namespace boragedoor::testing {

namespace {

constexpr std::int64_t samples_per_step = 32;

/// A cluster with a trainer, usage windows of two seconds and light engines.
class training {
public:
  explicit training(const std::string& fencing = "checks_token") : cluster(options(fencing)) {
    cluster.configure();
    key = cluster.issue_key("north");
    REQUIRE(cluster.await_shards());
  }

  void start(std::int64_t steps) {
    standin::trainer_options trainer;
    trainer.trainer = "tuner";
    trainer.model = "planner";
    trainer.key = key;
    trainer.groups = 8;
    trainer.group_size = 4;
    trainer.max_tokens = 64;
    trainer.steps = steps;
    trainer.staleness_bound = 2;
    trainer.weight_store = cluster.weights->local_address();
    for (std::size_t n = 0; n < cluster.size(); ++n) {
      trainer.targets.push_back(cluster.address_of(n));
    }
    client = std::make_unique<standin::trainer_client>(cluster.loop(), trainer);
    client->start([] {});
  }

  /// Waits for the trainer; it must have got every sample once, as its own checks see it.
  void finish(std::int64_t steps) {
    REQUIRE(cluster.await([&] { return client->is_done(); }, seconds(60)));
    INFO(to_text(client->summary()));
    CHECK(client->summary()["violations"].empty());
    CHECK(client->summary()["samples"] == steps * samples_per_step);
  }

  json reports() { return cluster.call(cluster.intake->local_address(), "GET", "/usage").value(); }

  /// Waits for reports that name the workspace after this moment, without a conflict.
  void check_usage() {
    const auto before = reports()["reports"].size();
    CHECK(cluster.await([&] { return reports()["reports"].size() > before; }));
    CHECK(reports()["conflicts"].empty());
  }

  test_cluster cluster;
  std::string key;
  std::unique_ptr<standin::trainer_client> client;

private:
  static cluster_options options(const std::string& fencing) {
    cluster_options it;
    it.usage_window_ms = 2000;
    it.engine_fencing = fencing;
    return it;
  }
};

/// An instance other than `not_this`.
std::size_t other_than(std::size_t not_this) {
  return not_this == 0 ? 1 : 0;
}

} // namespace

// Guards against samples or usage windows that are lost or come twice with their holder (G3, G8).
TEST_CASE("an instance that is gone while it holds shards") {
  training it;
  it.start(3);
  REQUIRE(it.cluster.await([&] { return it.client->summary()["samples"] >= 8; }));

  SECTION("the holder of the trainer's shard") {
    const int holder = holder_of(it.cluster, 0, "trainer/tuner");
    REQUIRE(holder >= 0);
    const auto gone = static_cast<std::size_t>(holder);
    it.cluster.stop_instance(gone);
    it.finish(3);
    const int next = holder_of(it.cluster, other_than(gone), "trainer/tuner");
    CHECK(next >= 0);
    CHECK(next != holder);
    it.check_usage();
  }

  SECTION("a holder of usage shards, while the store is down") {
    const int holder = holder_of(it.cluster, 0, "usage/0");
    REQUIRE(holder >= 0);
    const auto gone = static_cast<std::size_t>(holder);
    start_fault(it.cluster, *it.cluster.store, {{"kind", "outage"}});
    it.cluster.run_for(seconds(1));
    it.cluster.stop_instance(gone);
    it.cluster.run_for(seconds(3));
    it.cluster.store->http().clear_faults();
    it.finish(3);
    REQUIRE(
        it.cluster.await([&] { return holder_of(it.cluster, other_than(gone), "usage/0") >= 0; }));
    CHECK(holder_of(it.cluster, other_than(gone), "usage/0") != holder);
    it.check_usage();
  }
}

// Guards against steps and usage windows that are written twice when the store's answer is lost.
TEST_CASE("store answers that are lost during steps and usage freezes") {
  training it;
  it.start(3);
  for (int n = 0; n < 8; ++n) {
    start_fault(it.cluster, *it.cluster.store,
                {{"kind", "lost_answer"}, {"call", "kv_put"}, {"count", 2}});
    it.cluster.run_for(milliseconds(500));
  }
  CHECK(integer_field(it.cluster.store->http().stats()["faults"], "lost_answer").value_or(0) >= 8);
  it.cluster.store->http().clear_faults();
  it.finish(3);
  it.check_usage();
}

// Guards against a stop that interrupts work or keeps its shards (G13).
TEST_CASE("an instance that drains") {
  cluster_options options;
  options.engine.token_interval = milliseconds(20);
  test_cluster cluster(options);
  cluster.configure();
  const std::string key = cluster.issue_key("north");
  REQUIRE(cluster.await_shards());
  const int holder = holder_of(cluster, 0, "trainer/tuner");
  REQUIRE(holder >= 0);
  const auto leaving = static_cast<std::size_t>(holder);
  const std::string id = "i" + std::to_string(holder);
  const auto stream = open_call::stream(cluster, leaving, "drain length=200", 200, key);
  REQUIRE(cluster.await([&] { return stream.frame_versions().size() > 3; }));

  const auto asked =
      cluster.operate(other_than(leaving), "POST", "/admin/instances/" + id + "/drain");
  REQUIRE(asked.status == 200);
  const auto listed = [&] {
    for (std::size_t n = 0; n < cluster.size(); ++n) {
      const json rows =
          cluster.call(cluster.address_of(n), "GET", "/v1/addresses").value()["addresses"];
      for (const json& row : rows) {
        if (row["instance"] == id) {
          return true;
        }
      }
    }
    return false;
  };
  // "Within seconds"; the announcement goes out with the next messages between peers.
  CHECK(cluster.await([&] { return !listed(); }, seconds(4)));
  CHECK_FALSE(stream.done());
  REQUIRE(cluster.await([&] { return stream.done(); }));
  CHECK(stream.is_whole());
  CHECK(stream.frame_versions().size() == 200);

  const auto finished = [&] {
    const json events = cluster.operate(leaving, "GET", "/admin/events").value()["events"];
    for (const json& row : events) {
      if (row["name"] == "drain_finished") {
        CHECK(row["details"]["open_requests"] <= 1);
        return true;
      }
    }
    return false;
  };
  REQUIRE(cluster.await(finished));
  const int next = holder_of(cluster, other_than(leaving), "trainer/tuner");
  CHECK(next != holder);
  cluster.stop_instance(leaving);
  REQUIRE(cluster.await(
      [&] { return holder_of(cluster, other_than(leaving), "trainer/tuner") >= 0; }, seconds(4)));
}

} // namespace boragedoor::testing
