#include "bench/supply_trainer.h"

#include <algorithm>

namespace boragedoor::bench {

namespace {

// Weight of the newest group in the mean wait for delivery.
constexpr double wait_weight = 0.1;
constexpr double seconds_per_hour = 3'600;

double to_seconds(duration it) {
  return std::chrono::duration<double>(it).count();
}

} // namespace

std::uint64_t supply_group::oldest_version() const {
  std::uint64_t out = samples.front().oldest_version;
  for (const supply_sample& it : samples) {
    out = std::min(out, it.oldest_version);
  }
  return out;
}

supply_trainer::supply_trainer(const trainer_plan& plan, std::size_t index, std::uint64_t seed,
                               double straggler_share)
    : plan_(plan), index_(index), seed_(seed), straggler_share_(straggler_share) {}

bool supply_trainer::rests(time_point now) const {
  const double hours = to_seconds(now.time_since_epoch()) / seconds_per_hour;
  return hours - static_cast<double>(static_cast<int>(hours)) >= 1 - plan_.resting_share;
}

void supply_trainer::submit(time_point now) {
  while (!rests(now) && groups_.size() < static_cast<std::size_t>(plan_.groups_in_flight)) {
    supply_group it;
    it.number = next_number_++;
    for (const sample_length& one :
         draw_lengths(seed_, index_, it.number, plan_.group_size, straggler_share_)) {
      it.samples.push_back(supply_sample{.length = one});
    }
    groups_.push_back(std::move(it));
  }
}

void supply_trainer::restart(supply_sample& it) {
  sums_.wasted_tokens += it.done;
  it = supply_sample{.length = it.length, .straggles = false};
}

void supply_trainer::void_group(supply_group& it) {
  sums_.voided += 1;
  it.complete.reset();
  for (supply_sample& one : it.samples) {
    restart(one);
  }
}

void supply_trainer::deliver(std::size_t index, std::uint64_t newest, time_point now) {
  const supply_group& it = groups_[index];
  const std::uint64_t staleness = newest - it.oldest_version();
  sums_.groups += 1;
  sums_.staleness += static_cast<double>(staleness);
  sums_.worst_staleness = std::max(sums_.worst_staleness, staleness);
  last_taken_ = it.complete;
  wait_seconds_ += wait_weight * (to_seconds(now - *it.complete) - wait_seconds_);
  for (const supply_sample& one : it.samples) {
    sums_.tokens += one.done;
  }
  groups_.erase(groups_.begin() + static_cast<std::ptrdiff_t>(index));
}

bool supply_trainer::train(std::uint64_t newest, time_point now, duration tick) {
  sums_.active_seconds += rests(now) ? 0 : to_seconds(tick);
  idle_ = false;
  if (now < busy_until_) {
    return false;
  }
  // The oldest weights first, which are the next to exceed the bound.
  std::size_t chosen = groups_.size();
  for (std::size_t i = 0; i < groups_.size(); ++i) {
    supply_group& it = groups_[i];
    if (it.complete && it.oldest_version() + plan_.staleness_bound < newest) {
      void_group(it);
    }
    if (it.complete &&
        (chosen == groups_.size() || it.oldest_version() < groups_[chosen].oldest_version())) {
      chosen = i;
    }
  }
  if (chosen == groups_.size()) {
    idle_ = !rests(now);
    sums_.idle_seconds += rests(now) ? 0 : to_seconds(tick);
    return false;
  }
  deliver(chosen, newest, now);
  busy_until_ = now + plan_.train_time;
  trained_ += 1;
  if (trained_ < plan_.groups_per_version) {
    return false;
  }
  trained_ = 0;
  sums_.versions += plan_.publishes ? 1 : 0;
  return plan_.publishes;
}

duration supply_trainer::delivery_wait() const {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(wait_seconds_));
}

} // namespace boragedoor::bench
