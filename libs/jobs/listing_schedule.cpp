#include "jobs/listing_schedule.h"

namespace boragedoor::jobs {

bool listing_schedule::is_due(const unlisted_results& results, bool waits_for_groups,
                              bool step_complete, duration to_due, time_point now) const {
  if (!results.any) {
    return false;
  }
  const bool useful = results.whole_group || now - results.oldest >= options_.partial_delay;
  if (!waits_for_groups || step_complete || to_due <= -options_.due_grace) {
    return useful;
  }
  return useful && now - last_listing_ >= options_.step_interval;
}

} // namespace boragedoor::jobs
