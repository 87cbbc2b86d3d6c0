#include "instance/endpoint_task.h"

#include <catch2/catch.hpp>

#include "instance_parts.h"
#include "platform/endpoint_codec.h"
#include "replica_stand_in.h"
#include "store_stand_in.h"

namespace boragedoor::platform {

namespace {

constexpr duration patience = seconds(10);
constexpr duration heartbeat = milliseconds(1200);

} // namespace

// Guards against requests to an endpoint that has left: its removal was held back because the watch
// of the registry had just ended, although the store had answered other calls all the time.
TEST_CASE("removals of registry entries are held back only after an outage of the store") {
  auto loop = net::event_loop::create().value();
  store_stand_in store(*loop);
  replica_stand_in first(*loop, store, {.id = "p-1", .service = "plain"});
  replica_stand_in second(*loop, store, {.id = "p-2", .service = "plain"});
  instance_parts parts(*loop, store.address(), "one");
  instance::endpoint_task endpoints(parts.context, std::string(registry_prefix), &read_endpoint,
                                    heartbeat);
  endpoints.note_store_answer(loop->now());
  endpoints.start();
  const auto knows = [&](const std::string& id) {
    return parts.context.endpoints.find(id) != nullptr;
  };
  const auto until = [&](const auto& done) { REQUIRE(loop->run_until(done, patience)); };
  until([&] { return knows("p-1") && knows("p-2"); });

  const int watches = store.calls("/kv-watch");
  store.set_fault(store_fault::refuse);
  until([&] { return store.calls("/kv-watch") > watches; });
  store.erase("servers/p-1");
  store.set_fault(store_fault::none);
  replica_stand_in third(*loop, store, {.id = "p-3", .service = "plain"});

  SECTION("the watch ended while other calls were answered") {
    endpoints.note_store_answer(loop->now());
    until([&] { return knows("p-3"); });
    CHECK_FALSE(knows("p-1"));
  }

  SECTION("no call was answered for two heartbeats") {
    endpoints.note_store_answer(loop->now() + 2 * heartbeat);
    until([&] { return knows("p-3"); });
    CHECK(knows("p-1"));
    until([&] { return !knows("p-1"); });
  }
}

} // namespace boragedoor::platform
