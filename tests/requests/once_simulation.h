#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "requests/once_checker.h"
#include "support/fault_store.h"

namespace boragedoor::requests {

/// Callers that send the same few requests again and again to three instances, which die, pause
/// and lose answers, driven by random choices.
class once_simulation {
public:
  once_simulation(std::uint64_t seed, testing::fault_counts& counts);

  void run(std::uint64_t steps);

  [[nodiscard]] const std::vector<std::string>& violations() const { return checker_.violations(); }
  /// Calls that no instance answered although it lived on.
  [[nodiscard]] std::size_t unanswered() const;

private:
  struct call {
    std::string key;
    std::string body_hash;
    bool answered = false;
  };
  struct instance {
    once_table table;
    std::size_t client;
    std::deque<once_action> todo;
    std::map<std::uint64_t, call> calls;
    /// Calls that may be sent, and answers under way to the instance.
    std::vector<std::uint64_t> claimed;
    std::vector<std::pair<std::uint64_t, stored_answer>> answers;
    bool paused = false;
    /// Clocks differ by some seconds.
    duration clock{};
  };

  void random_step(bool faulty);
  void begin(instance& at);
  void restart(instance& at);
  void receive(instance& at);
  void carry_out(instance& at, bool faulty);
  void send(instance& at, std::uint64_t id, bool faulty);
  void answer(instance& at);
  void feed(instance& at, once_actions out);
  [[nodiscard]] wall_time wall(const instance& at) const;

  random_engine random_;
  testing::fault_counts& counts_;
  testing::fault_store store_;
  once_checker checker_;
  time_point now_{};
  std::vector<instance> instances_;
  /// Keys by the store key of their record.
  std::map<std::string, std::string> names_;
  std::uint64_t last_call_ = 0;
  std::size_t last_client_ = 0;
};

} // namespace boragedoor::requests
