#include "retry/retry_policy.h"

#include <algorithm>

#include "base/overloaded.h"

namespace boragedoor::retry {

namespace {

// Maximum exponent of the backoff; beyond it every delay is limited by longest_delay anyway.
constexpr int max_doublings = 20;

} // namespace

std::string_view to_string(give_up_reason reason) {
  switch (reason) {
  case give_up_reason::not_idempotent:
    return "not_idempotent";
  case give_up_reason::attempts_exhausted:
    return "attempts_exhausted";
  case give_up_reason::budget_exhausted:
    return "budget_exhausted";
  case give_up_reason::deadline:
    return "deadline";
  }
  return "unknown";
}

std::string_view to_string(executed status) {
  switch (status) {
  case executed::no:
    return "no";
  case executed::yes:
    return "yes";
  case executed::unknown:
    break;
  }
  return "unknown";
}

executed execution_status(const failed_attempt& attempt) {
  if (attempt.not_executed) {
    return executed::no;
  }
  return std::visit(overloaded{[](const nothing_sent&) { return executed::no; },
                               [](const possibly_sent&) { return executed::unknown; },
                               [](const streaming&) { return executed::yes; }},
                    attempt.progress);
}

result<retry_policy> retry_policy::create(const retry_options& options) {
  if (options.budget_fraction < 0 || options.max_budget < 0 || options.largest_attempts < 1 ||
      options.base_delay <= duration::zero() || options.longest_delay < options.base_delay) {
    return error{error_code::invalid_argument,
                 "retry: budget_fraction and max_budget must not be negative, largest_attempts at "
                 "least 1, base_delay positive and longest_delay at least base_delay"};
  }
  return retry_policy(options);
}

void retry_policy::record_success() {
  budget_ = std::min(budget_ + options_.budget_fraction, options_.max_budget);
}

duration retry_policy::backoff(int retry, random_engine& random) const {
  const int doublings = std::clamp(retry - 1, 0, max_doublings);
  const auto max_delay =
      std::min(options_.base_delay * (duration::rep{1} << doublings), options_.longest_delay);
  return duration(std::uniform_int_distribution<duration::rep>(0, max_delay.count())(random));
}

retry_decision retry_policy::decide(const failed_attempt& attempt, time_point now,
                                    random_engine& random) {
  const executed execution = execution_status(attempt);
  if (!attempt.idempotent && execution != executed::no) {
    return give_up{give_up_reason::not_idempotent, execution};
  }
  if (attempt.attempts >= options_.largest_attempts) {
    return give_up{give_up_reason::attempts_exhausted, execution};
  }
  const time_point at = now + backoff(attempt.attempts, random);
  if (at >= attempt.deadline) {
    return give_up{give_up_reason::deadline, execution};
  }
  if (budget_ < 1) {
    return give_up{give_up_reason::budget_exhausted, execution};
  }
  budget_ -= 1;
  const auto* stream = std::get_if<streaming>(&attempt.progress);
  return retry_attempt{at, stream != nullptr && attempt.resume_allowed ? stream->tokens : 0};
}

} // namespace boragedoor::retry
