#pragma once

#include <cstdint>

#include "base/time.h"
#include "events/catalogue.h"

namespace boragedoor::events {

struct line_budget_options {
  /// Lines that may be written a second, and at once after a quiet time. The busiest instance of a
  /// heavy day writes about 150 a second.
  double lines_per_second = 1000;
  double burst = 4000;
  /// Share of the burst that is kept for lines above the severity `debug`.
  double reserved_share = 0.5;
};

/// Bounds the lines that a process logs, so that a storm of events cannot fill the disk or take the
/// processor from requests. Details go first.
class line_budget {
public:
  explicit line_budget(const line_budget_options& options = {})
      : options_(options), left_(options.burst) {}

  /// Whether a line may be written now; takes it from the budget.
  bool take(severity level, time_point now);

private:
  line_budget_options options_;
  double left_;
  time_point filled_at_{};
};

} // namespace boragedoor::events
