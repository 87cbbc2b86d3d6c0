#include "freshness/sample_freshness.h"

#include <algorithm>
#include <cmath>

namespace boragedoor::freshness {

namespace {

double to_seconds(duration it) {
  return std::chrono::duration<double>(it).count();
}

} // namespace

result<sample_freshness> sample_freshness::create(const sample_freshness_options& options) {
  if (options.initial_interval <= duration{} || options.interval_weight <= 0 ||
      options.interval_weight > 1 || options.delivery_delay < duration{} || options.certainty < 0 ||
      options.certainty > 1) {
    return error{error_code::invalid_argument,
                 "sample freshness: the interval must be positive, and the weight and certainty "
                 "within 0 and 1"};
  }
  return sample_freshness(options);
}

void sample_freshness::put_trainer(std::string_view trainer, std::uint64_t bound) {
  auto it = trainers_.find(trainer);
  if (it == trainers_.end()) {
    it = trainers_.emplace(std::string(trainer), trainer_state{}).first;
    it->second.interval = to_seconds(options_.initial_interval);
  }
  it->second.bound = bound;
}

void sample_freshness::announce(std::string_view trainer, std::uint64_t version, time_point now) {
  const auto found = trainers_.find(trainer);
  if (found == trainers_.end() || version <= found->second.newest) {
    return;
  }
  trainer_state& it = found->second;
  if (it.newest != 0) {
    const double interval =
        to_seconds(now - it.published) / static_cast<double>(version - it.newest);
    // The first measured interval replaces the assumed one.
    const double weight = it.intervals == 0 ? 1 : options_.interval_weight;
    it.interval = std::max(0.001, it.interval + weight * (interval - it.interval));
    it.intervals += 1;
  }
  it.newest = version;
  it.published = now;
}

std::uint64_t sample_freshness::expected_version(const trainer_state& it, time_point at,
                                                 time_point now, double shift) {
  // A publication that is overdue is expected now.
  const double since = std::min(to_seconds(now - it.published), it.interval) + to_seconds(at - now);
  const double count = std::floor(since / it.interval + shift);
  return it.newest + static_cast<std::uint64_t>(std::max(0.0, count));
}

std::uint64_t sample_freshness::version_at(std::string_view trainer, time_point at,
                                           time_point now) const {
  const auto it = trainers_.find(trainer);
  return it == trainers_.end() ? 0 : expected_version(it->second, at, now, 0);
}

std::uint64_t sample_freshness::minimum_version(std::string_view trainer, duration expected,
                                                time_point now) const {
  const auto found = trainers_.find(trainer);
  if (found == trainers_.end()) {
    return 0;
  }
  // A start is cautious where a restart is not: it costs nothing to begin on fresher weights.
  const trainer_state& it = found->second;
  const std::uint64_t last =
      expected_version(it, now + expected + options_.delivery_delay, now, options_.certainty);
  return std::min(it.newest, last > it.bound ? last - it.bound : 0);
}

bool sample_freshness::fits(const trainer_state& it, std::uint64_t version, duration remaining,
                            time_point now) const {
  const time_point end = now + remaining + options_.delivery_delay;
  return version + it.bound >= expected_version(it, end, now, -options_.certainty);
}

bool sample_freshness::exceeded(std::string_view trainer, std::uint64_t oldest_version) const {
  const auto it = trainers_.find(trainer);
  return it != trainers_.end() && oldest_version + it->second.bound < it->second.newest;
}

sample_decision sample_freshness::check(const running_sample& it, time_point now) const {
  const auto found = trainers_.find(it.trainer);
  if (found == trainers_.end()) {
    return sample_decision::keep;
  }
  const trainer_state& trainer = found->second;
  if (exceeded(it.trainer, it.oldest_version)) {
    return sample_decision::restart;
  }
  if (fits(trainer, it.oldest_version, it.remaining, now)) {
    return sample_decision::keep;
  }
  if (fits(trainer, it.oldest_version, it.remaining_elsewhere, now)) {
    return sample_decision::resume;
  }
  // A new start that would not end within the bound either only adds to the work lost.
  return fits(trainer, trainer.newest, it.whole, now) ? sample_decision::restart
                                                      : sample_decision::keep;
}

} // namespace boragedoor::freshness
