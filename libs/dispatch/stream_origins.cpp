#include "dispatch/stream_origins.h"

#include <algorithm>

namespace boragedoor::dispatch {

namespace {

/// Callers wait for a stream for some ten seconds in all.
constexpr duration retention = seconds(60);
/// Records that may wait for the store.
constexpr std::size_t max_unstored = 4096;

} // namespace

bool stream_origins::add(const stream_origin& origin, time_point now) {
  if (origin.attempt.empty() || !software_.try_emplace(origin.attempt, origin.software).second) {
    return true;
  }
  by_age_.emplace_back(now, origin.attempt);
  if (unstored_.size() >= max_unstored) {
    return false;
  }
  unstored_.push_back(origin);
  return true;
}

std::optional<std::string> stream_origins::find(std::string_view attempt) const {
  const auto it = software_.find(attempt);
  return it == software_.end() ? std::nullopt : std::optional(it->second);
}

std::vector<stream_origin> stream_origins::unstored(std::size_t max) const {
  const auto count = static_cast<std::ptrdiff_t>(std::min(max, unstored_.size()));
  return {unstored_.begin(), unstored_.begin() + count};
}

void stream_origins::mark_stored(std::size_t count) {
  const auto stored = static_cast<std::ptrdiff_t>(std::min(count, unstored_.size()));
  unstored_.erase(unstored_.begin(), unstored_.begin() + stored);
}

void stream_origins::expire(time_point now) {
  while (!by_age_.empty() && now - by_age_.front().first >= retention) {
    software_.erase(by_age_.front().second);
    by_age_.pop_front();
  }
}

} // namespace boragedoor::dispatch
