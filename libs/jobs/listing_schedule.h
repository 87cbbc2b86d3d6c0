#pragma once

#include "base/time.h"
#include "jobs/group_tally.h"

namespace boragedoor::jobs {

struct listing_schedule_options {
  /// Results of incomplete groups are held back this long, so that one store write lists several.
  duration incomplete_group_delay = seconds(1);
  /// Minimum time between two listings of a step that is neither complete nor due. Trainers read
  /// about twice a second, so after this time most of them have finished the pause after their last
  /// read and are waiting for a result.
  duration min_listing_interval = milliseconds(2500);
  /// A step that is incomplete when it is due is listed this much later. Groups count as on time
  /// if they are read up to 0.7 s after the due time, and most late steps are complete within this
  /// delay.
  duration due_grace_period = milliseconds(250);
  /// Further time for a step that lacks only scores. A reward call takes about 100 ms.
  duration scoring_time = milliseconds(150);
  /// Results of an incomplete step are not listed in this time before it is due: a reader that
  /// takes them pauses for half a second, and is back only after the due time.
  duration quiet_period = milliseconds(750);
  /// Minimum time between two listings of a step that is complete or due, so that one write lists
  /// the results of several groups.
  duration write_interval = milliseconds(120);
};

/// Summary of the finished results of a job that are not listed yet.
struct unlisted_results {
  bool any = false;
  /// When the earliest of them was finished.
  time_point oldest{};
  /// Whether one of them belongs to a complete group.
  bool has_complete_group = false;
};

/// Decides when finished results are listed, that is, written to the store where readers see them.
///
/// Design note: a trainer starts its next step once it has read the desired number of complete
/// groups. It waits for results, reads the listed ones, and pauses for half a second before the
/// next read. A listing shortly before the one that completes the step therefore delays the step by
/// that pause. This would affect most steps. So a step's results are listed rarely until the
/// step is complete or due, and then immediately. Texts of a length limit end together, shortly
/// before the due time if it was chosen for them; so nothing is listed in that time either.
class listing_schedule {
public:
  explicit listing_schedule(time_point start, const listing_schedule_options& options = {})
      : options_(options), last_listing_(start) {}

  /// `waits_for_groups` is false for a job whose reader uses any single result. `time_to_due` is
  /// the time left until the results are due; it is negative afterwards.
  [[nodiscard]] bool is_due(const unlisted_results& results, bool waits_for_groups,
                            step_progress progress, duration time_to_due, time_point now) const;
  void listed(step_progress progress, time_point now) {
    last_listing_ = now;
    listed_complete_ = progress == step_progress::complete;
  }
  /// Whether results of an incomplete step will be listed within `limit`, because they are due.
  [[nodiscard]] bool is_due_within(duration limit, duration time_to_due) const;

private:
  listing_schedule_options options_;
  time_point last_listing_;
  /// Whether the step was complete when results were last listed.
  bool listed_complete_ = false;
};

} // namespace boragedoor::jobs
