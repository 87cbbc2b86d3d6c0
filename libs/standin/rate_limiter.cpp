#include "standin/rate_limiter.h"

#include <algorithm>

namespace boragedoor::standin {

bool rate_limiter::take(time_point now) {
  if (per_second_ <= 0) {
    return true;
  }
  const double elapsed = std::chrono::duration<double>(now - last_).count();
  tokens_ = std::min(capacity(), tokens_ + std::max(0.0, elapsed) * per_second_);
  last_ = now;
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

} // namespace boragedoor::standin
