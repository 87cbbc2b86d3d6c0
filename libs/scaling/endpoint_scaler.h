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

/// Wanted number of endpoints: all of the data centre, pool and tier, not those to add.
struct endpoint_order {
  std::string data_centre;
  std::string pool;
  capacity_tier tier = capacity_tier::standard;
  int count = 0;

  friend bool operator==(const endpoint_order&, const endpoint_order&) = default;
};

/// Bounds of a pool in one data centre. The minimum always runs on standard capacity.
struct data_centre_bounds {
  std::string data_centre;
  int minimum = 0;
  int maximum = 0;
  int cheap_maximum = 0;
};

struct pool_plan {
  std::string pool;
  std::vector<data_centre_bounds> data_centres;
  /// Requests that one endpoint runs at once.
  int concurrency = 1;
  /// Time from an order until the endpoint serves.
  duration start_up = seconds(60);
};

/// What a data centre has of the pool.
struct data_centre_supply {
  std::string_view data_centre;
  /// Ready and starting endpoints.
  int standard = 0;
  int cheap = 0;
  /// The data centre is lost: nothing is ordered there, and others take its part.
  bool lost = false;
};

/// What the pool used since the last call.
struct pool_use {
  /// Mean number of requests that ran or waited, whatever callers stated.
  double requests = 0;
  /// Part of the requests that the loss of their endpoint does not harm, as measured.
  double harmless_share = 0;
  std::span<const data_centre_supply> supply;
  /// The store is down, so that orders cannot be checked against what others ordered.
  bool store_down = false;
};

struct scaler_options {
  /// Wanted share of slots in use.
  double target_use = 0.7;
  /// Time constants of measured use and of its trend.
  duration level_time = seconds(30);
  duration trend_time = seconds(120);
  /// Fewer endpoints are ordered only when they would carry this share more than the highest use
  /// of this time.
  duration shrink_delay = seconds(300);
  double shrink_band = 0.15;
  /// Endpoints that may be added per pool during one store outage, as a share of those before it.
  double outage_growth = 0.25;
  /// Part of the harmless use that cheaper capacity may carry: the rest absorbs error in its share.
  double cheap_fill = 0.9;
  /// At most this share of a pool's endpoints is cheaper capacity of one data centre.
  double reclaim_share = 0.3;
  /// How long cheaper capacity may stay away before standard capacity takes its place, the share of
  /// it that is replaced then, and the time until it is asked for again.
  duration fallback_delay = seconds(90);
  double fallback_share = 1;
  duration cheap_retry = seconds(300);
};

/// Decides how many endpoints of a pool run where, from measured use.
class endpoint_scaler {
public:
  /// Fails with `invalid_argument` on shares outside 0..1, empty pools or bounds out of order.
  static result<endpoint_scaler> create(const scaler_options& options, const pool_plan& plan);

  /// Takes measured use and returns the wanted counts that changed. The first call returns all.
  std::vector<endpoint_order> decide(const pool_use& use, time_point now);
  /// The platform reclaimed cheaper endpoints of the data centre, or has none to give.
  void cheap_unavailable(std::string_view data_centre, time_point now);

  /// Endpoints that measured use and its trend call for, before bounds.
  [[nodiscard]] int wanted() const { return wanted_; }

private:
  struct counts {
    int standard = 0;
    int cheap = 0;
  };
  struct place {
    data_centre_bounds bounds;
    bool lost = false;
    /// Cheaper capacity is not asked for before `cheap_retry_at`, and then for one endpoint until
    /// it is there.
    bool cheap_missing = false;
    time_point cheap_retry_at{};
    counts supply{};
    counts wanted{};
    counts ordered{-1, -1};
  };
  struct peak {
    time_point at;
    double requests = 0;
  };
  endpoint_scaler(const scaler_options& options, const pool_plan& plan);
  void take_supply(std::span<const data_centre_supply> supply);
  void take_use(const pool_use& use, time_point now);
  [[nodiscard]] double forecast() const;
  [[nodiscard]] int endpoints_for(double requests) const;
  void settle(time_point now);
  [[nodiscard]] int total() const;
  [[nodiscard]] int ordered() const;
  /// Cheaper endpoints that the data centre may have at most, and may be ordered there now.
  [[nodiscard]] int cheap_bound(const place& it, int total) const;
  [[nodiscard]] int cheap_limit(const place& it, int total, time_point now) const;
  void spread_cheap(int total, time_point now);
  [[nodiscard]] int fallback(time_point now);
  void spread_standard(int count);
  void change(place& it, capacity_tier tier, bool store_down, std::vector<endpoint_order>& out);

  scaler_options options_;
  pool_plan plan_;
  std::vector<place> places_;
  /// Requests at once, their change per second and the harmless share, all smoothed.
  double level_ = 0;
  double trend_ = 0;
  double harmless_ = 0;
  time_point started_{};
  time_point measured_{};
  bool known_ = false;
  /// Expected use within the last `shrink_delay`.
  std::deque<peak> peaks_;
  int wanted_ = 0;
  int settled_ = 0;
  int cheap_ = 0;
  /// Cheaper capacity has been short since then.
  bool cheap_short_ = false;
  time_point cheap_short_since_{};
  /// Endpoints that may still be added during the present store outage.
  bool outage_ = false;
  int outage_left_ = 0;
};

} // namespace boragedoor::scaling
