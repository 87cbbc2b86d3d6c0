#include "jobs/move_choice.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <vector>

#include <catch2/catch.hpp>

namespace boragedoor::jobs {

namespace {

/// A step whose texts run at slow endpoints while `free_slots` slots of faster ones are free.
struct slow_step {
  explicit slow_step(std::size_t count) : state(count, run_verification::not_asked), runs(count) {
    std::iota(runs.begin(), runs.end(), 0);
  }

  move_choice choose() {
    return choose_move(
        runs, [this](std::size_t n) { return state[n]; },
        [this](std::size_t /*n*/) {
          ++searches;
          return free_slots > 0;
        });
  }

  /// Moves and verifies runs as the choice says. Processes of `silent` runs do not answer.
  void step() {
    const move_choice choice = choose();
    if (choice.move) {
      --free_slots;
      std::erase(runs, *choice.move);
    }
    if (choice.verify) {
      ++verifications;
      state[*choice.verify] =
          silent.contains(*choice.verify) ? run_verification::asked : run_verification::verified;
    }
  }

  std::vector<run_verification> state;
  std::vector<std::size_t> runs;
  std::set<std::size_t> silent;
  std::size_t free_slots = 0;
  int verifications = 0;
  int searches = 0;
};

} // namespace

// Guards against a step that stays at slow endpoints because the process of one of its runs does
// not say what it runs. Load: the last texts of a step, at endpoints of different speed, with slots
// of the fastest ones free again.
TEST_CASE("runs move to faster endpoints although one of them cannot be verified") {
  constexpr std::size_t count = 20;
  slow_step it(count);

  SECTION("the most advanced one first, one at a time") {
    it.state.assign(count, run_verification::verified);
    it.free_slots = 2;
    CHECK(it.choose().move == 0);
    it.state[0] = run_verification::not_asked;
    const move_choice choice = it.choose();
    CHECK(choice.verify == 0);
    CHECK(choice.move == 1);
  }

  SECTION("all others within two steps for each") {
    it.free_slots = count;
    it.silent = {0, 7};
    for (std::size_t n = 0; n < 2 * count; ++n) {
      it.step();
    }
    CHECK(it.runs == std::vector<std::size_t>{0, 7});
    CHECK(it.verifications == static_cast<int>(count));
  }

  SECTION("but no process is asked while there is no faster endpoint") {
    for (std::size_t n = 0; n < count; ++n) {
      it.step();
    }
    CHECK(it.verifications == 0);
    CHECK(it.runs.size() == count);
  }

  SECTION("nor is an endpoint sought for runs that cannot be moved") {
    it.state.assign(count, run_verification::asked);
    it.free_slots = count;
    it.step();
    CHECK(it.searches == 0);
  }
}

} // namespace boragedoor::jobs
