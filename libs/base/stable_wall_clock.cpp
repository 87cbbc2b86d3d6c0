#include "base/stable_wall_clock.h"

#include <chrono>

namespace boragedoor {

wall_time stable_wall_clock::read(time_point monotonic, wall_time system) {
  const wall_time origin = system - monotonic.time_since_epoch();
  const auto is_close = [this, origin](wall_time other) {
    return std::chrono::abs(origin - other) <= options_.max_correction;
  };
  if (!origin_ || is_close(*origin_)) {
    origin_ = origin;
    stepped_origin_.reset();
  } else if (!stepped_origin_ || !is_close(*stepped_origin_)) {
    stepped_origin_ = origin;
    stepped_since_ = monotonic;
  } else if (monotonic - stepped_since_ >= options_.confirmation_time) {
    origin_ = origin;
    stepped_origin_.reset();
  }
  return *origin_ + monotonic.time_since_epoch();
}

} // namespace boragedoor
