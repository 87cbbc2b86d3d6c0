#include "dispatch/attempt_plan.h"

#include <algorithm>
#include <utility>

namespace boragedoor::dispatch {

attempt_plan::attempt_plan(const route& on, time_point started, duration allowed,
                           const attempt_options& options)
    : options_(options), idempotent_(on.kind == route_kind::idempotent),
      max_attempts_(std::max(on.max_attempts, 1)), target_(on.target_latency),
      deadline_(started + std::min(allowed, on.timeout)) {}

void attempt_plan::sent(std::string endpoint) {
  ++open_;
  tried_.push_back(std::move(endpoint));
}

next_step attempt_plan::ended(attempt_result result, time_point now) {
  --open_;
  switch (result) {
  case attempt_result::answered:
    ++possible_runs_;
    return next_step::give_up;
  case attempt_result::not_run:
    ++not_run_;
    break;
  case attempt_result::unknown:
  case attempt_result::failed:
    ++possible_runs_;
    break;
  }
  if (open_ > 0) {
    return next_step::wait;
  }
  return may_send(now) ? next_step::try_again : next_step::give_up;
}

bool attempt_plan::may_send(time_point now) const {
  if (now + options_.least_time >= deadline_ || not_run_ >= options_.most_not_run) {
    return false;
  }
  // A request that runs at most once is sent again only if it certainly has not run.
  const int limit = idempotent_ ? max_attempts_ : 1;
  return possible_runs_ + open_ < limit;
}

bool attempt_plan::may_hedge(time_point now) const {
  return idempotent_ && open_ == 1 && may_send(now);
}

duration attempt_plan::hedge_delay() const {
  return std::chrono::duration_cast<duration>(target_ * options_.hedge_share);
}

} // namespace boragedoor::dispatch
