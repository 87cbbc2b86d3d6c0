#include "retry/retry_policy.h"

#include <algorithm>

namespace boragedoor::retry {

namespace {

template <class... Handlers>
struct overloaded : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

// Longest exponent of the backoff; beyond it every delay is at its limit anyway.
constexpr int most_doublings = 20;

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

std::string_view to_string(executed it) {
  switch (it) {
  case executed::no:
    return "no";
  case executed::yes:
    return "yes";
  case executed::unknown:
    break;
  }
  return "unknown";
}

executed executed_by(const failed_attempt& it) {
  if (it.not_executed) {
    return executed::no;
  }
  return std::visit(overloaded{[](const nothing_sent&) { return executed::no; },
                               [](const sent&) { return executed::unknown; },
                               [](const streaming&) { return executed::yes; }},
                    it.progress);
}

result<retry_policy> retry_policy::create(const retry_options& options) {
  if (options.budget_fraction < 0 || options.largest_budget < 0 || options.largest_attempts < 1 ||
      options.base_delay <= duration::zero() || options.longest_delay < options.base_delay) {
    return error{error_code::invalid_argument,
                 "retry: budgets must not be negative, largest_attempts at least 1 and "
                 "longest_delay at least base_delay"};
  }
  return retry_policy(options);
}

void retry_policy::record_success() {
  budget_ = std::min(budget_ + options_.budget_fraction, options_.largest_budget);
}

duration retry_policy::delay(int retry, random_engine& random) const {
  const int doublings = std::clamp(retry - 1, 0, most_doublings);
  const auto most =
      std::min(options_.base_delay * (duration::rep{1} << doublings), options_.longest_delay);
  return duration(std::uniform_int_distribution<duration::rep>(0, most.count())(random));
}

retry_decision retry_policy::decide(const failed_attempt& it, time_point now,
                                    random_engine& random) {
  const executed ran = executed_by(it);
  if (!it.idempotent && ran != executed::no) {
    return give_up{give_up_reason::not_idempotent, ran};
  }
  if (it.attempts >= options_.largest_attempts) {
    return give_up{give_up_reason::attempts_exhausted, ran};
  }
  const time_point at = now + delay(it.attempts, random);
  if (at >= it.deadline) {
    return give_up{give_up_reason::deadline, ran};
  }
  if (budget_ < 1) {
    return give_up{give_up_reason::budget_exhausted, ran};
  }
  budget_ -= 1;
  const auto* stream = std::get_if<streaming>(&it.progress);
  return try_again{at, stream != nullptr && it.resume_allowed ? stream->tokens : 0};
}

} // namespace boragedoor::retry
