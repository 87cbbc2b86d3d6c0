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

constexpr duration test_timeout = seconds(10);

/// An instance that follows the prefix "p/" through a shared store.
struct follower {
  follower(net::event_loop& event_loop, const net::address& store)
      : loop(event_loop),
        client(event_loop, store,
               [this](auto, auto, std::string_view reason) { failed_calls += !reason.empty(); }),
        shared(event_loop, client, {"p/"}),
        relay(instance::relay_listener::listen(
                  event_loop, {"127.0.0.1", 0}, store,
                  [this](const auto& from) { return shared.answer(from); })
                  .value()),
        watch(event_loop, shared, "p/", {.wait = seconds(2), .max_retry_delay = milliseconds(200)},
              {.on_put = [this](const instance::stored_item& it) { items[it.key] = it.value; },
               .on_removed = [this](const std::string& key) { items.erase(key); },
               .on_synced = nullptr,
               .on_reachable = nullptr}) {
    watch.start();
  }

  net::event_loop& loop;
  int failed_calls = 0;
  store_client client;
  instance::shared_store shared;
  std::unique_ptr<instance::relay_listener> relay;
  std::map<std::string, std::string> items;
  instance::prefix_watch watch;
};

} // namespace

// Guards against store load that grows with the number of instances, and against an instance that
// withholds changes from the instances that follow it.
TEST_CASE("instances of a data centre share one watch") {
  auto loop = net::event_loop::create().value();
  store_stand_in store(*loop);
  store.put("p/1", 1);
  follower watcher(*loop, store.address());
  follower other(*loop, store.second_address());
  const auto until = [&](const auto& done) { REQUIRE(loop->run_until(done, test_timeout)); };
  CHECK(watcher.shared.set_role(instance::watch_for_others{}));
  CHECK_FALSE(watcher.shared.set_role(instance::watch_for_others{}));
  until([&] { return watcher.items.contains("p/1"); });
  const auto lists_of_store = [&] { return store.calls("/kv-range"); };

  SECTION("following instances receive each change without calling the store") {
    other.shared.set_role(instance::watch_through{watcher.relay->local_address()});
    until([&] { return other.items.contains("p/1"); });
    store.set_fault(store_fault::silent, 1);
    store.put("p/2", 2);
    store.erase("p/1");
    until([&] { return other.items.contains("p/2") && !other.items.contains("p/1"); });
    CHECK(watcher.items == other.items);
  }

  SECTION("changes made during and between calls of a following instance are not lost") {
    other.shared.set_role(instance::watch_through{watcher.relay->local_address()});
    for (int n = 0; n < 40; ++n) {
      store.put("p/n" + std::to_string(n), n);
      loop->run_until([] { return false; }, milliseconds(3));
    }
    until([&] { return other.items.size() == 41; });
  }

  SECTION("an instance that starts to watch for others lists the keys again") {
    until([&] { return other.items.contains("p/1"); });
    const int before = lists_of_store();
    other.shared.set_role(instance::watch_for_others{});
    until([&] { return lists_of_store() > before; });
  }

  SECTION("an instance calls the store if no instance watches for it") {
    // The watching instance has been killed, or has not yet been assigned the role.
    const auto role = GENERATE(0, 1);
    if (role == 0) {
      other.shared.set_role(instance::watch_through{{"127.0.0.1", 1}});
    } else {
      watcher.shared.set_role(instance::watch_directly{});
      other.shared.set_role(instance::watch_through{watcher.relay->local_address()});
    }
    store.put("p/2", 2);
    until([&] { return other.items.contains("p/2"); });
  }

  SECTION("an instance without a response from the store does not serve its copy") {
    // The watching instance is cut off from the store while other instances reach both.
    other.shared.set_role(instance::watch_through{watcher.relay->local_address()});
    until([&] { return other.items.contains("p/1"); });
    const auto fault = GENERATE(store_fault::refuse, store_fault::silent);
    store.set_fault(fault);
    store.put("p/2", 2);
    const time_point changed = loop->now();
    until([&] { return other.items.contains("p/2"); });
    // The guarantee to operators: a change takes effect everywhere within three seconds.
    CHECK(loop->now() - changed < seconds(3));
    CHECK_FALSE(watcher.items.contains("p/2"));
  }

  SECTION("a copy that the store does not confirm is withheld before the store call times out") {
    // The watching instance loses its way to the store without notice, right after an answer. Its
    // own call fails only after the time in which a change must take effect.
    other.shared.set_role(instance::watch_through{watcher.relay->local_address()});
    // The following instance ends its own watch with the first of these changes.
    for (const std::string key : {"p/2", "p/3"}) {
      store.put(key, 0);
      until([&] { return other.items.contains(key) && watcher.items.contains(key); });
    }
    const int calls = store.calls("/kv-watch");
    store.set_fault(store_fault::silent);
    store.put("p/4", 0);
    until([&] { return other.items.contains("p/4") && store.calls("/kv-watch") > calls; });
    store.put("p/5", 0);
    until([&] { return other.items.contains("p/5"); });
    CHECK(watcher.failed_calls == 0);
  }

  SECTION("a list older than the last known revision is ignored") {
    // An instance follows the store directly, then calls an instance whose copy is older.
    until([&] { return other.items.contains("p/1"); });
    store.set_fault(store_fault::silent);
    store.erase("p/1");
    until([&] { return other.items.empty(); });
    other.shared.set_role(instance::watch_through{watcher.relay->local_address()});
    std::optional<instance::list_answer> listed;
    other.shared.list("p/", {}, [&](instance::list_answer it) { listed = std::move(it); });
    until([&] { return listed.has_value(); });
    CHECK(listed->items.empty());
  }
}

