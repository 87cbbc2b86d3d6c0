#include "platform/endpoint_codec.h"

#include <catch2/catch.hpp>

#include "base/json.h"

namespace boragedoor::platform {

TEST_CASE("an entry of the registry") {
  json entry = {{"service", "s"},
                {"address", "10.0.0.9:8080"},
                {"zone", "z1"},
                {"version", "v1"},
                {"slots", 8},
                {"state", "ready"},
                {"cold_remaining_ms", 0},
                {"stage", "both"},
                {"models", {{{"name", "m"}, {"version", 3}, {"adapters", json::array()}}}},
                {"sequence", 4},
                {"born", 1700000000000}};

  SECTION("is read into an endpoint") {
    const auto it = read_endpoint("servers/i-1", to_text(entry));
    REQUIRE(it);
    CHECK(it->description.id == "i-1");
    CHECK(it->description.data_centre == "z1");
    CHECK(it->description.max_running == 8);
    CHECK(it->description.state == routing::endpoint_state::ready);
    CHECK(it->versions.at("m") == 3);
    CHECK(it->software == "s/v1");
    CHECK(it->process_start_ms == 1700000000000);
  }

  SECTION("names no endpoint if a field is missing, of another type or an unknown word") {
    SECTION("no service") {
      entry.erase("service");
    }
    SECTION("no software version") {
      entry.erase("version");
    }
    SECTION("a software version that is a number") {
      entry["version"] = 1;
    }
    SECTION("slots as text") {
      entry["slots"] = "8";
    }
    SECTION("no slots at all") {
      entry["slots"] = 0;
    }
    SECTION("an unknown state") {
      entry["state"] = "asleep";
    }
    SECTION("an address without a port") {
      entry["address"] = "10.0.0.9";
    }
    SECTION("a model without a version") {
      entry["models"][0].erase("version");
    }
    CHECK_FALSE(read_endpoint("servers/i-1", to_text(entry)));
  }

  SECTION("and bytes that cannot be read name none either") {
    CHECK_FALSE(read_endpoint("servers/i-1", "\xff\x00"));
    CHECK_FALSE(read_endpoint("servers/", to_text(entry)));
    CHECK_FALSE(read_endpoint("else/i-1", to_text(entry)));
  }
}

} // namespace boragedoor::platform
