#include "dispatch/stop_schedule.h"

namespace boragedoor::dispatch {

namespace {

/// Part of the grace period that is left when the last responses are made, and when the process
/// ends. The first one leaves time to send them.
constexpr int answer_reserve_divisor = 12;
constexpr int end_reserve_divisor = 24;

/// Requests that arrive from this time on must not be interrupted. Callers count three seconds from
/// the signal, and the process may handle it late.
constexpr duration uninterruptible_after = milliseconds(2500);

/// A request is taken if this many times its usual duration is left.
constexpr int duration_margin = 2;

} // namespace

result<stop_schedule> stop_schedule::create(duration grace_period) {
  if (grace_period <= duration::zero()) {
    return error{error_code::invalid_argument, "the grace period of a stop must be positive"};
  }
  return stop_schedule(grace_period);
}

void stop_schedule::begin(time_point now) {
  if (!begun_at_) {
    begun_at_ = now;
  }
}

duration stop_schedule::elapsed(time_point now) const {
  return begun_at_ ? now - *begun_at_ : duration::zero();
}

bool stop_schedule::may_start(const request_outlook& request, time_point now) const {
  if (!begun_at_) {
    return true;
  }
  const time_point answer_by = *begun_at_ + grace_period_ - grace_period_ / answer_reserve_divisor;
  if (now >= answer_by) {
    return false;
  }
  if (request.deadline <= answer_by) {
    return true;
  }
  if (request.kind != route_kind::idempotent && elapsed(now) >= uninterruptible_after) {
    return false;
  }
  return now + duration_margin * request.usual_duration <= answer_by;
}

bool stop_schedule::must_answer(time_point now) const {
  return has_begun() && elapsed(now) >= grace_period_ - grace_period_ / answer_reserve_divisor;
}

bool stop_schedule::must_end(time_point now) const {
  return has_begun() && elapsed(now) >= grace_period_ - grace_period_ / end_reserve_divisor;
}

} // namespace boragedoor::dispatch
