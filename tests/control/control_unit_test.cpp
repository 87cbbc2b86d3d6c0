#include <algorithm>

#include <catch2/catch.hpp>

#include "control/lease_holder.h"
#include "control/order_gate.h"
#include "control/takeover.h"

namespace boragedoor::control {

namespace {

time_point at(duration after) {
  return time_point(seconds(1000)) + after;
}

template <class Wanted, class Action>
const Wanted* find(const std::vector<Action>& actions) {
  for (const Action& it : actions) {
    if (const auto* const wanted = std::get_if<Wanted>(&it)) {
      return wanted;
    }
  }
  return nullptr;
}

/// Returns a lease holder that has sent the create of the lease key of "s" at second 0 under the
/// store lease "l".
lease_holder creating_holder(request_id& create) {
  auto it = lease_holder::create({.instance = "i", .boot_id = "b", .address = "a"}).value();
  const std::vector<shard_rank> ranks = {{"s", 0}};
  it.on_ranks(ranks, at({}));
  const auto reads = it.tick(at({}));
  it.on_read(find<read_lease_key>(reads)->request, {true, std::nullopt}, at({}));
  const auto grants = it.tick(at({}));
  const auto creates = it.on_granted(find<grant_store_lease>(grants)->request, "l", at({}));
  create = find<create_lease_key>(creates)->request;
  return it;
}

} // namespace

TEST_CASE("shard ranks prefer the shard's data centre and exclude draining members") {
  std::vector<member> list = {{"a", "x", "r", "", member_state::live},
                              {"b", "y", "r", "", member_state::live},
                              {"c", "y", "r", "", member_state::draining}};
  CHECK(rank_candidates({"s", "y"}, list) == std::vector<std::string>{"b", "a"});
  const std::vector<shard> shards = {{"s", "y"}};
  CHECK(rank_shards("a", shards, list).front().rank == std::size_t{1});
  CHECK_FALSE(rank_shards("c", shards, list).front().rank);
}

TEST_CASE("lease holder") {
  request_id create = 0;
  lease_holder it = creating_holder(create);

  SECTION("a create of unknown outcome is read back and compared by boot id and store lease") {
    const auto reads = it.on_created(create, store_outcome::unknown, 0, at({}));
    const request_id read = find<read_lease_key>(reads)->request;
    CHECK_FALSE(it.may_act("s", at({})));
    SECTION("a record of this process and store lease acquires the shard") {
      it.on_read(read, {true, lease_entry{{"i", "b", "a", "l"}, 7}}, at({}));
      CHECK(it.permit("s")->token == 7);
    }
    SECTION("a record of an earlier process does not acquire the shard") {
      it.on_read(read, {true, lease_entry{{"i", "old", "a", "l"}, 7}}, at({}));
      CHECK_FALSE(it.may_act("s", at({})));
    }
    SECTION("a record of an earlier store lease does not acquire the shard") {
      it.on_read(read, {true, lease_entry{{"i", "b", "a", "l0"}, 7}}, at({}));
      CHECK_FALSE(it.may_act("s", at({})));
    }
    SECTION("a late create is detected although the shard now prefers another instance") {
      it.on_read(read, {true, lease_entry{{"j", "c", "a", "m"}, 6}}, at({}));
      const std::vector<shard_rank> ranks = {{"s", 5}, {"z", 0}};
      it.on_ranks(ranks, at({}));
      // Holding another shard keeps the store lease alive. Otherwise the lease and its key would be
      // revoked.
      const auto other = it.on_key_observed("z", false, at({}));
      it.on_created(find<create_lease_key>(other)->request, store_outcome::ok, 9, at({}));
      CHECK(find<read_lease_key>(it.tick(at(seconds(2)))) != nullptr);
    }
  }
  SECTION("the lease expires relative to the time at which the renewal was sent") {
    it.on_created(create, store_outcome::ok, 7, at({}));
    const auto renewals = it.tick(at(seconds(2)));
    it.on_renewed(find<renew_store_lease>(renewals)->request, store_outcome::ok, at(seconds(4)));
    CHECK(it.may_act("s", at(seconds(7) - duration(1))));
    CHECK_FALSE(it.may_act("s", at(seconds(7))));
    CHECK(find<shard_lost>(it.tick(at(seconds(7)))) != nullptr);
  }
  SECTION("a renewal answered after the local expiry does not restore the lease") {
    it.on_created(create, store_outcome::ok, 7, at({}));
    const auto renewals = it.tick(at(seconds(2)));
    const auto late = it.on_renewed(find<renew_store_lease>(renewals)->request, store_outcome::ok,
                                    at(seconds(6)));
    CHECK(find<shard_lost>(late) != nullptr);
    CHECK_FALSE(it.permit("s"));
  }
  SECTION(
      "a shard is handed over after 30 s without rank 0 and its key deleted only once settled") {
    it.on_created(create, store_outcome::ok, 7, at({}));
    const std::vector<shard_rank> ranks = {{"s", 1}};
    it.on_ranks(ranks, at({}));
    for (int n = 2; n < 32; n += 2) {
      const auto actions = it.tick(at(seconds(n)));
      CHECK((find<shard_stopping>(actions) != nullptr) == (n == 30));
      CHECK(find<delete_lease_key>(actions) == nullptr);
      it.on_renewed(find<renew_store_lease>(actions)->request, store_outcome::ok, at(seconds(n)));
    }
    const auto actions = it.on_settled("s", at(seconds(31)));
    CHECK(find<delete_lease_key>(actions)->expect_version == 7);
    CHECK_FALSE(it.permit("s"));
  }
}

TEST_CASE("order gate") {
  order_gate it({.shard = "s", .boot_id = "b"});
  const order_permit permit{lease_permit{7, at(seconds(100))}, true};
  const auto ask = [&](const char* desired, duration when) {
    return it.request("t", token_handling::ignores, desired, permit, at(when));
  };
  const auto first = ask("one", {});
  const std::string id = find<send_order>(first)->order_to_send.id;

  SECTION("a cleared takeover is required only for targets that ignore tokens") {
    const order_permit waiting{permit.lease, false};
    CHECK(it.may_send(token_handling::checks, waiting, at({})));
    CHECK_FALSE(it.may_send(token_handling::ignores, waiting, at({})));
    CHECK_FALSE(it.may_send(token_handling::checks, permit, at(seconds(100))));
  }
  SECTION("an unanswered order is repeated under its id before any other order") {
    it.on_attempt_failed(id, at({}));
    CHECK(ask("two", milliseconds(500)).empty());
    const auto again = it.tick(permit, at(seconds(1)));
    CHECK(find<send_order>(again)->order_to_send.id == id);
  }
  SECTION("bytes of a failed attempt delay the next order and the settled state") {
    it.on_attempt_failed(id, at({}));
    it.tick(permit, at(seconds(1)));
    it.on_attempt_failed(id, at(milliseconds(1500)));
    ask("two", milliseconds(1600));
    CHECK(it.on_settled(id, permit, at(milliseconds(1700))).empty());
    CHECK_FALSE(it.is_settled(at(milliseconds(2499))));
    CHECK(it.is_settled(at(milliseconds(2500))));
    CHECK(find<send_order>(it.tick(permit, at(milliseconds(2500))))->order_to_send.desired ==
          "two");
  }
  SECTION("a step-down is confirmed only when no attempt is in flight, and is permanent") {
    CHECK(it.on_step_down("asker", 8, at({})).empty());
    const auto answers = it.on_attempt_failed(id, at(seconds(1)));
    CHECK(find<confirm_step_down>(answers)->open_orders.front().id == id);
    CHECK(it.tick(permit, at(seconds(5))).empty());
    CHECK_FALSE(it.may_send(token_handling::checks, permit, at(seconds(5))));
    CHECK(it.may_send(token_handling::ignores, {lease_permit{9, at(seconds(99))}, true}, at({})));
  }
  SECTION("an open order of a former holder is repeated first") {
    order_gate next({.shard = "s", .boot_id = "c"});
    next.restore(it.open_orders().front(), false);
    const auto actions = next.request("t", token_handling::ignores, "two", permit, at({}));
    CHECK(find<send_order>(actions)->order_to_send.id == id);
  }
}

TEST_CASE("takeover") {
  const former_holder old{"j", "c", "addr", 5};
  takeover it({.self = {"i", "b", "a", 7}, .shard = "s"});
  CHECK(find<read_holders>(it.tick(at({}))) != nullptr);
  const auto write = it.on_read(std::vector{old}, 3, at({}));
  CHECK(find<write_holders>(write)->holders.size() == 2);
  CHECK(find<write_holders>(write)->expect_version == 3);

  SECTION("takeover clears one second after evidence that the former holder has stopped") {
    it.on_written(store_outcome::ok, 4, at({}));
    it.on_step_down_reply(old, step_down_reply::no_answer, "", at({}));
    it.on_step_down_reply(old, step_down_reply::busy, "c", at({}));
    CHECK_FALSE(it.is_cleared(at(seconds(60))));
    it.on_step_down_reply(old, step_down_reply::stepped_down, "c", at(seconds(60)));
    CHECK_FALSE(it.is_cleared(at(seconds(61) - duration(1))));
    CHECK(it.is_cleared(at(seconds(61))));
  }
  SECTION("takeover does not clear before its own entry is known to be stored") {
    it.on_step_down_reply(old, step_down_reply::refused, "", at({}));
    CHECK_FALSE(it.is_cleared(at(seconds(5))));
    CHECK(find<read_holders>(it.on_written(store_outcome::conflict, 0, at(seconds(5)))) != nullptr);
    it.on_read(std::vector{old, former_holder{"k", "d", "x", 9}}, 5, at(seconds(5)));
    CHECK_FALSE(it.is_cleared(at(seconds(500))));
  }
  SECTION("an instance counts as absent only in lists further apart than the maximum list lag") {
    it.on_written(store_outcome::ok, 4, at({}));
    it.on_instance_list({}, at({}));
    it.on_instance_list({}, at(seconds(10)));
    CHECK(it.unconfirmed_holders().size() == 1);
    it.on_instance_list({}, at(seconds(11)));
    CHECK(it.unconfirmed_holders().empty());
  }
}

} // namespace boragedoor::control
