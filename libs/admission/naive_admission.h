#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <tuple>

#include "admission/admission_controller.h"

namespace boragedoor::admission {

/// Admits requests in order of stated priority and then arrival, and limits the sum of their stated
/// lengths. Has no fair shares, no queue limit and no early refusal. Serves as the baseline that
/// the bench compares with `admission_controller`.
class naive_admission {
public:
  explicit naive_admission(double token_limit) : token_limit_(token_limit) {}

  void submit(const admission_request& request);
  admission_actions poll(time_point now);
  void finish(std::uint64_t id);
  [[nodiscard]] std::size_t waiting() const { return queue_.size(); }

private:
  struct entry {
    int priority = 0;
    std::uint64_t sequence = 0;
    std::uint64_t id = 0;
    int tokens = 0;
    time_point deadline;
    friend bool operator<(const entry& left, const entry& right) {
      return std::tuple(-left.priority, left.sequence) <
             std::tuple(-right.priority, right.sequence);
    }
  };
  double token_limit_;
  double tokens_in_flight_ = 0;
  std::uint64_t next_sequence_ = 0;
  std::set<entry> queue_;
  std::map<std::uint64_t, int> running_;
};

} // namespace boragedoor::admission
