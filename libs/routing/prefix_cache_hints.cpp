#include "routing/prefix_cache_hints.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"

namespace boragedoor::routing {

std::vector<prefix_hash> prefix_hashes(std::string_view scope, std::string_view prompt,
                                       std::size_t limit) {
  std::vector<prefix_hash> out;
  prefix_hash hash = hash64(scope);
  while (prompt.size() >= prefix_block_bytes && out.size() < limit) {
    hash = hash64(prompt.substr(0, prefix_block_bytes), hash);
    out.push_back(hash);
    prompt.remove_prefix(prefix_block_bytes);
  }
  return out;
}

result<prefix_cache_hints> prefix_cache_hints::create(const prefix_cache_options& options) {
  if (options.capacity == 0 || options.half_life <= duration::zero() || options.gap_factor < 0 ||
      options.gap_factor > 1) {
    return error{error_code::invalid_argument,
                 "prefix cache hints: capacity and half_life must be positive and gap_factor "
                 "within 0 and 1"};
  }
  return prefix_cache_hints(options);
}

std::size_t prefix_cache_hints::key_hash::operator()(const key& it) const {
  // The prefix is already a hash. Multiplying by 2^64 / golden ratio spreads the endpoint number.
  return static_cast<std::size_t>(it.prefix ^ (it.endpoint * 0x9e3779b97f4a7c15ULL));
}

prefix_cache_hints::event_stream& prefix_cache_hints::event_stream_of(std::string_view endpoint) {
  auto it = event_streams_.find(endpoint);
  if (it == event_streams_.end()) {
    it = event_streams_.emplace(std::string(endpoint), event_stream{}).first;
    it->second.number = next_endpoint_number_++;
  }
  return it->second;
}

void prefix_cache_hints::apply(std::string_view endpoint, const cache_event& event,
                               time_point now) {
  event_stream& stream = event_stream_of(endpoint);
  const bool in_order = event.sequence > stream.last_sequence;
  if (in_order) {
    if (stream.last_sequence != 0 && event.sequence > stream.last_sequence + 1) {
      stream.gaps += 1;
      gaps_ += 1;
    }
    stream.last_sequence = event.sequence;
  }
  if (!event.stored) {
    erase({stream.number, event.prefix});
  } else if (in_order) {
    // A "stored" event that arrives out of order is ignored: a later eviction may already have been
    // applied.
    confirm(stream, event.prefix, now);
  }
}

void prefix_cache_hints::record_dispatch(std::string_view endpoint,
                                         std::span<const prefix_hash> prefix, time_point now) {
  const event_stream& stream = event_stream_of(endpoint);
  for (const prefix_hash it : prefix) {
    confirm(stream, it, now);
  }
}

void prefix_cache_hints::forget(std::string_view endpoint) {
  // The endpoint gets a new number at its next use; entries of the old number are never found again
  // and are evicted as the least recently confirmed.
  if (const auto it = event_streams_.find(endpoint); it != event_streams_.end()) {
    event_streams_.erase(it);
  }
}

void prefix_cache_hints::confirm(const event_stream& stream, prefix_hash prefix, time_point now) {
  const key id{stream.number, prefix};
  if (const auto it = entries_.find(id); it != entries_.end()) {
    lru_.splice(lru_.end(), lru_, it->second.lru_position);
    it->second.confirmed = now;
    it->second.gaps_seen = stream.gaps;
    return;
  }
  if (entries_.size() >= options_.capacity) {
    erase(lru_.front());
  }
  entries_.emplace(id, hint{now, stream.gaps, lru_.insert(lru_.end(), id)});
}

void prefix_cache_hints::erase(const key& it) {
  if (const auto found = entries_.find(it); found != entries_.end()) {
    const auto lru_position = found->second.lru_position;
    entries_.erase(found);
    lru_.erase(lru_position);
  }
}

double prefix_cache_hints::expected_cached_share(std::string_view endpoint,
                                                 std::span<const prefix_hash> prefix,
                                                 time_point now) const {
  const auto stream = event_streams_.find(endpoint);
  if (stream == event_streams_.end() || prefix.empty()) {
    return 0;
  }
  // A cached prefix includes all shorter ones. The confidence in a long prefix therefore also
  // applies to the shorter ones, even if their own events were lost.
  double confidence = 0;
  double sum = 0;
  for (auto it = prefix.rbegin(); it != prefix.rend(); ++it) {
    if (const auto found = entries_.find({stream->second.number, *it}); found != entries_.end()) {
      const hint& known = found->second;
      const auto lru_position = std::max(now - known.confirmed, duration::zero());
      const double half_lives = static_cast<double>(lru_position.count()) /
                                static_cast<double>(options_.half_life.count());
      const double gaps = stream->second.gaps - known.gaps_seen;
      confidence =
          std::max(confidence, std::exp2(-half_lives) * std::pow(options_.gap_factor, gaps));
    }
    sum += confidence;
  }
  return sum / static_cast<double>(prefix.size());
}

} // namespace boragedoor::routing
