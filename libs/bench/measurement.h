#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "base/json.h"
#include "base/time.h"
#include "bench/deployment.h"
#include "bench/workload.h"

namespace boragedoor::bench {

/// How a request ended for its caller.
enum class ending { in_time, late, refused, failed };

/// Figures of one run. Percentiles are exact.
struct figures {
  double lookup_p50_ms = 0;
  double lookup_p99_ms = 0;
  double chat_p50_ms = 0;
  double chat_p99_ms = 0;
  /// Output tokens a second of rollouts that ended in time.
  double rollout_tokens_per_second = 0;
  /// Time from a group's arrival until its last member completed.
  double group_p50_s = 0;
  double group_p99_s = 0;
  /// Least service over entitled share of any workspace, for tokens and for lookups.
  double worst_token_share = 0;
  double worst_lookup_share = 0;
  /// By request_kind: requests, and those that ended badly.
  std::array<std::uint64_t, 3> requests{};
  std::array<std::uint64_t, 3> late{};
  std::array<std::uint64_t, 3> refused{};
  std::array<std::uint64_t, 3> failed{};
  std::uint64_t refusals = 0;
  double retries_per_request = 0;
  /// Attempts sent to an endpoint that was not ready, and non-idempotent requests that ran twice.
  std::uint64_t duplicates = 0;
  std::uint64_t pauses = 0;
  std::uint64_t hedges = 0;
  /// Output tokens thrown away, relative to all that were produced.
  double wasted_share = 0;
  /// The most loaded engine's load over time, relative to the mean one's. The ratio of the sums, so
  /// that times with next to no load do not count much.
  double imbalance = 0;
  double cache_hit_share = 0;
};

/// Collects what happens during one run.
class measurement {
public:
  /// Throughput counts up to `end`, when arrivals end: what is worked off later would favour
  /// whoever has the longest queue.
  measurement(std::size_t workspaces, time_point end)
      : end_(end), tokens_(workspaces), lookups_(workspaces) {}

  void arrived(const arrival& it);
  void ended(const arrival& it, ending how, time_point now);
  void refusal() { refusals_ += 1; }
  void retry() { retries_ += 1; }
  void duplicate() { duplicates_ += 1; }
  void pause() { pauses_ += 1; }
  void hedge() { hedges_ += 1; }
  void wasted(int tokens) { wasted_ += tokens; }
  /// Adds a sample of the engines' loads.
  void load(double most, double mean);
  void cache(std::uint64_t hits, std::uint64_t blocks);

  [[nodiscard]] figures result(const deployment& where, duration length) const;

private:
  struct account {
    double wanted = 0;
    double served = 0;
  };
  struct group {
    int open = 0;
    bool complete = true;
  };
  void count_group(const arrival& it, ending how, time_point now);
  static double worst_share(const std::vector<account>& accounts, const deployment& where,
                            double capacity);

  time_point end_;
  std::vector<account> tokens_;
  std::vector<account> lookups_;
  std::vector<group> groups_;
  std::vector<double> lookup_ms_;
  std::vector<double> chat_ms_;
  std::vector<double> group_s_;
  double rollout_tokens_ = 0;
  double useful_ = 0;
  double wasted_ = 0;
  std::array<std::uint64_t, 3> requests_{};
  std::array<std::array<std::uint64_t, 3>, 4> endings_{};
  std::uint64_t refusals_ = 0;
  std::uint64_t retries_ = 0;
  std::uint64_t duplicates_ = 0;
  std::uint64_t pauses_ = 0;
  std::uint64_t hedges_ = 0;
  double most_sum_ = 0;
  double mean_sum_ = 0;
  std::uint64_t block_hits_ = 0;
  std::uint64_t blocks_ = 0;
};

json to_json(const figures& it);

} // namespace boragedoor::bench
