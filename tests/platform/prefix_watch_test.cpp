#include "instance/prefix_watch.h"

#include <map>

#include <catch2/catch.hpp>

#include "platform/store_client.h"
#include "store_stand_in.h"

namespace boragedoor::platform {

namespace {

constexpr duration test_timeout = seconds(10);

} // namespace

TEST_CASE("a prefix watch follows the store") {
  auto loop = net::event_loop::create().value();
  store_stand_in store(*loop);
  store_client client(*loop, store.address(), [](auto, auto, auto) {});
  std::map<std::string, std::string> items;
  int put_count = 0;
  std::vector<bool> reachable;
  for (int n = 0; n < 7; ++n) {
    store.put("p/" + std::to_string(n), n);
  }
  store.put("q/else", 1);
  instance::prefix_watch watch(*loop, client, "p/",
                               {.wait = milliseconds(200), .max_retry_delay = milliseconds(200)},
                               {.on_put =
                                    [&](const instance::stored_item& it) {
                                      items[it.key] = it.value;
                                      ++put_count;
                                    },
                                .on_removed = [&](const std::string& key) { items.erase(key); },
                                .on_synced = nullptr,
                                .on_reachable = [&](bool it) { reachable.push_back(it); }});
  watch.start();
  const auto until = [&](const auto& done) { REQUIRE(loop->run_until(done, test_timeout)); };
  until([&] { return watch.is_synced(); });
  CHECK(items.size() == 7);

  SECTION("each change is reported once") {
    const int before = put_count;
    store.put("p/3", "new");
    store.erase("p/4");
    store.put("p/9", 9);
    until([&] { return items.contains("p/9"); });
    CHECK(items.at("p/3") == "\"new\"");
    CHECK_FALSE(items.contains("p/4"));
    CHECK(put_count == before + 2);
  }

  SECTION("changes compacted by the store are found by listing again") {
    // Watches get no response for a second while changes are made, then the history is compacted.
    store.set_fault(store_fault::silent);
    store.erase("p/0");
    store.put("p/1", "new");
    store.compact();
    store.set_fault(store_fault::none);
    until([&] { return !items.contains("p/0"); });
    CHECK(items.at("p/1") == "\"new\"");
    CHECK(items.size() == 6);
  }

  SECTION("an outage is reported and the known keys are kept") {
    store.set_fault(store_fault::refuse);
    until([&] { return reachable == std::vector<bool>{false}; });
    CHECK(items.size() == 7);
    store.put("p/8", 8);
    store.set_fault(store_fault::none);
    until([&] { return items.contains("p/8"); });
    CHECK(reachable == std::vector<bool>{false, true});
  }
}

} // namespace boragedoor::platform
