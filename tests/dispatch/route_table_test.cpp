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

TEST_CASE("a route table") {
  route_table table;
  auto why = route_refusal::no_route;

  SECTION("without a configuration nothing is routed, and nobody is told that a key is wrong") {
    CHECK_FALSE(table.match("plans.example", "/plans/1", "key-n", why));
    CHECK(why == route_refusal::no_configuration);
  }

  SECTION("with a configuration") {
    REQUIRE(table.apply(make_configuration(7)));

    SECTION("the longest prefix of the host's routes wins, whatever the case and port") {
      CHECK(table.match("plans.example", "/plans/1", "key-n", why)->matched->name == "plans");
      CHECK(table.match("PLANS.example:80", "/other", "key-n", why)->matched->name == "all");
      CHECK_FALSE(table.match("else.example", "/plans/1", "key-n", why));
      CHECK(why == route_refusal::no_route);
    }

    SECTION("a key stands for its workspace, and only open routes go without") {
      CHECK(table.match("plans.example", "/plans/1", "key-s", why)->workspace == "south");
      CHECK_FALSE(table.match("plans.example", "/plans/1", "wrong", why));
      CHECK(why == route_refusal::unknown_key);
      CHECK(table.match("plans.example", "/plans/open/1", "", why)->workspace.empty());
    }

    SECTION("versions only go up") {
      service_configuration older = make_configuration(6);
      older.workspaces.clear();
      CHECK_FALSE(table.apply(older));
      CHECK_FALSE(table.apply(make_configuration(7)));
      CHECK(table.version() == 7);
      CHECK(table.workspace_of("key-n") == "north");
    }

    SECTION("a withdrawn key stops working with the version that lacks it") {
      service_configuration next = make_configuration(9);
      next.workspaces[0].keys = {"key-n2"};
      REQUIRE(table.apply(next));
      CHECK_FALSE(table.workspace_of("key-n"));
      CHECK(table.workspace_of("key-n2") == "north");
    }
  }
}

TEST_CASE("services are drawn by the weights of their shares") {
  route it = make_route("split", "/");
  random_engine random(7);
  CHECK(draw_service(it, random).empty());
  it.services = {{"a", 90}, {"b", 10}, {"never", 0}};
  std::map<std::string, int> drawn;
  for (int n = 0; n < 1000; ++n) {
    ++drawn[draw_service(it, random)];
  }
  CHECK(drawn["a"] > 850);
  CHECK(drawn["b"] > 50);
  CHECK(drawn["never"] == 0);
}

} // namespace boragedoor::dispatch
