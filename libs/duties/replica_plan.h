#pragma once

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace boragedoor::duties {

/// What a service of engines may have, and what it has.
struct replica_bounds {
  std::string service;
  /// In each data centre.
  int least = 0;
  int most = 0;
  /// Requests that one engine runs at once.
  int places = 1;
  /// Engines that are there, by data centre. Data centres without any are not ordered for.
  std::map<std::string, int, std::less<>> present;
};

/// Wanted number of engines of a service in a data centre.
struct replica_order {
  std::string service;
  std::string data_centre;
  int count = 0;

  friend bool operator==(const replica_order&, const replica_order&) = default;
};

struct replica_plan_options {
  /// Fewer engines are ordered only once less than they carry was asked for so long.
  duration shrink_delay = seconds(60);
  /// How long an engine loads weights.
  duration load_time = seconds(1);
  /// Time between two versions of a model until it is measured.
  duration version_interval = seconds(4);
  /// An order is repeated when the engines are still missing after this time; they need a few
  /// seconds to start.
  duration repeat_after = seconds(10);
};

/// Decides how many engines are ordered.
///
/// Pattern: a step asks for all its texts at once, and the longest of them decides when it ends, so
/// each that waits for a place makes the step late. Engines are cheap against that. More than are
/// there help only as far as they can be kept at fresh weights (an engine that loads at every
/// second version is of use in between); those that are there are kept while open items need their
/// places.
class replica_plan {
public:
  explicit replica_plan(const replica_plan_options& options = {}) : options_(options) {}

  /// Notes how many items of jobs are open at once.
  void note_demand(int open_items, time_point now);
  /// Notes that a version of a model was named.
  void note_version(std::string_view model, time_point now);

  /// The orders to send now; they are taken for sent.
  /// `loads_at_once` engines may load weights at the same time.
  std::vector<replica_order> decide(const std::vector<replica_bounds>& services, int loads_at_once,
                                    time_point now);
  /// The order was refused or got no answer; it is sent again.
  void failed(const replica_order& it);

private:
  struct demand {
    time_point at;
    int items = 0;
  };
  struct placed {
    int count = 0;
    time_point since{};
  };
  [[nodiscard]] int engines_kept_fresh(int loads_at_once) const;
  [[nodiscard]] std::vector<replica_order> wanted(const replica_bounds& of, int loads_at_once);

  replica_plan_options options_;
  std::deque<demand> demands_;
  std::map<std::string, time_point, std::less<>> named_;
  duration interval_{};
  /// Most engines of each service that were there at once. Engines that a failure takes away for a
  /// while do not lower the need.
  std::map<std::string, int, std::less<>> most_present_;
  /// Last orders by service and data centre.
  std::map<std::pair<std::string, std::string>, placed> placed_;
};

} // namespace boragedoor::duties
