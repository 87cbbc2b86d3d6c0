#pragma once

#include <vector>

#include "scaling/endpoint_scaler.h"

namespace boragedoor::scaling {

/// Orders a fixed number of standard endpoints for the demand that callers state, distributed
/// evenly within the bounds. Baseline for `endpoint_scaler` in benchmarks; not for use in the
/// daemon. `stated_requests` is the number of concurrent requests that callers state.
std::vector<endpoint_order> naive_scaler(const pool_plan& plan, double stated_requests);

} // namespace boragedoor::scaling
