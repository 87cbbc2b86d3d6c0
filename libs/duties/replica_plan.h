#pragma once

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace boragedoor::duties {

/// Limits and current state of a service of engines.
struct replica_bounds {
  std::string service;
  /// Limits per data centre.
  int min_replicas = 0;
  int max_replicas = 0;
  /// Requests that one engine runs concurrently.
  int slots_per_replica = 1;
  /// Number of running engines by data centre. No engines are ordered for other data centres.
  std::map<std::string, int, std::less<>> present;
};

/// Order that sets the number of engines of a service in a data centre.
struct replica_order {
  std::string service;
  std::string data_centre;
  int count = 0;

  friend bool operator==(const replica_order&, const replica_order&) = default;
};

struct replica_plan_options {
  /// Demand is the maximum over this time, so fewer engines are ordered only once demand has been
  /// lower for this long.
  duration shrink_delay = seconds(60);
  /// Time that an engine takes to load weights.
  duration load_time = seconds(1);
  /// Assumed time between two versions of a model, until it has been observed.
  duration version_interval = seconds(4);
  /// An order is repeated if its engines are still missing after this time. Engines take a few
  /// seconds to start.
  duration repeat_delay = seconds(10);
};

/// Decides how many engines to order for each service.
///
/// Design note: a step requests all of its texts at once and ends with the longest of them, so
/// every text that waits for a slot makes the step late, which costs more than engines do.
/// Additional engines help only as far as their weights can be kept fresh; an engine that loads
/// every second version is usable in between. Running engines are kept while open items need their
/// slots.
class replica_plan {
public:
  explicit replica_plan(const replica_plan_options& options = {}) : options_(options) {}

  /// Records the current number of open job items.
  void record_demand(int open_items, time_point now);
  /// Records that a new version of a model was announced.
  void record_version(std::string_view model, time_point now);

  /// Returns the orders to send now and records them as sent. `max_concurrent_loads` is the number
  /// of engines that may load weights concurrently.
  std::vector<replica_order> decide(const std::vector<replica_bounds>& services,
                                    int max_concurrent_loads, time_point now);
  /// Records that an order was refused or not answered, so that it is sent again.
  void failed(const replica_order& it);

private:
  struct demand {
    time_point time;
    int items = 0;
  };
  struct sent_order {
    int count = 0;
    time_point since{};
  };
  [[nodiscard]] int max_fresh_engines(int max_concurrent_loads) const;
  [[nodiscard]] std::vector<replica_order> target_counts(const replica_bounds& bounds,
                                                         int max_concurrent_loads);

  replica_plan_options options_;
  std::deque<demand> demands_;
  std::map<std::string, time_point, std::less<>> last_versions_;
  duration version_interval_{};
  /// Highest number of running engines seen for each service. A temporary loss of engines in a
  /// failure must not lower the target.
  std::map<std::string, int, std::less<>> peak_present_;
  /// Last order by service and data centre.
  std::map<std::pair<std::string, std::string>, sent_order> sent_orders_;
};

} // namespace boragedoor::duties
