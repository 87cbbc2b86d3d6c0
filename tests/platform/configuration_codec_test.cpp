#include "platform/configuration_codec.h"

#include <catch2/catch.hpp>

#include "base/json.h"

namespace boragedoor::platform {

namespace {

constexpr std::string_view document = R"({"version":7,"routes":[
  {"name":"r1","host":"a.example","prefix":"/p/","kind":"safe","timeout_ms":1500,
   "target_latency_ms":150,"priority":2,"max_attempts":2,"public":false,
   "split":[{"service":"s1","weight":90},{"service":"s2","weight":10}]},
  {"name":"r2","host":"a.example","prefix":"/q/","kind":"rollout","timeout_ms":10000,
   "target_latency_ms":500,"due_ms":7500,"max_queue_s":40,"max_attempts":3,"service":"s3",
   "single_version":true,"unknown_field":1}],
 "services":[{"name":"s3","max_conns":140,"cold_start_s":3.0,"cold_per_s":12.5,"engine":{"slots":8,"models":[{"name":"m"}]},
   "scaling":{"min_replicas":1,"max_replicas":6}},{"name":"s1"}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,
   "idle_timeout_ms":15000},
 "tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1}]})";

} // namespace

// Guards against undefined conversions of numbers that no time or count can hold.
TEST_CASE("numbers of a configuration that are out of range are left out") {
  json from = parse_json(document).value();
  from["routes"][0]["timeout_ms"] = 1e300;
  from["routes"][0]["target_latency_ms"] = -1;
  from["routes"][0]["max_attempts"] = std::uint64_t{1} << 40;
  from["routes"][1]["max_queue_s"] = 1e300;
  const auto entry = read_operator_entry("op/config", to_text(from));
  const auto* it = std::get_if<dispatch::service_configuration>(&entry);
  REQUIRE(it != nullptr);
  const dispatch::route defaults;
  CHECK(it->routes[0].timeout == defaults.timeout);
  CHECK(it->routes[0].target_latency == defaults.target_latency);
  CHECK(it->routes[0].max_attempts == 1);
  CHECK(it->routes[1].max_queue == defaults.max_queue);
}

TEST_CASE("a configuration is read into the product's own terms") {
  const auto entry = read_operator_entry("op/config", document);
  const auto* it = std::get_if<dispatch::service_configuration>(&entry);
  REQUIRE(it != nullptr);
  CHECK(it->version == 7);
  REQUIRE(it->routes.size() == 2);
  CHECK(it->routes[0].kind == dispatch::route_kind::idempotent);
  CHECK(it->routes[0].timeout == milliseconds(1500));
  CHECK(it->routes[0].services.at(1).weight == 10);
  CHECK(it->routes[1].kind == dispatch::route_kind::rollout);
  CHECK(it->routes[1].due == milliseconds(7500));
  CHECK(it->routes[1].max_queue == seconds(40));
  CHECK(it->routes[1].single_version);
  CHECK(it->services.at(0).models == std::vector<std::string>{"m"});
  CHECK(it->services.at(0).scaling->max_endpoints == 6);
  CHECK_FALSE(it->services.at(1).scaling);
  CHECK(it->services.at(0).warm_up_rate == 12.5);
  CHECK(it->services.at(1).warm_up_rate == 0);
  CHECK(it->limits.idle_timeout == seconds(15));
  CHECK(it->workspaces.at(0).keys == std::vector<std::string>{"k1", "k2"});
}

TEST_CASE("other entries of the operators are told apart") {
  const auto version = read_operator_entry("op/version/m", R"({"model":"m","version":4})");
  CHECK(std::get<instance::named_version>(version).version == 4);
  const auto retire = read_operator_entry("op/retire/store-1", R"({"duration_s":10})");
  CHECK(std::get<instance::retire_request>(retire).instance == "store-1");
  CHECK(retired_status({"store-1"}).key == "status/retire/store-1");
  // The key says all, so a value that cannot be read does not keep an evacuation from counting.
  for (const std::string value : {"{}", "", "no json"}) {
    const auto evacuation = read_operator_entry("op/evacuate/z1", value);
    CHECK(std::get<instance::evacuation_request>(evacuation).data_centre == "z1");
  }
}

TEST_CASE("entries that cannot be read are ignored as a whole") {
  const auto [key, value] = GENERATE(table<std::string, std::string>(
      {{"op/config", "no json"},
       {"op/config", R"({"version":7})"},
       {"op/config", R"({"version":7,"routes":[{"name":"r"}],"services":[]})"},
       {"op/config", R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/","kind":"new"}],
                         "services":[]})"},
       {"op/version/m", R"({"model":"m"})"},
       {"op/evacuate/", "{}"},
       {"op/else", "{}"}}));
  CHECK(std::holds_alternative<instance::ignored_entry>(read_operator_entry(key, value)));
}

} // namespace boragedoor::platform
