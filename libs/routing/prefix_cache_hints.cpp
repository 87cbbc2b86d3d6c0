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
  // The prefix is a hash already; the multiplier (2^64 / golden ratio) spreads the endpoint number.
  return static_cast<std::size_t>(it.prefix ^ (it.endpoint * 0x9e3779b97f4a7c15ULL));
}

prefix_cache_hints::source& prefix_cache_hints::source_of(std::string_view endpoint) {
  auto it = sources_.find(endpoint);
  if (it == sources_.end()) {
    it = sources_.emplace(std::string(endpoint), source{}).first;
    it->second.number = next_source_++;
  }
  return it->second;
}

void prefix_cache_hints::apply(std::string_view endpoint, const cache_event& it, time_point now) {
  source& from = source_of(endpoint);
  const bool in_order = it.sequence > from.last_sequence;
  if (in_order) {
    if (from.last_sequence != 0 && it.sequence > from.last_sequence + 1) {
      from.gaps += 1;
      gaps_ += 1;
    }
    from.last_sequence = it.sequence;
  }
  if (!it.stored) {
    erase({from.number, it.prefix});
  } else if (in_order) {
    // A late "stored" may have been followed by an eviction that was seen first.
    confirm(from, it.prefix, now);
  }
}

void prefix_cache_hints::note_dispatch(std::string_view endpoint,
                                       std::span<const prefix_hash> prefix, time_point now) {
  const source& from = source_of(endpoint);
  for (const prefix_hash it : prefix) {
    confirm(from, it, now);
  }
}

void prefix_cache_hints::forget(std::string_view endpoint) {
  // A new number is given at the next use; the entries of the old one age out.
  if (const auto it = sources_.find(endpoint); it != sources_.end()) {
    sources_.erase(it);
  }
}

void prefix_cache_hints::confirm(const source& from, prefix_hash prefix, time_point now) {
  const key id{from.number, prefix};
  if (const auto it = entries_.find(id); it != entries_.end()) {
    ages_.splice(ages_.end(), ages_, it->second.age);
    it->second.confirmed = now;
    it->second.gaps_seen = from.gaps;
    return;
  }
  if (entries_.size() >= options_.capacity) {
    erase(ages_.front());
  }
  entries_.emplace(id, hint{now, from.gaps, ages_.insert(ages_.end(), id)});
}

void prefix_cache_hints::erase(const key& it) {
  if (const auto found = entries_.find(it); found != entries_.end()) {
    const auto age = found->second.age;
    entries_.erase(found);
    ages_.erase(age);
  }
}

double prefix_cache_hints::expected_share(std::string_view endpoint,
                                          std::span<const prefix_hash> prefix,
                                          time_point now) const {
  const auto from = sources_.find(endpoint);
  if (from == sources_.end() || prefix.empty()) {
    return 0;
  }
  // A cached prefix contains all shorter ones, so confidence carries over from the long to the
  // short ones, also where their own events were lost.
  double confidence = 0;
  double sum = 0;
  for (auto it = prefix.rbegin(); it != prefix.rend(); ++it) {
    if (const auto found = entries_.find({from->second.number, *it}); found != entries_.end()) {
      const hint& known = found->second;
      const auto age = std::max(now - known.confirmed, duration::zero());
      const double lives =
          static_cast<double>(age.count()) / static_cast<double>(options_.half_life.count());
      const double gaps = from->second.gaps - known.gaps_seen;
      confidence = std::max(confidence, std::exp2(-lives) * std::pow(options_.gap_factor, gaps));
    }
    sum += confidence;
  }
  return sum / static_cast<double>(prefix.size());
}

} // namespace boragedoor::routing