// Guards against store load that grows with the number of data centres: their watchers share one
// watch as well.
TEST_CASE("the watchers of the data centres share one watch") {
  auto loop = net::event_loop::create().value();
  store_stand_in store(*loop);
  store.put("p/1", 1);
  follower first(*loop, store.address());
  follower second(*loop, store.second_address());
  follower other(*loop, store.second_address());
  const auto until = [&](const auto& done) { REQUIRE(loop->run_until(done, test_timeout)); };
  const auto know = [&](const std::string& key) {
    until([&] { return first.items.contains(key); });
    until([&] { return second.items.contains(key); });
    until([&] { return other.items.contains(key); });
  };
  const instance::watch_for_others through_first{first.relay->local_address()};
  const instance::watch_through through_second{second.relay->local_address()};
  first.shared.set_role(instance::watch_for_others{});
  second.shared.set_role(through_first);
  other.shared.set_role(through_second);
  know("p/1");
  // Each follower ends the watch of its former role with the first of these changes.
  for (const std::string key : {"p/2", "p/3"}) {
    store.put(key, 0);
    know(key);
  }

  SECTION("a change passes through both without further calls to the store") {
    store.set_fault(store_fault::silent, 1);
    store.put("p/4", 4);
    store.erase("p/1");
    know("p/4");
    until([&] { return !other.items.contains("p/1"); });
  }

  SECTION("copies stay in use while nothing changes") {
    store.set_fault(store_fault::silent, 1);
    // Longer than a copy is served without a confirmation.
    loop->run_until([] { return false; }, seconds(4));
    store.put("p/4", 4);
    know("p/4");
  }

  SECTION("both call the store if the first one does not get its answers") {
    // The first instance loses its way to the store without notice, right after an answer.
    const int calls = store.calls("/kv-watch");
    store.set_fault(store_fault::silent);
    store.put("p/4", 0);
    until([&] { return other.items.contains("p/4") && store.calls("/kv-watch") > calls; });
    store.put("p/5", 0);
    until([&] { return other.items.contains("p/5"); });
    CHECK_FALSE(first.items.contains("p/5"));
  }

  SECTION("a copy stays when only its source changes") {
    second.shared.set_role(instance::watch_for_others{});
    first.shared.set_role(instance::watch_for_others{second.relay->local_address()});
    const int lists = store.calls("/kv-range");
    store.put("p/4", 0);
    know("p/4");
    CHECK(store.calls("/kv-range") == lists);
  }

  SECTION("two watchers that name each other as source call the store") {
    // Their lists of members differ for a moment.
    first.shared.set_role(instance::watch_for_others{second.relay->local_address()});
    store.put("p/4", 0);
    know("p/4");
  }
}

TEST_CASE("an instance calls the store if its source does not respond") {
  // The watching instance hangs: its connections stay open and it sends no response.
  auto loop = net::event_loop::create().value();
  store_stand_in store(*loop);
  store.put("p/1", 1);
  std::vector<std::shared_ptr<http1::exchange>> held;
  const auto frozen = http1::server::listen(
                          *loop, {"127.0.0.1", 0}, [&](auto from) { held.push_back(from); },
                          &instance::listener_refusal)
                          .value();
  follower other(*loop, store.address());
  REQUIRE(loop->run_until([&] { return other.items.contains("p/1"); }, test_timeout));
  other.shared.set_role(instance::watch_through{frozen->local_address()});
  REQUIRE(loop->run_until([&] { return !held.empty(); }, test_timeout));
  store.put("p/2", 2);
  CHECK(loop->run_until([&] { return other.items.contains("p/2"); }, seconds(3)));
}

} // namespace boragedoor::platform
