#include "standin/instance_state.h"
#include "standin/order_book.h"
#include "standin/ordering_state.h"
#include "standin/usage_state.h"
#include "standin/weight_state.h"

#include <catch2/catch.hpp>

namespace boragedoor::standin {

namespace {

using verdict = order_book::verdict;

constexpr time_point start{std::chrono::hours(1)};

json endpoint(const std::string& id, const std::string& tier, const std::string& state) {
  return {{"id", id},      {"address", "127.0.0.1:1"}, {"data_centre", "dc-1"},
          {"pool", "p"},   {"kind", "engine"},         {"tier", tier},
          {"state", state}};
}

std::map<std::string, std::string> states(ordering_state& ordering, time_point now) {
  std::map<std::string, std::string> found;
  const json list = ordering.list(now);
  for (const json& it : list["endpoints"]) {
    found[it["id"]] = it["state"];
  }
  return found;
}

} // namespace

TEST_CASE("orders and their fencing tokens") {
  SECTION("where tokens are checked, one older than the greatest seen is rejected") {
    order_book book(fencing::checked);
    CHECK(book.receive("a", "", 5, {}, {}) == verdict::execute);
    CHECK(book.receive("b", "", 4, {}, {}) == verdict::stale);
    CHECK(book.receive("c", "", 5, {}, {}) == verdict::execute);
    CHECK(book.greatest_token("") == 5);

    SECTION("within one scope only") {
      CHECK(book.receive("d", "other", 1, {}, {}) == verdict::execute);
    }

    SECTION("and the rejected order is on the list all the same") {
      const json list = book.list()["orders"];
      REQUIRE(list.size() == 3);
      CHECK(list[1]["verdict"] == "stale");
    }
  }

  SECTION("where they are ignored, an old one is executed and recorded") {
    order_book book(fencing::ignored);
    CHECK(book.receive("a", "", 5, {}, {}) == verdict::execute);
    CHECK(book.receive("b", "", 4, {}, {}) == verdict::execute);
    CHECK(book.greatest_token("") == 5);
  }

  SECTION("an order is executed once, unless it failed or a crash interrupted it") {
    order_book book(fencing::checked);
    CHECK(book.receive("a", "", 1, {}, {}) == verdict::execute);
    CHECK(book.receive("a", "", 1, {}, {}) == verdict::in_progress);
    book.finish("a", false);
    CHECK(book.receive("a", "", 1, {}, {}) == verdict::execute);
    book.interrupt();
    CHECK(book.receive("a", "", 1, {}, {}) == verdict::execute);
    book.finish("a", true);
    book.interrupt();
    CHECK(book.receive("a", "", 1, {}, {}) == verdict::repeated);
  }
}

TEST_CASE("the endpoints that the platform runs") {
  ordering_state ordering(seconds(2), seconds(5));
  const json document{{"endpoints",
                       {endpoint("live", "standard", "live"), endpoint("s1", "standard", "spare"),
                        endpoint("s2", "standard", "spare"), endpoint("c1", "cheap", "spare")}}};
  REQUIRE(ordering.replace(document));

  SECTION("an order adds spare endpoints of its tier, which take time to start") {
    CHECK(ordering.set_count("dc-1", "p", "standard", 2, start) == 2);
    CHECK(states(ordering, start) ==
          std::map<std::string, std::string>{{"live", "live"}, {"s1", "starting"}});
    CHECK(states(ordering, start + seconds(2))["s1"] == "live");

    SECTION("and a smaller count drains the surplus") {
      CHECK(ordering.set_count("dc-1", "p", "standard", 1, start + seconds(3)) == 1);
      CHECK(states(ordering, start + seconds(3))["s1"] == "draining");
      CHECK(states(ordering, start + seconds(8)).count("s1") == 0);
    }
  }

  SECTION("an order gets no more than there are") {
    CHECK(ordering.set_count("dc-1", "p", "standard", 9, start) == 3);
    CHECK(ordering.set_count("dc-1", "other", "standard", 1, start) == 0);
  }

  SECTION("cheap endpoints are reclaimed for a whole data centre") {
    ordering.set_count("dc-1", "p", "cheap", 1, start);
    CHECK(ordering.reclaim("dc-1") == 1);
    CHECK(states(ordering, start)["c1"] == "gone");
    CHECK(states(ordering, start)["live"] == "live");
  }

  SECTION("a malformed document changes nothing") {
    CHECK_FALSE(ordering.replace({{"endpoints", json::array({{{"id", "x"}}})}}));
    CHECK_FALSE(ordering.replace(json::array()));
    CHECK(states(ordering, start).size() == 1);
  }
}

TEST_CASE("the usage intake flags a window and shard with different figures") {
  usage_state usage;
  const json report{{"report_id", "r1"}, {"window", 60}, {"shard", 1}, {"figures", {{"alpha", 3}}}};
  json other = report;
  other["report_id"] = "r2";
  REQUIRE(usage.receive(report, {}));
  REQUIRE(usage.receive(other, {}));
  CHECK(usage.list()["conflicts"].empty());
  other["shard"] = 2;
  other["figures"]["alpha"] = 4;
  REQUIRE(usage.receive(other, {}));
  CHECK(usage.list()["conflicts"].empty());
  other["shard"] = 1;
  REQUIRE(usage.receive(other, {}));
  REQUIRE(usage.list()["conflicts"].size() == 1);
  CHECK(usage.list()["conflicts"][0]["window"] == 60);
  CHECK(usage.list()["reports"].size() == 4);
  CHECK_FALSE(usage.receive({{"window", 60}}, {}));
}

TEST_CASE("the instance list shows changes after its lag") {
  instance_state instances(seconds(2));
  instances.put("i1", {{"state", "live"}}, start);
  instances.put("i1", {{"state", "leaving"}}, start + seconds(1));
  instances.remove("i1", start + seconds(2));
  CHECK(instances.list(start + seconds(2) - duration(1))["instances"].empty());
  CHECK(instances.list(start + seconds(2))["instances"][0]["state"] == "live");
  CHECK(instances.list(start + seconds(3))["instances"][0]["state"] == "leaving");
  CHECK(instances.list(start + seconds(4))["instances"].empty());
  CHECK(instances.list(start)["lag_ms"] == 2000);
}

TEST_CASE("the weight store names the greatest published version") {
  weight_state weights;
  CHECK_FALSE(weights.latest("m"));
  weights.publish("m", 3);
  weights.publish("m", 2);
  CHECK(weights.latest("m") == 3);
  CHECK(weights.has("m", 2));
  CHECK_FALSE(weights.has("m", 1));
}

} // namespace boragedoor::standin
