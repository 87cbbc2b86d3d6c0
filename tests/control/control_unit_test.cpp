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

/// A holder whose create of "s" was sent at second 0 under the lease "l".
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

TEST_CASE("ranks prefer the shard's data centre and leave out draining members") {
  std::vector<member> list = {{"a", "x", "r", "", member_state::live},
                              {"b", "y", "r", "", member_state::live},
                              {"c", "y", "r", "", member_state::draining}};
  CHECK(rank_candidates({"s", "y"}, list) == std::vector<std::string>{"b", "a"});
  const std::vector<shard> shards = {{"s", "y"}};
  CHECK(rank_shards("a", shards, list).front().rank == std::size_t{1});
  CHECK_FALSE(rank_shards("c", shards, list).front().rank);
}

TEST_CASE("a lease holder") {
  request_id create = 0;
  lease_holder it = creating_holder(create);

  SECTION("reads back a create of unknown outcome and compares boot id and store lease") {
    const auto reads = it.on_created(create, store_outcome::unknown, 0, at({}));
    const request_id read = find<read_lease_key>(reads)->request;
    CHECK_FALSE(it.may_act("s", at({})));
    SECTION("its own record makes it the holder") {
      it.on_read(read, {true, lease_entry{{"i", "b", "a", "l"}, 7}}, at({}));
      CHECK(it.permit("s")->token == 7);
    }
    SECTION("a record of an earlier process does not") {
      it.on_read(read, {true, lease_entry{{"i", "old", "a", "l"}, 7}}, at({}));
      CHECK_FALSE(it.may_act("s", at({})));
    }
    SECTION("a record of an earlier store lease does not") {
      it.on_read(read, {true, lease_entry{{"i", "b", "a", "l0"}, 7}}, at({}));
      CHECK_FALSE(it.may_act("s", at({})));
    }
    SECTION("a late effect is found although the shard now prefers another instance") {
      it.on_read(read, {true, lease_entry{{"j", "c", "a", "m"}, 6}}, at({}));
      const std::vector<shard_rank> ranks = {{"s", 5}, {"z", 0}};
      it.on_ranks(ranks, at({}));
      // Another shard keeps the store lease alive; without one it is revoked, and the key with it.
      const auto other = it.on_seen("z", false, at({}));
      it.on_created(find<create_lease_key>(other)->request, store_outcome::ok, 9, at({}));
      CHECK(find<read_lease_key>(it.tick(at(seconds(2)))) != nullptr);
    }
  }
  SECTION("counts the expiry from the moment the renewal was sent") {
    it.on_created(create, store_outcome::ok, 7, at({}));
    const auto renewals = it.tick(at(seconds(2)));
    it.on_renewed(find<renew_store_lease>(renewals)->request, store_outcome::ok, at(seconds(4)));
    CHECK(it.may_act("s", at(seconds(7) - duration(1))));
    CHECK_FALSE(it.may_act("s", at(seconds(7))));
    CHECK(find<shard_lost>(it.tick(at(seconds(7)))) != nullptr);
  }
  SECTION("a renewal answered after the local expiry does not revive it") {
    it.on_created(create, store_outcome::ok, 7, at({}));
    const auto renewals = it.tick(at(seconds(2)));
    const auto late = it.on_renewed(find<renew_store_lease>(renewals)->request, store_outcome::ok,
                                    at(seconds(6)));
    CHECK(find<shard_lost>(late) != nullptr);
    CHECK_FALSE(it.permit("s"));
  }
  SECTION("hands over after 30 s without rank 0, and deletes only once settled") {
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

TEST_CASE("an order gate") {
  order_gate it({.shard = "s", .boot_id = "b"});
  const order_permit permit{lease_permit{7, at(seconds(100))}, true};
  const auto ask = [&](const char* desired, duration when) {
    return it.request("t", token_handling::ignores, desired, permit, at(when));
  };
  const auto first = ask("one", {});
  const std::string id = find<send_order>(first)->what.id;

  SECTION("needs a cleared takeover only for targets that ignore tokens") {
    const order_permit waiting{permit.lease, false};
    CHECK(it.may_send(token_handling::checks, waiting, at({})));
    CHECK_FALSE(it.may_send(token_handling::ignores, waiting, at({})));
    CHECK_FALSE(it.may_send(token_handling::checks, permit, at(seconds(100))));
  }
  SECTION("repeats an order without an answer under its id, and sends nothing else before") {
    it.on_attempt_failed(id, at({}));
    CHECK(ask("two", milliseconds(500)).empty());
    const auto again = it.tick(permit, at(seconds(1)));
    CHECK(find<send_order>(again)->what.id == id);
  }
  SECTION("waits for bytes of a failed attempt before another order and before it is settled") {
    it.on_attempt_failed(id, at({}));
    it.tick(permit, at(seconds(1)));
    it.on_attempt_failed(id, at(milliseconds(1500)));
    ask("two", milliseconds(1600));
    CHECK(it.on_settled(id, permit, at(milliseconds(1700))).empty());
    CHECK_FALSE(it.is_settled(at(milliseconds(2499))));
    CHECK(it.is_settled(at(milliseconds(2500))));
    CHECK(find<send_order>(it.tick(permit, at(milliseconds(2500))))->what.desired == "two");
  }
  SECTION("steps down only when no attempt is under way, and for good") {
    CHECK(it.on_step_down("asker", 8, at({})).empty());
    const auto answers = it.on_attempt_failed(id, at(seconds(1)));
    CHECK(find<answer_stepped_down>(answers)->open.front().id == id);
    CHECK(it.tick(permit, at(seconds(5))).empty());
    CHECK_FALSE(it.may_send(token_handling::checks, permit, at(seconds(5))));
    CHECK(it.may_send(token_handling::ignores, {lease_permit{9, at(seconds(99))}, true}, at({})));
  }
  SECTION("repeats a former holder's open order first") {
    order_gate next({.shard = "s", .boot_id = "c"});
    next.restore(it.open_orders().front(), false);
    const auto actions = next.request("t", token_handling::ignores, "two", permit, at({}));
    CHECK(find<send_order>(actions)->what.id == id);
  }
}

TEST_CASE("a takeover") {
  const former_holder old{"j", "c", "addr", 5};
  takeover it({.self = {"i", "b", "a", 7}, .shard = "s"});
  CHECK(find<read_holders>(it.tick(at({}))) != nullptr);
  const auto write = it.on_read(std::vector{old}, 3, at({}));
  CHECK(find<write_holders>(write)->holders.size() == 2);
  CHECK(find<write_holders>(write)->expect_version == 3);

  SECTION("waits for evidence and a second for bytes in flight") {
    it.on_written(store_outcome::ok, 4, at({}));
    it.on_answer(old, step_down_reply::silent, "", at({}));
    it.on_answer(old, step_down_reply::busy, "c", at({}));
    CHECK_FALSE(it.is_cleared(at(seconds(60))));
    it.on_answer(old, step_down_reply::stepped_down, "c", at(seconds(60)));
    CHECK_FALSE(it.is_cleared(at(seconds(61) - duration(1))));
    CHECK(it.is_cleared(at(seconds(61))));
  }
  SECTION("is not cleared before its own entry is known to be stored") {
    it.on_answer(old, step_down_reply::refused, "", at({}));
    CHECK_FALSE(it.is_cleared(at(seconds(5))));
    CHECK(find<read_holders>(it.on_written(store_outcome::conflict, 0, at(seconds(5)))) != nullptr);
    it.on_read(std::vector{old, former_holder{"k", "d", "x", 9}}, 5, at(seconds(5)));
    CHECK_FALSE(it.is_cleared(at(seconds(500))));
  }
  SECTION("takes only lists that lie further apart than the lag for absence") {
    it.on_written(store_outcome::ok, 4, at({}));
    it.on_list({}, at({}));
    it.on_list({}, at(seconds(10)));
    CHECK(it.waiting_for().size() == 1);
    it.on_list({}, at(seconds(11)));
    CHECK(it.waiting_for().empty());
  }
}

} // namespace boragedoor::control
