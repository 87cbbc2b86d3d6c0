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
  if (origin.attempt.empty() || streams_.contains(origin.attempt)) {
    return true;
  }
  if (unstored_.size() >= max_unstored) {
    return false;
  }
  streams_.emplace(origin.attempt, known_stream{origin.software, false});
  by_age_.emplace_back(now, origin.attempt);
  unstored_.push_back(origin);
  return true;
}

std::optional<std::string> stream_origins::find(std::string_view attempt) const {
  const auto it = streams_.find(attempt);
  return it == streams_.end() || !it->second.stored ? std::nullopt
                                                    : std::optional(it->second.software);
}

std::vector<stream_origin> stream_origins::unstored(std::size_t max) const {
  const auto count = static_cast<std::ptrdiff_t>(std::min(max, unstored_.size()));
  return {unstored_.begin(), unstored_.begin() + count};
}

void stream_origins::mark_stored(const std::vector<stream_origin>& records) {
  for (const stream_origin& record : records) {
    std::erase_if(unstored_, [&](const auto& it) { return it.attempt == record.attempt; });
    if (const auto it = streams_.find(record.attempt); it != streams_.end()) {
      it->second.stored = true;
    }
  }
}

void stream_origins::set_revision(std::string_view attempt, std::uint64_t revision) {
  const auto it = std::find_if(unstored_.begin(), unstored_.end(),
                               [attempt](const auto& one) { return one.attempt == attempt; });
  if (it != unstored_.end()) {
    it->revision = revision;
  }
}

void stream_origins::drop(std::string_view attempt) {
  std::erase_if(unstored_, [attempt](const auto& it) { return it.attempt == attempt; });
  if (const auto it = streams_.find(attempt); it != streams_.end()) {
    streams_.erase(it);
  }
}

void stream_origins::expire(time_point now) {
  while (!by_age_.empty() && now - by_age_.front().first >= retention) {
    if (const auto it = streams_.find(by_age_.front().second); it != streams_.end()) {
      streams_.erase(it);
    }
    by_age_.pop_front();
  }
}

} // namespace boragedoor::dispatch
