#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "bench/deployment.h"
#include "routing/prefix_cache_hints.h"

namespace boragedoor::bench {

enum class request_kind { lookup, chat, rollout };

/// Tokens of prompt text that one prefix hash stands for.
inline constexpr int block_tokens = 64;

/// One request as its caller sends it, with what it will really need.
struct arrival {
  time_point at;
  request_kind kind = request_kind::lookup;
  std::size_t workspace = 0;
  /// Output tokens, or units of work of a service call.
  int tokens = 1;
  int stated_tokens = 0;
  int stated_priority = 0;
  int prompt_tokens = 0;
  std::vector<routing::prefix_hash> prefix;
  time_point deadline;
  bool idempotent = true;
  /// Index into the groups, for rollouts.
  std::size_t group = 0;
  int group_size = 1;
  std::size_t instance = 0;
  /// How much slower than others this request's first attempt runs.
  double straggle = 1;
};

struct workload_options {
  std::uint64_t seed = 1;
  duration length = seconds(3600);
  /// Demand for rollouts relative to what all engines do with full batches.
  double load = 0.8;
  /// Workspace that sends ten times its share, or none.
  int greedy_workspace = -1;
  /// Share of the rollouts that straggle.
  double straggler_share = 0;
};

/// Draws all arrivals of a run, sorted by time. They depend on the options only and never on what
/// the decision code does, so that policies and baselines meet the same ones.
std::vector<arrival> make_arrivals(const deployment& where, const workload_options& options);

} // namespace boragedoor::bench
