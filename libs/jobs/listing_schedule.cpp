#include "jobs/listing_schedule.h"

namespace boragedoor::jobs {

bool listing_schedule::is_due(const unlisted_results& results, bool waits_for_groups,
                              bool step_complete, duration time_to_due, time_point now) const {
  if (!results.any) {
    return false;
  }
  const bool ready_to_list =
      results.has_complete_group || now - results.oldest >= options_.incomplete_group_delay;
  if (!waits_for_groups || step_complete || time_to_due <= -options_.due_grace_period) {
    return ready_to_list;
  }
  return ready_to_list && now - last_listing_ >= options_.min_listing_interval;
}

} // namespace boragedoor::jobs
