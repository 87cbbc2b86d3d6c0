#include "base/stable_wall_clock.h"

#include <chrono>

namespace boragedoor {

wall_time stable_wall_clock::read(time_point monotonic, wall_time system) {
  const wall_time origin = system - monotonic.time_since_epoch();
  const auto is_close = [this, origin](wall_time other) {
    return std::chrono::abs(origin - other) <= options_.max_correction;
  };
  const bool is_correction = !origin_ || is_close(*origin_);
  const bool is_known_step = stepped_origin_ && is_close(*stepped_origin_);
  const bool has_lasted = is_known_step && monotonic - stepped_since_ >= options_.confirmation_time;
  if (is_correction || has_lasted) {
    origin_ = origin;
    stepped_origin_.reset();
  } else if (!is_known_step) {
    stepped_origin_ = origin;
    stepped_since_ = monotonic;
  }
  return *origin_ + monotonic.time_since_epoch();
}

} // namespace boragedoor
