#include "retry/hedge_policy.h"

#include <algorithm>
#include <cmath>

namespace boragedoor::retry {

namespace {

// Weight of the kind's average speed, in tokens, when it is combined with the attempt's own speed.
// Over fewer tokens than this, the own speed is mostly determined by the delay of the first token.
constexpr double prior_tokens = 16;
// Lower limit of the remaining tokens, as a fraction of the tokens produced so far. It applies to
// attempts near or beyond their expected length.
constexpr double overrun_fraction = 0.1;
// Used until an attempt of the kind has completed.
constexpr double default_seconds_per_token = 0.05;

bool is_fraction(double value) {
  return value >= 0 && value <= 1;
}

double to_seconds(duration it) {
  return std::chrono::duration<double>(it).count();
}

} // namespace

result<hedge_policy> hedge_policy::create(const hedge_options& options) {
  if (!is_fraction(options.quantile) || !is_fraction(options.max_open_fraction) ||
      !is_fraction(options.max_extra_fraction) || options.fewest_samples == 0 ||
      options.most_samples < options.fewest_samples || options.initial_extra_tokens < 0) {
    return error{
        error_code::invalid_argument,
        "hedge: quantile, max_open_fraction and max_extra_fraction must be within 0 and 1, "
        "fewest_samples positive, most_samples at least fewest_samples and "
        "initial_extra_tokens not negative"};
  }
  return hedge_policy(options);
}

void hedge_policy::record_completed(std::string_view kind, duration elapsed, int tokens) {
  auto it = history_by_kind_.find(kind);
  if (it == history_by_kind_.end()) {
    it = history_by_kind_.emplace(std::string(kind), history{}).first;
  }
  history& completed = it->second;
  completed.attempts.push_back({to_seconds(elapsed), static_cast<double>(tokens)});
  completed.seconds += to_seconds(elapsed);
  completed.tokens += tokens;
  if (completed.attempts.size() > options_.most_samples) {
    completed.seconds -= completed.attempts.front().seconds;
    completed.tokens -= completed.attempts.front().tokens;
    completed.attempts.pop_front();
  }
  useful_tokens_ += tokens;
}

void hedge_policy::record_extra_tokens(int tokens, int reserved) {
  extra_tokens_ += tokens - reserved;
}

double hedge_policy::duration_quantile(const history& completed) const {
  std::vector<double> durations;
  durations.reserve(completed.attempts.size());
  for (const completed_attempt& one : completed.attempts) {
    durations.push_back(one.seconds);
  }
  const auto index = static_cast<std::ptrdiff_t>(
      std::floor(options_.quantile * static_cast<double>(durations.size() - 1)));
  std::nth_element(durations.begin(), durations.begin() + index, durations.end());
  return durations[static_cast<std::size_t>(index)];
}

duration hedge_policy::remaining_time(const group_attempt& attempt, time_point now) const {
  double seconds_per_token = default_seconds_per_token;
  if (const auto found = history_by_kind_.find(attempt.kind);
      found != history_by_kind_.end() && found->second.tokens > 0) {
    seconds_per_token = found->second.seconds / found->second.tokens;
  }
  const double elapsed = std::max(0.0, to_seconds(now - attempt.started));
  seconds_per_token =
      (elapsed + prior_tokens * seconds_per_token) / (attempt.tokens + prior_tokens);
  const double remaining_tokens =
      std::max<double>(attempt.expected_tokens - attempt.tokens, overrun_fraction * attempt.tokens);
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(remaining_tokens * seconds_per_token));
}

bool hedge_policy::decide(const group_attempt& attempt, time_point now) {
  const double max_open = std::max(1.0, options_.max_open_fraction * attempt.group_size);
  if (!attempt.idempotent || attempt.hedged || attempt.group_open > max_open) {
    return false;
  }
  const auto found = history_by_kind_.find(attempt.kind);
  if (found == history_by_kind_.end() || found->second.attempts.size() < options_.fewest_samples) {
    return false;
  }
  if (to_seconds(remaining_time(attempt, now)) <= duration_quantile(found->second)) {
    return false;
  }
  if (extra_tokens_ + attempt.expected_tokens >
      options_.initial_extra_tokens + options_.max_extra_fraction * useful_tokens_) {
    return false;
  }
  extra_tokens_ += attempt.expected_tokens;
  return true;
}

} // namespace boragedoor::retry
