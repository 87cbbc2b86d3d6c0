#include "dispatch/route_table.h"

#include <map>

#include <catch2/catch.hpp>

namespace boragedoor::dispatch {

namespace {

route make_route(std::string name, std::string prefix, bool open = false) {
  route it;
  it.name = std::move(name);
  it.host = "Plans.Example";
  it.prefix = std::move(prefix);
  it.open = open;
  return it;
}

service_configuration make_configuration(std::uint64_t version) {
  service_configuration it;
  it.version = version;
  it.routes = {make_route("all", "/"), make_route("plans", "/plans/"),
               make_route("open", "/plans/open/", true)};
  it.workspaces = {{"north", {"key-n"}}, {"south", {"key-s"}}};
  return it;
}

} // namespace

TEST_CASE("route table") {
  route_table table;
  auto refusal = route_refusal::no_route;

  SECTION("without a configuration every request is refused as no_configuration, not unknown_key") {
    CHECK_FALSE(table.match("plans.example", "/plans/1", "key-n", refusal));
    CHECK(refusal == route_refusal::no_configuration);
  }

  SECTION("with a configuration") {
    REQUIRE(table.apply(make_configuration(7)));

    SECTION("the longest path prefix wins; the case and port of the host are ignored") {
      CHECK(table.match("plans.example", "/plans/1", "key-n", refusal)->matched_route->name ==
            "plans");
      CHECK(table.match("PLANS.example:80", "/other", "key-n", refusal)->matched_route->name ==
            "all");
      CHECK_FALSE(table.match("else.example", "/plans/1", "key-n", refusal));
      CHECK(refusal == route_refusal::no_route);
    }

    SECTION("a key selects its workspace; only open routes accept requests without a known key") {
      CHECK(table.match("plans.example", "/plans/1", "key-s", refusal)->workspace == "south");
      CHECK_FALSE(table.match("plans.example", "/plans/1", "wrong", refusal));
      CHECK(refusal == route_refusal::unknown_key);
      CHECK(table.match("plans.example", "/plans/open/1", "", refusal)->workspace.empty());
    }

    SECTION("a configuration that is not newer is ignored") {
      service_configuration older = make_configuration(6);
      older.workspaces.clear();
      CHECK_FALSE(table.apply(older));
      CHECK_FALSE(table.apply(make_configuration(7)));
      CHECK(table.version() == 7);
      CHECK(table.workspace_of("key-n") == "north");
    }

    SECTION("a key that the new configuration omits no longer works") {
      service_configuration next = make_configuration(9);
      next.workspaces[0].keys = {"key-n2"};
      REQUIRE(table.apply(next));
      CHECK_FALSE(table.workspace_of("key-n"));
      CHECK(table.workspace_of("key-n2") == "north");
    }
  }
}

TEST_CASE("services are chosen at random by weight") {
  route it = make_route("split", "/");
  random_engine random(7);
  CHECK(choose_service(it, random).empty());
  it.services = {{"a", 90}, {"b", 10}, {"never", 0}};
  std::map<std::string, int> chosen_count;
  for (int n = 0; n < 1000; ++n) {
    ++chosen_count[choose_service(it, random)];
  }
  CHECK(chosen_count["a"] > 850);
  CHECK(chosen_count["b"] > 50);
  CHECK(chosen_count["never"] == 0);
}

} // namespace boragedoor::dispatch
