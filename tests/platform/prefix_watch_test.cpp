#include "instance/prefix_watch.h"

#include <map>
#include <utility>

#include <catch2/catch.hpp>

#include "platform/store_client.h"
#include "store_stand_in.h"

namespace boragedoor::platform {

namespace {

constexpr duration test_timeout = seconds(10);

/// Test double of a store that holds each watch until the test answers it.
class held_store : public instance::durable_store {
public:
  explicit held_store(net::event_loop& loop) : loop_(loop) {}

  void list(const std::string& /*prefix*/, const std::string& /*after*/,
            std::function<void(instance::list_answer)> done) override {
    loop_.post([done = std::move(done)] { done({instance::store_status::ok, {}, false, 0}); });
  }
  void watch(const std::string& /*prefix*/, std::uint64_t /*after*/, duration /*wait*/,
             std::function<void(instance::watch_answer)> done) override {
    ++watches_;
    held_ = std::move(done);
  }
  void read(const std::string& /*key*/,
            std::function<void(instance::read_answer)> /*done*/) override {}
  void commit(const instance::store_change& /*change*/,
              std::function<void(instance::commit_answer)> /*done*/) override {}
  void grant_lease(duration /*ttl*/,
                   std::function<void(instance::lease_answer)> /*done*/) override {}
  void keep_lease(std::uint64_t /*lease*/,
                  std::function<void(instance::lease_answer)> /*done*/) override {}
  void end_lease(std::uint64_t /*lease*/) override {}

  [[nodiscard]] int watches() const { return watches_; }
  void answer(instance::store_status status) { std::exchange(held_, nullptr)({status, {}, 0}); }

private:
  net::event_loop& loop_;
  int watches_ = 0;
  std::function<void(instance::watch_answer)> held_;
};

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

TEST_CASE("a prefix watch that fails is repeated") {
  auto loop = net::event_loop::create().value();
  held_store store(*loop);
  const duration delay = GENERATE(duration(milliseconds(300)), duration(seconds(60)));
  instance::prefix_watch watch(*loop, store, "p/",
                               {.min_retry_delay = delay, .max_retry_delay = delay},
                               {.on_put = [](const instance::stored_item&) {},
                                .on_removed = [](const std::string&) {},
                                .on_synced = nullptr,
                                .on_reachable = nullptr});
  watch.start();
  REQUIRE(loop->run_until([&] { return store.watches() == 1; }, test_timeout));
  const auto wait = [&](duration length) {
    bool over = false;
    loop->post_after(length, [&] { over = true; });
    REQUIRE(loop->run_until([&] { return over; }, test_timeout));
  };

  // A watch that lasted as long as the delay has not called the store too often. A further delay
  // would hide a change for longer than `max_lost_watch_time`.
  wait(milliseconds(400));
  store.answer(instance::store_status::unknown);
  wait(milliseconds(10));
  CHECK(store.watches() == (delay < seconds(1) ? 2 : 1));
}

} // namespace boragedoor::platform
