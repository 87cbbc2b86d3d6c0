#include "admission/priority_budget.h"

#include <algorithm>

namespace boragedoor::admission {

result<priority_budget> priority_budget::create(const priority_options& options) {
  if (options.max_priority < 0 || options.capacity < 0 || options.refill_rate < 0) {
    return error{error_code::invalid_argument,
                 "priority budget: max_priority, capacity and refill_rate must not be negative"};
  }
  return priority_budget(options);
}

void priority_budget::set_weight(std::string_view workspace, double weight) {
  if (weight > 0) {
    accounts_[std::string(workspace)].weight = weight;
  }
}

double priority_budget::level(const account& it, time_point now) const {
  const double max_level = options_.capacity * it.weight;
  if (!it.initialized) {
    return max_level;
  }
  const double age = std::chrono::duration<double>(now - it.level_updated).count();
  return std::min(max_level, it.level + std::max(0.0, age) * options_.refill_rate * it.weight);
}

int priority_budget::spend(std::string_view workspace, int stated_priority, int tokens,
                           time_point now) {
  if (stated_priority <= 0) {
    return 0;
  }
  account& it = accounts_[std::string(workspace)];
  it.level = level(it, now);
  it.level_updated = now;
  it.initialized = true;
  for (int priority = std::min(stated_priority, options_.max_priority); priority > 0; --priority) {
    const double cost = static_cast<double>(priority) * std::max(1, tokens);
    if (cost <= it.level) {
      it.level -= cost;
      return priority;
    }
  }
  return 0;
}

double priority_budget::available(std::string_view workspace, time_point now) const {
  const auto it = accounts_.find(workspace);
  return level(it == accounts_.end() ? account{} : it->second, now);
}

} // namespace boragedoor::admission
