#pragma once

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "base/time.h"

namespace boragedoor::admission {

/// Demand and weight of one workspace. The demand is in the same unit as the capacity to divide.
struct share_demand {
  double demand = 0;
  double weight = 1;
};

/// Divides capacity by weighted max-min fairness: no workspace gets more than its demand, and none
/// can get more without reducing another one that has no larger share relative to its weight.
std::vector<double> max_min_shares(double capacity, std::span<const share_demand> demands);

struct fair_share_options {
  /// Time constant of the exponential decay of past usage.
  duration decay_time_constant = seconds(60);
  /// Older estimates of the fleet's usage are ignored.
  duration max_estimate_age = seconds(10);
};

/// Tracks the token usage of each workspace relative to its weight. The usage of the other
/// instances arrives as an aggregate in heartbeats, so no request waits for another instance.
class fair_share {
public:
  /// Fails with `invalid_argument` on times that are not positive.
  static result<fair_share> create(const fair_share_options& options);

  /// Sets the configured weight of a workspace; the default is 1. Ignores weights that are not
  /// positive.
  void set_weight(std::string_view workspace, double weight);
  /// Adds usage by this instance, in tokens. Negative values correct an earlier prediction.
  void record_usage(std::string_view workspace, double tokens, time_point now);
  /// Sets the decayed usage (see `local_usage`) of all other instances together.
  void set_fleet_usage(std::string_view workspace, double tokens, time_point now);

  /// Returns the decayed usage by this instance, in tokens, for the heartbeat aggregate.
  [[nodiscard]] double local_usage(std::string_view workspace, time_point now) const;
  /// Returns the decayed usage by all instances divided by the weight. The workspace with the
  /// lowest value is the least served.
  [[nodiscard]] double normalized_usage(std::string_view workspace, time_point now) const;
  [[nodiscard]] double weight(std::string_view workspace) const;
  /// Returns the workspace with the lowest normalized usage, the first one if several are equal, or
  /// an empty name for an empty list.
  [[nodiscard]] std::string_view
  least_served_workspace(std::span<const std::string_view> workspaces, time_point now) const;

private:
  struct account {
    double weight = 1;
    double usage = 0;
    time_point usage_updated;
    double fleet_usage = 0;
    time_point fleet_usage_updated;
    bool has_fleet_usage = false;
  };
  explicit fair_share(const fair_share_options& options) : options_(options) {}
  account& account_of(std::string_view workspace);
  [[nodiscard]] double decay(duration age) const;

  fair_share_options options_;
  std::map<std::string, account, std::less<>> accounts_;
};

} // namespace boragedoor::admission
