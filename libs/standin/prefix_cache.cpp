#include "standin/prefix_cache.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace boragedoor::standin {

namespace {

// Older events are forgotten; a reader that far behind has lost them.
constexpr std::size_t max_events = 10000;

std::string to_hex(std::uint64_t value) {
  constexpr std::string_view digits = "0123456789abcdef";
  std::string text(16, '0');
  for (auto it = text.rbegin(); it != text.rend(); ++it) {
    *it = digits[value % 16];
    value /= 16;
  }
  return text;
}

} // namespace

std::vector<std::string> prefix_cache::block_hashes(std::string_view prompt) {
  std::vector<std::string> hashes;
  for (std::size_t end = block_bytes; end <= prompt.size(); end += block_bytes) {
    hashes.push_back(to_hex(hash64(prompt.substr(0, end))));
  }
  return hashes;
}

std::int64_t prefix_cache::use(std::string_view prompt, time_point now) {
  const auto chain = block_hashes(prompt);
  const auto missing = std::find_if(chain.begin(), chain.end(),
                                    [&](const auto& it) { return !blocks_.contains(it); });
  const auto held = std::distance(chain.begin(), missing);
  hold(chain, now);
  return held * block_tokens;
}

std::int64_t prefix_cache::hold(const std::vector<std::string>& chain, time_point now) {
  std::int64_t added = 0;
  // From the last block to the first, so that a chain is given up from its end.
  for (std::size_t n = chain.size(); n > 0; --n) {
    const std::string& hash = chain[n - 1];
    const auto found = blocks_.find(hash);
    if (found != blocks_.end()) {
      recent_.splice(recent_.begin(), recent_, found->second.place);
      continue;
    }
    recent_.push_front(hash);
    blocks_[hash] = {n > 1 ? chain[n - 2] : "", recent_.begin()};
    publish(hash, "added", now);
    ++added;
  }
  return added;
}

void prefix_cache::shrink(std::int64_t limit, time_point now) {
  while (!recent_.empty() && tokens() > limit) {
    const std::string hash = recent_.back();
    recent_.pop_back();
    blocks_.erase(hash);
    publish(hash, "evicted", now);
  }
}

void prefix_cache::clear() {
  blocks_.clear();
  recent_.clear();
  events_.clear();
}

json prefix_cache::events_after(std::int64_t after, time_point now) const {
  json list = json::array();
  for (const auto& it : events_) {
    const bool lost = settings_.lost_every > 0 && it.sequence % settings_.lost_every == 0;
    if (it.sequence > after && it.at + settings_.lag <= now && !lost) {
      list.push_back({{"sequence", it.sequence}, {"prefix_hash", it.hash}, {"kind", it.kind}});
    }
  }
  return {{"events", std::move(list)}};
}

json prefix_cache::export_chain(const std::string& hash) const {
  std::vector<std::string> chain;
  for (auto it = blocks_.find(hash); it != blocks_.end(); it = blocks_.find(it->second.parent)) {
    chain.push_back(it->first);
  }
  if (chain.empty()) {
    return nullptr;
  }
  std::reverse(chain.begin(), chain.end());
  return {{"prefix_hash", hash}, {"blocks", chain}};
}

std::int64_t prefix_cache::import_chain(const json& chain, time_point now) {
  std::vector<std::string> hashes;
  const auto blocks = chain.find("blocks");
  if (blocks != chain.end() && blocks->is_array()) {
    for (const auto& it : *blocks) {
      if (it.is_string()) {
        hashes.push_back(it.get<std::string>());
      }
    }
  }
  return hold(hashes, now);
}

void prefix_cache::publish(const std::string& hash, std::string_view kind, time_point now) {
  events_.push_back({++sequence_, now, hash, kind});
  if (events_.size() > max_events) {
    events_.pop_front();
  }
}

} // namespace boragedoor::standin
