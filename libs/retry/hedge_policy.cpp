#include "retry/hedge_policy.h"

#include <algorithm>
#include <cmath>

namespace boragedoor::retry {

namespace {

// Tokens by which an attempt's own pace counts against the kind's: before that many, its own
// pace is mostly the delay of the first token.
constexpr double prior_tokens = 16;
// An attempt beyond its expected length is taken to have this part of its length to go.
constexpr double overrun_share = 0.1;
// Assumed until attempts of the kind completed.
constexpr double default_seconds_per_token = 0.05;

bool is_share(double value) {
  return value >= 0 && value <= 1;
}

double to_seconds(duration it) {
  return std::chrono::duration<double>(it).count();
}

} // namespace

result<hedge_policy> hedge_policy::create(const hedge_options& options) {
  if (!is_share(options.quantile) || !is_share(options.open_share) ||
      !is_share(options.extra_share) || options.fewest_samples == 0 ||
      options.most_samples < options.fewest_samples || options.initial_tokens < 0) {
    return error{error_code::invalid_argument,
                 "hedge: shares must be within 0 and 1 and most_samples at least fewest_samples"};
  }
  return hedge_policy(options);
}

void hedge_policy::record_completed(std::string_view kind, duration took, int tokens) {
  auto it = kinds_.find(kind);
  if (it == kinds_.end()) {
    it = kinds_.emplace(std::string(kind), history{}).first;
  }
  history& known = it->second;
  known.attempts.push_back({to_seconds(took), static_cast<double>(tokens)});
  known.seconds += to_seconds(took);
  known.tokens += tokens;
  if (known.attempts.size() > options_.most_samples) {
    known.seconds -= known.attempts.front().seconds;
    known.tokens -= known.attempts.front().tokens;
    known.attempts.pop_front();
  }
  useful_ += tokens;
}

void hedge_policy::record_extra(int tokens, int reserved) {
  extra_ += tokens - reserved;
}

double hedge_policy::typical_seconds(const history& it) const {
  std::vector<double> times;
  times.reserve(it.attempts.size());
  for (const attempt& one : it.attempts) {
    times.push_back(one.seconds);
  }
  const auto index = static_cast<std::ptrdiff_t>(
      std::floor(options_.quantile * static_cast<double>(times.size() - 1)));
  std::nth_element(times.begin(), times.begin() + index, times.end());
  return times[static_cast<std::size_t>(index)];
}

duration hedge_policy::remaining(const straggler_view& it, time_point now) const {
  double pace = default_seconds_per_token;
  if (const auto known = kinds_.find(it.kind); known != kinds_.end() && known->second.tokens > 0) {
    pace = known->second.seconds / known->second.tokens;
  }
  const double elapsed = std::max(0.0, to_seconds(now - it.started));
  pace = (elapsed + prior_tokens * pace) / (it.tokens + prior_tokens);
  const double left = std::max<double>(it.expected_tokens - it.tokens, overrun_share * it.tokens);
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(left * pace));
}

bool hedge_policy::decide(const straggler_view& it, time_point now) {
  const double most_open = std::max(1.0, options_.open_share * it.group_size);
  if (!it.idempotent || it.hedged || it.group_open > most_open) {
    return false;
  }
  const auto known = kinds_.find(it.kind);
  if (known == kinds_.end() || known->second.attempts.size() < options_.fewest_samples) {
    return false;
  }
  if (to_seconds(remaining(it, now)) <= typical_seconds(known->second)) {
    return false;
  }
  if (extra_ + it.expected_tokens > options_.initial_tokens + options_.extra_share * useful_) {
    return false;
  }
  extra_ += it.expected_tokens;
  return true;
}

} // namespace boragedoor::retry
