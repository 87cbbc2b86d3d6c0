#include "platform/store_client.h"

#include <optional>

#include <catch2/catch.hpp>

#include "instance/relay_listener.h"
#include "link_stand_in.h"
#include "store_stand_in.h"

namespace boragedoor::platform {

namespace {

using instance::store_status;

constexpr duration patience = seconds(10);

} // namespace

TEST_CASE("calls to the store") {
  auto loop = net::event_loop::create().value();
  store_stand_in store(*loop);
  int failures = 0;
  store_client client(*loop, store.address(), [&](auto, auto, std::string_view reason) {
    failures += reason.empty() ? 0 : 1;
  });
  const auto commit = [&](const instance::store_change& change) {
    std::optional<instance::commit_answer> out;
    client.commit(change, [&](instance::commit_answer it) { out = std::move(it); });
    REQUIRE(loop->run_until([&] { return out.has_value(); }, patience));
    return *out;
  };
  const auto read = [&](const std::string& key) {
    std::optional<instance::read_answer> out;
    client.read(key, [&](instance::read_answer it) { out = std::move(it); });
    REQUIRE(loop->run_until([&] { return out.has_value(); }, patience));
    return *out;
  };

  SECTION("a change takes effect as a whole, with any bytes as values") {
    const std::string bytes("\0\xff\"\\", 4);
    const auto out =
        commit({.expected = {{"a", 0}}, .puts = {{"a", bytes, 0}, {"b", "2", 0}}, .removed = {}});
    CHECK(out.status == store_status::ok);
    CHECK(read("a").item.value == bytes);
    CHECK(read("a").item.revision == out.revision);
    const auto again = commit({.expected = {{"a", 0}}, .puts = {{"c", "3", 0}}, .removed = {"b"}});
    CHECK(again.status == store_status::conflict);
    REQUIRE(again.found.size() == 1);
    CHECK(again.found[0].value == bytes);
    CHECK(read("c").status == store_status::missing);
    CHECK(read("b").status == store_status::ok);
  }

  SECTION("a key is one text, whatever it holds") {
    // Guards against an id of a caller that ends the text of its key, so that the rest of it is
    // read as further changes.
    const std::string key = R"(a","value":"","lease":0},{"key":"other","value":"eA==)";
    const std::string removed = R"(b","other)";
    store.put("other", 1);
    const auto before = read("other").item.revision;
    CHECK(commit({.expected = {{key, 0}}, .puts = {{key, "x", 0}}, .removed = {}}).status ==
          store_status::ok);
    CHECK(store.has(key));
    CHECK(read(key).item.value == "x");
    CHECK(commit({.expected = {}, .puts = {{"c", "y", 0}}, .removed = {removed}}).status ==
          store_status::ok);
    CHECK(read("other").item.revision == before);
  }

  SECTION("a prefix is listed page by page and watched from there") {
    for (int n = 0; n < 5; ++n) {
      store.put("p/" + std::to_string(n), n);
    }
    std::vector<std::string> keys;
    std::string after;
    std::uint64_t as_of = 0;
    for (bool more = true; more;) {
      std::optional<instance::list_answer> page;
      client.list("p/", after, [&](instance::list_answer it) { page = std::move(it); });
      REQUIRE(loop->run_until([&] { return page.has_value(); }, patience));
      for (const auto& it : page->items) {
        keys.push_back(it.key);
      }
      after = keys.back();
      as_of = page->as_of;
      more = page->more;
    }
    CHECK(keys.size() == 5);

    std::optional<instance::watch_answer> seen;
    const auto watch = [&](std::uint64_t from) {
      seen.reset();
      client.watch("p/", from, seconds(5),
                   [&](instance::watch_answer it) { seen = std::move(it); });
    };
    watch(as_of);
    store.erase("p/3");
    REQUIRE(loop->run_until([&] { return seen.has_value(); }, patience));
    REQUIRE(seen->events.size() == 1);
    CHECK(seen->events[0].removed);

    store.compact();
    watch(as_of);
    REQUIRE(loop->run_until([&] { return seen.has_value(); }, patience));
    CHECK(seen->status == store_status::missing);
  }

  SECTION("a refusal says that nothing was done, silence that nobody knows") {
    store.set_fault(store_fault::refuse);
    CHECK(commit({.expected = {}, .puts = {{"a", "1", 0}}, .removed = {}}).status ==
          store_status::refused);
    store.set_fault(store_fault::lose_answers);
    CHECK(commit({.expected = {}, .puts = {{"a", "1", 0}}, .removed = {}}).status ==
          store_status::unknown);
    store.set_fault(store_fault::none);
    CHECK(read("a").status == store_status::ok);
    CHECK(failures == 2);
  }

  SECTION("leases bind keys and can be renewed until they end") {
    std::optional<instance::lease_answer> lease;
    client.grant_lease(seconds(2), [&](instance::lease_answer it) { lease = it; });
    REQUIRE(loop->run_until([&] { return lease.has_value(); }, patience));
    CHECK(lease->ttl == seconds(2));
    commit({.expected = {}, .puts = {{"l", "1", lease->lease}}, .removed = {}});
    CHECK(store.has("l"));
    client.end_lease(lease->lease);
    REQUIRE(loop->run_until([&] { return !store.has("l"); }, patience));
    std::optional<instance::lease_answer> kept;
    client.keep_lease(lease->lease, [&](instance::lease_answer it) { kept = it; });
    REQUIRE(loop->run_until([&] { return kept.has_value(); }, patience));
    CHECK(kept->status == store_status::missing);
  }

  SECTION("an instance that the store does not serve reaches it through another one") {
    // Pattern: the store refuses some machines, or a link to it is cut, for about ten seconds.
    const auto relay =
        instance::relay_listener::listen(*loop, {"127.0.0.1", 0}, store.second_address(),
                                         [](const auto&) { return false; })
            .value();
    client.set_relays({relay->local_address()});
    const auto fault = GENERATE(store_fault::refuse, store_fault::silent);
    store.set_fault(fault);
    // After silence the outcome of that call is unknown; the next one takes the relay.
    const auto first = read("a").status;
    CHECK(first == (fault == store_fault::refuse ? store_status::missing : store_status::unknown));
    CHECK(commit({.expected = {}, .puts = {{"a", "1", 0}}, .removed = {}}).status ==
          store_status::ok);

    SECTION("until the store serves it again") {
      store.set_fault(store_fault::none);
      const int before = store.calls("/kv-key");
      REQUIRE(loop->run_until(
          [&] {
            client.tick();
            return store.calls("/kv-key") > before;
          },
          patience));
      loop->run_until([] { return false; }, milliseconds(50));
      store.set_fault(store_fault::refuse, 1);
      CHECK(read("a").status == store_status::ok);
    }
    SECTION("also with a watch that waits for longer than other calls") {
      // Guards against a relay that ends such a watch, so that the instance takes the relay for one
      // that does not reach the store.
      std::optional<instance::watch_answer> seen;
      client.watch("p/", 10, seconds(6), [&](instance::watch_answer it) { seen = std::move(it); });
      REQUIRE(loop->run_until([&] { return seen.has_value(); }, patience));
      CHECK(seen->status == store_status::ok);
    }
    SECTION("and is told if the other one does not reach it either") {
      store.set_fault(store_fault::refuse, 1);
      CHECK(read("a").status != store_status::ok);
    }
  }
}

TEST_CASE("the direct way to the store works again while calls wait") {
  // Pattern: the store does not serve an instance for some seconds, which reaches it through a
  // relay. When the store is back, the relay is frozen or cut off. Changes of keys and routes have
  // to be known two seconds after they are acknowledged.
  auto loop = net::event_loop::create().value();
  store_stand_in store(*loop);
  const auto relay =
      instance::relay_listener::listen(*loop, {"127.0.0.1", 0}, store.second_address(),
                                       [](const auto&) { return false; })
          .value();
  link_stand_in relay_link(*loop, relay->local_address());
  link_stand_in store_link(*loop, store.address());
  int failed_watches = 0;
  store_client client(*loop, store_link.address(),
                      [&](std::string_view call, auto, std::string_view reason) {
                        failed_watches += call == "watch" && !reason.empty() ? 1 : 0;
                      },
                      nullptr, {.probe_interval = milliseconds(50)});
  const auto until = [&](const auto& done) {
    REQUIRE(loop->run_until(
        [&] {
          client.tick();
          return done();
        },
        patience));
  };
  const auto read = [&](const std::string& key) {
    std::optional<instance::read_answer> out;
    client.read(key, [&](instance::read_answer it) { out = std::move(it); });
    until([&] { return out.has_value(); });
    return out->status;
  };
  // Far longer than the test waits: a call that is not moved gets no answer in time.
  constexpr duration watch_wait = seconds(60);
  std::optional<instance::watch_answer> seen;
  const auto watch = [&] {
    const int before = store.calls("/kv-watch");
    client.watch("p/", 10, watch_wait, [&](instance::watch_answer it) { seen = std::move(it); });
    until([&] { return store.calls("/kv-watch") > before; });
  };

  SECTION("and the relay that they wait on does not answer any more") {
    client.set_relays({relay_link.address()});
    store.set_fault(store_fault::refuse);
    REQUIRE(read("a") == store_status::missing);

    SECTION("a watch learns of a change over the direct way") {
      watch();
      relay_link.set_state(link_state::hanging);
      const bool changed_before = GENERATE(true, false);
      if (changed_before) {
        store.put("p/a", 1);
      }
      store.set_fault(store_fault::none);
      until([&] { return store.calls("/kv-watch") == 2; });
      if (!changed_before) {
        store.put("p/a", 1);
      }
      until([&] { return seen.has_value(); });
      CHECK(seen->status == store_status::ok);
      CHECK(seen->events.size() == 1);
      // It did not fail, and it cost the store one more call.
      CHECK(failed_watches == 0);
      CHECK(store.calls("/kv-watch") == 2);
    }

    SECTION("a list is answered over the direct way") {
      relay_link.set_state(link_state::hanging);
      std::optional<instance::list_answer> page;
      client.list("p/", {}, [&](instance::list_answer it) { page = std::move(it); });
      store.set_fault(store_fault::none);
      until([&] { return page.has_value(); });
      CHECK(page->status == store_status::ok);
    }

    SECTION("a change is not sent twice") {
      relay_link.set_state(link_state::hanging);
      std::optional<instance::commit_answer> out;
      client.commit({.expected = {}, .puts = {{"a", "1", 0}}, .removed = {}},
                    [&](instance::commit_answer it) { out = std::move(it); });
      store.set_fault(store_fault::none);
      until([&] { return out.has_value(); });
      CHECK(out->status == store_status::unknown);
      CHECK(store.calls("/kv-txn") == 0);
    }
  }

  SECTION("and a watch was lost on it before") {
    // Guards against a watch on a connection that went silent: nothing arrives there, although new
    // connections work.
    watch();
    REQUIRE(read("a") == store_status::missing);
    store_link.silence_open_connections();
    CHECK(read("a") == store_status::unknown);
    store.put("p/a", 1);
    until([&] { return seen.has_value(); });
    CHECK(seen->status == store_status::ok);
    CHECK(seen->events.size() == 1);
  }

  SECTION("a watch that was sent after that stays") {
    client.set_relays({relay_link.address()});
    store.set_fault(store_fault::refuse);
    REQUIRE(read("a") == store_status::missing);
    store.set_fault(store_fault::none);
    until([&] { return client.is_direct(); });
    watch();
    REQUIRE(read("a") == store_status::missing);
    CHECK(store.calls("/kv-watch") == 1);
    store.put("p/a", 1);
    until([&] { return seen.has_value(); });
    CHECK(store.calls("/kv-watch") == 1);
  }
}

} // namespace boragedoor::platform
