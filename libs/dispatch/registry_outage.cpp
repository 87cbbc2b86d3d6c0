#include "dispatch/registry_outage.h"

namespace boragedoor::dispatch {

void registry_outage::note_answer(time_point now) {
  if (last_answer_ && now - *last_answer_ >= options_.min_outage) {
    returned_at_ = now;
  }
  last_answer_ = now;
}

std::optional<time_point> registry_outage::hold_until(time_point now) const {
  if (last_answer_ && now - *last_answer_ >= options_.min_outage) {
    // Another instance, which watches for this one, has noticed the return first.
    return now + options_.restore_time;
  }
  if (returned_at_ && now - *returned_at_ < options_.recovery_time) {
    return *returned_at_ + options_.restore_time;
  }
  return std::nullopt;
}

} // namespace boragedoor::dispatch
