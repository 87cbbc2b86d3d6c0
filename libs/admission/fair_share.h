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

/// What one workspace wants and is entitled to, in any one unit of capacity.
struct share_demand {
  double demand = 0;
  double weight = 1;
};

/// Weighted max-min fair division: no workspace gets more than it demands, and none can get more
/// without another one getting less that has no more for its weight.
std::vector<double> max_min_shares(double capacity, std::span<const share_demand> demands);

struct fair_share_options {
  /// Use older than this weighs little: the time constant of the exponential decay.
  duration memory = seconds(60);
  /// A fleet estimate older than this is ignored.
  duration longest_estimate_age = seconds(10);
};

/// Use of each workspace relative to its weight, for this instance's decisions. The fleet's use
/// comes as an aggregate in heartbeats, so no request waits for another instance.
class fair_share {
public:
  /// Fails with `invalid_argument` on times that are not positive.
  static result<fair_share> create(const fair_share_options& options);

  /// Weights come from the configuration; an unknown workspace weighs 1.
  void set_weight(std::string_view workspace, double weight);
  /// Adds real use by this instance, in tokens. A correction of a prediction may be negative.
  void record_use(std::string_view workspace, double tokens, time_point now);
  /// Sets the decayed use (see `local_use`) of all other instances together.
  void set_fleet_use(std::string_view workspace, double tokens, time_point now);

  /// Decayed use by this instance, in tokens; goes into the heartbeat aggregate.
  [[nodiscard]] double local_use(std::string_view workspace, time_point now) const;
  /// Decayed use by the fleet, divided by the weight. The lowest is the worst served.
  [[nodiscard]] double served(std::string_view workspace, time_point now) const;
  [[nodiscard]] double weight(std::string_view workspace) const;
  /// Returns the worst served of the workspaces (the first of equals), empty for an empty list.
  [[nodiscard]] std::string_view worst_served(std::span<const std::string_view> workspaces,
                                              time_point now) const;

private:
  struct account {
    double weight = 1;
    double use = 0;
    time_point use_at;
    double fleet = 0;
    time_point fleet_at;
    bool fleet_known = false;
  };
  explicit fair_share(const fair_share_options& options) : options_(options) {}
  account& account_of(std::string_view workspace);
  [[nodiscard]] double decay(duration age) const;

  fair_share_options options_;
  std::map<std::string, account, std::less<>> accounts_;
};

} // namespace boragedoor::admission
