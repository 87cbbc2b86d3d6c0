#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "ledger/sample_checker.h"
#include "ledger/step_ledger.h"
#include "support/fault_store.h"

namespace boragedoor::ledger {

/// A trainer, a store and successive holders of one step, driven by random choices.
class ledger_simulation {
public:
  ledger_simulation(std::uint64_t seed, testing::fault_counts& counts);

  /// Runs `steps` random steps with faults, then without until the step is complete.
  void run(std::uint64_t steps);

  [[nodiscard]] const std::vector<std::string>& violations() const { return checker_.violations(); }
  [[nodiscard]] bool complete() const { return complete_; }
  [[nodiscard]] const testing::fault_store& store() const { return store_; }
  /// Calls of all holders.
  [[nodiscard]] std::uint64_t store_calls() const;

private:
  struct holder {
    step_ledger ledger;
    std::uint64_t token;
    std::deque<action> todo;
    std::vector<run_sample> running;
    /// The trainer's version as far as it was told.
    std::uint64_t version;
    bool paused = false;
    bool dead = false;
  };

  void random_step(bool faulty);
  /// Everybody makes progress and nothing fails.
  void calm_step();
  void start_holder();
  void receive(holder& to);
  void carry_out(std::size_t at);
  void finish_sample(holder& at, bool faulty);
  sample_result produce(const sample_attempt& attempt);
  void poll(bool faulty);
  void accept(const batch_reply& reply);
  void announce();
  void pause_or_replace();
  void feed(holder& to, actions out);
  holder& any_holder();

  random_engine random_;
  testing::fault_counts& counts_;
  testing::fault_store store_;
  time_point now_{};
  step_spec spec_;
  sample_checker checker_;
  std::vector<std::unique_ptr<holder>> holders_;
  std::uint64_t trainer_version_ = 5;
  std::uint64_t after_ = 0;
  std::uint64_t last_request_ = 0;
  std::set<std::string> finished_;
  bool complete_ = false;
};

/// A small step for tests: `groups` groups of 1 to 3 samples with a bound of 1 version.
step_spec small_step(std::size_t groups);

} // namespace boragedoor::ledger
