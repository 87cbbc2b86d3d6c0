#include <catch2/catch.hpp>

#include "daemon/open_call.h"

namespace boragedoor::testing {

namespace {

cluster_options two_services() {
  cluster_options options;
  options.services = 2;
  return options;
}

std::int64_t runs_of(const test_cluster& cluster) {
  std::int64_t sum = 0;
  for (const auto& it : cluster.services) {
    sum += integer_field(it->executed(), "total").value_or(0);
  }
  return sum;
}

} // namespace

// Guards against a second run of a non-idempotent call and against a "no" for one that ran (G10,
// G11).
TEST_CASE("a non-idempotent service call whose answer is lost") {
  test_cluster cluster(two_services());
  cluster.configure();
  const std::string key = cluster.issue_key("north");
  const auto propose = [&](std::size_t instance, const net::headers& fields, int plan = 7) {
    return cluster.call_with_key(instance, "POST", "/v1/services/records/proposals",
                                 {{"plan", plan}}, key, fields);
  };
  const net::headers keyed = {{"Idempotency-Key", "batch-1"}};
  const auto fail_services = [&](const json& fault) {
    for (const auto& it : cluster.services) {
      start_fault(cluster, *it, fault);
    }
  };
  const json lost = {{"kind", "lost_answer"}, {"call", "request"}, {"count", 1}};
  const json stalled = {{"kind", "stall"}, {"call", "request"}, {"count", 1}, {"executed", true}};

  for (const json& fault : {lost, stalled}) {
    DYNAMIC_SECTION("with an idempotency key, " << fault["kind"]) {
      fail_services(fault);
      const auto first = propose(0, keyed);
      INFO(first.body);
      CHECK(first.status >= 400);
      CHECK(first.executed() == "unknown");
      CHECK(runs_of(cluster) == 1);
      for (const auto& it : cluster.services) {
        it->http().clear_faults();
      }
      for (std::size_t n = 0; n < cluster.size(); ++n) {
        const auto again = propose(n, keyed);
        INFO(again.body);
        CHECK(again.error_code() == "outcome_unknown");
        CHECK(again.executed() == "unknown");
      }
      CHECK(runs_of(cluster) == 1);
    }

    DYNAMIC_SECTION("without an idempotency key, " << fault["kind"]) {
      fail_services(fault);
      const auto answer = propose(0, {});
      INFO(answer.body);
      CHECK(answer.status >= 400);
      CHECK(answer.executed() == "unknown");
      CHECK(runs_of(cluster) == 1);
    }
  }

  SECTION("an answer that arrived is repeated by every instance") {
    const auto first = propose(0, keyed);
    REQUIRE(first.status == 200);
    for (std::size_t n = 0; n < cluster.size(); ++n) {
      const auto again = propose(n, keyed);
      CHECK(again.status == 200);
      CHECK(again.body == first.body);
    }
    CHECK(runs_of(cluster) == 1);
    CHECK(propose(1, keyed, 8).error_code() == "idempotency_key_conflict");
    CHECK(runs_of(cluster) == 1);
  }

  SECTION("the same key sent to all instances at once runs once") {
    net::headers fields = keyed;
    fields.emplace_back("Authorization", "Bearer " + key);
    std::vector<open_call> calls;
    for (std::size_t n = 0; n < 9; ++n) {
      calls.emplace_back(cluster, cluster.address_of(n % cluster.size()), "POST",
                         "/v1/services/records/proposals", json{{"plan", 7}}, fields);
    }
    for (const auto& it : calls) {
      REQUIRE(cluster.await([&] { return it.done(); }));
      CHECK((it.answer().status == 200 || it.answer().executed() == "unknown"));
    }
    CHECK(runs_of(cluster) == 1);
  }

  SECTION("the store's answer to the claim is lost") {
    REQUIRE(cluster.await_shards());
    start_fault(cluster, *cluster.store,
                {{"kind", "lost_answer"}, {"call", "kv_put"}, {"count", 1}});
    const auto first = propose(0, keyed);
    INFO(first.body);
    CHECK(first.status == 200);
    const auto again = propose(1, keyed);
    CHECK(again.status == 200);
    CHECK(again.body == first.body);
    CHECK(runs_of(cluster) == 1);
  }

  SECTION("with the store down it is refused and did not run; without a key it runs") {
    start_fault(cluster, *cluster.store, {{"kind", "outage"}});
    net::headers fields = keyed;
    fields.emplace_back("Authorization", "Bearer " + key);
    const open_call refused(cluster, cluster.address_of(0), "POST",
                            "/v1/services/records/proposals", json{{"plan", 7}}, fields);
    // A caller must not wait for its whole deadline of 30 s.
    REQUIRE(cluster.await([&] { return refused.done(); }, seconds(5)));
    INFO(refused.answer().body);
    CHECK(refused.answer().status == 503);
    // An earlier call with this key may have run, so this instance cannot say "no".
    CHECK(refused.error_code() == "store_unavailable");
    CHECK(runs_of(cluster) == 0);
    CHECK(propose(0, {}).status == 200);
    CHECK(runs_of(cluster) == 1);
    cluster.store->http().clear_faults();
    CHECK(cluster.await([&] { return propose(1, keyed).status == 200; }));
    CHECK(runs_of(cluster) == 2);
  }
}

} // namespace boragedoor::testing
