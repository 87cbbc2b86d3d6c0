#pragma once

#include <string_view>
#include <variant>

#include "base/random.h"
#include "base/result.h"
#include "base/time.h"
#include "retry/attempt_progress.h"

namespace boragedoor::retry {

struct retry_options {
  /// Retries earned by each success.
  double budget_fraction = 0.1;
  /// Retries that may be saved up, and the stock at the start. Covers the streams that one instance
  /// of five loses with a data centre of four engines (4 * 32 / 5 = 26), and as many again.
  double largest_budget = 50;
  /// Attempts of one request, the first included.
  int largest_attempts = 4;
  /// Full jitter: the delay before retry k is uniform in 0 .. min(longest, base * 2^(k-1)).
  duration base_delay = milliseconds(50);
  duration longest_delay = seconds(5);
};

/// A failed attempt, as the decision needs to know it.
struct failed_attempt {
  /// Attempts made so far, this one included.
  int attempts = 1;
  attempt_progress progress = nothing_sent{};
  bool idempotent = true;
  /// Whether the endpoint said, truthfully, that the request did not run.
  bool not_executed = false;
  /// Whether a stream may continue elsewhere from the text so far.
  bool resume_allowed = false;
  /// The caller's deadline for the whole request.
  time_point deadline;
};

enum class give_up_reason { not_idempotent, attempts_exhausted, budget_exhausted, deadline };
std::string_view to_string(give_up_reason reason);

/// Whether the request ran, as far as can be known: the `executed` field of an error response.
enum class executed { no, yes, unknown };
std::string_view to_string(executed it);

struct give_up {
  give_up_reason reason = give_up_reason::not_idempotent;
  executed ran = executed::unknown;
};

/// Try again at `at`. With `resume_from` above 0 the new attempt continues after that many tokens;
/// with 0 it starts afresh, and the caller drops or replaces the text so far.
struct try_again {
  time_point at;
  int resume_from = 0;
};

using retry_decision = std::variant<give_up, try_again>;

/// Decides on retries for one instance. The budget bounds the extra load that retries cause when
/// everything fails: retries never exceed `largest_budget + budget_fraction * successes`.
class retry_policy {
public:
  /// Fails with `invalid_argument` on negative or zero limits.
  static result<retry_policy> create(const retry_options& options);

  void record_success();
  retry_decision decide(const failed_attempt& it, time_point now, random_engine& random);
  [[nodiscard]] double budget() const { return budget_; }

private:
  explicit retry_policy(const retry_options& options)
      : options_(options), budget_(options.largest_budget) {}
  [[nodiscard]] duration delay(int retry, random_engine& random) const;

  retry_options options_;
  double budget_;
};

/// What an error response may say about an attempt that is not retried.
executed executed_by(const failed_attempt& it);

} // namespace boragedoor::retry
