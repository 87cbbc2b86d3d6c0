#include "scaling/naive_scaler.h"

#include <algorithm>
#include <cmath>

namespace boragedoor::scaling {

std::vector<endpoint_order> naive_scaler(const pool_plan& plan, double stated_requests) {
  std::vector<endpoint_order> out;
  int remaining_endpoints = static_cast<int>(std::ceil(stated_requests / plan.concurrency));
  auto remaining_data_centres = static_cast<int>(plan.data_centres.size());
  for (const data_centre_bounds& it : plan.data_centres) {
    const int share = (remaining_endpoints + remaining_data_centres - 1) / remaining_data_centres;
    const int count = std::clamp(share, it.minimum, it.maximum);
    out.push_back({it.data_centre, plan.pool, capacity_tier::standard, count});
    remaining_endpoints = std::max(0, remaining_endpoints - count);
    remaining_data_centres -= 1;
  }
  return out;
}

} // namespace boragedoor::scaling
