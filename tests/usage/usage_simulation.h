#pragma once

#include <deque>
#include <memory>
#include <variant>
#include <vector>

#include "support/fault_store.h"
#include "usage/usage_checker.h"
#include "usage/usage_counter.h"
#include "usage/usage_window.h"

namespace boragedoor::usage {

/// Three instances, a store, an intake and successive holders of one shard, driven by random
/// choices.
class usage_simulation {
public:
  usage_simulation(std::uint64_t seed, testing::fault_counts& counts);

  /// Runs `steps` random steps with faults, then without until every window is frozen and reported.
  void run(std::uint64_t steps);

  [[nodiscard]] const std::vector<std::string>& violations() const { return checker_.violations(); }
  /// Whether no instance holds counters any more.
  [[nodiscard]] bool settled() const;

private:
  struct instance {
    usage_source source;
    usage_counter counter;
  };
  struct holder {
    usage_window window;
    std::uint64_t token;
    std::deque<action> todo;
    bool paused = false;
    bool dead = false;
  };

  void random_step();
  void calm_step();
  void start_holder();
  void replace_holder();
  void restart(instance& it);
  void record(instance& it);
  void send_flushes(instance& it, bool faulty);
  void deliver_flush(bool faulty);
  void receive(holder& to);
  void carry_out(holder& from, bool faulty);
  void answer(const action& it);
  void take_report(holder& from, const send_report& it, bool faulty);
  void finish();
  void feed(holder& to, actions out);

  random_engine random_;
  testing::fault_counts& counts_;
  testing::fault_store store_;
  usage_checker checker_;
  time_point now_{};
  wall_time wall_{seconds(1000)};
  std::uint32_t shard_;
  std::vector<instance> instances_;
  std::vector<std::unique_ptr<holder>> holders_;
  std::vector<usage_flush> flushes_;
  std::vector<action> answers_;
  std::uint64_t boots_ = 0;
};

} // namespace boragedoor::usage
