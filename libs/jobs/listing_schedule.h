#pragma once

#include "base/time.h"

namespace boragedoor::jobs {

struct listing_schedule_options {
  /// Results of groups that are not complete wait this long, so that one write lists several.
  duration partial_delay = seconds(1);
  /// Time between two listings of a step that is neither complete nor due. Trainers read about
  /// twice a second, so most of them are waiting for the next result by then.
  duration step_interval = milliseconds(2500);
  /// A step that is not complete when it is due is listed this much later. Groups count as in time
  /// when they are read 0.7 s after that, and most steps that are late are complete sooner.
  duration due_grace = milliseconds(250);
};

/// The finished results of a job that are not listed yet.
struct unlisted_results {
  bool any = false;
  /// When the first of them was finished.
  time_point oldest{};
  /// Whether one of them belongs to a complete group.
  bool whole_group = false;
};

/// Decides when finished results are listed.
///
/// Pattern: a trainer goes on with its next step once it has read as many whole groups as it
/// wanted. It waits for results, reads those that are listed, and pauses for half a second before
/// it asks again. A listing shortly before the one that completes the step therefore delays the
/// step by that pause, in most steps of a day. So a step is listed rarely until it is complete or
/// due; both are listed at once.
class listing_schedule {
public:
  explicit listing_schedule(time_point begun, const listing_schedule_options& options = {})
      : options_(options), last_listing_(begun) {}

  /// `waits_for_groups` is false for a job whose reader takes any result; `step_complete` tells
  /// whether as many groups are complete as the trainer waits for; `to_due` is the time left until
  /// the results are due, negative afterwards.
  [[nodiscard]] bool is_due(const unlisted_results& results, bool waits_for_groups,
                            bool step_complete, duration to_due, time_point now) const;
  void listed(time_point now) { last_listing_ = now; }

private:
  listing_schedule_options options_;
  time_point last_listing_;
};

} // namespace boragedoor::jobs
