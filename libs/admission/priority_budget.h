#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "base/result.h"
#include "base/time.h"

namespace boragedoor::admission {

struct priority_options {
  /// Highest priority that can be stated; 0 is the ordinary one and costs nothing.
  int highest = 3;
  /// Budget of a workspace of weight 1, in tokens times priority, and its refill a second.
  double capacity = 20'000;
  double refill = 200;
};

/// Makes stated priority cost something: each request spends predicted tokens times priority from
/// its workspace's budget, which refills steadily. A workspace that marks everything urgent soon
/// gets ordinary service for it.
class priority_budget {
public:
  /// Fails with `invalid_argument` on negative figures.
  static result<priority_budget> create(const priority_options& options);

  void set_weight(std::string_view workspace, double weight);
  /// Returns the priority that the request gets: the highest affordable one up to the stated one.
  int spend(std::string_view workspace, int stated, int tokens, time_point now);
  [[nodiscard]] double available(std::string_view workspace, time_point now) const;

private:
  struct account {
    double weight = 1;
    double level = 0;
    time_point level_at;
    bool used = false;
  };
  explicit priority_budget(const priority_options& options) : options_(options) {}
  [[nodiscard]] double level(const account& it, time_point now) const;

  priority_options options_;
  std::map<std::string, account, std::less<>> accounts_;
};

} // namespace boragedoor::admission
