#include <catch2/catch.hpp>

#include "base/json.h"
#include "network.h"
#include "support/property.h"

namespace boragedoor::replication {

TEST_CASE("a configuration replica") {
  configuration_replica it;
  const configuration_version one{1, "alpha beta"};
  const configuration_version two{2, "alpha gamma beta"};
  REQUIRE(it.apply(one) == apply_outcome::applied);

  SECTION("applies a delta, and never a lower revision") {
    CHECK(it.apply(make_delta(one, two)) == apply_outcome::applied);
    CHECK(it.current() == two);
    CHECK(it.apply(one) == apply_outcome::stale);
    CHECK(it.current() == two);
    CHECK(it.deltas_since(0)->size() == 2);
  }
  SECTION("asks for a snapshot after a gap, a wrong hash or a range outside the document") {
    CHECK(it.apply(make_delta(two, {3, "x"})) == apply_outcome::needs_snapshot);
    auto wrong = make_delta(one, two);
    wrong.hash += 1;
    CHECK(it.apply(wrong) == apply_outcome::needs_snapshot);
    CHECK(it.apply({1, 2, 11, 0, "", 0}) == apply_outcome::needs_snapshot);
    CHECK(it.apply({1, 2, 5, ~std::uint64_t{0}, "", 0}) == apply_outcome::needs_snapshot);
    CHECK(it.current() == one);
  }
  SECTION("is ready after answers of 3 peers in 2 data centres, but not while one is ahead") {
    const auto fleet = make_fleet(6, 2, 1);
    it.on_peer_answer("instance-2", {"dc-0", 1});
    it.on_peer_answer("instance-4", {"dc-0", 1});
    CHECK_FALSE(it.is_ready("instance-0", fleet));
    it.on_peer_answer("instance-1", {"dc-1", 2});
    CHECK_FALSE(it.is_ready("instance-0", fleet));
    it.apply(two);
    CHECK(it.is_ready("instance-0", fleet));
  }
  SECTION("needs the store when it is alone") {
    const auto fleet = make_fleet(1, 1, 1);
    CHECK_FALSE(it.is_ready("instance-0", fleet));
    it.on_store_answer(1);
    CHECK(it.is_ready("instance-0", fleet));
  }
}

TEST_CASE("deltas reproduce any document") {
  testing::check_property("delta", [](const std::string& a, const std::string& b) {
    configuration_replica it;
    it.apply(configuration_version{1, a});
    RC_ASSERT(it.apply(make_delta({1, a}, {2, b})) == apply_outcome::applied);
    RC_ASSERT(it.current().document == b);
  });
}

TEST_CASE("a withdrawal set") {
  withdrawal_set a;
  withdrawal_set b;
  const std::vector<withdrawal> entries = {{"k1", 1}, {"k2", 1}, {"k3", 5}};
  a.merge(entries);

  SECTION("has a digest that does not depend on the order, and a delta that repairs the other") {
    b.merge(std::vector<withdrawal>{entries[2], entries[0]});
    CHECK(a.digest() != b.digest());
    b.merge(a.delta(b.buckets()));
    CHECK(a.digest() == b.digest());
    CHECK(a.delta(b.buckets()).empty());
  }
  SECTION("is durable on two others, on all if fewer, or in the store, and never on none") {
    CHECK_FALSE(a.is_durable("k1", 0));
    a.on_held_by("k1", "x");
    a.on_held_by("k1", "x");
    CHECK(a.is_durable("k1", 1));
    CHECK_FALSE(a.is_durable("k1", 5));
    a.on_held_by("k1", "y");
    CHECK(a.is_durable("k1", 5));
    a.on_stored("k2");
    CHECK(a.is_durable("k2", 5));
  }
  SECTION("drops keys that the configuration dropped, for good, but none that may still be added") {
    const auto lists_none = [](std::string_view) { return false; };
    CHECK(a.prune(4, lists_none) == 2);
    CHECK(a.contains("k3"));
    CHECK(a.merge(entries).empty());
    CHECK(a.prune(5, lists_none) == 1);
    CHECK(a.digest() == withdrawal_set().digest());
  }
}

TEST_CASE("evidence of freshness") {
  freshness_options options;
  options.self = "instance-0";
  options.data_centre = "dc-0";
  freshness_evidence it(options);
  const auto fleet = make_fleet(4, 2, 1);
  const auto at = [](duration after) { return time_point(seconds(1000)) + after; };
  it.on_list(fleet);

  SECTION("a recent read of the store counts until the limit, from when it was sent") {
    CHECK_FALSE(it.is_fresh(at({})));
    it.on_store_read(at({}));
    CHECK(it.is_fresh(at(seconds(10) - duration(1))));
    CHECK_FALSE(it.is_fresh(at(seconds(10))));
  }
  SECTION("a carried age counts with the transit allowance") {
    carried_ages ages;
    ages.store = 30;
    it.on_heartbeat_sent(1, at({}));
    REQUIRE(it.on_heartbeat("dc-1", 1, ages, at(seconds(1))));
    CHECK(it.store_age(at(seconds(1))) == milliseconds(3200));
  }
  SECTION("heartbeats of every data centre count, of one only do not") {
    it.on_heartbeat_sent(1, at({}));
    it.on_heartbeat("dc-1", 1, {}, at({}));
    CHECK_FALSE(it.is_fresh(at({})));
    it.on_heartbeat("dc-0", 1, {}, at({}));
    CHECK(it.is_fresh(at({})));
  }
  SECTION("heartbeats that waited in a buffer during a pause do not count") {
    it.on_heartbeat_sent(1, at({}));
    CHECK_FALSE(it.on_heartbeat("dc-0", 1, {}, at(seconds(30))));
    CHECK_FALSE(it.on_heartbeat("dc-0", 0, {}, at(seconds(30))));
    it.on_heartbeat_sent(2, at(seconds(30)));
    CHECK_FALSE(it.on_heartbeat("dc-0", 1, {}, at(seconds(30))));
    CHECK(it.on_heartbeat("dc-0", 2, {}, at(seconds(31))));
  }
  SECTION("a list without another instance counts") {
    it.on_list(make_fleet(1, 1, 1));
    CHECK(it.is_fresh(at({})));
  }
}

TEST_CASE("the codec refuses what it does not write") {
  const std::string valid = encode(heartbeat{});
  for (std::size_t n = 0; n < valid.size(); ++n) {
    CHECK_FALSE(decode(std::string_view(valid).substr(0, n)));
  }
  CHECK_FALSE(decode(to_cbor(json::array({9, json::array()}))));
  CHECK_FALSE(decode(to_cbor(json::array({2, json::array({-1, true})}))));
  CHECK_FALSE(decode(to_cbor(json::array({2, json::array({1, true, 3})}))));
  CHECK_FALSE(decode(to_cbor({{"a", 1}})));
  testing::check_property("hostile bytes", [](const std::string& bytes) {
    const auto it = decode(bytes);
    // RC_ASSERT evaluates both sides of ||, so the condition stands outside.
    if (it) {
      RC_ASSERT(decode(encode(it.value())).value() == it.value());
    }
  });
}

} // namespace boragedoor::replication
