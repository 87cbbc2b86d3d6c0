#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <tuple>

#include "admission/admission_controller.h"

namespace boragedoor::admission {

/// First come, first served within stated priority, each request charged its stated length against
/// a total of tokens in flight. No shares, no bound, no early refusal. The baseline that the bench
/// compares `admission_controller` with.
class naive_admission {
public:
  explicit naive_admission(double tokens_in_flight) : limit_(tokens_in_flight) {}

  void submit(const admission_request& it);
  admission_actions poll(time_point now);
  void finish(std::uint64_t id);
  [[nodiscard]] std::size_t waiting() const { return queue_.size(); }

private:
  struct entry {
    int priority = 0;
    std::uint64_t order = 0;
    std::uint64_t id = 0;
    int tokens = 0;
    time_point deadline;
    friend bool operator<(const entry& left, const entry& right) {
      return std::tuple(-left.priority, left.order) < std::tuple(-right.priority, right.order);
    }
  };
  double limit_;
  double in_flight_ = 0;
  std::uint64_t next_order_ = 0;
  std::set<entry> queue_;
  std::map<std::uint64_t, int> running_;
};

} // namespace boragedoor::admission
