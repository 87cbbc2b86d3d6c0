#include "usage/usage_counter.h"

#include <algorithm>

namespace boragedoor::usage {

namespace {

/// Frozen windows remembered one by one; beyond that, all older ones are taken as frozen.
constexpr std::size_t remembered_windows = 256;

/// A confirmed window is sent again after this time, in case the notice that it is frozen was lost.
constexpr duration ask_again_after = seconds(30);

} // namespace

usage_counter::usage_counter(usage_source source, duration window_length)
    : source_(std::move(source)), window_length_(window_length), shards_(shard_count) {}

usage_counter usage_counter::create(usage_source source, duration window_length) {
  return {std::move(source), window_length};
}

bool usage_counter::is_frozen(const shard_state& shard, std::uint64_t window) {
  return window < shard.frozen_below || shard.frozen.contains(window);
}

void usage_counter::add_row(shard_state& shard, std::uint64_t window, usage_key key,
                            const usage_figures& it) {
  const std::uint64_t origin = window;
  window = std::max(window, shard.frozen_below);
  while (is_frozen(shard, window)) {
    ++window;
  }
  if (window != origin && key.late_from == 0) {
    key.late_from = origin;
  }
  window_state& state = shard.windows[window];
  state.table[std::move(key)] += it;
  state.changed = true;
}

void usage_counter::record(time_point /*now*/, wall_time wall, const usage_key& key,
                           const usage_figures& it) {
  add_row(shards_[shard_of(key.workspace)], window_of(wall, window_length_), key, it);
}

std::vector<usage_flush> usage_counter::flush(time_point now) {
  std::vector<usage_flush> flushes;
  for (std::uint32_t n = 0; n < shard_count; ++n) {
    shard_state& shard = shards_[n];
    usage_flush flush{source_, n, shard.sequence + 1, {}};
    for (auto& [window, state] : shard.windows) {
      if (!state.changed && state.confirmed && now < state.ask_again) {
        continue;
      }
      if (state.changed) {
        state.sent = flush.sequence;
        state.changed = false;
        state.confirmed = false;
      }
      state.ask_again = now + ask_again_after;
      flush.windows.emplace(window, state.table);
    }
    if (!flush.windows.empty()) {
      shard.sequence = flush.sequence;
      flushes.push_back(std::move(flush));
    }
  }
  return flushes;
}

void usage_counter::merged(time_point now, const usage_flush_merged& it) {
  if (it.source != source_ || it.shard >= shard_count) {
    return;
  }
  shard_state& shard = shards_[it.shard];
  if (it.token < shard.holder_token) {
    return;
  }
  if (it.token > shard.holder_token) {
    shard.holder_token = it.token;
    holder_changed(now, it.shard);
    return;
  }
  for (auto& [window, state] : shard.windows) {
    if (!state.changed && state.sent <= it.sequence) {
      state.confirmed = true;
    }
  }
}

void usage_counter::mark_frozen(shard_state& shard, std::uint64_t window) {
  if (is_frozen(shard, window)) {
    return;
  }
  shard.frozen.insert(window);
  while (shard.frozen.size() > remembered_windows) {
    const std::uint64_t oldest = *shard.frozen.begin();
    if (!shard.windows.empty() && shard.windows.begin()->first <= oldest) {
      return;
    }
    shard.frozen.erase(shard.frozen.begin());
    shard.frozen_below = oldest + 1;
  }
}

usage_table usage_counter::frozen(time_point /*now*/, const usage_window_frozen& it) {
  if (it.source != source_ || it.shard >= shard_count) {
    return {};
  }
  shard_state& shard = shards_[it.shard];
  mark_frozen(shard, it.window);
  const auto state = shard.windows.find(it.window);
  if (state == shard.windows.end()) {
    return {};
  }
  usage_table rest = difference(state->second.table, it.included);
  shard.windows.erase(state);
  for (const auto& [key, figures] : rest) {
    add_row(shard, it.window, key, figures);
  }
  return rest;
}

void usage_counter::holder_changed(time_point /*now*/, std::uint32_t shard) {
  if (shard < shard_count) {
    for (auto& [window, state] : shards_[shard].windows) {
      state.changed = true;
    }
  }
}

bool usage_counter::unconfirmed() const {
  return std::ranges::any_of(shards_, [](const shard_state& shard) {
    return std::ranges::any_of(
        shard.windows, [](const auto& it) { return it.second.changed || !it.second.confirmed; });
  });
}

std::size_t usage_counter::windows_kept() const {
  std::size_t n = 0;
  for (const shard_state& it : shards_) {
    n += it.windows.size();
  }
  return n;
}

} // namespace boragedoor::usage
