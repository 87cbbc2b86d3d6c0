#include "duties/weight_schedule.h"

#include <algorithm>
#include <set>

#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace boragedoor::duties {

namespace {

constexpr time_point start{seconds(100)};

std::vector<engine_state> make_engines(int n, std::uint64_t version) {
  std::vector<engine_state> list;
  list.reserve(static_cast<std::size_t>(n));
  for (int i = 0; i < n; ++i) {
    list.push_back({fmt::format("e{}", i), 0, {{"m", version}}});
  }
  return list;
}

} // namespace

TEST_CASE("the schedule of weights") {
  weight_schedule schedule;
  auto engines = make_engines(9, 1);
  CHECK(schedule.decide(engines, start).empty());

  SECTION("two engines load at a time, because more slow each other down") {
    schedule.name("m", 2, start);
    CHECK(schedule.decide(engines, start).size() == 2);
    CHECK(schedule.decide(engines, start + seconds(1)).empty());
  }

  SECTION("half of the engines follow each version, so that the others run the step undisturbed") {
    // Pattern: a version is named every 4 s, and the step that begins then accepts the one before.
    time_point now = start;
    std::map<std::string, int> loads;
    for (std::uint64_t version = 2; version <= 9; ++version) {
      schedule.name("m", version, now);
      for (int second = 0; second < 4; ++second) {
        for (const load_order& it : schedule.decide(engines, now)) {
          CHECK(it.version == version);
          for (engine_state& engine : engines) {
            if (engine.id == it.engine) {
              engine.versions["m"] = it.version;
              schedule.loaded(it.engine, "m", it.version, now);
              ++loads[it.engine];
            }
          }
        }
        now += seconds(1);
      }
      // At the end of the interval every engine can serve the step.
      for (const engine_state& it : engines) {
        CHECK(it.versions.at("m") + 1 >= version);
      }
    }
    for (const auto& [engine, n] : loads) {
      CHECK(n <= 5);
    }
  }

  SECTION("engines that are too old go first, then the least loaded") {
    schedule.name("m", 3, start);
    engines[0].versions["m"] = 2;
    for (engine_state& it : engines) {
      it.load = 5;
    }
    engines[4].load = 1;
    const auto orders = schedule.decide(engines, start);
    REQUIRE(orders.size() == 2);
    CHECK(orders[0].engine == "e4");
    CHECK(orders[1].engine != "e0");
  }

  SECTION("all engines follow a version that stays the newest") {
    schedule.name("m", 2, start);
    time_point now = start + seconds(10);
    for (int second = 0; second < 5; ++second, now += seconds(1)) {
      for (const load_order& it : schedule.decide(engines, now)) {
        schedule.loaded(it.engine, "m", 2, now);
        for (engine_state& engine : engines) {
          engine.versions["m"] = engine.id == it.engine ? 2 : engine.versions["m"];
        }
      }
    }
    CHECK(std::all_of(engines.begin(), engines.end(),
                      [](const engine_state& it) { return it.versions.at("m") == 2; }));
  }

  SECTION("the number of loads at a time follows the time that they take") {
    // Pattern: the engines grow from 36 to 60, but the weight store serves only eight at full
    // speed.
    engines = make_engines(60, 1);
    time_point now = start;
    for (std::uint64_t version = 3; version < 40; ++version) {
      schedule.name("m", 2 * version, now);
      const auto orders = schedule.decide(engines, now);
      const auto n = static_cast<duration::rep>(orders.size());
      now += milliseconds(200) + std::max(milliseconds(900), milliseconds(900) * n / 8);
      for (const load_order& it : orders) {
        schedule.loaded(it.engine, "m", it.version, now);
      }
      now += seconds(10);
    }
    CHECK(schedule.most_at_once() >= 7);
    CHECK(schedule.most_at_once() <= 10);
  }

  SECTION("an older name changes nothing") {
    schedule.name("m", 5, start);
    schedule.name("m", 4, start);
    CHECK(schedule.newest("m") == 5);
  }

  SECTION("an order without effect is repeated, one that was refused after a pause") {
    schedule.name("m", 3, start);
    const auto first = schedule.decide(engines, start);
    schedule.failed(first[0].engine, start);
    const auto next = schedule.decide(engines, start);
    REQUIRE(next.size() == 1);
    CHECK(next[0].engine != first[0].engine);
    CHECK(schedule.decide(engines, start + seconds(5)).size() == 2);
  }

  SECTION("the model that has the fewest engines for its step loads first") {
    // Pattern: four models on 36 engines, named a second apart every four seconds. In the traces of
    // a grown site steps began with none to three engines whose weights they accept, while other
    // models had twenty; a quarter of the texts then waited for more than a second.
    const std::vector<std::string> models = {"a", "b", "c", "d"};
    engines = make_engines(36, 1);
    for (engine_state& it : engines) {
      it.versions = {{"a", 1}, {"b", 1}, {"c", 1}, {"d", 1}};
    }
    time_point now = start;
    std::size_t fewest = engines.size();
    for (int second = 0; second < 40; ++second, now += seconds(1)) {
      const std::string& named = models[static_cast<std::size_t>(second) % 4];
      const auto version = 2 + static_cast<std::uint64_t>(second) / 4;
      for (const load_order& it : schedule.decide(engines, now)) {
        for (engine_state& engine : engines) {
          if (engine.id == it.engine) {
            engine.versions[it.model] = it.version;
            schedule.loaded(it.engine, it.model, it.version, now);
          }
        }
      }
      schedule.name(named, version, now);
      const auto useful = static_cast<std::size_t>(
          std::count_if(engines.begin(), engines.end(), [&](const engine_state& it) {
            return it.versions.at(named) + 1 >= version;
          }));
      if (second >= 8) {
        fewest = std::min(fewest, useful);
      }
    }
    // Seven loads a second are 28 in an interval: seven engines a version for each model.
    CHECK(fewest >= 6);
  }

  SECTION("a model that was named twice in a row is not left without engines") {
    for (engine_state& it : engines) {
      it.versions = {{"m", 5}, {"n", 4}};
    }
    schedule.name("m", 6, start);
    schedule.name("n", 6, start);
    for (const load_order& it : schedule.decide(engines, start)) {
      CHECK(it.model == "n");
    }
  }

  SECTION("an engine loads one model at a time, and models take turns") {
    for (engine_state& it : engines) {
      it.versions["n"] = 1;
    }
    schedule.name("m", 3, start);
    schedule.name("n", 3, start);
    std::set<std::string> loading;
    for (const load_order& it : schedule.decide(engines, start)) {
      CHECK(loading.insert(it.engine).second);
    }
  }
}

} // namespace boragedoor::duties
