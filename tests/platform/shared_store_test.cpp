#include "instance/shared_store.h"

#include <map>
#include <memory>
#include <optional>

#include <catch2/catch.hpp>

#include "http1/server.h"
#include "instance/error_response.h"
#include "instance/prefix_watch.h"
#include "instance/relay_listener.h"
#include "platform/store_client.h"
#include "store_stand_in.h"

namespace boragedoor::platform {

namespace {

using instance::store_status;

constexpr duration patience = seconds(10);

/// An instance that follows one prefix.
struct follower {
  follower(net::event_loop& event_loop, const net::address& store)
      : loop(event_loop), client(event_loop, store, [](auto, auto, auto) {}),
        shared(event_loop, client, {"p/"}),
        relay(instance::relay_listener::listen(
                  event_loop, {"127.0.0.1", 0}, store,
                  [this](const auto& from) { return shared.answer(from); })
                  .value()),
        watch(event_loop, shared, "p/", {.wait = seconds(2), .longest_retry = milliseconds(200)},
              {.on_put = [this](const instance::stored_item& it) { seen[it.key] = it.value; },
               .on_removed = [this](const std::string& key) { seen.erase(key); },
               .on_synced = nullptr,
               .on_reachable = nullptr}) {
    watch.start();
  }

  net::event_loop& loop;
  store_client client;
  instance::shared_store shared;
  std::unique_ptr<instance::relay_listener> relay;
  std::map<std::string, std::string> seen;
  instance::prefix_watch watch;
};

} // namespace

// Guards against a fleet whose calls to the store grow with the number of instances, and against
// one instance that hides changes from those that ask it.
TEST_CASE("instances of a data centre share one watch") {
  auto loop = net::event_loop::create().value();
  store_stand_in store(*loop);
  store.put("p/1", 1);
  follower watcher(*loop, store.address());
  follower other(*loop, store.second_address());
  const auto until = [&](const auto& done) { REQUIRE(loop->run_until(done, patience)); };
  CHECK(watcher.shared.set_role(instance::watch_for_others{}));
  CHECK_FALSE(watcher.shared.set_role(instance::watch_for_others{}));
  until([&] { return watcher.seen.contains("p/1"); });
  const auto lists_of_store = [&] { return store.calls("/kv-range"); };

  SECTION("the other instances see each change without a call of their own") {
    other.shared.set_role(instance::watch_through{watcher.relay->local_address()});
    until([&] { return other.seen.contains("p/1"); });
    store.set_fault(store_fault::silent, 1);
    store.put("p/2", 2);
    store.erase("p/1");
    until([&] { return other.seen.contains("p/2") && !other.seen.contains("p/1"); });
    CHECK(watcher.seen == other.seen);
  }

  SECTION("a change that comes while another instance asks is not lost") {
    other.shared.set_role(instance::watch_through{watcher.relay->local_address()});
    for (int n = 0; n < 40; ++n) {
      store.put("p/n" + std::to_string(n), n);
      loop->run_until([] { return false; }, milliseconds(3));
    }
    until([&] { return other.seen.size() == 41; });
  }

  SECTION("an instance that begins to watch for others lists the keys again") {
    until([&] { return other.seen.contains("p/1"); });
    const int before = lists_of_store();
    other.shared.set_role(instance::watch_for_others{});
    until([&] { return lists_of_store() > before; });
  }

  SECTION("without a watching instance the store is asked") {
    // Pattern: the watching instance is killed, or does not know yet that it is to watch.
    const auto role = GENERATE(0, 1);
    if (role == 0) {
      other.shared.set_role(instance::watch_through{{"127.0.0.1", 1}});
    } else {
      watcher.shared.set_role(instance::watch_directly{});
      other.shared.set_role(instance::watch_through{watcher.relay->local_address()});
    }
    store.put("p/2", 2);
    until([&] { return other.seen.contains("p/2"); });
  }

  SECTION("an instance that the store does not answer shows its copy to no other") {
    // Pattern: the watching instance is cut off from the store while others reach both.
    other.shared.set_role(instance::watch_through{watcher.relay->local_address()});
    until([&] { return other.seen.contains("p/1"); });
    const auto fault = GENERATE(store_fault::refuse, store_fault::silent);
    store.set_fault(fault);
    store.put("p/2", 2);
    const time_point changed = loop->now();
    until([&] { return other.seen.contains("p/2"); });
    // Operators are promised that a change is in force everywhere within three seconds.
    CHECK(loop->now() - changed < seconds(3));
    CHECK_FALSE(watcher.seen.contains("p/2"));
  }

  SECTION("a list that is older than what is known is not taken") {
    // Pattern: an instance follows the store itself for a while, then asks one that is behind.
    until([&] { return other.seen.contains("p/1"); });
    store.set_fault(store_fault::silent);
    store.erase("p/1");
    until([&] { return other.seen.empty(); });
    other.shared.set_role(instance::watch_through{watcher.relay->local_address()});
    std::optional<instance::list_answer> listed;
    other.shared.list("p/", {}, [&](instance::list_answer it) { listed = std::move(it); });
    until([&] { return listed.has_value(); });
    CHECK(listed->items.empty());
  }
}

TEST_CASE("a silent instance is passed over") {
  // Pattern: the watching instance freezes; its connections stay open and nothing is answered.
  auto loop = net::event_loop::create().value();
  store_stand_in store(*loop);
  store.put("p/1", 1);
  std::vector<std::shared_ptr<http1::exchange>> held;
  const auto frozen = http1::server::listen(
                          *loop, {"127.0.0.1", 0}, [&](auto from) { held.push_back(from); },
                          &instance::listener_refusal)
                          .value();
  follower other(*loop, store.address());
  REQUIRE(loop->run_until([&] { return other.seen.contains("p/1"); }, patience));
  other.shared.set_role(instance::watch_through{frozen->local_address()});
  REQUIRE(loop->run_until([&] { return !held.empty(); }, patience));
  store.put("p/2", 2);
  CHECK(loop->run_until([&] { return other.seen.contains("p/2"); }, seconds(3)));
}

} // namespace boragedoor::platform
