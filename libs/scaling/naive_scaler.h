#pragma once

#include <vector>

#include "scaling/endpoint_scaler.h"

namespace boragedoor::scaling {

/// Orders a fixed number of standard endpoints for the demand that callers state, spread evenly
/// within the bounds. The baseline of `endpoint_scaler`; never to be used in the daemon.
/// `stated_requests` is the number of requests at once that callers ask for.
std::vector<endpoint_order> naive_scaler(const pool_plan& plan, double stated_requests);

} // namespace boragedoor::scaling
