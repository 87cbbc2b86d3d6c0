#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "base/time.h"

namespace boragedoor::bench {

/// A workspace's part in the load.
struct workspace_plan {
  std::string name;
  /// Part of all demand in the ordinary case, and also its weight.
  double share = 0;
  /// Stated length relative to the median of the real ones, and the priority it always states.
  double overstatement = 8;
  int stated_priority = 0;
};

/// Sizes of one deployment, from the design page.
struct deployment {
  std::string name;
  std::vector<std::string> data_centres;
  /// Round trip between data centres, and between a client and an instance.
  duration between_data_centres{};
  duration to_client{};
  int instances = 8;
  int engines = 10;
  int services = 4;
  /// Calls a second to the plain services, all workspaces together.
  double lookup_rate = 80;
  std::vector<workspace_plan> workspaces;
};

/// Rate model of an engine or service replica.
struct endpoint_model {
  /// Requests that run at the same time.
  int slots = 32;
  /// Tokens (or units of service work) a second of one request alone.
  double rate = 60;
  /// Slow-down of each request in a full batch.
  double full_slowdown = 3;
  double prefill_rate = 8'000;
  std::size_t cache_blocks = 2'000;
};

endpoint_model engine_model();
endpoint_model service_model();

/// Tokens a second of an endpoint with all its slots in use.
double full_rate(const endpoint_model& it);

/// Returns "sinaltec" or "threadwell"; fails with `not_found` on other names.
result<deployment> find_deployment(std::string_view name);

} // namespace boragedoor::bench
