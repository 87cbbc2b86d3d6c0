#pragma once

#include <optional>

#include "base/time.h"

namespace boragedoor {

struct stable_wall_clock_options {
  /// Differences up to this between two readings are corrections of the system's clock, not steps.
  duration max_correction = milliseconds(200);
  /// A step is followed once the system's clock has kept to it for this long.
  duration confirmation_time = seconds(60);
};

/// Wall clock that does not follow steps of the system's time of day at once.
///
/// The time of day of a machine may jump by seconds and back again. Usage windows, due times and
/// expiries that are compared with it would be decided wrongly in the meantime. This clock
/// continues from its earlier readings by the monotonic clock, and follows a step only if it lasts.
class stable_wall_clock {
public:
  explicit stable_wall_clock(const stable_wall_clock_options& options = {}) : options_(options) {}

  /// Returns the wall time for simultaneous readings of the monotonic clock and the system's clock.
  wall_time read(time_point monotonic, wall_time system);

private:
  stable_wall_clock_options options_;
  /// Wall time at the origin of the monotonic clock.
  std::optional<wall_time> origin_;
  /// The origin according to a step that is not yet followed, and when it was first seen.
  std::optional<wall_time> stepped_origin_;
  time_point stepped_since_{};
};

} // namespace boragedoor
