#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "base/result.h"
#include "base/time.h"
#include "bench/deployment.h"

namespace boragedoor::bench {

/// Which decisions follow the policy; the others follow the naive version.
struct supply_parts {
  bool weight_rollout = true;
  bool sample_freshness = true;
  bool group_order = true;
  bool start_limit = true;
  bool scaler = true;
};

/// A window of the run in which a fault lasts.
struct supply_window {
  duration from{};
  duration until{};

  [[nodiscard]] bool contains(duration at) const { return at >= from && at < until; }
};

struct supply_faults {
  /// Data centre lost, or -1.
  int lost_data_centre = -1;
  supply_window loss;
  /// Cheaper endpoints of these data centres are reclaimed at `from` and not to be had until
  /// `until`.
  std::vector<supply_window> reclaims;
  supply_window cheap_unavailable;
  supply_window store_outage;
  double swap_failure_share = 0;
  double straggler_share = 0;
};

/// Reads a comma-separated list of "none", "data_centre_loss", "cheap_reclaim",
/// "cheap_unavailable", "swap_failures", "store_outage" and "stragglers", with times relative to
/// the length of the run. Fails with `invalid_argument` on other names.
result<supply_faults> parse_supply_faults(std::string_view names, duration length);

/// A trainer that takes groups, publishes a version every `groups_per_version` and keeps
/// `groups_in_flight` undelivered ones.
struct trainer_plan {
  std::string name;
  std::size_t model = 0;
  std::uint64_t staleness_bound = 2;
  /// The model's versions come from one trainer; others only read the model's samples.
  bool publishes = true;
  int groups_per_version = 32;
  int groups_in_flight = 48;
  int group_size = 8;
  /// Training time of one group: 32 of them make a version every 2 minutes at best.
  duration train_time = milliseconds(3750);
  /// Part of each hour at its end in which the trainer rests.
  double resting_share = 0;
};

/// Sizes and rates of the supply scenario of one deployment.
struct supply_plan {
  deployment where;
  std::vector<std::string> models;
  std::vector<trainer_plan> trainers;
  /// Mean chat requests a second for each model, at its daily mean.
  double chat_rate = 1.5;
  /// Endpoints per model that the naive version orders, and bounds in each data centre.
  int naive_endpoints = 10;
  int minimum = 1;
  int maximum = 4;
  duration start_up = seconds(60);
  /// Price of a cheaper endpoint relative to a standard one.
  double cheap_price = 0.35;
  duration reclaim_notice = seconds(5);
  duration swap_duration = seconds(3);
  /// Fetches a second that the weight store admits; it holds one second's worth.
  double fetches_per_second = 4;
};

result<supply_plan> find_supply_plan(std::string_view name);

/// Lengths of one group's samples, in output tokens, with what a predictor says of each. Depends on
/// the seed, the trainer and the group's number only.
struct sample_length {
  double tokens = 0;
  double predicted = 0;
  /// How much slower than others the first attempt runs.
  double straggle = 1;
};
std::vector<sample_length> draw_lengths(std::uint64_t seed, std::size_t trainer, std::size_t group,
                                        int group_size, double straggler_share);

struct chat_arrival {
  duration at{};
  std::size_t model = 0;
  double tokens = 0;
};
std::vector<chat_arrival> draw_chats(const supply_plan& plan, std::uint64_t seed, duration length);

} // namespace boragedoor::bench
