#pragma once

#include <string>
#include <vector>

#include "requests/crash_suspects.h"
#include "support/fault_store.h"

namespace boragedoor::requests {

/// Randomized simulation of three instances that share endpoints. They serve harmless requests and
/// one request that crashes every endpoint it runs on.
class crash_simulation {
public:
  /// Crash records take up to `max_delay` to reach other instances.
  crash_simulation(std::uint64_t seed, std::size_t endpoints, duration max_delay,
                   testing::fault_counts& counts);

  void run(std::uint64_t steps);

  [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }
  [[nodiscard]] std::uint64_t crashes() const { return crashes_; }

private:
  struct message {
    std::size_t to;
    time_point at;
    std::vector<crash_record> records;
  };
  struct running_request {
    std::size_t instance;
    std::string fingerprint;
  };
  struct endpoint {
    std::string name;
    std::uint64_t incarnation = 0;
    std::vector<running_request> running;
  };

  void step();
  endpoint& choose(std::size_t instance, const std::string& fingerprint);
  void place(std::size_t instance, const std::string& fingerprint);
  void crash(endpoint& crashed);
  void send(std::size_t from, const std::vector<crash_record>& records);
  void deliver();
  void check_harmless_requests();
  [[nodiscard]] wall_time wall(std::size_t instance) const;

  random_engine random_;
  testing::fault_counts& counts_;
  duration max_delay_;
  time_point now_{};
  std::vector<crash_suspects> instances_;
  std::vector<endpoint> endpoints_;
  std::vector<message> messages_;
  std::uint64_t crashes_ = 0;
  std::vector<std::string> violations_;
};

} // namespace boragedoor::requests
