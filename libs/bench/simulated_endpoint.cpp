#include "bench/simulated_endpoint.h"

#include <algorithm>
#include <cmath>

#include "bench/workload.h"

namespace boragedoor::bench {

namespace {

// Share of the cache events that get lost, and the number kept for late readers.
constexpr double lost_events = 0.05;
constexpr std::size_t most_events = 4'096;
// Guards comparisons of accumulated work against rounding.
constexpr double work_epsilon = 1e-6;

double to_seconds(duration it) {
  return std::chrono::duration<double>(it).count();
}

} // namespace

simulated_endpoint::simulated_endpoint(routing::endpoint description, const endpoint_model& model,
                                       std::uint64_t seed)
    : description_(std::move(description)), model_(model), random_(seed) {}

double simulated_endpoint::rate() const {
  const double fill = static_cast<double>(running_.size()) / model_.slots;
  return speed_ * model_.rate / (1 + (model_.full_slowdown - 1) * fill);
}

void simulated_endpoint::advance(time_point now) {
  received_ += rate() * to_seconds(now - at_);
  at_ = now;
}

void simulated_endpoint::submit(const job& it, time_point now) {
  advance(now);
  waiting_[it.priority].push_back(it);
  waiting_count_ += 1;
  fill_slots();
}

void simulated_endpoint::fill_slots() {
  generation_ += 1;
  while (waiting_count_ > 0 && running_.size() < static_cast<std::size_t>(model_.slots)) {
    const auto first = waiting_.begin();
    start(first->second.front());
    first->second.pop_front();
    waiting_count_ -= 1;
    if (first->second.empty()) {
      waiting_.erase(first);
    }
  }
}

void simulated_endpoint::start(const job& it) {
  const int uncached = std::max(0, it.prompt_tokens - std::max(it.kv_tokens, use_cache(it)));
  running_job entry;
  entry.straggle = it.straggle;
  entry.tokens = it.tokens;
  entry.prefill = (uncached / model_.prefill_rate + it.kv_seconds) * model_.rate;
  entry.start = received_;
  entry.finish = received_ + entry.prefill + it.tokens * it.straggle;
  by_finish_.emplace(entry.finish, it.attempt);
  running_.emplace(it.attempt, entry);
}

int simulated_endpoint::use_cache(const job& it) {
  int hits = 0;
  for (const routing::prefix_hash block : it.prefix) {
    if (const auto known = cache_.find(block); known != cache_.end()) {
      cache_ages_.splice(cache_ages_.end(), cache_ages_, known->second);
      hits += 1;
      continue;
    }
    if (cache_.size() >= model_.cache_blocks) {
      publish_event(false, cache_ages_.front());
      cache_.erase(cache_ages_.front());
      cache_ages_.pop_front();
    }
    cache_.emplace(block, cache_ages_.insert(cache_ages_.end(), block));
    publish_event(true, block);
  }
  blocks_ += it.prefix.size();
  block_hits_ += static_cast<std::uint64_t>(hits);
  return hits * block_tokens;
}

void simulated_endpoint::publish_event(bool stored, routing::prefix_hash prefix) {
  const std::uint64_t sequence = next_event_++;
  if (std::bernoulli_distribution(lost_events)(random_)) {
    return;
  }
  events_.emplace_back(at_, routing::cache_event{sequence, stored, prefix});
  if (events_.size() > most_events) {
    events_.pop_front();
  }
}

void simulated_endpoint::events_after(std::uint64_t& sequence, time_point seen_until,
                                      std::vector<routing::cache_event>& out) const {
  auto it = std::upper_bound(
      events_.begin(), events_.end(), sequence,
      [](std::uint64_t value, const auto& entry) { return value < entry.second.sequence; });
  for (; it != events_.end() && it->first <= seen_until; ++it) {
    out.push_back(it->second);
    sequence = it->second.sequence;
  }
}

int simulated_endpoint::tokens_of(const running_job& it) const {
  const double done = (received_ - it.start - it.prefill) / it.straggle;
  return std::clamp(static_cast<int>(done), 0, it.tokens);
}

int simulated_endpoint::tokens_of(std::uint64_t attempt, time_point now) {
  advance(now);
  const auto it = running_.find(attempt);
  return it == running_.end() ? 0 : tokens_of(it->second);
}

int simulated_endpoint::cancel(std::uint64_t attempt, time_point now) {
  advance(now);
  if (const auto it = running_.find(attempt); it != running_.end()) {
    const int tokens = tokens_of(it->second);
    by_finish_.erase({it->second.finish, attempt});
    running_.erase(it);
    fill_slots();
    return tokens;
  }
  for (auto it = waiting_.begin(); it != waiting_.end(); ++it) {
    const auto n =
        std::erase_if(it->second, [&](const job& one) { return one.attempt == attempt; });
    waiting_count_ -= n;
    if (it->second.empty()) {
      waiting_.erase(it);
      break;
    }
  }
  return 0;
}

std::vector<std::uint64_t> simulated_endpoint::take_completed(time_point now) {
  advance(now);
  std::vector<std::uint64_t> out;
  while (!by_finish_.empty() && by_finish_.begin()->first <= received_ + work_epsilon) {
    out.push_back(by_finish_.begin()->second);
    running_.erase(by_finish_.begin()->second);
    by_finish_.erase(by_finish_.begin());
  }
  fill_slots();
  return out;
}

std::optional<time_point> simulated_endpoint::next_completion() const {
  if (by_finish_.empty() || !alive_) {
    return std::nullopt;
  }
  const double left = std::max(0.0, by_finish_.begin()->first - received_) / rate();
  // Rounded up, so that the work is complete when the event runs.
  return at_ + duration(static_cast<duration::rep>(std::ceil(left * 1e6)) + 1);
}

std::vector<std::uint64_t> simulated_endpoint::crash(time_point now) {
  advance(now);
  std::vector<std::uint64_t> out;
  for (const auto& [priority, line] : waiting_) {
    for (const job& it : line) {
      out.push_back(it.attempt);
    }
  }
  for (const auto& [attempt, it] : running_) {
    out.push_back(attempt);
  }
  std::sort(out.begin(), out.end());
  waiting_.clear();
  waiting_count_ = 0;
  running_.clear();
  by_finish_.clear();
  cache_.clear();
  cache_ages_.clear();
  generation_ += 1;
  return out;
}

void simulated_endpoint::set_speed(double factor, time_point now) {
  advance(now);
  speed_ = factor;
  generation_ += 1;
}

void simulated_endpoint::publish_load(time_point now) {
  published_ = {now, static_cast<int>(running_.size()), static_cast<int>(waiting_count_)};
}

double simulated_endpoint::utilisation() const {
  return static_cast<double>(running_.size() + waiting_count_) / model_.slots;
}

} // namespace boragedoor::bench
