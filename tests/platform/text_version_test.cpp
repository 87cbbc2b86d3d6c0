#include <chrono>

#include "platform_fixture.h"

namespace boragedoor::platform {

namespace {

/// A text takes two seconds, so that it is saved before it is complete.
constexpr int events = 100;
constexpr duration interval = milliseconds(20);
/// Events of a text when its engine crashes.
constexpr int early_events = 30;

/// Whether all events of a text come from one version of the software.
bool is_of_one_version(const std::string& text) {
  const auto lines = std::count(text.begin(), text.end(), '\n') + 1;
  std::ptrdiff_t newer = 0;
  for (auto at = text.find("-v2"); at != std::string::npos; at = text.find("-v2", at + 1)) {
    ++newer;
  }
  return lines == events && (newer == 0 || newer == lines);
}

/// Checks that all items of the job are done, each with a text of one version.
void check_results(platform_fixture& it) {
  const serving_process& reader = it.first ? *it.first : *it.second;
  const auto results = it.read_all(reader, "j1");
  REQUIRE(results.size() == 4);
  for (const auto& [id, result] : results) {
    CAPTURE(id, result.dump());
    CHECK(result["state"] == "done");
    CHECK(is_of_one_version(result["output"].get<std::string>()));
  }
}

} // namespace

// Guards against texts whose first part comes from one software version and the rest from another.
TEST_CASE("the text of an item comes from one software version") {
  platform_fixture it;
  it.engine = it.make_engine("e-1", "v1", interval, events);
  it.start("second", it.second);
  REQUIRE(it.call(*it.first, "POST", "/jobs/j1", to_text(make_job()), "key-n", "j1").status == 202);
  REQUIRE(it.loop->run_until([&] { return it.engine->open() == 4; }, wait_limit));
  it.loop->run_until([] { return false; }, early_events * interval);
  std::unique_ptr<replica_stand_in> newer = it.make_engine("e-2", "v2", interval, events);
  std::unique_ptr<replica_stand_in> older;

  SECTION("when its engine crashes and only a newer version is left") {
    it.engine->crash();
    it.store.erase("servers/e-1");
  }
  SECTION("when its engine crashes and another one of its version serves") {
    older = it.make_engine("e-3", "v1", interval, events);
    it.engine->crash();
    it.store.erase("servers/e-1");
  }
  SECTION("when another instance takes the job over and its engine has left") {
    REQUIRE(it.loop->run_until([&] { return it.store.has("boragedoor/progress/j1"); }, wait_limit));
    it.engine->crash();
    it.store.erase("servers/e-1");
    it.first.reset();
  }
  check_results(it);
  if (older) {
    CHECK(older->continued_ids.size() == 4);
  }
}

// Guards against texts that are joined from two software versions by an instance that was cut off
// or stood still while an endpoint was started again under its id with another version.
TEST_CASE("an instance that does not know an endpoint's new process does not join texts") {
  platform_fixture it;
  it.start("second", it.second);
  it.engine = it.make_engine("e-1", "v1", interval, events);
  const auto submit = [&] {
    REQUIRE(it.call(*it.first, "POST", "/jobs/j1", to_text(make_job()), "key-n", "j1").status ==
            202);
  };
  // The job runs at the first instance, whichever its step is assigned to.
  it.second->members().drain();
  REQUIRE(it.loop->run_until(
      [&] {
        return it.first->members().members().oldest()->instance == "first" &&
               it.first->members().members().candidates_for("x").size() == 1;
      },
      wait_limit));
  std::unique_ptr<replica_stand_in> older;

  SECTION("when it goes on there") {
    older = it.make_engine("e-2", "v1", interval, events);
    // The texts begin at the other endpoint.
    it.engine->full = true;
    submit();
    REQUIRE(it.loop->run_until([&] { return older->open() == 4; }, wait_limit));
    it.loop->run_until([] { return false; }, early_events * interval);
    it.engine->full = false;
    it.restart_engine_behind(*it.first, "v2");
    older->crash();
    it.loop->run_until([] { return false; }, seconds(1));
    // At last the instance learns of the process.
    it.engine->announce();
  }
  SECTION("when it began there") {
    it.restart_engine_behind(*it.first, "v2");
    submit();
    REQUIRE(it.loop->run_until([&] { return it.engine->open() == 4; }, wait_limit));
    it.loop->run_until([] { return false; }, early_events * interval);
    older = it.make_engine("e-2", "v1", interval, events);
    SECTION("and goes on at the same instance") {
      it.engine->crash();
    }
    SECTION("and goes on at another one, from saved texts") {
      REQUIRE(
          it.loop->run_until([&] { return it.store.has("boragedoor/progress/j1"); }, wait_limit));
      it.first.reset();
      it.second.reset();
      it.start("second", it.second);
      REQUIRE(it.loop->run_until(
          [&] { return it.second->context().endpoints.find("e-2") != nullptr; }, wait_limit));
      it.engine->crash();
    }
  }
  check_results(it);
}

} // namespace boragedoor::platform
