#include "instance/endpoint_verifier.h"

#include <optional>

#include <catch2/catch.hpp>

#include "instance_parts.h"
#include "platform/endpoint_codec.h"
#include "replica_stand_in.h"
#include "store_stand_in.h"

namespace boragedoor::platform {

namespace {

using instance::process_verdict;

constexpr duration patience = seconds(10);

} // namespace

TEST_CASE("an endpoint is verified to run the software that it is known for") {
  auto loop = net::event_loop::create().value();
  store_stand_in store(*loop);
  replica_stand_in engine(*loop, store, {.id = "e-1", .service = "models", .model = "m"});
  instance_parts parts(*loop, store.address(), "one");
  instance::endpoint_task endpoints(parts.context, std::string(registry_prefix), &read_endpoint,
                                    seconds(1));
  endpoints.start();
  dispatch::service_endpoints& table = parts.context.endpoints;
  const auto knows = [&](std::string_view software) {
    return loop->run_until(
        [&] { return table.find("e-1") != nullptr && table.find("e-1")->software == software; },
        patience);
  };
  REQUIRE(knows("models/v1"));
  const dispatch::endpoint_entry known = *table.find("e-1");
  const instance::expected_process expected{{"e-1", known.process_start_ms}, known.software};
  instance::endpoint_verifier verifier(parts.context, &read_endpoint);
  const auto verify = [&] {
    std::optional<process_verdict> verdict;
    verifier.verify(expected, [&](process_verdict it) { verdict = it; });
    REQUIRE(loop->run_until([&] { return verdict.has_value(); }, patience));
    return *verdict;
  };
  const auto verify_registered = [&] {
    std::optional<process_verdict> verdict;
    verifier.verify_registered(expected, [&](process_verdict it) { verdict = it; });
    REQUIRE(loop->run_until([&] { return verdict.has_value(); }, patience));
    return *verdict;
  };

  SECTION("by its own report, also without the store") {
    store.set_fault(store_fault::refuse);
    CHECK(verify() == process_verdict::confirmed);
  }

  SECTION("by the registry, if its report does not tell") {
    engine.reports_start = false;
    CHECK(verify() == process_verdict::confirmed);
    SECTION("unless the store does not answer") {
      store.set_fault(store_fault::refuse);
      CHECK(verify() == process_verdict::unknown);
    }
  }

  SECTION("after it was started again") {
    SECTION("with the same software") {
      engine.restart_with_same_id();
      CHECK(verify() == process_verdict::confirmed);
      CHECK(verify_registered() == process_verdict::confirmed);
    }
    SECTION("with other software, before and after this instance knows") {
      engine.restart_with_same_id("v2");
      table.put(known);
      CHECK(verify() == process_verdict::refuted);
      CHECK(verify_registered() == process_verdict::refuted);
      REQUIRE(knows("models/v2"));
      CHECK(verify() == process_verdict::refuted);
      CHECK(verify_registered() == process_verdict::refuted);
    }
    SECTION("as a process that the registry does not name yet") {
      const std::string entry = to_text({{"service", "models"},
                                         {"address", net::to_string(known.address)},
                                         {"zone", "z1"},
                                         {"version", "v1"},
                                         {"slots", 4},
                                         {"state", "ready"},
                                         {"born", known.process_start_ms}});
      engine.restart_with_same_id("v2");
      store.put("servers/e-1", parse_json(entry).value());
      CHECK(verify() == process_verdict::refuted);
    }
  }

  SECTION("after its entry was removed") {
    const auto remove = [&] {
      store.erase("servers/e-1");
      REQUIRE(loop->run_until([&] { return table.find("e-1") == nullptr; }, patience));
    };
    SECTION("by its last entry") {
      remove();
      CHECK(verify_registered() == process_verdict::gone);
    }
    SECTION("not before this instance knows all changes up to the removal") {
      remove();
      table.put(known);
      CHECK(verify_registered() == process_verdict::unknown);
    }
    SECTION("by its last entry, if that named other software") {
      engine.restart_with_same_id("v2");
      REQUIRE(knows("models/v2"));
      remove();
      CHECK(verify_registered() == process_verdict::refuted);
    }
  }

  SECTION("an endpoint that was never known is not verified") {
    std::optional<process_verdict> verdict;
    verifier.verify_registered({{"e-2", 1}, "models/v1"},
                               [&](process_verdict it) { verdict = it; });
    REQUIRE(loop->run_until([&] { return verdict.has_value(); }, patience));
    CHECK(*verdict == process_verdict::unknown);
  }
}

} // namespace boragedoor::platform
