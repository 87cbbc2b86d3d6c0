#include "events/line_budget.h"

#include <algorithm>

namespace boragedoor::events {

bool line_budget::take(severity level, time_point now) {
  if (now > filled_at_) {
    const std::chrono::duration<double> passed = now - filled_at_;
    left_ = std::min(options_.burst, left_ + options_.lines_per_second * passed.count());
    filled_at_ = now;
  }
  const double reserved = level == severity::debug ? options_.reserved_share * options_.burst : 0;
  if (left_ < reserved + 1) {
    return false;
  }
  left_ -= 1;
  return true;
}

} // namespace boragedoor::events
