#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "requests/idempotency_checker.h"
#include "support/fault_store.h"

namespace boragedoor::requests {

/// Randomized simulation of callers that resend a few requests to three instances. Instances crash,
/// pause and lose responses.
class idempotency_simulation {
public:
  idempotency_simulation(std::uint64_t seed, testing::fault_counts& counts);

  void run(std::uint64_t steps);

  [[nodiscard]] const std::vector<std::string>& violations() const { return checker_.violations(); }
  /// Returns the number of calls without a reply, except those of instances that crashed after the
  /// call.
  [[nodiscard]] std::size_t unanswered() const;

private:
  struct call {
    std::string key;
    std::string body_hash;
    bool replied = false;
  };
  struct instance {
    idempotency_table table;
    std::size_t client;
    std::deque<idempotency_action> pending_actions;
    std::map<std::uint64_t, call> calls;
    /// Always empty; nothing adds to it.
    std::vector<std::uint64_t> claimed;
    /// Responses in transit to the instance.
    std::vector<std::pair<std::uint64_t, stored_response>> responses;
    bool paused = false;
    /// Wall clocks of instances differ by less than 4 s.
    duration clock_offset{};
  };

  void random_step(bool inject_faults);
  void begin(instance& target);
  void restart(instance& target);
  void deliver_store_result(instance& target);
  void execute_next_action(instance& target, bool inject_faults);
  void send(instance& target, std::uint64_t id, bool inject_faults);
  void deliver_response(instance& target);
  void enqueue(instance& target, idempotency_actions actions);
  [[nodiscard]] wall_time wall(const instance& target) const;

  random_engine random_;
  testing::fault_counts& counts_;
  testing::fault_store store_;
  idempotency_checker checker_;
  time_point now_{};
  std::vector<instance> instances_;
  /// Idempotency keys by the store key of their record.
  std::map<std::string, std::string> keys_by_record_key_;
  std::uint64_t last_call_ = 0;
  std::size_t last_client_ = 0;
};

} // namespace boragedoor::requests
