#include <iostream>

#include "control_world.h"
#include "support/property.h"

namespace boragedoor::control {

namespace {

rc::Gen<fault> any_fault() {
  const auto kind = rc::gen::map(rc::gen::inRange(0, static_cast<int>(fault_kind::count)),
                                 [](int n) { return static_cast<fault_kind>(n); });
  const auto time = [](int low, int high) {
    return rc::gen::map(rc::gen::inRange(low, high), [](int n) { return milliseconds(n); });
  };
  // Without the fixed size the first cases would draw only the first kinds and the shortest times.
  return rc::gen::resize(
      100, rc::gen::build<fault>(rc::gen::set(&fault::kind, kind),
                                 rc::gen::set(&fault::process, rc::gen::inRange<std::size_t>(0, 3)),
                                 rc::gen::set(&fault::at, time(0, 60000)),
                                 rc::gen::set(&fault::length, time(100, 20000))));
}

struct totals {
  int schedules = 0;
  int arrivals = 0;
  int takeovers = 0;
  int store_calls = 0;
  std::map<fault_kind, int> faults;

  void add(const world_report& it) {
    ++schedules;
    arrivals += it.arrivals;
    takeovers += it.takeovers;
    store_calls += it.store_calls;
    for (const auto& [kind, n] : it.faults) {
      faults[kind] += n;
    }
  }
  void print(const char* title) const {
    int sum = 0;
    for (const auto& [kind, n] : faults) {
      sum += n;
    }
    std::cout << title << ": " << schedules << " schedules, " << sum << " faults (";
    for (const auto& [kind, n] : faults) {
      std::cout << " kind " << static_cast<int>(kind) << ": " << n;
    }
    std::cout << " ), " << takeovers << " takeovers, " << arrivals << " orders arrived, "
              << store_calls << " store calls\n";
  }
};

std::string show(const std::vector<fault>& faults) {
  std::string text;
  for (const fault& it : faults) {
    text += " {" + std::to_string(static_cast<int>(it.kind)) + ' ' + std::to_string(it.process) +
            " at " + std::to_string(it.at.count()) + " for " + std::to_string(it.length.count()) +
            '}';
  }
  return text;
}

int conflicts(world_mode mode, std::uint64_t seeds) {
  int schedules = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    schedules += control_world(mode, seed, draw_faults(seed)).run().conflicts > 0 ? 1 : 0;
  }
  return schedules;
}

} // namespace

// Guards against two processes whose orders reach a token-ignoring target in conflict (G7), two
// valid permits, an order replaced before it was settled, and a shard that stays without orders.
TEST_CASE("random faults never make two processes order one target") {
  totals sum;
  testing::check_property("control under faults", [&] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto faults = *rc::gen::container<std::vector<fault>>(any_fault());
    RC_LOG() << "seed " << seed << " faults" << show(faults);
    const world_report it = control_world(world_mode::full, seed, faults).run();
    sum.add(it);
    RC_ASSERT(it.conflicts == 0);
    RC_ASSERT(it.double_permits == 0);
    RC_ASSERT(it.replaced_orders == 0);
    RC_ASSERT(it.silent_shards.empty());
  });
  sum.print("control property");
  CHECK(sum.arrivals > 0);
}

// Guards against a checker that cannot fail: the same schedules must show the baselines' violation.
TEST_CASE("the checker finds the violations of the naive versions") {
  constexpr std::uint64_t seeds = 200;
  const int naive = conflicts(world_mode::naive, seeds);
  const int expiry_only = conflicts(world_mode::expiry_only, seeds);
  const int full = conflicts(world_mode::full, seeds);
  std::cout << "schedules with conflicting orders of " << seeds << ": naive " << naive
            << ", expiry only " << expiry_only << ", full " << full << '\n';
  CHECK(naive > 0);
  CHECK(expiry_only > 0);
  CHECK(full == 0);
}

} // namespace boragedoor::control
