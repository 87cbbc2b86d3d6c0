#include <catch2/catch.hpp>

#include "daemon/open_call.h"

namespace boragedoor::testing {

namespace {

// "In force everywhere within 4 s" is the target of the design page.
constexpr duration in_force = seconds(4);

const json small_request = {{"model", "planner"}, {"prompt", "north road"}, {"max_tokens", 4}};

int status_of(test_cluster& cluster, std::size_t instance, const std::string& key) {
  return cluster.call_with_key(instance, "POST", "/v1/completions", small_request, key).status;
}

bool all_answer(test_cluster& cluster, const std::string& key, int status) {
  for (std::size_t n = 0; n < cluster.size(); ++n) {
    if (status_of(cluster, n, key) != status) {
      return false;
    }
  }
  return true;
}

void start_outage(test_cluster& cluster) {
  start_fault(cluster, *cluster.store, {{"kind", "outage"}});
}

} // namespace

// Guards against a withdrawal that waits for the store, or that is lost when the store's older
// configuration comes back (G6).
TEST_CASE("a key withdrawn while the store is down") {
  cluster_options options;
  options.engine.token_interval = milliseconds(20);
  test_cluster cluster(options);
  cluster.configure();
  const issued_key withdrawn = issue(cluster, "north");
  const issued_key kept = issue(cluster, "north");
  REQUIRE(all_answer(cluster, withdrawn.key, 200));
  const auto stream = open_call::stream(cluster, 1, "a long one length=1000", 1000, withdrawn.key);
  const auto other = open_call::stream(cluster, 1, "the other length=300", 300, kept.key);
  REQUIRE(cluster.await([&] { return stream.frame_versions().size() > 3; }));

  start_outage(cluster);
  const auto answer = cluster.operate(2, "DELETE", "/admin/keys/" + withdrawn.id);
  INFO(answer.body);
  REQUIRE(answer.status == 200);
  CHECK(answer.value()["durable"] == true);

  SECTION("ends its running streams and its new requests on every instance, and stays withdrawn") {
    CHECK(cluster.await([&] { return stream.done(); }, in_force));
    CHECK_FALSE(stream.is_whole());
    CHECK(stream.error_code() == "key_withdrawn");
    CHECK(cluster.await([&] { return all_answer(cluster, withdrawn.key, 401); }, in_force));
    CHECK(all_answer(cluster, kept.key, 200));

    // A fresh instance has only its peers to ask.
    const auto early = cluster.add_instance();
    REQUIRE(cluster.await([&] { return status_of(cluster, early, kept.key) == 200; }));
    CHECK(status_of(cluster, early, withdrawn.key) == 401);

    cluster.store->http().clear_faults();
    cluster.run_for(seconds(5));
    CHECK(all_answer(cluster, withdrawn.key, 401));
    const auto late = cluster.add_instance();
    REQUIRE(cluster.await([&] { return status_of(cluster, late, kept.key) == 200; }));
    CHECK(status_of(cluster, late, withdrawn.key) == 401);
    CHECK(all_answer(cluster, kept.key, 200));
    REQUIRE(cluster.await([&] { return other.done(); }));
    CHECK(other.is_whole());
    // The withdrawal is in the store by now: the key is no longer part of the configuration.
    const auto head = cluster.store->state().get("config/head", cluster.loop().now());
    REQUIRE(head);
    CHECK(head->value.find(withdrawn.id) == std::string::npos);
  }
}

// Guards against two operators who both believe that their change was accepted (G14).
TEST_CASE("two operators who race") {
  test_cluster cluster;
  cluster.configure();
  const json base = cluster.operate(0, "GET", "/admin/config").value();
  const auto proposal = [&](int weight) {
    json document = base["document"];
    document["workspaces"][0]["weight"] = weight;
    return json{{"based_on", base["revision"]}, {"document", document}};
  };
  const net::headers fields = {
      {"Authorization", std::string("Bearer ") + test_cluster::operator_token}};
  const open_call first(cluster, cluster.address_of(0), "POST", "/admin/config", proposal(2),
                        fields);
  const open_call second(cluster, cluster.address_of(1), "POST", "/admin/config", proposal(3),
                         fields);
  REQUIRE(cluster.await([&] { return first.done() && second.done(); }));
  const bool first_won = first.answer().status == 200;
  const http_answer& winner = first_won ? first.answer() : second.answer();
  const http_answer& loser = first_won ? second.answer() : first.answer();
  INFO(winner.body << loser.body);
  REQUIRE(winner.status == 200);
  REQUIRE(loser.status == 409);
  CHECK(loser.value()["revision"] == winner.value()["revision"]);
  REQUIRE(loser.value()["changes"].size() == 1);
  CHECK(to_text(loser.value()["changes"]).find("weight") != std::string::npos);
  REQUIRE(cluster.await_revision(winner.value()["revision"].get<std::uint64_t>()));
  for (std::size_t n = 0; n < cluster.size(); ++n) {
    const json seen = cluster.operate(n, "GET", "/admin/config").value();
    CHECK(seen["revision"] == winner.value()["revision"]);
    CHECK(seen["document"]["workspaces"][0]["weight"] == (first_won ? 2 : 3));
  }
}

// Guards against an instance that comes up during an outage and serves nothing, or an older
// configuration (G14).
TEST_CASE("a fresh instance that starts while the store is down") {
  test_cluster cluster;
  cluster.configure();
  const issued_key key = issue(cluster, "north");
  const json before = cluster.operate(0, "GET", "/admin/config").value();
  start_outage(cluster);
  const auto fresh = cluster.add_instance();
  REQUIRE(cluster.await([&] { return status_of(cluster, fresh, key.key) == 200; }));
  CHECK(cluster.operate(fresh, "GET", "/admin/config").value() == before);

  SECTION("takes no revision back when the store has returned") {
    cluster.store->http().clear_faults();
    cluster.run_for(seconds(3));
    CHECK(cluster.operate(fresh, "GET", "/admin/config").value() == before);
  }

  SECTION("refuses proposals and keys as not executed as long as the store is down") {
    const auto refused = cluster.operate(fresh, "POST", "/admin/keys", {{"workspace", "north"}});
    CHECK(refused.status == 503);
    CHECK(refused.executed() == "no");
    cluster.store->http().clear_faults();
    cluster.run_for(seconds(3));
    CHECK(cluster.operate(fresh, "GET", "/admin/config").value() == before);
  }
}

// Guards against a change that is made twice or reported as failed because the store's answer was
// lost after the write.
TEST_CASE("store answers that are lost after the write") {
  test_cluster cluster;
  const auto lose = [&](int count) {
    start_fault(cluster, *cluster.store,
                {{"kind", "lost_answer"}, {"call", "kv_put"}, {"count", count}});
  };
  const auto used = [&] {
    return integer_field(cluster.store->http().stats()["faults"], "lost_answer").value_or(0);
  };

  SECTION("of a proposal and of a key") {
    cluster.configure();
    // The leases are held by now, so that the next write is the one that is meant.
    REQUIRE(cluster.await_shards());
    const json base = cluster.operate(0, "GET", "/admin/config").value();
    json document = base["document"];
    document["workspaces"][0]["weight"] = 7;
    lose(3);
    const auto proposed = cluster.operate(1, "POST", "/admin/config",
                                          {{"based_on", base["revision"]}, {"document", document}});
    INFO(proposed.body);
    CHECK(used() > 0);
    REQUIRE(proposed.status == 200);
    CHECK(proposed.value()["revision"] == base["revision"].get<int>() + 1);
    CHECK(cluster.await_revision(base["revision"].get<std::uint64_t>() + 1));

    cluster.store->http().clear_faults();
    const auto before = used();
    lose(3);
    const auto issued = cluster.operate(2, "POST", "/admin/keys", {{"workspace", "north"}});
    INFO(issued.body);
    CHECK(used() > before);
    REQUIRE(issued.status == 200);
    CHECK(issued.value()["revision"] == base["revision"].get<int>() + 2);
    REQUIRE(cluster.await_revision(base["revision"].get<std::uint64_t>() + 2));
    CHECK(cluster.operate(0, "GET", "/admin/keys").value()["keys"].size() == 1);
    CHECK(status_of(cluster, 0, issued.value()["key"]) == 200);
  }

  SECTION("of a proposal that another one has replaced before it is read back") {
    cluster.configure();
    REQUIRE(cluster.await_shards());
    const json base = cluster.operate(0, "GET", "/admin/config").value();
    const int revision = base["revision"];
    json document = base["document"];
    const net::headers fields = {
        {"Authorization", std::string("Bearer ") + test_cluster::operator_token}};
    lose(1);
    document["workspaces"][0]["weight"] = 7;
    const open_call replaced(cluster, cluster.address_of(0), "POST", "/admin/config",
                             {{"based_on", revision}, {"document", document}}, fields);
    REQUIRE(cluster.await([&] { return used() == 1; }));
    start_fault(cluster, *cluster.store,
                {{"kind", "late_delivery"}, {"call", "kv_get"}, {"count", 1}, {"delay_ms", 700}});
    cluster.run_for(milliseconds(100));
    document["workspaces"][0]["weight"] = 8;
    const auto next = cluster.operate(1, "POST", "/admin/config",
                                      {{"based_on", revision + 1}, {"document", document}});
    INFO(next.body);
    REQUIRE(next.status == 200);
    REQUIRE(cluster.await([&] { return replaced.done(); }));
    INFO(replaced.answer().body);
    // It took effect, so it is not called a conflict that did not run.
    CHECK(replaced.answer().executed() != "no");
  }

  SECTION("of lease acquisitions") {
    start_fault(cluster, *cluster.store,
                {{"kind", "lost_answer"}, {"call", "lease_create"}, {"count", 2}});
    cluster.configure();
    lose(6);
    REQUIRE(cluster.await_shards());
    CHECK(used() == 8);
    // Two holders of one shard would be more than the number of shards.
    cluster.run_for(seconds(2));
    CHECK(cluster.await_shards());
  }
}

} // namespace boragedoor::testing
