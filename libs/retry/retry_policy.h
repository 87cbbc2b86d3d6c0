#pragma once

#include <string_view>
#include <variant>

#include "base/random.h"
#include "base/result.h"
#include "base/time.h"
#include "retry/attempt_progress.h"

namespace boragedoor::retry {

struct retry_options {
  /// Retries that each success adds to the budget.
  double budget_fraction = 0.1;
  /// Maximum and initial budget, in retries. When a data centre with four engines fails, each of
  /// five instances loses 4 * 32 / 5 = 26 streams; the budget covers this twice.
  double max_budget = 50;
  /// Maximum number of attempts of one request, including the first.
  int largest_attempts = 4;
  /// Exponential backoff with full jitter: the delay before retry k is uniform in
  /// 0 .. min(longest_delay, base_delay * 2^(k-1)).
  duration base_delay = milliseconds(50);
  duration longest_delay = seconds(5);
};

/// The facts about a failed attempt that the retry decision depends on.
struct failed_attempt {
  /// Number of attempts made so far, including this one.
  int attempts = 1;
  attempt_progress progress = nothing_sent{};
  bool idempotent = true;
  /// Whether the endpoint reported that the request did not run and the report can be trusted.
  bool not_executed = false;
  /// Whether a stream may continue at another endpoint from the text so far.
  bool resume_allowed = false;
  /// The caller's deadline for the whole request.
  time_point deadline;
};

enum class give_up_reason { not_idempotent, attempts_exhausted, budget_exhausted, deadline };
std::string_view to_string(give_up_reason reason);

/// Whether the request ran, as far as is known. Written to the `executed` field of error responses.
enum class executed { no, yes, unknown };
std::string_view to_string(executed status);

/// The request is not retried.
struct give_up {
  give_up_reason reason = give_up_reason::not_idempotent;
  executed execution = executed::unknown;
};

/// The request is retried at `at`. If `resume_from` is positive, the new attempt continues after
/// that many tokens. If it is 0, the attempt starts over and the caller drops or replaces the text
/// so far.
struct retry_attempt {
  time_point at;
  int resume_from = 0;
};

using retry_decision = std::variant<give_up, retry_attempt>;

/// Decides on retries for one instance. The budget limits the extra load from retries when every
/// request fails: retries never exceed `max_budget + budget_fraction * successes`.
class retry_policy {
public:
  /// Fails with `invalid_argument` on negative or zero limits.
  static result<retry_policy> create(const retry_options& options);

  void record_success();
  retry_decision decide(const failed_attempt& attempt, time_point now, random_engine& random);
  [[nodiscard]] double budget() const { return budget_; }

private:
  explicit retry_policy(const retry_options& options)
      : options_(options), budget_(options.max_budget) {}
  [[nodiscard]] duration backoff(int retry, random_engine& random) const;

  retry_options options_;
  double budget_;
};

/// Returns whether the request ran in this attempt, as far as is known.
executed execution_status(const failed_attempt& attempt);

} // namespace boragedoor::retry
