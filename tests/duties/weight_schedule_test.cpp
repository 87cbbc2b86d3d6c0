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

TEST_CASE("the weight schedule decides which engines load weights") {
  weight_schedule schedule;
  auto engines = make_engines(9, 1);
  CHECK(schedule.decide(engines, start).empty());

  SECTION("two of nine engines load concurrently, because more would slow each other down") {
    schedule.announce("m", 2, start);
    CHECK(schedule.decide(engines, start).size() == 2);
    CHECK(schedule.decide(engines, start + seconds(1)).empty());
  }

  SECTION("half of the engines load each version, so that the others run without interruption") {
    // Models a version announced every 4 s. The step that starts then accepts the previous version.
    time_point now = start;
    std::map<std::string, int> loads;
    for (std::uint64_t version = 2; version <= 9; ++version) {
      schedule.announce("m", version, now);
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

  SECTION("engines with weights that are too old load first, then the least loaded") {
    schedule.announce("m", 3, start);
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

  SECTION("all engines load a version that remains the newest") {
    schedule.announce("m", 2, start);
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

  SECTION("the limit of concurrent loads adapts to the load times") {
    // Models a fleet that grows from 36 to 60 engines, while the weight store serves only eight
    // concurrent loads at full speed.
    engines = make_engines(60, 1);
    time_point now = start;
    for (std::uint64_t version = 3; version < 40; ++version) {
      schedule.announce("m", 2 * version, now);
      const auto orders = schedule.decide(engines, now);
      const auto n = static_cast<duration::rep>(orders.size());
      now += milliseconds(200) + std::max(milliseconds(900), milliseconds(900) * n / 8);
      for (const load_order& it : orders) {
        schedule.loaded(it.engine, "m", it.version, now);
      }
      now += seconds(10);
    }
    CHECK(schedule.max_concurrent_loads() >= 7);
    CHECK(schedule.max_concurrent_loads() <= 10);
  }

  SECTION("an announcement of an older version is ignored") {
    schedule.announce("m", 5, start);
    schedule.announce("m", 4, start);
    CHECK(schedule.newest("m") == 5);
  }

  SECTION("an order is repeated after the load timeout, or after the retry delay if it failed") {
    schedule.announce("m", 3, start);
    const auto first = schedule.decide(engines, start);
    schedule.failed(first[0].engine, start);
    const auto next = schedule.decide(engines, start);
    REQUIRE(next.size() == 1);
    CHECK(next[0].engine != first[0].engine);
    CHECK(schedule.decide(engines, start + seconds(5)).size() == 2);
  }

  SECTION("the model with the fewest usable engines loads first") {
    // Models four models on 36 engines, each announced every four seconds, one second apart. Guards
    // against a step that starts with zero to three usable engines while other models have twenty:
    // a quarter of the texts then wait for more than a second. Traces of a large site showed this.
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
      schedule.announce(named, version, now);
      const auto useful = static_cast<std::size_t>(
          std::count_if(engines.begin(), engines.end(), [&](const engine_state& it) {
            return it.versions.at(named) + 1 >= version;
          }));
      if (second >= 8) {
        fewest = std::min(fewest, useful);
      }
    }
    // Seven loads per second are 28 per interval: seven engines per version for each model.
    CHECK(fewest >= 6);
  }

  SECTION("a model whose engines lag two versions behind loads before others") {
    for (engine_state& it : engines) {
      it.versions = {{"m", 5}, {"n", 4}};
    }
    schedule.announce("m", 6, start);
    schedule.announce("n", 6, start);
    for (const load_order& it : schedule.decide(engines, start)) {
      CHECK(it.model == "n");
    }
  }

  // Load: trainers whose steps have different sizes share the engines, and a trainer that is behind
  // names two versions within half a second, so that its second step accepts only engines that have
  // loaded in between. Guards against a step that waits for weights while its trainer's engines
  // wait behind loads that no step needs.
  SECTION("with the sizes of the steps") {
    engines = make_engines(40, 1);
    for (engine_state& it : engines) {
      it.versions = {{"large", 4}, {"small", 5}};
      it.slots = 6;
    }
    // Eight concurrent loads. The step of "large" needs 20 engines, that of "small" four.
    schedule.set_steps({{"large", {120}}, {"small", {24}}});
    const auto give = [&](std::string_view model, std::size_t first, std::size_t n,
                          std::uint64_t version) {
      for (std::size_t i = first; i < first + n; ++i) {
        engines[i].versions.find(model)->second = version;
      }
    };
    const auto models_of = [](const std::vector<load_order>& orders) {
      std::map<std::string, std::size_t> n;
      for (const load_order& it : orders) {
        ++n[it.model];
      }
      return n;
    };

    SECTION("the step that lacks engines loads first, although it has more than the other") {
      give("large", 0, 15, 6);
      schedule.announce("small", 6, start);
      schedule.announce("large", 6, start);
      const auto loads = models_of(schedule.decide(engines, start));
      CHECK(loads.at("large") == 5);
      CHECK(loads.at("small") == 3);
    }

    SECTION("the next step's engines load before further ones of the current step") {
      give("large", 0, 20, 5);
      give("small", 0, 4, 6);
      schedule.announce("small", 6, start);
      schedule.announce("large", 6, start);
      CHECK(models_of(schedule.decide(engines, start)) ==
            std::map<std::string, std::size_t>{{"large", 8}});
    }

    // Three trainers name a version within a second, and loads for all three next steps take four
    // seconds: without an order each of them starts its step with a third of the engines.
    SECTION(
        "the trainer whose oldest step was submitted first gets its next step's engines first") {
      schedule.set_steps(
          {{"large", {120, wall_time(seconds(104))}}, {"small", {24, wall_time(seconds(100))}}});
      give("large", 0, 40, 5);
      give("small", 0, 4, 5);
      schedule.announce("small", 6, start);
      schedule.announce("large", 6, start);
      CHECK(models_of(schedule.decide(engines, start)) ==
            std::map<std::string, std::size_t>{{"large", 4}, {"small", 4}});
      SECTION("and the other one once that step has what it needs, so that neither starves") {
        give("small", 0, 4, 6);
        CHECK(schedule.decide(engines, start + seconds(5)).size() == 8);
      }
    }

    SECTION("a trainer with an open step goes before one without, which asks for nothing yet") {
      schedule.set_steps({{"large", {120}}, {"small", {120, wall_time(seconds(100))}}});
      schedule.announce("small", 6, start);
      schedule.announce("large", 5, start);
      const auto orders = schedule.decide(engines, start);
      CHECK(models_of(orders) == std::map<std::string, std::size_t>{{"small", 8}});
      CHECK(orders.front().purpose == load_purpose::next_step);
    }

    SECTION("a step that runs already goes before the next step of any other trainer") {
      schedule.set_steps(
          {{"large", {120, wall_time(seconds(104))}}, {"small", {24, wall_time(seconds(100))}}});
      give("small", 0, 4, 5);
      schedule.announce("small", 6, start);
      schedule.announce("large", 6, start);
      CHECK(models_of(schedule.decide(engines, start)).at("large") == 8);
    }

    SECTION("half of the loads stay free once all steps have what they need") {
      give("large", 0, 20, 6);
      give("small", 0, 4, 6);
      schedule.announce("small", 6, start);
      schedule.announce("large", 6, start);
      CHECK(schedule.decide(engines, start).size() == 4);
    }

    SECTION("a single model without a known step loads as before") {
      schedule.set_steps({});
      schedule.announce("large", 6, start);
      CHECK(schedule.decide(engines, start).size() == 8);
    }
  }

  SECTION("an engine loads only one model at a time") {
    for (engine_state& it : engines) {
      it.versions["n"] = 1;
    }
    schedule.announce("m", 3, start);
    schedule.announce("n", 3, start);
    std::set<std::string> loading;
    for (const load_order& it : schedule.decide(engines, start)) {
      CHECK(loading.insert(it.engine).second);
    }
  }
}

} // namespace boragedoor::duties
