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

/// Simulates a trainer, a store and successive holders of one step with random scheduling and
/// faults.
class ledger_simulation {
public:
  ledger_simulation(std::uint64_t seed, testing::fault_counts& counts);

  /// Runs up to `steps` random steps with faults, then up to 500 fault-free ones until the trainer
  /// step is complete.
  void run(std::uint64_t steps);

  [[nodiscard]] const std::vector<std::string>& violations() const { return checker_.violations(); }
  [[nodiscard]] bool complete() const { return complete_; }
  [[nodiscard]] const testing::fault_store& store() const { return store_; }
  /// Number of store calls of all holders.
  [[nodiscard]] std::uint64_t store_calls() const;

private:
  struct holder {
    step_ledger ledger;
    std::uint64_t token;
    std::deque<action> pending_actions;
    std::vector<run_sample> running;
    /// The newest trainer version that this holder was informed of.
    std::uint64_t version;
    bool paused = false;
    bool crashed = false;
  };

  void random_step(bool faulty);
  /// Lets every running holder make progress without faults.
  void fault_free_step();
  void start_holder();
  void deliver_store_result(holder& to);
  void execute_next_action(std::size_t at);
  void finish_sample(holder& at, bool faulty);
  sample_result make_result(const sample_attempt& attempt);
  void poll(bool faulty);
  void handle_batch_reply(const batch_reply& reply);
  void publish_version();
  void start_replacement_holder();
  void queue_actions(holder& to, actions out);
  holder& pick_holder();

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
  std::set<std::string> finished_attempts_;
  bool complete_ = false;
};

/// Returns a step of `groups` groups with 1 to 3 samples each and a staleness bound of 1 version.
step_spec small_step_spec(std::size_t groups);

} // namespace boragedoor::ledger
