#pragma once

#include "base/time.h"

namespace boragedoor::standin {

/// A token bucket that holds one second's worth of calls.
class rate_limiter {
public:
  /// `per_second` 0 sets no limit.
  explicit rate_limiter(double per_second) : per_second_(per_second), tokens_(capacity()) {}

  /// Takes one call; returns false when the limit is reached.
  bool take(time_point now);

private:
  // A limit under one call per second must still let one call through.
  [[nodiscard]] double capacity() const { return per_second_ < 1 ? 1 : per_second_; }

  double per_second_;
  double tokens_;
  time_point last_{};
};

} // namespace boragedoor::standin
