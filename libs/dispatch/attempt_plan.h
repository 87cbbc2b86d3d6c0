#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "dispatch/service_configuration.h"

namespace boragedoor::dispatch {

/// Outcome of one attempt at an endpoint.
enum class attempt_result {
  /// The endpoint sent a complete response, which is passed to the caller whatever its status.
  answered,
  /// The request did not run: the endpoint said so, or it was never delivered.
  not_run,
  /// The request may have run: there was no response, or one that cannot be passed on.
  unknown,
  /// The request ran and failed.
  failed,
};

struct attempt_options {
  /// Maximum number of attempts that end as `not_run`. They cannot duplicate work, but each one
  /// costs the caller time.
  int max_unexecuted_attempts = 4;
  /// Fraction of the target latency after which the request is also sent to a second endpoint.
  /// Most requests are answered within a fifth of the target latency, so hedging is rare.
  double hedge_delay_fraction = 0.6;
  /// No further attempt is started with less time than this left until the deadline.
  duration min_remaining_time = milliseconds(20);
};

/// What the caller of `attempt_plan::record_result` does next.
enum class next_step { wait, retry, stop };

/// Tracks the attempts of one request and decides on retries and hedging. Ensures that no more
/// endpoints may have run the request than its route allows.
class attempt_plan {
public:
  attempt_plan(const route& matched_route, time_point start_time, duration caller_timeout,
               const attempt_options& options = {});

  /// Records that the request was sent to an endpoint.
  void record_sent(std::string endpoint);
  /// Records the result of an attempt and returns the next step.
  next_step record_result(attempt_result result, time_point now);
  /// Returns whether the request may be sent to a second endpoint while one attempt is open.
  [[nodiscard]] bool may_hedge(time_point now) const;
  [[nodiscard]] duration hedge_delay() const;

  [[nodiscard]] time_point deadline() const { return deadline_; }
  /// Returns whether it is certain that no endpoint ran the request.
  [[nodiscard]] bool certainly_not_run() const {
    return possible_executions_ == 0 && open_attempts_ == 0;
  }
  [[nodiscard]] int open_attempts() const { return open_attempts_; }
  [[nodiscard]] const std::vector<std::string>& attempted_endpoints() const {
    return attempted_endpoints_;
  }

private:
  [[nodiscard]] bool may_send(time_point now) const;

  attempt_options options_;
  bool idempotent_;
  int max_attempts_;
  duration target_latency_;
  time_point deadline_;
  std::vector<std::string> attempted_endpoints_;
  int open_attempts_ = 0;
  /// Finished attempts that ran or may have run.
  int possible_executions_ = 0;
  int unexecuted_attempts_ = 0;
};

} // namespace boragedoor::dispatch
