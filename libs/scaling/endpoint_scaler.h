#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "base/time.h"

namespace boragedoor::scaling {

enum class capacity_tier { standard, cheap };

/// Desired total number of endpoints of a data centre, pool and tier, not the number to add.
struct endpoint_order {
  std::string data_centre;
  std::string pool;
  capacity_tier tier = capacity_tier::standard;
  int count = 0;

  friend bool operator==(const endpoint_order&, const endpoint_order&) = default;
};

/// Limits of a pool in one data centre. The minimum always runs on standard capacity.
struct data_centre_bounds {
  std::string data_centre;
  int minimum = 0;
  int maximum = 0;
  int cheap_maximum = 0;
};

struct pool_plan {
  std::string pool;
  std::vector<data_centre_bounds> data_centres;
  /// Concurrent requests per endpoint.
  int concurrency = 1;
  /// Time from an order until the endpoint serves requests.
  duration startup_time = seconds(60);
};

/// Current endpoints of the pool in a data centre.
struct data_centre_supply {
  std::string_view data_centre;
  /// Ready and starting endpoints.
  int standard = 0;
  int cheap = 0;
  /// Whether the data centre has failed. Nothing is ordered there, and the others replace its
  /// endpoints.
  bool lost = false;
};

/// Measured usage of the pool since the last call.
struct pool_usage {
  /// Mean number of running and queued requests, as measured; demand stated by callers is ignored.
  double requests = 0;
  /// Measured share of requests that tolerate the loss of their endpoint.
  double interruptible_share = 0;
  std::span<const data_centre_supply> supply;
  /// Whether the store is down, so that orders cannot be checked against those of other instances.
  bool store_down = false;
};

struct scaler_options {
  /// Target share of slots in use.
  double target_utilization = 0.7;
  /// Smoothing time constants of measured demand and of its trend.
  duration demand_time_constant = seconds(30);
  duration trend_time_constant = seconds(120);
  /// Scales down only to a count that could serve the highest forecast within `scale_down_delay`,
  /// increased by the share `scale_down_margin`.
  duration scale_down_delay = seconds(300);
  double scale_down_margin = 0.15;
  /// Endpoints that may be added to a pool during one store outage, as a share of those ordered
  /// before it.
  double max_outage_growth = 0.25;
  /// Share of the interruptible demand for which cheap capacity is ordered. The rest absorbs the
  /// error of the measured interruptible share.
  double cheap_fill_share = 0.9;
  /// Largest share of a pool's endpoints that may be cheap capacity in one data centre, which the
  /// platform can reclaim all at once.
  double max_reclaim_share = 0.3;
  /// Time for which cheap capacity may be missing before standard capacity replaces it, the share
  /// that is replaced, and the delay before cheap capacity is ordered again.
  duration fallback_delay = seconds(90);
  double fallback_share = 1;
  duration cheap_retry_delay = seconds(300);
};

/// Decides how many endpoints of a pool run in each data centre, based on measured usage.
class endpoint_scaler {
public:
  /// Fails with `invalid_argument` when a share is outside 0..1, a time constant is not positive,
  /// the plan has no data centres, its concurrency is not positive or a minimum exceeds its
  /// maximum.
  static result<endpoint_scaler> create(const scaler_options& options, const pool_plan& plan);

  /// Updates the forecast with measured usage and returns the desired counts that changed. The
  /// first call returns all counts.
  std::vector<endpoint_order> decide(const pool_usage& usage, time_point now);
  /// Reports that the platform reclaimed cheap endpoints in the data centre or cannot supply any.
  void cheap_unavailable(std::string_view data_centre, time_point now);

  /// Endpoints needed for the forecast demand, before bounds and the scale-down delay are applied.
  [[nodiscard]] int desired() const { return desired_; }

private:
  struct counts {
    int standard = 0;
    int cheap = 0;
  };
  struct data_centre_state {
    data_centre_bounds bounds;
    bool lost = false;
    /// While true, no cheap capacity is ordered before `cheap_retry_at`, and then a single endpoint
    /// until it is supplied.
    bool cheap_missing = false;
    time_point cheap_retry_at{};
    counts supply{};
    counts desired{};
    counts ordered{-1, -1};
  };
  struct forecast_sample {
    time_point at;
    double requests = 0;
  };
  endpoint_scaler(const scaler_options& options, const pool_plan& plan);
  void update_supply(std::span<const data_centre_supply> supply);
  void update_demand(const pool_usage& usage, time_point now);
  [[nodiscard]] double forecast() const;
  [[nodiscard]] int endpoints_for(double requests) const;
  void stabilize(time_point now);
  [[nodiscard]] int desired_total() const;
  [[nodiscard]] int total_ordered() const;
  /// Maximum number of cheap endpoints in the data centre, and the number that may be ordered now.
  [[nodiscard]] int max_cheap(const data_centre_state& it, int desired_total) const;
  [[nodiscard]] int orderable_cheap(const data_centre_state& it, int desired_total,
                                    time_point now) const;
  void distribute_cheap(int desired_total, time_point now);
  [[nodiscard]] int fallback(time_point now);
  void distribute_standard(int count);
  void update_order(data_centre_state& it, capacity_tier tier, bool store_down,
                    std::vector<endpoint_order>& out);

  scaler_options options_;
  pool_plan plan_;
  std::vector<data_centre_state> data_centres_;
  /// Smoothed concurrent requests, their change per second, and the interruptible share.
  double demand_ = 0;
  double demand_trend_ = 0;
  double interruptible_share_ = 0;
  time_point started_{};
  time_point last_measured_{};
  bool has_measurement_ = false;
  /// Demand forecasts of the last `scale_down_delay`.
  std::deque<forecast_sample> forecasts_;
  int desired_ = 0;
  int stabilized_ = 0;
  int desired_cheap_ = 0;
  /// Whether less cheap capacity is supplied than desired, and since when.
  bool cheap_short_ = false;
  time_point cheap_short_since_{};
  /// Whether a store outage is in progress, and the number of endpoints that may still be added
  /// during it.
  bool store_outage_ = false;
  int outage_growth_left_ = 0;
};

} // namespace boragedoor::scaling
