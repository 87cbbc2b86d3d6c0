#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/json.h"
#include "base/result.h"
#include "base/time.h"

namespace boragedoor::usage {

/// Shards that workspaces are spread over.
inline constexpr std::uint32_t shard_count = 8;

/// The shard `usage/{n}` that a workspace belongs to.
std::uint32_t shard_of(std::string_view workspace);

/// Number of the window that a moment lies in; `length` is the window length of the configuration.
std::uint64_t window_of(wall_time at, duration length);

struct usage_figures {
  std::uint64_t requests = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t completion_tokens = 0;
  /// Endpoint time in microseconds, a whole number so that sums are exact.
  std::uint64_t endpoint_us = 0;

  usage_figures& operator+=(const usage_figures& it);
  /// Stops at 0: a figure from another process never makes one wrap.
  usage_figures& operator-=(const usage_figures& it);
  friend bool operator==(const usage_figures&, const usage_figures&) = default;
};

/// What figures are kept by, within a window.
struct usage_key {
  std::string workspace;
  std::string request_class;
  /// The window that the usage happened in if that was frozen before the usage reached its
  /// holder; otherwise 0. Window numbers start far above 0.
  std::uint64_t late_from = 0;

  friend auto operator<=>(const usage_key&, const usage_key&) = default;
};

using usage_table = std::map<usage_key, usage_figures>;

/// Adds every row of `it` to `table`.
void add(usage_table& table, const usage_table& it);
/// What `table` has more than `included`, row by row; rows without a difference are left out.
usage_table difference(const usage_table& table, const usage_table& included);

json to_json(const usage_table& table);
result<usage_table> usage_table_from_json(const json& value);

/// One process of an instance. Its counters start at nothing.
struct usage_source {
  std::string instance;
  std::string boot;

  friend auto operator<=>(const usage_source&, const usage_source&) = default;
};

/// Cumulative figures of one window of one source, as of a flush.
struct source_counters {
  std::uint64_t sequence = 0;
  usage_table table;

  friend bool operator==(const source_counters&, const source_counters&) = default;
};

/// Counters of one window by source.
using window_counters = std::map<usage_source, source_counters>;

json to_json(const window_counters& counters);
result<window_counters> window_counters_from_json(const json& value);

/// The sum over all sources.
usage_table total(const window_counters& counters);

} // namespace boragedoor::usage
