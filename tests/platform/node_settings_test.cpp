#include "platform/node_settings.h"

#include <catch2/catch.hpp>

#include "base/json.h"

namespace boragedoor::platform {

namespace {

json make_settings() {
  return {{"node_name", "front-1"},
          {"zone", "z1"},
          {"region", "r1"},
          {"ip", "10.0.0.1"},
          {"listen_addrs", {{"front", "10.0.0.1:80"}, {"ready", "10.0.0.1:81"}}},
          {"internal_ports", {7360, 7375}},
          {"bounds", {{"lease_ttl_ms", 3000}, {"usage_window_s", 5}, {"grace_period_s", 8}}},
          {"platform", {{"address", "10.9.0.1:90"}}},
          {"cloud_api", {{"address", "10.9.0.2:90"}}},
          {"heartbeat_ms", 900},
          {"a_new_field", true}};
}

} // namespace

TEST_CASE("the platform's settings are read, and fields that are not known are ignored") {
  const auto it = parse_node_settings(to_text(make_settings()), "local.json");
  REQUIRE(it);
  CHECK(it.value().instance == "front-1");
  CHECK(it.value().data_centre == "z1");
  CHECK(it.value().callers->port == 80);
  CHECK_FALSE(it.value().address_lookup);
  CHECK(it.value().metrics.port == 7360);
  CHECK(it.value().relay.port == 7361);
  CHECK(it.value().heartbeat == milliseconds(900));
  CHECK(it.value().lease_ttl == seconds(3));
  CHECK(it.value().cold_overage == 1);
  CHECK(it.value().cold_slack == 0);

  json cold = make_settings();
  cold["bounds"]["cold_overage"] = 1.5;
  cold["bounds"]["cold_slack"] = 5;
  const auto with_cold = parse_node_settings(to_text(cold), "local.json");
  REQUIRE(with_cold);
  CHECK(with_cold.value().cold_overage == 1.5);
  CHECK(with_cold.value().cold_slack == 5);
}

TEST_CASE("all findings of a settings file are reported together") {
  json settings = make_settings();
  settings.erase("node_name");
  settings["platform"]["address"] = "nowhere";
  settings["bounds"]["lease_ttl_ms"] = 0;
  settings["bounds"]["cold_slack"] = -1;
  const auto it = parse_node_settings(to_text(settings), "local.json");
  REQUIRE_FALSE(it);
  REQUIRE(it.error().size() == 4);
  CHECK(it.error()[0].key == "node_name");
  CHECK(it.error()[1].key == "platform.address");
  CHECK(it.error()[2].key == "bounds.lease_ttl_ms");
  CHECK(it.error()[3].key == "bounds.cold_slack");
  CHECK(parse_node_settings("[]", "local.json").error().size() == 1);
  CHECK(load_node_settings("/nowhere/local.json").error().size() == 1);
}

} // namespace boragedoor::platform
