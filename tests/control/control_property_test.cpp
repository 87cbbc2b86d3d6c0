#include <iostream>

#include "control_world.h"
#include "support/property.h"

namespace boragedoor::control {

namespace {

rc::Gen<fault> fault_generator() {
  const auto kind = rc::gen::map(rc::gen::inRange(0, static_cast<int>(fault_kind::count)),
                                 [](int n) { return static_cast<fault_kind>(n); });
  const auto time = [](int low, int high) {
    return rc::gen::map(rc::gen::inRange(low, high), [](int n) { return milliseconds(n); });
  };
  // Without the fixed size, the first cases would generate only the first kinds and the shortest
  // times.
  return rc::gen::resize(
      100, rc::gen::build<fault>(rc::gen::set(&fault::kind, kind),
                                 rc::gen::set(&fault::process, rc::gen::inRange<std::size_t>(0, 3)),
                                 rc::gen::set(&fault::start, time(0, 60000)),
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

std::string describe(const std::vector<fault>& faults) {
  std::string text;
  for (const fault& it : faults) {
    text += " {" + std::to_string(static_cast<int>(it.kind)) + ' ' + std::to_string(it.process) +
            " at " + std::to_string(it.start.count()) + " for " +
            std::to_string(it.length.count()) + '}';
  }
  return text;
}

int count_conflicting_schedules(world_mode mode, std::uint64_t seeds) {
  int schedules = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    schedules += control_world(mode, seed, generate_faults(seed)).run().conflicts > 0 ? 1 : 0;
  }
  return schedules;
}

} // namespace

// Guards against conflicting orders from two processes at a token-ignoring target (G7), two valid
// permits for one shard, an order that is replaced before it is settled, and a shard that receives
// no orders after the faults have ended.
TEST_CASE("control: random faults never lead to conflicting orders from two processes") {
  totals sum;
  testing::check_property("control under faults", [&] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto faults = *rc::gen::container<std::vector<fault>>(fault_generator());
    RC_LOG() << "seed " << seed << " faults" << describe(faults);
    const world_report it = control_world(world_mode::full, seed, faults).run();
    sum.add(it);
    RC_ASSERT(it.conflicts == 0);
    RC_ASSERT(it.double_permits == 0);
    RC_ASSERT(it.replaced_orders == 0);
    RC_ASSERT(it.idle_shards.empty());
  });
  sum.print("control property");
  CHECK(sum.arrivals > 0);
}

// Guards against a simulation that cannot detect violations: both baselines must violate the rules
// under the same schedules.
TEST_CASE("control: the simulation detects conflicting orders from the naive baselines") {
  constexpr std::uint64_t seeds = 200;
  const int naive = count_conflicting_schedules(world_mode::naive, seeds);
  const int expiry_only = count_conflicting_schedules(world_mode::expiry_only, seeds);
  const int full = count_conflicting_schedules(world_mode::full, seeds);
  std::cout << "schedules with conflicting orders of " << seeds << ": naive " << naive
            << ", expiry only " << expiry_only << ", full " << full << '\n';
  CHECK(naive > 0);
  CHECK(expiry_only > 0);
  CHECK(full == 0);
}

} // namespace boragedoor::control
