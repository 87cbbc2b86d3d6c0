#include "freshness/start_limit.h"

#include <algorithm>

namespace boragedoor::freshness {

result<start_limit> start_limit::create(const start_limit_options& options) {
  const bool bounds = options.fewest_groups >= 1 &&
                      options.initial_groups >= options.fewest_groups &&
                      options.most_groups >= options.initial_groups;
  const bool parts =
      options.decrease > 0 && options.decrease < 1 && options.increase > 0 && options.increase <= 1;
  if (!bounds || !parts || options.target_wait <= duration{}) {
    return error{error_code::invalid_argument,
                 "start limit: the bounds must be in order and at least 1, the parts within 0 and "
                 "1, and the target wait positive"};
  }
  return start_limit(options);
}

void start_limit::scale(std::string_view trainer, double factor) {
  auto it = limits_.find(trainer);
  if (it == limits_.end()) {
    it = limits_.emplace(std::string(trainer), options_.initial_groups).first;
  }
  it->second = std::clamp(it->second * factor, options_.fewest_groups, options_.most_groups);
}

void start_limit::taken(std::string_view trainer, time_point complete, time_point now) {
  if (now - complete > options_.target_wait) {
    scale(trainer, 1 - options_.decrease);
  }
}

void start_limit::idle(std::string_view trainer, duration passed) {
  scale(trainer, 1 + options_.increase * std::chrono::duration<double>(passed).count());
}

int start_limit::limit(std::string_view trainer) const {
  const auto it = limits_.find(trainer);
  return static_cast<int>(it == limits_.end() ? options_.initial_groups : it->second);
}

} // namespace boragedoor::freshness
