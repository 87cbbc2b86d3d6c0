#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "dispatch/service_configuration.h"

namespace boragedoor::dispatch {

/// How an attempt at an endpoint ended.
enum class attempt_result {
  /// A whole response that goes to the caller, whatever its status.
  answered,
  /// The endpoint says, or it is certain, that the request did not run there.
  not_run,
  /// It may have run: no response, or one that cannot be passed on.
  unknown,
  /// It ran and failed there.
  failed,
};

struct attempt_options {
  /// Attempts that did not run cost a caller nothing but time; this bounds them.
  int most_not_run = 4;
  /// Part of the target latency after which a second endpoint is tried beside the first. Most
  /// requests are answered in a fifth of it, so the second copy is rare.
  double hedge_share = 0.6;
  /// Time left below which another attempt can't be answered in time.
  duration least_time = milliseconds(20);
};

enum class next_step { wait, try_again, give_up };

/// The attempts of one request: how often it may be sent, and what its caller is told at the end.
/// Guards the limit of endpoints that may run it.
class attempt_plan {
public:
  attempt_plan(const route& on, time_point started, duration allowed,
               const attempt_options& options = {});

  /// Notes that the request is sent to an endpoint.
  void sent(std::string endpoint);
  /// Notes the end of an attempt and says what to do now.
  next_step ended(attempt_result result, time_point now);
  /// Whether a second copy may be sent beside one that is open.
  [[nodiscard]] bool may_hedge(time_point now) const;
  [[nodiscard]] duration hedge_delay() const;

  [[nodiscard]] time_point deadline() const { return deadline_; }
  /// Whether it is certain that no endpoint ran the request.
  [[nodiscard]] bool certainly_not_run() const { return possible_runs_ == 0 && open_ == 0; }
  [[nodiscard]] int open() const { return open_; }
  [[nodiscard]] const std::vector<std::string>& tried() const { return tried_; }

private:
  [[nodiscard]] bool may_send(time_point now) const;

  attempt_options options_;
  bool idempotent_;
  int max_attempts_;
  duration target_;
  time_point deadline_;
  std::vector<std::string> tried_;
  int open_ = 0;
  /// Attempts that ran or may have run, without those that are open.
  int possible_runs_ = 0;
  int not_run_ = 0;
};

} // namespace boragedoor::dispatch
