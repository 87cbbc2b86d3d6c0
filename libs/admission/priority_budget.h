#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "base/result.h"
#include "base/time.h"

namespace boragedoor::admission {

struct priority_options {
  /// Highest priority that can be granted. Priority 0 is the default and costs nothing.
  int max_priority = 3;
  /// Maximum budget of a workspace of weight 1, in tokens times priority, and its refill per
  /// second.
  double capacity = 20'000;
  double refill_rate = 200;
};

/// Limits how much high-priority work a workspace can submit. Each request spends its predicted
/// tokens times its priority from the workspace's budget, which refills at a constant rate. A
/// workspace that marks every request as urgent soon gets the default priority.
class priority_budget {
public:
  /// Fails with `invalid_argument` if an option is negative.
  static result<priority_budget> create(const priority_options& options);

  void set_weight(std::string_view workspace, double weight);
  /// Returns the highest priority, up to the stated one, that the budget covers, and deducts its
  /// cost.
  int spend(std::string_view workspace, int stated_priority, int tokens, time_point now);
  /// Returns the current budget of a workspace.
  [[nodiscard]] double available(std::string_view workspace, time_point now) const;

private:
  struct account {
    double weight = 1;
    double level = 0;
    time_point level_updated;
    bool initialized = false;
  };
  explicit priority_budget(const priority_options& options) : options_(options) {}
  [[nodiscard]] double level(const account& it, time_point now) const;

  priority_options options_;
  std::map<std::string, account, std::less<>> accounts_;
};

} // namespace boragedoor::admission
