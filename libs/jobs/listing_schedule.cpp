#include "jobs/listing_schedule.h"

namespace boragedoor::jobs {

bool listing_schedule::is_due(const unlisted_results& results, bool waits_for_groups,
                              step_progress progress, duration time_to_due, time_point now) const {
  if (!results.any) {
    return false;
  }
  const bool ready_to_list =
      results.has_complete_group || now - results.oldest >= options_.incomplete_group_delay;
  const duration since_listing = now - last_listing_;
  if (waits_for_groups && progress == step_progress::complete && !listed_complete_) {
    return ready_to_list;
  }
  const duration delay = progress == step_progress::scoring
                             ? options_.due_grace_period + options_.scoring_time
                             : options_.due_grace_period;
  if (!waits_for_groups || progress == step_progress::complete || time_to_due <= -delay) {
    return ready_to_list && since_listing >= options_.write_interval;
  }
  return ready_to_list && since_listing >= options_.min_listing_interval &&
         progress == step_progress::generating && time_to_due > options_.quiet_period;
}

bool listing_schedule::is_due_within(duration limit, duration time_to_due) const {
  const duration left = time_to_due + options_.due_grace_period + options_.scoring_time;
  return left > duration::zero() && left <= limit;
}

} // namespace boragedoor::jobs
