#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "bench/workload.h"

namespace boragedoor::bench {

/// A data centre's endpoints and instances go silent and come back.
struct data_centre_loss {
  std::string data_centre;
  duration from{};
  duration until{};
};

/// All cheaper endpoints of a data centre are reclaimed at a few seconds' notice, and come back.
struct cheap_reclaim {
  std::string data_centre;
  duration from{};
  duration until{};
  duration notice = seconds(5);
};

/// One engine runs at a part of its speed.
struct slow_endpoint {
  std::string endpoint;
  double factor = 0.2;
  duration from{};
  duration until{};
};

using fault = std::variant<data_centre_loss, cheap_reclaim, slow_endpoint>;

/// The faults of a run: those that happen to endpoints, and those in what callers send.
struct fault_plan {
  std::vector<fault> events;
  int greedy_workspace = -1;
  double straggler_share = 0;
};

/// Reads a comma-separated list of "none", "data_centre_loss", "cheap_reclaim", "slow_endpoint",
/// "stragglers" and "greedy_workspace", with times relative to the length of the run.
/// Fails with `invalid_argument` on other names.
result<fault_plan> parse_faults(std::string_view names, const deployment& where, duration length);

} // namespace boragedoor::bench
