#include "dispatch/attempt_plan.h"

#include <algorithm>
#include <utility>

namespace boragedoor::dispatch {

attempt_plan::attempt_plan(const route& matched_route, time_point start_time,
                           duration caller_timeout, const attempt_options& options)
    : options_(options), idempotent_(matched_route.kind == route_kind::idempotent),
      max_attempts_(std::max(matched_route.max_attempts, 1)),
      target_latency_(matched_route.target_latency),
      deadline_(start_time + std::min(caller_timeout, matched_route.timeout)) {}

void attempt_plan::record_sent(std::string endpoint) {
  ++open_attempts_;
  attempted_endpoints_.push_back(std::move(endpoint));
}

next_step attempt_plan::record_result(attempt_result result, time_point now) {
  --open_attempts_;
  switch (result) {
  case attempt_result::answered:
    ++possible_executions_;
    return next_step::stop;
  case attempt_result::not_run:
    ++unexecuted_attempts_;
    break;
  case attempt_result::unknown:
  case attempt_result::failed:
    ++possible_executions_;
    break;
  }
  if (open_attempts_ > 0) {
    return next_step::wait;
  }
  return may_send(now) ? next_step::retry : next_step::stop;
}

bool attempt_plan::may_send(time_point now) const {
  if (now + options_.min_remaining_time >= deadline_ ||
      unexecuted_attempts_ >= options_.max_unexecuted_attempts) {
    return false;
  }
  // A request that is not idempotent is sent again only if it certainly has not run.
  const int limit = idempotent_ ? max_attempts_ : 1;
  return possible_executions_ + open_attempts_ < limit;
}

bool attempt_plan::may_hedge(time_point now) const {
  return idempotent_ && open_attempts_ == 1 && may_send(now);
}

duration attempt_plan::hedge_delay() const {
  return std::chrono::duration_cast<duration>(target_latency_ * options_.hedge_delay_fraction);
}

} // namespace boragedoor::dispatch
