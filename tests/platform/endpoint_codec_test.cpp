#include "platform/endpoint_codec.h"

#include <limits>
#include <string>

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

  // Guards against callers' requests that are sent to a replica of another service because another
  // writer overwrote its entry: such an entry lacks fields, or has them of another type.
  SECTION("names no endpoint if any field is missing or of another type") {
    // The last one is beyond what a signed integer holds.
    const std::vector<json> values = {nullptr,
                                      true,
                                      -1,
                                      1.5,
                                      "",
                                      "text",
                                      "17",
                                      json::array(),
                                      json::object(),
                                      {1, 2},
                                      1e300,
                                      std::string(100'000, 'x'),
                                      {{"value", 17}},
                                      "v1\n",
                                      "\x01",
                                      std::uint64_t{1} << 63};
    const auto has_same_kind = [](const json& a, const json& b) {
      return a.type() == b.type() || (a.is_number_integer() && b.is_number_integer() && b >= 0);
    };
    for (const auto& [name, value] : entry.items()) {
      const bool only_for_engines = name == "stage" || name == "models";
      json other = entry;
      other.erase(name);
      INFO("without " << name);
      CHECK(read_endpoint("servers/i-1", to_text(other)).has_value() == only_for_engines);
      for (const json& replacement : values) {
        other = entry;
        other[name] = replacement;
        INFO(name << " is " << to_text(replacement).substr(0, 40));
        if (!has_same_kind(value, replacement) &&
            !(name == "cold_remaining_ms" && replacement.is_number() &&
              replacement.get<double>() >= 0)) {
          CHECK_FALSE(read_endpoint("servers/i-1", to_text(other)));
        } else {
          // A value of the right type may be odd; it must not do harm.
          static_cast<void>(read_endpoint("servers/i-1", to_text(other)));
        }
      }
    }
    SECTION("as an entry that another writer made from a few fields") {
      CHECK_FALSE(read_endpoint("servers/i-1", to_text({{"service", "s"},
                                                        {"address", "10.0.0.9:8080"},
                                                        {"zone", "z1"},
                                                        {"version", "v1"},
                                                        {"slots", 8},
                                                        {"state", "ready"}})));
    }
  }

  // Guards against instances that end or stop following the registry because of one odd entry.
  SECTION("names no endpoint if a value is out of range") {
    SECTION("more slots than an int holds") {
      entry["slots"] = std::uint64_t{1} << 32;
    }
    SECTION("slots of which an int would keep one") {
      entry["slots"] = (std::uint64_t{1} << 32) + 1;
    }
    SECTION("slots over 63 bits") {
      entry["slots"] = std::numeric_limits<std::uint64_t>::max();
    }
    SECTION("a negative number of slots") {
      entry["slots"] = -8;
    }
    SECTION("a port over 65535") {
      entry["address"] = "10.0.0.9:65536";
    }
    SECTION("a negative port") {
      entry["address"] = "10.0.0.9:-1";
    }
    SECTION("a host that is no address") {
      entry["address"] = "10.0.0.999:80";
    }
    SECTION("a host that is a name") {
      entry["address"] = "replica.example:80";
    }
    SECTION("a weight version that is negative") {
      entry["models"][0]["version"] = -1;
    }
    CHECK_FALSE(read_endpoint("servers/i-1", to_text(entry)));
  }

  SECTION("names no endpoint if its id cannot stand in a header") {
    CHECK_FALSE(read_endpoint("servers/i-1\r\nX: y", to_text(entry)));
  }

  SECTION("names no endpoint if it is nested very deeply or has a number without end") {
    constexpr std::size_t depth = 200'000;
    const std::string text = to_text(entry);
    const auto with_field = [&](const std::string& value) {
      return text.substr(0, text.size() - 1) + ",\"more\":" + value + "}";
    };
    CHECK_FALSE(read_endpoint("servers/i-1",
                              with_field(std::string(depth, '[') + std::string(depth, ']'))));
    CHECK_FALSE(read_endpoint("servers/i-1", std::string(depth, '{')));
    CHECK_FALSE(read_endpoint("servers/i-1", with_field("1e999")));
    std::string nested;
    for (std::size_t n = 0; n < depth; ++n) {
      nested += "{\"a\":";
    }
    CHECK_FALSE(read_endpoint("servers/i-1", with_field(nested + "1" + std::string(depth, '}'))));
    CHECK(read_endpoint("servers/i-1", with_field("1")));
  }

  SECTION("and bytes that cannot be read name none either") {
    CHECK_FALSE(read_endpoint("servers/i-1", "\xff\x00"));
    CHECK_FALSE(read_endpoint("servers/", to_text(entry)));
    CHECK_FALSE(read_endpoint("else/i-1", to_text(entry)));
  }
}

} // namespace boragedoor::platform
